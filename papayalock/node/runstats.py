"""Counts what the backend server beside this node does during a roll-out."""

from papayalock.core.evidence import RunCounter
from papayalock.core.exposure import Exposure
from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.serverstarts import ServerStart, start_of
from papayalock.messages import Announcement, ServerEvidence
from papayalock.node.outcome import (
    GATEWAY_TIMEOUT,
    Outcome,
    ServerResponse,
)


class RunStats:
    """The evidence that this node reports on the version of its server.

    It is counted per start of the server and from the order on, so that both
    versions are compared under the same conditions.
    """

    def __init__(
        self,
        exposure: Exposure,
        monitor: BackendMonitor,
        zone: str,
        incarnation: int,
    ) -> None:
        """Starts without evidence.

        :param zone: availability zone of this node
        :param incarnation: of this node
        """
        self._incarnation = incarnation
        self.running = 0
        self._exposure = exposure
        self._monitor = monitor
        self._zone = zone
        self._order = 0
        self._start: ServerStart | None = None
        self._counter = RunCounter()

    def record(
        self,
        serving: Announcement,
        route: str,
        outcome: Outcome,
        service_s: float,
    ) -> None:
        """Counts a call that ended at the server.

        A call that the server refused, or that failed because of a call that
        it made itself, says nothing about its version.
        """
        order = self._exposure.running_order(serving.service)
        if not order:
            return
        self._adopt(order, start_of(serving))
        if isinstance(outcome, ServerResponse):
            if outcome.callee_failed:
                return
            failed = outcome.failed or outcome.status == GATEWAY_TIMEOUT
        elif outcome.code.may_have_run:
            failed = True
        else:
            return
        self._counter.record(route, service_s, failed=failed)

    def admits(self, serving: Announcement) -> bool:
        """Whether the version of the server may get calls."""
        return self._exposure.admits(serving.service, serving.version)

    def report(self) -> ServerEvidence | None:
        """Returns the evidence on the server, or None if none is wanted."""
        current = self._monitor.announcement
        if current is None:
            return None
        order = self._exposure.running_order(current.service)
        if not order:
            return None
        self._adopt(order, start_of(current))
        return ServerEvidence(
            server=current.server,
            service=current.service,
            version=current.version,
            zone=self._zone,
            order=order,
            incarnation=self._incarnation,
            born_ms=current.born_ms,
            running=self.running,
            routes=self._counter.routes,
        )

    def _adopt(self, order: int, start: ServerStart) -> None:
        """Starts at zero for another roll-out or start of the server."""
        same = self._start is not None and self._start.is_same(start)
        if order == self._order and same:
            return
        self._order = order
        self._start = start
        self._counter = RunCounter()
