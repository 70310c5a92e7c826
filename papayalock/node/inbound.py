"""The inbound proxy: admits calls to the local backend server and runs them."""

import asyncio
import logging
from dataclasses import replace

from papayalock.core.admission import Job, ServerGate, job_from_order
from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.serverstarts import ServerStart, start_of
from papayalock.core.shutdowntimes import RETRY_AFTER_MS
from papayalock.dialect import BackendMetadata, CallDialect
from papayalock.httpclient import (
    ClientConn,
    Request,
    Response,
    TransportError,
)
from papayalock.messages import Announcement, HopOrder
from papayalock.node.backendnotices import NOTICE_HEADER, BackendNotices
from papayalock.node.crashreports import (
    EXCHANGE_HEADER,
    REPORT_HEADER,
    CrashReports,
)
from papayalock.node.crashwatch import CrashWatch
from papayalock.node.hopheaders import ORDERS, HeaderError, is_short
from papayalock.node.hopreplies import (
    ARRIVED_HEADER,
    CALLEE_FAILED_HEADER,
    TOOK_HEADER,
    HopReplies,
)
from papayalock.node.http import OUTCOME_HEADER, Call, Reply
from papayalock.node.lag import LoopLag
from papayalock.node.outcome import (
    SERVER_ERROR,
    NoResponse,
    Outcome,
    ServerResponse,
)
from papayalock.node.relayedcall import HOP_BY_HOP_HEADERS, LOAD_HEADER
from papayalock.node.runstats import RunStats
from papayalock.node.slotqueue import AdmissionRefused, SlotQueue
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code

log = logging.getLogger(__name__)

MS_PER_S = 1000
ORDER_HEADER = b'papayalock-order'
MAX_RESPONSE_BYTES = 16_777_216  # larger responses are not forwarded
# Time after its deadline in which a server may still complete its response.
LAST_RESPONSE_S = 0.25
# Event loop lag from which on a caller may have cancelled its call unnoticed.
LOOP_STALL_MS = 100
# Passes of the event loop after which a closed connection has been noticed.
DISCONNECT_LOOP_PASSES = 2
INTERNAL_HEADERS = frozenset(
    (
        REPORT_HEADER,
        EXCHANGE_HEADER,
        ORDER_HEADER,
        LOAD_HEADER,
        OUTCOME_HEADER,
        ARRIVED_HEADER,
        TOOK_HEADER,
        CALLEE_FAILED_HEADER,
        NOTICE_HEADER,
    )
)
NOT_FORWARDED = HOP_BY_HOP_HEADERS | INTERNAL_HEADERS


