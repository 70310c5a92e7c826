"""Shows operators the requests that crash servers, and lifts quarantines."""

import msgspec

from papayalock.core.crashes import MAX_REQUESTS
from papayalock.messages import CrashReport
from papayalock.node.crashreports import CrashReports
from papayalock.node.http import Call, Reply
from papayalock.node.listener import Handler
from papayalock.ports import Clock
from papayalock.result import Code

PATH = b'/crashes'
OK = 200
JSON = [(b'content-type', b'application/json')]


class CrashView(msgspec.Struct):
    """One request under which servers ended, as a node knows it."""

    request: str
    status: str
    report: CrashReport


class CrashAdmin:
    """Answers ``GET /crashes`` and ``DELETE /crashes/REQUEST``.

    Other calls go to the handler of the address that they share.
    """

    def __init__(
        self, reports: CrashReports, clock: Clock, fallback: Handler
    ) -> None:
        """Binds the parts."""
        self._reports = reports
        self._clock = clock
        self._fallback = fallback

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answers one call."""
        path, _, request = call.target.partition(b'/crashes/')
        if call.method == b'DELETE' and request and not path:
            self._lift(request.decode('latin-1'), reply)
        elif call.target == PATH:
            reply.send(OK, JSON, msgspec.json.encode(self._views()))
        else:
            await self._fallback(call, reply)

    def _lift(self, request: str, reply: Reply) -> None:
        if self._reports.lift(request):
            reply.send(OK, JSON, b'{}')
        else:
            reply.refuse(Code.NO_ROUTE, f'nothing is held against {request}')

    def _views(self) -> list[CrashView]:
        now = self._clock.monotonic()
        reports = self._reports.ledger.newest_reports(MAX_REQUESTS, now)
        return [
            CrashView(
                report.request,
                self._reports.status(report.request).name.lower(),
                report,
            )
            for report in reports
        ]
