"""The agent of a node that routes by host: any control VM, heartbeats, hosts."""

import asyncio
import logging

from papayalock.core.controlselector import ControlSelector
from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.hosts import HostTable
from papayalock.core.placing import Placement
from papayalock.messages import (
    Delta,
    Endpoint,
    EndpointDelta,
    SyncReq,
    SyncRes,
)
from papayalock.node.agent import Agent, State
from papayalock.pool import Pool
from papayalock.ports import Clock, Random
from papayalock.result import Code

log = logging.getLogger(__name__)

LEAST_REFUSALS = 3  # proofs sought before an unproved version is taken


class HostAgent(Agent):
    """Keeps routes, endpoints and this node's own server current."""

    def __init__(
        self,
        name: str,
        zone: str,
        listen: str,
        choice: ControlSelector,
        watch: BackendMonitor,
        placement: Placement,
        pool: Pool,
        clock: Clock,
        rng: Random,
        *,
        poll_ms: int,
        margin_ms: int,
    ) -> None:
        """Starts with nothing in force."""
        super().__init__(
            name,
            zone,
            listen,
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
        self.hosts = HostTable([])
        self.stopping = False
        self.watch = watch
        self.placement = placement
        self._choice = choice
        self._asked = ''
        self._refusals = 0
        self._was_lost = True
        self._news = 0
        self._reported = 0
        self._sent_news = 0
        self._on_report = asyncio.Event()

    def poke(self) -> None:
        """Makes the next poll go out now."""
        self._news += 1
        super().poke()

    def changed(self) -> None:
        """Tells the node's parts and a control VM that the server changed."""
        self._tell_listeners()
        self.poke()

    async def report(self, timeout: float) -> bool:
        """Waits until a control VM knows this node's present state.

        :param timeout: longest wait in seconds
        """
        wanted = self._news
        try:
            async with asyncio.timeout(timeout):
                while self._reported < wanted:
                    await self._on_report.wait()
        except TimeoutError:
            return False
        return True

    async def leave(self) -> None:
        """Tells a control VM that this node ends."""
        self.watch.lease_until = float('-inf')
        await self._poll(wait_ms=0)

    # Overrides.

    def _next_address(self) -> str:
        self._asked = self._choice.choose(self._clock.monotonic())
        return self._asked

    async def _try_next(self) -> None:
        self.errors += 1
        self._choice.record_failure(self._asked, self._clock.monotonic())
        await asyncio.sleep(self._backoff * self._rng.random())

    async def _take(self, sent: SyncReq, res: SyncRes) -> None:
        now = self._clock.monotonic()
        self._choice.record_response(self._asked, res.zone, res.peers)
        if not res.leased:
            self._choice.record_failure(self._asked, now)
        self._reported = max(self._reported, self._sent_news)
        self._on_report.set()
        self._on_report = asyncio.Event()
        if res.delta is not None:
            self._apply(sent, res.delta)
        if res.endpoints is not None:
            self._take_endpoints(res.endpoints)
        self.placement.forget(now)
        if res.code == Code.DONE:
            return
        self._refusals += 1
        self._choice.record_failure(self._asked, now)
        await asyncio.sleep(res.retry_after_ms / 1000)

    def _apply(self, sent: SyncReq, delta: Delta) -> None:
        before = self.configuration.version
        super()._apply(sent, delta)
        if self.configuration.version != before:
            self.hosts = HostTable(self.configuration.parts.values())
            self._tell_listeners()

    def _take_endpoints(self, delta: EndpointDelta) -> None:
        super()._take_endpoints(delta)
        for endpoint in delta.endpoints:
            self._check_own(endpoint)

    def _check_own(self, endpoint: Endpoint) -> None:
        """Believes what this node's predecessor heard of its server."""
        known = self.watch.announcement
        if known is None or known.server != endpoint.server:
            return
        later = (endpoint.born_ms, endpoint.heartbeat) > (
            known.born_ms,
            self.watch.changed_sequence,
        )
        if later and endpoint.state == 'draining':
            log.warning(
                'backend server had left', extra={'server': known.server}
            )
            self.watch.record_departure(known.server, self._clock.monotonic())
            self._tell_listeners()

    def _request(self, wait_ms: int) -> SyncReq:
        req = super()._request(wait_ms)
        least = max(LEAST_REFUSALS, self._choice.count)
        req.unproven = self._refusals >= least and req.version == 0
        self._sent_news = self._news
        return req

    def _endpoint(self) -> Endpoint | None:
        known = self.watch.announcement
        if known is None:
            return None
        return Endpoint(
            server=known.server,
            service=known.service,
            zone=self._zone,
            address=self._listen,
            incarnation=self.incarnation,
            state=self._state(),
            slots=known.slots,
            born_ms=known.born_ms,
            heartbeat=self.watch.changed_sequence,
        )

    def _state(self) -> State:
        if self.watch.lease_expired(self._clock.monotonic()):
            return 'left'
        leaving = self.stopping or self.watch.is_draining()
        return 'draining' if leaving else 'ready'

    def _watch_backend(self) -> None:
        lost = self.watch.lease_expired(self._clock.monotonic())
        if lost and not self._was_lost:
            log.warning('backend server stopped announcing itself')
            self._tell_listeners()
            self.poke()
        self._was_lost = lost