class InboundProxy:
    """Runs calls on the local backend server within its slots."""

    def __init__(
        self,
        monitor: BackendMonitor,
        queue: SlotQueue[Job],
        gate: ServerGate,
        pool: Pool,
        dialect: CallDialect,
        clock: Clock,
        alive_ms: int,
        lag: LoopLag,
        crash_reports: CrashReports,
        run_stats: RunStats,
    ) -> None:
        """Starts without calls.

        :param alive_ms: interval of keepalives to the calling node
        """
        self._monitor = monitor
        self._queue = queue
        self._gate = gate
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._lag = lag
        self.callee_failures = 0
        self.is_key_removed = _never_removed
        self._running: set[asyncio.Task[Outcome]] = set()
        self._conns: dict[ClientConn, ServerStart] = {}  # that carry a call
        self._start: ServerStart | None = None
        self.run_stats = run_stats
        self._crash_reports = crash_reports
        self._crash_watch = CrashWatch(crash_reports, monitor, pool, clock)
        self.notices = BackendNotices(monitor, dialect, clock)
        self.notices.on_limit_changed.append(self.update_slots)
        self._replies = HopReplies(
            gate, self.notices, crash_reports, clock, alive_ms
        )

    def update_slots(self) -> None:
        """Applies the slots and the rate limit that the server stated last.

        Without a serving server all queued calls are rejected.
        """
        now = self._clock.monotonic()
        serving = self._monitor.serving(now)
        if serving is not None:
            self._adopt_start(serving)
        self._gate.rate_limit.change(self._monitor.limit, now)
        self._gate.slots = serving.slots if serving else 0
        if serving is None:
            self._queue.reject_waiting(Code.NO_SERVER)
        else:
            self._queue.start_admitted()

    def _adopt_start(self, serving: Announcement) -> None:
        """Ends what belongs to the former start, if there is a new one."""
        start = start_of(serving)
        former = self._start
        self._start = start
        if former is not None and former.is_same(start):
            return
        self._crash_watch.adopt_start(start)
        if former is None:
            return
        self._gate.failing = 0.0
        self._pool.close_idle(serving.address)
        for conn, start_of_call in list(self._conns.items()):
            if not start_of_call.is_same(start):
                conn.close()  # fails the call

    async def handle(self, call: Call, reply: Reply) -> None:
        """Runs a call that another node forwarded and sends its outcome."""
        content = call.header(ORDER_HEADER)
        try:
            order = ORDERS.decode(content)
        except HeaderError as exc:
            reply.refuse(Code.BAD_REQUEST, f'no order: {exc}')
            return
        self.notices.adopt(call)
        began = self._clock.monotonic()
        with self._replies.keepalives(reply):
            await self._process_disconnects()
            outcome = await self.run(order, call)
            await self._replies.send(
                order, outcome, began, reply, short=is_short(content)
            )

    async def _process_disconnects(self) -> None:
        """Lets the loop read pending disconnects after it stalled.

        A call whose caller cancelled it during the stall is then not run.
        """
        if self._lag.max_lag_ms(self._clock.monotonic()) >= LOOP_STALL_MS:
            for _ in range(DISCONNECT_LOOP_PASSES):
                await asyncio.sleep(0)

    async def run(self, order: HopOrder, call: Call) -> Outcome:
        """Runs a call on the local backend server, once it has a slot."""
        now = self._clock.monotonic()
        serving = self._find_server(order, now)
        if isinstance(serving, NoResponse):
            return serving
        job = job_from_order(order, now)
        job.crash_status = max(
            job.crash_status, self._crash_reports.status(order.request)
        )
        if self._gate.shutdown_times.refuses_hop(job.deadline_at, now):
            return NoResponse(Code.DRAINING, 'the node stops', RETRY_AFTER_MS)
        try:
            await self._queue.acquire(job)
            return await self._run_admitted(order, call, job)
        except AdmissionRefused as exc:
            if order.may_wait:
                self._log_refusal(order, exc)
            return self._refusal(exc, job)
        except asyncio.CancelledError:
            self._log_abandoned(order, job)
            raise

    @property
    def busy(self) -> bool:
        """Whether the server is running a call that is not idempotent.

        It may be running without its caller, see :meth:`_run_admitted`.
        """
        return bool(self._running)

    async def _run_admitted(
        self, order: HopOrder, call: Call, job: Job
    ) -> Outcome:
        """Runs a call that holds a slot, and frees the slot.

        A call that is not idempotent continues after its caller disconnects,
        so that its server is not interrupted in the middle of it.
        """
        if order.repeatable:
            try:
                return await self._send(order, call, job)
            finally:
                self._queue.release(job)
        task = asyncio.ensure_future(self._send(order, call, job))
        task.add_done_callback(lambda _: self._queue.release(job))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    def _find_server(
        self, order: HopOrder, now: float
    ) -> Announcement | NoResponse:
        """Returns the local server, or why the order cannot run on it."""
        if self._crash_reports.is_quarantined(order.request):
            return self._crash_reports.refusal(order.request)
        if self.is_key_removed(order.key):
            return NoResponse(Code.UNKNOWN_API_KEY, 'the API key was removed')
        serving = self._monitor.serving(now)
        if serving is None:
            draining = self._monitor.is_closed(now)
            code = Code.DRAINING if draining else Code.NO_SERVER
            return NoResponse(code, 'no backend server takes calls here')
        if serving.server != order.server:
            return NoResponse(
                Code.OTHER_SERVER,
                f'{serving.server} is here, not {order.server}',
            )
        if not self.run_stats.admits(serving):
            return NoResponse(
                Code.NO_SERVER, f'version {serving.version} is not accepted'
            )
        return serving

    async def _send(self, order: HopOrder, call: Call, job: Job) -> Outcome:
        now = self._clock.monotonic()
        serving = self._find_server(order, now)
        if isinstance(serving, NoResponse):
            return serving
        remaining_ms = int((job.deadline_at - now) * MS_PER_S)
        if remaining_ms <= 0:
            return NoResponse(
                Code.DEADLINE_BEFORE_RUN, 'the deadline has passed'
            )
        metadata = BackendMetadata(
            order.call,
            serving.server,
            order.caller,
            remaining_ms,
            order.customer,
        )
        req = self._request(call, metadata)
        failures = self.callee_failures
        self.run_stats.running += 1
        try:
            outcome = await self._run_watched(req, serving, order, remaining_ms)
        except TransportError as exc:
            if exc.sent:
                await self._crash_watch.check(serving)
            self._gate.record_outcome(failed=True)
            outcome = NoResponse(exc.code, str(exc), arrived=exc.sent)
            self._record_run(serving, order, outcome, now)
            return outcome
        finally:
            self.run_stats.running -= 1
        if isinstance(outcome, ServerResponse) and outcome.failed:
            callee_failed = self.callee_failures != failures
            outcome = replace(outcome, callee_failed=callee_failed)
        self._record_health(outcome, job)
        self._record_run(serving, order, outcome, now)
        return outcome

    def _record_run(
        self,
        serving: Announcement,
        order: HopOrder,
        outcome: Outcome,
        sent_at: float,
    ) -> None:
        service_s = self._clock.monotonic() - sent_at
        self.run_stats.record(serving, order.route, outcome, service_s)

    async def _run_watched(
        self,
        req: Request,
        serving: Announcement,
        order: HopOrder,
        remaining_ms: int,
    ) -> Outcome:
        """Makes a call to the server, and counts it as unanswered meanwhile.

        :raises TransportError: if the server did not answer
        """
        watch = self._crash_watch
        sent = watch.record_sent(order.request)
        outcome: Outcome | None = None
        try:
            outcome = await self._exchange(req, serving, order, remaining_ms)
        finally:
            if outcome is None:
                watch.record_given_up(sent)
        watch.record_answered(sent, ran=isinstance(outcome, ServerResponse))
        return outcome

    def _request(self, call: Call, metadata: BackendMetadata) -> Request:
        forwarded = [
            pair for pair in call.headers if pair[0] not in NOT_FORWARDED
        ]
        headers = self._dialect.backend_headers(forwarded, metadata)
        return Request(call.method, call.target, headers, call.body)

    async def _exchange(
        self,
        req: Request,
        serving: Announcement,
        order: HopOrder,
        remaining_ms: int,
    ) -> Outcome:
        conn = await self._acquire(serving, order)
        self._conns[conn] = start_of(serving)
        sent_at = self._clock.monotonic()
        reusable = False
        try:
            async with asyncio.timeout(
                remaining_ms / MS_PER_S + LAST_RESPONSE_S
            ):
                response = await conn.call(
                    req,
                    remaining_ms,
                    matches_call=lambda headers: self._dialect.matches_call(
                        headers, order.call
                    ),
                )
                self.notices.record_response(serving, response, sent_at)
                body = await response.read_all(MAX_RESPONSE_BYTES)
            reusable = self._dialect.names_call(response.headers)
        except TimeoutError as exc:
            raise TransportError(
                Code.UNKNOWN_TIMEOUT, 'no complete response in time', sent=True
            ) from exc
        finally:
            self._conns.pop(conn)
            if reusable:
                self._pool.release(serving.address, conn)
            else:
                conn.close()
        return self._outcome(response, body, order, conn)

    async def _acquire(
        self, serving: Announcement, order: HopOrder
    ) -> ClientConn:
        """Returns a connection on which the call was not refused before.

        A server may send a copy of that refusal late, and it would answer the
        call that is sent again.
        """
        conn = await self._pool.acquire(serving.address)
        if order.call not in conn.refused:
            return conn
        conn.close()
        return await self._pool.acquire(serving.address, fresh=True)

    def _outcome(
        self, response: Response, body: bytes, order: HopOrder, conn: ClientConn
    ) -> Outcome:
        fault = self._dialect.classify_response(
            response.status, response.headers
        )
        if fault != Code.DONE:
            conn.refused.append(order.call)
            if fault == Code.OTHER_SERVER:
                self._monitor.expire_lease()
            return NoResponse(
                fault, f'the server answered {response.status}', arrived=True
            )
        headers = [
            pair for pair in response.headers if pair[0] not in NOT_FORWARDED
        ]
        return ServerResponse(response.status, headers, body)

    def _refusal(self, refused: AdmissionRefused, job: Job) -> NoResponse:
        timed_out = refused.code == Code.DEADLINE_BEFORE_RUN
        if timed_out and self._gate.shutdown_times.may_cut_off(job.deadline_at):
            return NoResponse(Code.DRAINING, 'the node stops', RETRY_AFTER_MS)
        return NoResponse(
            refused.code, 'no slot in time', refused.retry_after_ms
        )

    def _log_refusal(self, order: HopOrder, refused: AdmissionRefused) -> None:
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
        """Logs how long a cancelled call was queued and ran."""
        now = self._clock.monotonic()
        started_at = job.started or now
        log.info(
            'call abandoned',
            extra={
                'call': order.call,
                'server': order.server,
                'route': order.route,
                'rank': order.rank,
                'waited_ms': round((started_at - job.arrived) * MS_PER_S, 1),
                'ran_ms': round((now - started_at) * MS_PER_S, 1),
                'left_ms': round((job.deadline_at - now) * MS_PER_S),
                'loop_lag_ms': self._lag.max_lag_ms(now),
            },
        )

    def _record_health(self, outcome: Outcome, job: Job) -> None:
        if isinstance(outcome, ServerResponse):
            job.served = outcome.status < SERVER_ERROR
            own_fault = outcome.failed and not outcome.callee_failed
            self._gate.record_outcome(failed=own_fault)
        else:
            self._gate.record_outcome(failed=True)


def _never_removed(digest: str) -> bool:
    """Is the check of API keys of a gate without customers."""
    return False
