"""What a node knows of requests that crash backend servers."""

import logging
from collections.abc import Callable, Iterable

import msgspec

from papayalock.core.crashes import CrashLedger, CrashStatus
from papayalock.core.serverstarts import ServerStart
from papayalock.httpclient import Headers
from papayalock.messages import CrashReport
from papayalock.node.outcome import NoResponse
from papayalock.ports import Clock
from papayalock.result import Code

log = logging.getLogger(__name__)

REPORT_HEADER = b'papayalock-crashes'  # in responses between nodes
EXCHANGE_HEADER = b'papayalock-crash-exchange'  # marks messages of gossip
MAX_LOGGED_REQUESTS = 8
MS_PER_S = 1000
Listener = Callable[[list[str]], None]
_REPORT = msgspec.json.Decoder(CrashReport)


class CrashReports:
    """The node's ledger of crashes; notifies listeners of new evidence.

    That a request was cleared is not urgent, so it comes without notice.
    """

    __slots__ = ('_clock', 'ledger', 'on_evidence')

    def __init__(self, clock: Clock) -> None:
        """Starts without reports; the owner adds the listeners."""
        self.ledger = CrashLedger()
        self.on_evidence: list[Listener] = []
        self._clock = clock

    def status(self, request: str) -> CrashStatus:
        """Returns the status of a request.

        :param request: its digest
        """
        return self.ledger.status(request, self._clock.monotonic())

    def is_quarantined(self, request: str) -> bool:
        """Returns whether a request must not run."""
        return self.status(request) is CrashStatus.QUARANTINED

    def counts(self) -> dict[str, int]:
        """Returns the numbers of suspects and quarantined requests."""
        now = self._clock.monotonic()
        isolated = self.ledger.count(CrashStatus.ISOLATED, now)
        return {
            'suspects': self.ledger.count(CrashStatus.SUSPECT, now) + isolated,
            'quarantined': self.ledger.count(CrashStatus.QUARANTINED, now),
        }

    def refusal(self, request: str) -> NoResponse:
        """Returns the outcome of a quarantined request, which is not run."""
        left_s = self.ledger.quarantine_left_s(request, self._clock.monotonic())
        return NoResponse(
            Code.QUARANTINED,
            f'backend servers ended under request {request}',
            int(left_s * MS_PER_S),
        )

    def record_end(self, start: ServerStart, requests: list[str]) -> None:
        """Records that the local server ended while it ran some requests."""
        suspected = self.ledger.record_end(
            f'{start.server}@{start.born_ms}',
            requests,
            self._clock.monotonic(),
        )
        log.warning(
            'backend server ended under requests',
            extra={
                'server': start.server,
                'requests': len(requests),
                'suspects': suspected[:MAX_LOGGED_REQUESTS],
            },
        )
        self._notify(suspected)

    def record_answer(self, request: str) -> None:
        """Clears a request that a server has run and answered."""
        self.ledger.clear(request)

    def lift(self, request: str) -> bool:
        """Clears a request by order of an operator.

        :returns: whether there was something to clear
        """
        lifted = self.ledger.clear(request)
        if lifted:
            log.warning('quarantine lifted', extra={'request': request})
            self._notify([request])
        return lifted

    def merge(self, reports: Iterable[CrashReport]) -> None:
        """Merges the reports of another node."""
        changed = self.ledger.merge(reports, self._clock.monotonic())
        if changed:
            self._notify(changed)

    def headers(self, request: str) -> Headers:
        """Returns the header that tells the calling node of a request."""
        report = self.ledger.report(request, self._clock.monotonic())
        if report is None:
            return []
        return [(REPORT_HEADER, msgspec.json.encode(report))]

    def merge_header(self, header: bytes) -> None:
        """Merges the header of a response, if there is one.

        :raises msgspec.MsgspecError: if it is malformed
        """
        if header:
            self.merge([_REPORT.decode(header)])

    def _notify(self, requests: list[str]) -> None:
        for request in requests:
            if self.is_quarantined(request):
                log.warning('request quarantined', extra={'request': request})
        for notify in self.on_evidence:
            notify(requests)
