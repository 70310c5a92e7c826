"""Sends relayed calls to backend servers or nodes; forwards the responses."""

import asyncio
import base64
from collections.abc import Callable

from papayalock.core.attempts import AttemptLog
from papayalock.core.deadlines import forwarded_ms
from papayalock.core.routing import Balancer, Server
from papayalock.httpclient import (
    ClientConn,
    Headers,
    Request,
    Response,
    TransportError,
)
from papayalock.messages import Answer
from papayalock.node.agent import Agent
from papayalock.node.http import OUTCOME_HEADER
from papayalock.node.relayedcall import (
    ATTEMPT_HEADER,
    DEPTH_HEADER,
    HOP_BY_HOP_HEADERS,
    HOP_HEADER,
    LOAD_HEADER,
    REMAINING_HEADER,
    Delivered,
    Failed,
    RelayedCall,
    TryOutcome,
)
from papayalock.node.slotqueue import AdmissionRefused, GateQueue
from papayalock.node.trytimer import TryTimer
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code

DONE_OUTCOME = b'0 DONE'
SERVICE_UNAVAILABLE = 503
MS_PER_S = 1000
NOT_FORWARDED = HOP_BY_HOP_HEADERS | {OUTCOME_HEADER, LOAD_HEADER}
FailureCheck = Callable[[Response, RelayedCall], Failed | None]


