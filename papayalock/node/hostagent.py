"""The agent of a node with host routing.

It polls any control VM, follows the heartbeats of the backend server and
derives the host table from the configuration.
"""

import asyncio
import logging
from collections.abc import Callable

from papayalock.core.controlselector import ControlSelector
from papayalock.core.exposure import Exposure
from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.hostroutes import HostRouteTable
from papayalock.core.placement import Placement
from papayalock.core.serverstarts import is_outdated, start_of
from papayalock.messages import (
    Delta,
    Endpoint,
    EndpointDelta,
    ServerEvidence,
    SyncReq,
    SyncRes,
)
from papayalock.node.agent import Agent, EndpointState
from papayalock.pool import Pool
from papayalock.ports import Clock, Random
from papayalock.result import Code

log = logging.getLogger(__name__)

EVIDENCE_POLL_MS = 300  # longest poll while the server's version is on trial
MIN_REFUSED_POLLS = 3  # refused polls before an unproven version is requested


class HostAgent(Agent):
    """Keeps routes and endpoints current and reports the backend server.

    Each change of the node's own state raises its revision, so that a caller
    can wait until a control VM has answered a poll that carried the change.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        own_address: str,
        control_selector: ControlSelector,
        backend_monitor: BackendMonitor,
        placement: Placement,
        pool: Pool,
        clock: Clock,
        rng: Random,
        *,
        poll_ms: int,
        margin_ms: int,
    ) -> None:
        """Starts without a configuration.

        :param own_address: address under which other nodes reach this one
        :param poll_ms: longest time that a control VM holds a poll open
        :param margin_ms: time beyond the poll wait for the response to arrive
        """
        super().__init__(
            name,
            zone,
            own_address,
            [],
            placement,
            pool,
            clock,
            rng,
            poll_ms=poll_ms,
            extra_services=0,
            announce_lease_ms=0,
            margin_ms=margin_ms,
        )
        self.host_table = HostRouteTable([])
        self.exposure = Exposure(rng)
        self.read_evidence: Callable[[], ServerEvidence | None] | None = None
        self.on_leased_contact: list[Callable[[float], None]] = []
        self.stopping = False
        self._departed = False
        self.backend_monitor = backend_monitor
        self.placement = placement
        self.control_selector = control_selector
        self._polled_address = ''
        self._unproven_refusals = 0  # since the last poll that was answered
        self._backend_was_lost = True
        self._state_revision = 0
        self._reported_revision = 0
        self._sent_revision = 0
        self._report_delivered = asyncio.Event()

    def wake(self) -> None:
        """Has a poll sent at once, which reports the node's new state."""
        self._state_revision += 1
        super().wake()

    def is_key_removed(self, digest: str) -> bool:
        """Whether an API key was known here and has been taken away."""
        return self.host_table.customers.is_removed(digest)

    def backend_changed(self) -> None:
        """Notifies the node's parts and a control VM of a server change."""
        current = self.backend_monitor.announcement
        listed = self.placement.servers.get(current.server) if current else None
        if listed is not None:
            self._check_own_endpoint(listed.endpoint)
        self._notify_listeners()
        self.wake()

    async def wait_until_reported(self, timeout: float) -> bool:
        """Waits until a control VM has answered a poll with the current state.

        :param timeout: in seconds
        :returns: False when the timeout passed first
        """
        target = self._state_revision
        try:
            async with asyncio.timeout(timeout):
                while self._reported_revision < target:
                    await self._report_delivered.wait()
        except TimeoutError:
            return False
        return True

    async def report_departure(self) -> None:
        """Reports the backend server as departed, with one poll.

        One that leaves is reported as leaving: the next process on this VM may
        receive an old heartbeat of it and has to know.
        """
        self._departed = True
        self.backend_monitor.lease_until = float('-inf')
        await self._poll(wait_ms=0)

    # Overridden steps of the polling task.

    def _next_address(self) -> str:
        self._polled_address = self.control_selector.choose(
            self._clock.monotonic()
        )
        return self._polled_address

    async def _handle_poll_failure(self) -> None:
        self.errors += 1
        self.control_selector.record_failure(
            self._polled_address, self._clock.monotonic()
        )
        await asyncio.sleep(self._backoff_s * self._rng.random())

    async def _handle_response(self, sync_req: SyncReq, res: SyncRes) -> None:
        now = self._clock.monotonic()
        self.control_selector.record_response(
            self._polled_address, res.zone, res.peers
        )
        if res.leased:
            self.exposure.renew_grant(now)
            for listener in self.on_leased_contact:
                listener(now)
        else:
            self.control_selector.record_failure(self._polled_address, now)
        self._reported_revision = max(
            self._reported_revision, self._sent_revision
        )
        self._report_delivered.set()
        self._report_delivered = asyncio.Event()
        if res.delta is not None:
            self._apply_delta(sync_req, res.delta)
        if res.endpoints is not None:
            self._apply_endpoints(res.endpoints)
        self.placement.drop_unlisted(now)
        if res.code == Code.DONE:
            self._unproven_refusals = 0
            return
        self._unproven_refusals += res.code == Code.NOT_PROVABLY_NEWEST
        self.control_selector.record_failure(self._polled_address, now)
        await asyncio.sleep(res.retry_after_ms / 1000)

    def _index_routes(self, delta: Delta) -> None:
        if delta.base:
            self.host_table.update(delta.parts, delta.removed)
        else:
            former = self.host_table
            self.host_table = HostRouteTable(delta.parts)
            self.host_table.customers.adopt_removed(former.customers)
        self.exposure.services = self.host_table.versions

    def _apply_endpoints(self, delta: EndpointDelta) -> None:
        super()._apply_endpoints(delta)
        for endpoint in delta.endpoints:
            self._check_own_endpoint(endpoint)

    def _check_own_endpoint(self, endpoint: Endpoint) -> None:
        """Applies a drain that this node's previous process reported.

        The endpoint table may hold a newer heartbeat of the server than this
        process has received since its start.
        """
        current = self.backend_monitor.announcement
        if current is None or current.server != endpoint.server:
            return
        self.backend_monitor.adopt_version(endpoint)
        newer = is_outdated(
            start_of(current),
            self.backend_monitor.changed_sequence,
            start_of(endpoint),
            endpoint.heartbeat,
        )
        if newer and endpoint.state == 'draining':
            log.warning(
                'backend server had left', extra={'server': current.server}
            )
            self.backend_monitor.close(self._clock.monotonic())
            self._notify_listeners()

    def _request(self, wait_ms: int) -> SyncReq:
        req = super()._request(wait_ms)
        # Without a quorum in reach, every control VM refuses a node that has
        # no configuration. An unproven version is then better than none.
        min_refused = max(MIN_REFUSED_POLLS, self.control_selector.count)
        no_quorum = self._unproven_refusals >= min_refused
        if self.read_evidence is not None:
            req.evidence = self.read_evidence()
        if req.evidence is not None:
            req.wait_ms = min(wait_ms, EVIDENCE_POLL_MS)
        req.unproven = no_quorum and req.version == 0
        self._sent_revision = self._state_revision
        return req

    def _endpoint(self) -> Endpoint | None:
        current = self.backend_monitor.announcement
        if current is None:
            return None
        return Endpoint(
            server=current.server,
            service=current.service,
            zone=self._zone,
            address=self._own_address,
            incarnation=self.incarnation,
            state=self._state(),
            slots=current.slots,
            version=current.version,
            born_ms=current.born_ms,
            heartbeat=self.backend_monitor.changed_sequence,
        )

    def _state(self) -> EndpointState:
        leaving = self.backend_monitor.is_draining()
        if self.backend_monitor.lease_expired(self._clock.monotonic()):
            return 'draining' if self._departed and leaving else 'left'
        draining = self.stopping or leaving
        return 'draining' if draining else 'ready'

    def _check_backend_lease(self) -> None:
        expired = self.backend_monitor.lease_expired(self._clock.monotonic())
        if expired and not self._backend_was_lost:
            log.warning('backend server stopped announcing itself')
            self._notify_listeners()
            self.wake()
        self._backend_was_lost = expired
