"""The gate in front of the backend server beside this node."""

import asyncio
import logging
from dataclasses import replace

import msgspec

from papayalock.core.admission import Job, ServerGate, job_of
from papayalock.core.closing import RETRY_MS
from papayalock.core.heartbeats import BackendWatch
from papayalock.dialect import BackendMetadata, CallDialect
from papayalock.messages import Announcement, HopOrder
from papayalock.node.alive import SignsOfLife
from papayalock.node.gate import JobQueue, Refused, Slot
from papayalock.node.http import OUTCOME_HEADER, Call, Reply
from papayalock.node.lag import LoopLag
from papayalock.node.outcome import SERVER_ERROR, Answered, NoAnswer, Outcome
from papayalock.node.trip import HOP_BY_HOP, LOAD_HEADER
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.httpclient import Request, Response, TransportError

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
ORDER_HEADER = b'papayalock-order'
ARRIVED_HEADER = b'papayalock-arrived'
CALLEE_HEADER = b'papayalock-callee-failed'
ANSWER_BYTES = 16_777_216  # largest answer that is passed on
UNAVAILABLE = 503
STALL_MS = 100  # lateness of the loop, in which callers may have gone
READ_PASSES = 2  # of the loop, until a closed connection is known as such
INTERNAL = frozenset(
    (
        ORDER_HEADER,
        LOAD_HEADER,
        OUTCOME_HEADER,
        ARRIVED_HEADER,
        CALLEE_HEADER,
    )
)
NOT_PASSED_ON = HOP_BY_HOP | INTERNAL
_ORDER = msgspec.json.Decoder(HopOrder)