class Dispatcher:
    """Runs single tries; :class:`Relay` decides which ones."""

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
        """Starts without tries.

        :param progress_ms: time without a byte after which a backend server
            counts as unresponsive
        :param silence_ms: the same for another node
        :param answer_bytes: size of the largest response that is recorded
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

    # Tries at the local backend server.

    async def run_locally(self, relayed: RelayedCall) -> TryOutcome:
        """Runs a call on the local backend server, once it has a slot."""
        if relayed.attempt is not None:
            return await self._run_attempt(relayed)
        return await self._run_gated(relayed)

    async def _run_attempt(self, relayed: RelayedCall) -> TryOutcome:
        """Runs an attempt at most once and records its outcome."""
        attempt = relayed.attempt
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
            outcome = await self._run_gated(relayed)
        finally:
            final_code = (
                outcome.code
                if isinstance(outcome, Failed)
                else _delivery_code(outcome)
            )
            self._attempts.finish(
                attempt.name, final_code, relayed.recorded_response
            )
        return outcome

    async def _run_gated(self, relayed: RelayedCall) -> TryOutcome:
        serving = self._agent.backend.serving
        if serving is None or serving.service != relayed.service:
            return Failed(Code.NO_SERVER, 'no backend server beside this node')
        try:
            async with self._queue.slot(
                relayed.route.priority, relayed.deadline.at
            ):
                return await self._to_backend(relayed, serving.address)
        except AdmissionRefused as exc:
            return Failed(exc.code, 'no slot', exc.retry_after_ms)

    async def _to_backend(
        self, relayed: RelayedCall, address: str
    ) -> TryOutcome:
        headers = relayed.forward_headers()
        headers.append((DEPTH_HEADER, b'%d' % (relayed.depth + 1)))
        headers.append((REMAINING_HEADER, self._remaining_header(relayed)))
        req = Request(
            relayed.call.method, relayed.call.target, headers, relayed.call.body
        )
        timer = self._new_timer(relayed, address, None)
        return await self._exchange(relayed, req, timer, _backend_failure)

    # Tries at the backend server of another node.

    async def forward_to_node(
        self, relayed: RelayedCall, server: Server
    ) -> TryOutcome:
        """Forwards a call to the node of another backend server."""
        headers = relayed.forward_headers()
        headers.append((HOP_HEADER, b'1'))
        headers.append((DEPTH_HEADER, b'%d' % relayed.depth))
        headers.append((REMAINING_HEADER, self._remaining_header(relayed)))
        if relayed.attempt is not None:
            headers.append((ATTEMPT_HEADER, relayed.attempt.encode()))
        req = Request(
            relayed.call.method, relayed.call.target, headers, relayed.call.body
        )
        timer = self._new_timer(relayed, server.endpoint.address, server)
        self._balancer.call_started(server)
        outcome: TryOutcome | None = None
        try:
            outcome = await self._exchange(relayed, req, timer, _node_failure)
        finally:
            self._record_outcome(server, outcome, timer)
        return outcome

    def _record_outcome(
        self, server: Server, outcome: TryOutcome | None, timer: TryTimer
    ) -> None:
        now = self._clock.monotonic()
        healthy: bool | None = None
        if isinstance(outcome, Delivered):
            healthy = outcome.complete
        elif isinstance(outcome, Failed):
            healthy = self._is_healthy(server, outcome, now)
        if healthy is False and (timer.unresponsive or timer.made_progress):
            # The failure was recorded when the node became unresponsive, or
            # the node sent keepalives and is not at fault.
            healthy = None
        self._balancer.call_finished(server, now, healthy=healthy)

    def _is_healthy(
        self, server: Server, failed: Failed, now: float
    ) -> bool | None:
        if failed.code == Code.SHED:
            self._balancer.record_shed(server, now, failed.retry_after_ms)
            return True
        if failed.code in {
            Code.DRAINING,
            Code.DEADLINE_BEFORE_RUN,
            Code.STALE_ATTEMPT,
        }:
            return None
        return False

    # Shared.

    def _remaining_header(self, relayed: RelayedCall) -> bytes:
        return b'%d' % forwarded_ms(relayed.deadline, self._clock.monotonic())

    def _new_timer(
        self, relayed: RelayedCall, address: str, server: Server | None
    ) -> TryTimer:
        """Returns the timer of one try.

        A node sends keepalives while a call runs and a backend server does
        not, so the two have different limits on time without a byte.
        """
        return TryTimer(
            relayed,
            address,
            server,
            self._clock,
            silence_ms=self._progress_ms
            if server is None
            else self._silence_ms,
            on_unresponsive=self._on_unresponsive,
        )

    def _on_unresponsive(self, timer: TryTimer) -> None:
        """Backs off from an unresponsive peer; the try there may continue."""
        self._pool.close_idle(timer.address)
        if timer.server is not None:
            self._balancer.record_unresponsive(
                timer.server, self._clock.monotonic()
            )

    async def _exchange(
        self,
        relayed: RelayedCall,
        req: Request,
        timer: TryTimer,
        find_failure: FailureCheck,
    ) -> TryOutcome:
        try:
            conn = await self._connect(relayed, timer.address)
        except TransportError as exc:
            return Failed(exc.code, str(exc))
        try:
            return await self._call(relayed, req, conn, find_failure, timer)
        except TransportError as exc:
            if exc.code == Code.UNKNOWN_TIMEOUT:
                self._pool.close_idle(timer.address)
            return Failed(exc.code, str(exc))
        except TimeoutError:
            reason = 'silent' if relayed.retry else 'the deadline has passed'
            return Failed(Code.UNKNOWN_TIMEOUT, reason)
        finally:
            self._pool.release(timer.address, conn)

    async def _call(
        self,
        relayed: RelayedCall,
        req: Request,
        conn: ClientConn,
        find_failure: FailureCheck,
        timer: TryTimer,
    ) -> TryOutcome:
        response = await timer.request(conn, req)
        failed = find_failure(response, relayed)
        if timer.server is not None:
            self._record_load(timer.server, response)
        if failed is None:
            return await self._deliver(relayed, response, conn, timer)
        async with timer.body_timeout():
            await response.read_all(self._answer_bytes)
        return failed

    async def _connect(self, relayed: RelayedCall, address: str) -> ClientConn:
        """Returns a connection for one try.

        An attempt must not be sent on a stale connection. Its body is held
        back until the peer answers 100 Continue; without a body there is
        nothing to hold back, so it gets a fresh connection.
        """
        fresh = relayed.attempt is not None and not relayed.call.body
        return await self._pool.acquire(address, fresh=fresh)

    def _record_load(self, server: Server, response: Response) -> None:
        load = response.header(LOAD_HEADER)
        if load.isdigit():
            server.load = int(load)
            server.load_at = self._clock.monotonic()

    async def _deliver(
        self,
        relayed: RelayedCall,
        response: Response,
        conn: ClientConn,
        timer: TryTimer,
    ) -> Delivered:
        """Forwards a response to the caller.

        If the response is truncated, the caller's connection is cut, so that
        the caller sees that as well.
        """
        headers = [
            pair for pair in response.headers if pair[0] not in NOT_FORWARDED
        ]
        recorder = _ResponseRecorder(
            relayed, response.status, headers, self._answer_bytes
        )
        headers = [
            *headers,
            (OUTCOME_HEADER, DONE_OUTCOME),
            (LOAD_HEADER, b'%d' % self._queue.gate.load_percent),
        ]
        body = response.complete_body()
        if body is not None:
            relayed.reply.send(response.status, headers, body)
            recorder.add(body)
            recorder.finish()
            return Delivered()
        relayed.reply.start(response.status, headers, response.length)
        try:
            while piece := await timer.read_piece(response):
                recorder.add(piece)
                await relayed.reply.send_piece(piece)
        except (TransportError, TimeoutError, asyncio.CancelledError) as exc:
            conn.close()
            relayed.reply.abort()
            if isinstance(exc, asyncio.CancelledError):
                raise
            return Delivered(complete=False)
        relayed.reply.finish()
        recorder.finish()
        return Delivered()


def _delivery_code(outcome: Delivered) -> Code:
    return Code.DONE if outcome.complete else Code.INCOMPLETE_ANSWER


class _ResponseRecorder:
    """Records the response of an attempt, if it is not too large.

    It is replayed to repeated requests with the same idempotency key.
    """

    __slots__ = (
        '_headers',
        '_limit',
        '_pieces',
        '_relayed',
        '_size',
        '_status',
    )

    def __init__(
        self, relayed: RelayedCall, status: int, headers: Headers, limit: int
    ) -> None:
        self._relayed = relayed
        self._status = status
        self._headers = headers
        self._limit = limit if relayed.attempt is not None else -1
        self._pieces: list[bytes] = []
        self._size = 0

    def add(self, piece: bytes) -> None:
        self._size += len(piece)
        if self._size <= self._limit:
            self._pieces.append(piece)

    def finish(self) -> None:
        if self._size > self._limit:
            return
        self._relayed.recorded_response = Answer(
            status=self._status,
            headers=[
                [name.decode('latin-1'), content.decode('latin-1')]
                for name, content in self._headers
            ],
            body=base64.b64encode(b''.join(self._pieces)).decode(),
        )


def _node_failure(response: Response, relayed: RelayedCall) -> Failed | None:
    """Returns the failure in the outcome header of a node, None on success."""
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


def _backend_failure(response: Response, relayed: RelayedCall) -> Failed | None:
    """Returns a failure if a backend server shed the call, else None.

    A 503 with retry-after means that an idempotent call was shed. For other
    calls it may come after part of the work was done, so they count as shed
    only if the outcome header says so.
    """
    says_shed = response.header(OUTCOME_HEADER).startswith(b'103')
    unavailable = response.status == SERVICE_UNAVAILABLE
    hints_shed = unavailable and bool(response.header(b'retry-after'))
    if says_shed or (hints_shed and relayed.route.repeatable):
        reason = 'shed by the backend server'
        return Failed(Code.SHED, reason, _retry_ms(response))
    return None


def _retry_ms(response: Response) -> int:
    header = response.header(b'retry-after')
    return int(header) * MS_PER_S if header.isdigit() else 0
