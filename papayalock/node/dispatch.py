"""Sends a call to a backend server or to another node, and passes the answer on."""

import asyncio
import base64
from collections.abc import Callable

from papayalock.core.attempts import AttemptLog
from papayalock.core.deadlines import forwarded_ms
from papayalock.core.routing import Balancer, Server
from papayalock.messages import Answer
from papayalock.node.agent import Agent
from papayalock.node.gate import GateQueue, Refused
from papayalock.node.http import OUTCOME_HEADER
from papayalock.node.trip import (
    ATTEMPT_HEADER,
    DEPTH_HEADER,
    HOP_BY_HOP,
    HOP_HEADER,
    LOAD_HEADER,
    REMAINING_HEADER,
    Delivered,
    Failed,
    Trip,
    TryOutcome,
)
from papayalock.node.watch import Watch
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.httpclient import (
    ClientConn,
    Headers,
    Request,
    Response,
    TransportError,
)

DONE_VALUE = b'0 DONE'
SERVICE_UNAVAILABLE = 503
SECOND_MS = 1000
NOT_PASSED_ON = HOP_BY_HOP | {OUTCOME_HEADER, LOAD_HEADER}
Verdict = Callable[[Response, Trip], Failed | None]


class Dispatcher:
    """Runs single tries; it decides nothing about further ones."""

    def __init__(
        self,
        agent: Agent,
        queue: GateQueue,
        balancer: Balancer,
        attempts: AttemptLog,
        pool: Pool,
        clock: Clock,
        *,
        progress_ms: int,
        silence_ms: int,
        answer_bytes: int,
    ) -> None:
        """Binds the parts.

        :param progress_ms: time without a byte after which a backend server
            counts as silent
        :param silence_ms: the same for another node
        :param answer_bytes: largest answer recorded
        """
        self._agent = agent
        self._queue = queue
        self._balancer = balancer
        self._attempts = attempts
        self._pool = pool
        self._clock = clock
        self._progress_ms = progress_ms
        self._silence_ms = silence_ms
        self._answer_bytes = answer_bytes

    # The gate: to the backend server beside this node.

    async def through_gate(self, trip: Trip) -> TryOutcome:
        """Runs a call on this node's own backend server."""
        if trip.attempt is not None:
            return await self._run_attempt(trip)
        return await self._run_gated(trip)

    async def _run_attempt(self, trip: Trip) -> TryOutcome:
        """Runs an attempt that may run once, and records how it ended."""
        attempt = trip.attempt
        if attempt is None:
            return Failed(Code.STALE_ATTEMPT)
        now = self._clock.monotonic()
        code = self._attempts.begin(attempt.name, attempt.incarnation, now)
        if code != Code.DONE:
            return Failed(code, 'attempt may not run here')
        outcome: TryOutcome = Failed(
            Code.UNKNOWN_BROKEN, 'attempt was interrupted'
        )
        try:
            outcome = await self._run_gated(trip)
        finally:
            ended = (
                outcome.code if isinstance(outcome, Failed) else _ended(outcome)
            )
            self._attempts.finish(attempt.name, ended, trip.recorded)
        return outcome

    async def _run_gated(self, trip: Trip) -> TryOutcome:
        known = self._agent.backend.serving
        if known is None or known.service != trip.service:
            return Failed(Code.NO_SERVER, 'no backend server beside this node')
        try:
            async with self._queue.slot(trip.route.priority, trip.deadline.at):
                return await self._to_backend(trip, known.address)
        except Refused as exc:
            return Failed(exc.code, 'no slot', exc.retry_after_ms)

    async def _to_backend(self, trip: Trip, address: str) -> TryOutcome:
        headers = trip.forward_headers()
        headers.append((DEPTH_HEADER, b'%d' % (trip.depth + 1)))
        headers.append((REMAINING_HEADER, self._remaining(trip)))
        req = Request(
            trip.call.method, trip.call.target, headers, trip.call.body
        )
        watch = self._watch(trip, address, None)
        return await self._exchange(trip, req, watch, _backend_verdict)

    # The hop: to the node in front of the chosen backend server.

    async def to_server(self, trip: Trip, server: Server) -> TryOutcome:
        """Runs a call on the backend server of another node."""
        headers = trip.forward_headers()
        headers.append((HOP_HEADER, b'1'))
        headers.append((DEPTH_HEADER, b'%d' % trip.depth))
        headers.append((REMAINING_HEADER, self._remaining(trip)))
        if trip.attempt is not None:
            headers.append((ATTEMPT_HEADER, trip.attempt.encode()))
        req = Request(
            trip.call.method, trip.call.target, headers, trip.call.body
        )
        watch = self._watch(trip, server.endpoint.address, server)
        self._balancer.started(server)
        outcome: TryOutcome | None = None
        try:
            outcome = await self._exchange(trip, req, watch, _node_verdict)
        finally:
            self._note(server, outcome, watch)
        return outcome

    def _note(
        self, server: Server, outcome: TryOutcome | None, watch: Watch
    ) -> None:
        now = self._clock.monotonic()
        healthy: bool | None = None
        if isinstance(outcome, Delivered):
            healthy = outcome.whole
        elif isinstance(outcome, Failed):
            healthy = self._judge(server, outcome, now)
        if healthy is False and (watch.silent or watch.alive):
            healthy = None  # noted at the silence, or there was none
        self._balancer.finished(server, now, healthy=healthy)

    def _judge(self, server: Server, failed: Failed, now: float) -> bool | None:
        if failed.code == Code.SHED:
            self._balancer.shed(server, now, failed.retry_after_ms)
            return True
        if failed.code in {
            Code.DRAINING,
            Code.DEADLINE_BEFORE_RUN,
            Code.STALE_ATTEMPT,
        }:
            return None
        return False

    # Shared.

    def _remaining(self, trip: Trip) -> bytes:
        return b'%d' % forwarded_ms(trip.deadline, self._clock.monotonic())

    def _watch(self, trip: Trip, address: str, server: Server | None) -> Watch:
        """Returns the watch of one try.

        A node gives signs of life, so its silence is told from a slow answer.
        """
        return Watch(
            trip,
            address,
            server,
            self._clock,
            silence_ms=self._progress_ms
            if server is None
            else self._silence_ms,
            suspect=self._suspect,
        )

    def _suspect(self, watch: Watch) -> None:
        """Notes that a far end is silent; the try there may go on."""
        self._pool.close_idle(watch.address)
        if watch.server is not None:
            self._balancer.suspect(watch.server, self._clock.monotonic())

    async def _exchange(
        self, trip: Trip, req: Request, watch: Watch, verdict: Verdict
    ) -> TryOutcome:
        try:
            conn = await self._connect(trip, watch.address)
        except TransportError as exc:
            return Failed(exc.code, str(exc))
        try:
            return await self._call(trip, req, conn, verdict, watch)
        except TransportError as exc:
            if exc.code == Code.UNKNOWN_TIMEOUT:
                self._pool.close_idle(watch.address)
            return Failed(exc.code, str(exc))
        except TimeoutError:
            reason = 'silent' if trip.again else 'the deadline has passed'
            return Failed(Code.UNKNOWN_TIMEOUT, reason)
        finally:
            self._pool.release(watch.address, conn)

    async def _call(
        self,
        trip: Trip,
        req: Request,
        conn: ClientConn,
        verdict: Verdict,
        watch: Watch,
    ) -> TryOutcome:
        response = await watch.head(conn, req)
        failed = verdict(response, trip)
        if watch.server is not None:
            self._note_load(watch.server, response)
        if failed is None:
            return await self._deliver(trip, response, conn, watch)
        async with watch.patience():
            await response.read_all(self._answer_bytes)
        return failed

    async def _connect(self, trip: Trip, address: str) -> ClientConn:
        """Returns a connection; a request without a body that may not be
        repeated gets a fresh one, since it cannot be held back.
        """
        fresh = trip.attempt is not None and not trip.call.body
        return await self._pool.acquire(address, fresh=fresh)

    def _note_load(self, server: Server, response: Response) -> None:
        load = response.header(LOAD_HEADER)
        if load.isdigit():
            server.load = int(load)
            server.load_at = self._clock.monotonic()

    async def _deliver(
        self,
        trip: Trip,
        response: Response,
        conn: ClientConn,
        watch: Watch,
    ) -> Delivered:
        """Passes an answer on; one that ends short cuts the caller's connection."""
        headers = [
            pair for pair in response.headers if pair[0] not in NOT_PASSED_ON
        ]
        recorded = _Recorder(trip, response.status, headers, self._answer_bytes)
        headers = [
            *headers,
            (OUTCOME_HEADER, DONE_VALUE),
            (LOAD_HEADER, b'%d' % self._queue.gate.load),
        ]
        body = response.complete_body()
        if body is not None:
            trip.reply.whole(response.status, headers, body)
            recorded.add(body)
            recorded.end()
            return Delivered()
        trip.reply.head(response.status, headers, response.length)
        try:
            while piece := await watch.read(response):
                recorded.add(piece)
                await trip.reply.piece(piece)
        except (TransportError, TimeoutError, asyncio.CancelledError) as exc:
            conn.close()
            trip.reply.abort()
            if isinstance(exc, asyncio.CancelledError):
                raise
            return Delivered(whole=False)
        trip.reply.end()
        recorded.end()
        return Delivered()