class Inbound:
    """Runs calls on the backend server within its slots."""

    def __init__(
        self,
        watch: BackendWatch,
        queue: JobQueue[Job],
        gate: ServerGate,
        pool: Pool,
        dialect: CallDialect,
        clock: Clock,
        alive_ms: int,
        lag: LoopLag,
    ) -> None:
        """Binds the parts.

        :param alive_ms: interval of the signs of life to the calling node
        """
        self._watch = watch
        self._queue = queue
        self._gate = gate
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._alive_ms = alive_ms
        self._lag = lag
        self.callee_failures = 0

    def refit(self) -> None:
        """Takes the slots of the server as it announced itself last."""
        serving = self._watch.serving(self._clock.monotonic())
        self._gate.slots = serving.slots if serving else 0
        if serving is None:
            self._queue.expel(Code.NO_SERVER)
        else:
            self._queue.start_ready()

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answers a call that another node sent here."""
        try:
            order = _ORDER.decode(call.header(ORDER_HEADER))
        except msgspec.MsgspecError as exc:
            reply.refuse(Code.BAD_REQUEST, f'no order: {exc}')
            return
        with SignsOfLife(reply, self._alive_ms):
            await self._hear_of_cancellation()
            outcome = await self.run(order, call)
        load = (LOAD_HEADER, msgspec.json.encode(self._gate.load()))
        if isinstance(outcome, Answered):
            headers = [*outcome.headers, load, (OUTCOME_HEADER, b'0 DONE')]
            headers.append((CALLEE_HEADER, b'%d' % outcome.callee_failed))
            reply.whole(outcome.status, headers, outcome.body)
            return
        code = outcome.code
        headers = [
            load,
            (OUTCOME_HEADER, b'%d %s' % (code.value, code.name.encode())),
            (ARRIVED_HEADER, b'%d' % outcome.arrived),
            (b'retry-after', b'%d' % outcome.retry_after_ms),
        ]
        reply.whole(UNAVAILABLE, headers, outcome.reason.encode())

    async def _hear_of_cancellation(self) -> None:
        """Lets a loop that stood still read that a call was taken back."""
        if self._lag.max_lag_ms(self._clock.monotonic()) >= STALL_MS:
            for _ in range(READ_PASSES):
                await asyncio.sleep(0)

    async def run(self, order: HopOrder, call: Call) -> Outcome:
        """Runs a call on the server beside this node."""
        now = self._clock.monotonic()
        serving = self._serving(order, now)
        if isinstance(serving, NoAnswer):
            return serving
        job = job_of(order, now)
        if self._gate.closing.refuses(job.deadline_at, now):
            return NoAnswer(Code.DRAINING, 'the node stops', RETRY_MS)
        try:
            async with Slot(self._queue, job):
                return await self._send(order, call, job)
        except Refused as exc:
            if order.may_wait:
                self._log_refusal(order, exc)
            return self._refused(exc, job)
        except asyncio.CancelledError:
            self._log_abandoned(order, job)
            raise

    def _serving(self, order: HopOrder, now: float) -> Announcement | NoAnswer:
        """Returns the server that an order names, if it takes calls now."""
        serving = self._watch.serving(now)
        if serving is None:
            leaving = self._watch.closed(now)
            code = Code.DRAINING if leaving else Code.NO_SERVER
            return NoAnswer(code, 'no backend server takes calls here')
        if serving.server != order.server:
            return NoAnswer(
                Code.OTHER_SERVER,
                f'{serving.server} is here, not {order.server}',
            )
        return serving

    async def _send(self, order: HopOrder, call: Call, job: Job) -> Outcome:
        now = self._clock.monotonic()
        serving = self._serving(order, now)
        if isinstance(serving, NoAnswer):
            return serving
        left_ms = int((job.deadline_at - now) * MS)
        if left_ms <= 0:
            return NoAnswer(Code.DEADLINE_BEFORE_RUN, 'the deadline has passed')
        terms = BackendMetadata(
            order.call, serving.server, order.caller, left_ms
        )
        req = self._request(call, terms)
        failures = self.callee_failures
        try:
            outcome = await self._exchange(req, serving.address, order, left_ms)
        except TransportError as exc:
            self._gate.judged(failed=True)
            return NoAnswer(exc.code, str(exc), arrived=exc.sent)
        if isinstance(outcome, Answered) and outcome.failed:
            callee_failed = self.callee_failures != failures
            outcome = replace(outcome, callee_failed=callee_failed)
        self._judge(outcome, job)
        return outcome

    def _request(self, call: Call, terms: BackendMetadata) -> Request:
        kept = [pair for pair in call.headers if pair[0] not in NOT_PASSED_ON]
        headers = self._dialect.backend_headers(kept, terms)
        return Request(call.method, call.target, headers, call.body)

    async def _exchange(
        self, req: Request, address: str, order: HopOrder, left_ms: int
    ) -> Outcome:
        conn = await self._pool.acquire(address)
        whole = False
        try:
            response = await conn.call(
                req,
                left_ms,
                matches_call=lambda headers: self._dialect.matches_call(
                    headers, order.call
                ),
            )
            body = await response.read_all(ANSWER_BYTES)
            whole = True
        finally:
            if whole:
                self._pool.release(address, conn)
            else:
                conn.close()
        return self._outcome(response, body)

    def _outcome(self, response: Response, body: bytes) -> Outcome:
        fault = self._dialect.classify_response(
            response.status, response.headers
        )
        if fault != Code.DONE:
            if fault == Code.OTHER_SERVER:
                self._watch.mistaken()
            return NoAnswer(
                fault, f'the server answered {response.status}', arrived=True
            )
        headers = [
            pair for pair in response.headers if pair[0] not in NOT_PASSED_ON
        ]
        return Answered(response.status, headers, body)

    def _refused(self, refused: Refused, job: Job) -> NoAnswer:
        late = refused.code == Code.DEADLINE_BEFORE_RUN
        if late and self._gate.closing.cuts(job.deadline_at):
            return NoAnswer(Code.DRAINING, 'the node stops', RETRY_MS)
        return NoAnswer(refused.code, 'no slot in time', refused.retry_after_ms)

    def _log_refusal(self, order: HopOrder, refused: Refused) -> None:
        load = self._gate.load()
        log.info(
            'call not admitted',
            extra={
                'call': order.call,
                'server': order.server,
                'route': order.route,
                'rank': order.rank,
                'code': refused.code.name,
                'running': len(self._gate.running),
                'jobs': load.jobs,
                'slots': load.slots,
                'pace_ms': load.pace_ms,
                'target_left_ms': order.target_ms,
                'left_ms': order.remaining_ms,
                'retry_after_ms': refused.retry_after_ms,
            },
        )

    def _log_abandoned(self, order: HopOrder, job: Job) -> None:
        """Tells how far a call had come that nobody waits for any more."""
        now = self._clock.monotonic()
        began = job.started or now
        log.info(
            'call abandoned',
            extra={
                'call': order.call,
                'server': order.server,
                'route': order.route,
                'rank': order.rank,
                'waited_ms': round((began - job.arrived) * MS, 1),
                'ran_ms': round((now - began) * MS, 1),
                'left_ms': round((job.deadline_at - now) * MS),
                'loop_lag_ms': self._lag.max_lag_ms(now),
            },
        )

    def _judge(self, outcome: Outcome, job: Job) -> None:
        if isinstance(outcome, Answered):
            job.served = outcome.status < SERVER_ERROR
            own_fault = outcome.failed and not outcome.callee_failed
            self._gate.judged(failed=own_fault)
        else:
            self._gate.judged(failed=True)
