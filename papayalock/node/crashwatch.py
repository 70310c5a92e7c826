"""Finds out when the local backend server ends, and under which requests.

A broken connection alone does not show it: servers also reset connections
while they run, and a full one may refuse new ones. The process has ended when
a new connection is refused and all calls that it ran break off. A server that
ends silently is noticed when its next start announces itself.
"""

import asyncio
from dataclasses import dataclass

from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.serverstarts import ServerStart, start_of
from papayalock.core.unanswered import READ_DELAY_S, UnansweredRequests
from papayalock.httpclient import TransportError
from papayalock.messages import Announcement
from papayalock.node.crashreports import CrashReports
from papayalock.pool import Pool
from papayalock.ports import Clock

# The reply to a call waits this long, so that it can tell the calling node.
MAX_CHECK_S = 0.05
BREAK_OFF_S = 0.02  # until all connections of a process that ended are lost


@dataclass(slots=True, frozen=True)
class SentRequest:
    """A request at the server, and the start of the server that got it."""

    request: str  # digest
    number: int
    start: UnansweredRequests


class CrashWatch:
    """Follows the requests at the local server, and reports those it ended under."""

    def __init__(
        self,
        reports: CrashReports,
        monitor: BackendMonitor,
        pool: Pool,
        clock: Clock,
    ) -> None:
        """Starts without a server."""
        self._reports = reports
        self._monitor = monitor
        self._pool = pool
        self._clock = clock
        self._unanswered = UnansweredRequests()
        self._start: ServerStart | None = None
        self._ended_at: float | None = None  # when its end was noticed
        self._probe: asyncio.Task[None] | None = None

    def adopt_start(self, start: ServerStart) -> None:
        """Follows a new start of the server; the former one has ended."""
        former = self._start
        self._start = start
        is_noticed = self._ended_at is not None
        if former is not None and not is_noticed:
            self._record_end(former, left=self._monitor.former_left)
        self._unanswered = UnansweredRequests()
        self._ended_at = None

    def record_sent(self, request: str) -> SentRequest:
        """Counts a request that is being sent to the server.

        :param request: its digest
        """
        number = self._unanswered.start(request)
        return SentRequest(request, number, self._unanswered)

    def record_answered(self, sent: SentRequest, *, ran: bool) -> None:
        """Counts a response of the server.

        :param ran: whether the server ran the request
        """
        now = self._clock.monotonic()
        sent.start.finish(sent.number, now, answered=True)
        if self._ended_at is not None and now - self._ended_at > READ_DELAY_S:
            self._ended_at = None
        if ran:
            self._reports.record_answer(sent.request)

    def record_given_up(self, sent: SentRequest) -> None:
        """Counts a request that ended without a response."""
        now = self._clock.monotonic()
        sent.start.finish(sent.number, now, answered=False)

    async def check(self, serving: Announcement) -> None:
        """Finds out whether the server has ended, after a connection broke.

        Waits for ``MAX_CHECK_S`` at the most.
        """
        if self._ended_at is not None:
            return
        if self._probe is None:
            self._probe = asyncio.ensure_future(self._run_probe(serving))
        await asyncio.wait({self._probe}, timeout=MAX_CHECK_S)

    async def _run_probe(self, serving: Announcement) -> None:
        start = start_of(serving)
        unanswered = self._unanswered
        running = unanswered.running
        try:
            if not await self._is_refused(serving.address):
                return
            await asyncio.sleep(BREAK_OFF_S)
        finally:
            self._probe = None
        all_broke_off = not running & unanswered.running
        if all_broke_off and self._is_current(start):
            self._record_end(start, left=self._monitor.is_draining())

    async def _is_refused(self, address: str) -> bool:
        try:
            conn = await self._pool.acquire(address, fresh=True)
        except TransportError as exc:
            return isinstance(exc.__cause__, ConnectionRefusedError)
        conn.close()
        return False

    def _is_current(self, start: ServerStart) -> bool:
        return self._start is not None and self._start.is_same(start)

    def _record_end(self, start: ServerStart, *, left: bool) -> None:
        """Reports the end of a server, unless it had said that it leaves."""
        self._ended_at = self._clock.monotonic()
        requests = [name for name in self._unanswered.take_all() if name]
        if requests and not left:
            self._reports.record_end(start, requests)