def _ended(outcome: Delivered) -> Code:
    return Code.DONE if outcome.whole else Code.INCOMPLETE_ANSWER


class _Recorder:
    """Keeps the answer of an attempt for a second tap, within a bound."""

    __slots__ = ('_headers', '_limit', '_pieces', '_size', '_status', '_trip')

    def __init__(
        self, trip: Trip, status: int, headers: Headers, limit: int
    ) -> None:
        self._trip = trip
        self._status = status
        self._headers = headers
        self._limit = limit if trip.attempt is not None else -1
        self._pieces: list[bytes] = []
        self._size = 0

    def add(self, piece: bytes) -> None:
        self._size += len(piece)
        if self._size <= self._limit:
            self._pieces.append(piece)

    def end(self) -> None:
        if self._size > self._limit:
            return
        self._trip.recorded = Answer(
            status=self._status,
            headers=[
                [name.decode('latin-1'), content.decode('latin-1')]
                for name, content in self._headers
            ],
            body=base64.b64encode(b''.join(self._pieces)).decode(),
        )


def _node_verdict(response: Response, trip: Trip) -> Failed | None:
    """Reads the numbered outcome that a node puts on every answer."""
    outcome = response.header(OUTCOME_HEADER).split(b' ')[0]
    if outcome == b'0':
        return None
    try:
        code = Code(int(outcome))
    except ValueError:
        return Failed(Code.INCOMPLETE_ANSWER, 'answer without an outcome')
    return Failed(
        code, 'refused by the node of the server', _retry_ms(response)
    )


def _backend_verdict(response: Response, trip: Trip) -> Failed | None:
    """Takes a backend server's answer as it is, unless it says it shed the call.

    A call that may not be repeated counts as shed only when the server says
    so by outcome header; a bare 503 may come from half-done work.
    """
    says_shed = response.header(OUTCOME_HEADER).startswith(b'103')
    unavailable = response.status == SERVICE_UNAVAILABLE
    hints_shed = unavailable and bool(response.header(b'retry-after'))
    if says_shed or (hints_shed and trip.route.repeatable):
        reason = 'shed by the backend server'
        return Failed(Code.SHED, reason, _retry_ms(response))
    return None


def _retry_ms(response: Response) -> int:
    header = response.header(b'retry-after')
    return int(header) * SECOND_MS if header.isdigit() else 0
