"""Polls control VMs to keep a node's configuration and endpoints current.

Each poll also reports the state of the backend server beside the node.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any, Literal, Protocol

import msgspec

from papayalock.compression import decompress_body
from papayalock.core.apply import Applied, Configuration, Rejected
from papayalock.core.routing import RouteTable
from papayalock.core.subscriptions import Subscriptions
from papayalock.httpclient import TransportError
from papayalock.messages import (
    Announcement,
    Delta,
    Endpoint,
    EndpointDelta,
    SyncReq,
    SyncRes,
)
from papayalock.node.pollhistory import PollHistory
from papayalock.pool import Pool, json_request
from papayalock.ports import Clock, Random
from papayalock.result import Code

log = logging.getLogger(__name__)

MS_PER_S = 1000
MAX_RESPONSE_BYTES = 67_108_864
RESPONSE_TIMEOUT_MS = 30_000  # until the response is complete
POLL_MARGIN_MS = 1500  # beyond the poll wait, for the response to arrive
UNKNOWN_SERVICE_TTL_MS = 5000  # an unknown name is refused meanwhile
OK = 200
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
EndpointState = Literal['ready', 'draining', 'left']
_SYNC_RES = msgspec.json.Decoder(SyncRes)


class EndpointStore(Protocol):
    """The table of backend server endpoints that the agent updates."""

    def upsert(self, endpoint: Endpoint, now: float) -> None:
        """Adds an endpoint or updates the one with the same server name."""
        ...

    def remove(self, name: str, now: float) -> None:
        """Removes the endpoint of a server."""
        ...

    def replace_all(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Applies a full table of endpoints."""
        ...


class BackendState:
    """The announced state of the backend server beside this node."""

    __slots__ = ('announcement', 'draining', 'expires_at', 'expired')

    def __init__(self) -> None:
        """Starts without an announcement."""
        self.announcement: Announcement | None = None
        self.expires_at = float('-inf')
        self.draining = False
        self.expired = False

    @property
    def serving(self) -> Announcement | None:
        """The last announcement, or None once it has expired."""
        return None if self.expired else self.announcement


class Agent:
    """Polls a control VM for configuration and endpoints.

    Applies the deltas of the responses, and falls back to a snapshot when a
    delta cannot be applied. The configuration in force stays until a valid one
    replaces it.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        own_address: str,
        addresses: list[str],
        endpoint_store: EndpointStore,
        pool: Pool,
        clock: Clock,
        rng: Random,
        *,
        poll_ms: int,
        extra_services: int,
        announce_lease_ms: int,
        margin_ms: int = POLL_MARGIN_MS,
    ) -> None:
        """Starts without a configuration.

        :param own_address: address under which other nodes reach this one
        :param addresses: control VMs, polled in turn
        :param poll_ms: longest time that a control VM holds a poll open
        :param extra_services: limit of services held because callers use them
        :param announce_lease_ms: time an announcement lasts without renewal
        :param margin_ms: time beyond the poll wait for the response to arrive
        """
        self.configuration = Configuration()
        self.routes = RouteTable([])
        self.backend = BackendState()
        self.incarnation = clock.wall_ms()
        self._drain_requested = False
        self.on_changed: list[Callable[[], None]] = []
        self.errors = 0
        self.polls = PollHistory(log, clock)
        self._name = name
        self._zone = zone
        self._own_address = own_address
        self._addresses = list(addresses)
        self._endpoint_store = endpoint_store
        self.pool = pool
        self._clock = clock
        self._rng = rng
        self._poll_ms = poll_ms
        self._margin_ms = margin_ms
        self._announce_lease_s = announce_lease_ms / MS_PER_S
        self._subscriptions = Subscriptions(
            extra_services, UNKNOWN_SERVICE_TTL_MS
        )
        self._held_service = ''
        self._held_extra: list[str] = []
        self._snapshot_needed = False
        self._epoch = ''
        self._cursor = 0
        self._rejected: Rejected | None = None
        self._wake_requested = asyncio.Event()
        self._address_index = rng.randrange(len(addresses)) if addresses else 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._routes_applied = asyncio.Event()
        self._redirect_address = ''

    @property
    def service(self) -> str:
        """The service of the backend server beside this node, or ''."""
        current = self.backend.announcement
        return current.service if current else ''

    # Called by the other parts of the node.

    def handle_announcement(self, announcement: Announcement) -> None:
        """Renews the lease of the backend server and reports any change."""
        current = self.backend.announcement
        self.backend.announcement = announcement
        self.backend.expires_at = (
            self._clock.monotonic() + self._announce_lease_s
        )
        self.backend.draining = announcement.draining or self._drain_requested
        if current != announcement or self.backend.expired:
            self.backend.expired = False
            self._notify_listeners()
            self.wake()

    def set_draining(self, *, draining: bool) -> None:
        """Sets whether this node drains, and reports it to a control VM.

        A drain that the server announced itself stays in force.
        """
        self._drain_requested = draining
        current = self.backend.announcement
        self.backend.draining = draining or (
            current is not None and current.draining
        )
        self._notify_listeners()
        self.wake()

    async def report_departure(self) -> None:
        """Reports the backend server as departed, with one poll."""
        self.backend.expires_at = float('-inf')
        self.backend.expired = True
        await self._poll(wait_ms=0)

    def wake(self) -> None:
        """Has a poll sent at once, in place of one that waits."""
        self._wake_requested.set()

    async def subscribe(self, service: str, timeout: float) -> bool:
        """Subscribes to a service and waits until its routes are applied.

        A service without routes after the timeout counts as unknown.

        :param timeout: in seconds
        :returns: True once the routes are applied, False for an unknown service
        """
        if not self._subscriptions.subscribe(service, self._clock.monotonic()):
            return False
        self.wake()
        try:
            async with asyncio.timeout(timeout):
                while service not in self.routes.parts:
                    await self._routes_applied.wait()
        except TimeoutError:
            self._subscriptions.mark_unknown(service, self._clock.monotonic())
            return False
        return True

    def touch(self, service: str) -> None:
        """Marks a service as used, so that its subscription is kept."""
        self._subscriptions.mark_used(service)

    def _notify_listeners(self) -> None:
        for listener in self.on_changed:
            listener()

    # The polling task.

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            self._check_backend_lease()
            if self._wake_requested.is_set():
                self._wake_requested.clear()
                await self._poll(wait_ms=0)
            else:
                await self._poll_until_changed()

    async def _poll_until_changed(self) -> None:
        """Runs a long poll, which :meth:`wake` interrupts."""
        poll = asyncio.create_task(self._poll(wait_ms=self._poll_ms))
        woken = asyncio.create_task(self._wake_requested.wait())
        tasks = (poll, woken)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await _cancel(tasks)

    async def _poll(self, wait_ms: int) -> None:
        address = self._next_address()
        sync_req = self._request(wait_ms)
        req = json_request(
            b'POST', '/v1/sync', address, msgspec.json.encode(sync_req)
        )
        try:
            status, body = await self.pool.exchange(
                address,
                req,
                wait_ms + self._margin_ms,
                MAX_RESPONSE_BYTES,
                total_ms=RESPONSE_TIMEOUT_MS,
            )
            if status != OK:
                raise TransportError(
                    Code.UNREACHABLE,
                    f'poll answered with status {status}',
                    sent=True,
                )
            res = _SYNC_RES.decode(decompress_body(body, MAX_RESPONSE_BYTES))
        except (TransportError, msgspec.MsgspecError, ValueError) as exc:
            version = self.configuration.version
            self.polls.record_failure(address, exc, version)
            self.pool.close_idle(address)
            await self._handle_poll_failure()
            return
        self.polls.record_answer(address)
        await self._handle_response(sync_req, res)

    def _next_address(self) -> str:
        address = self._redirect_address
        self._redirect_address = ''
        return (
            address
            or self._addresses[self._address_index % len(self._addresses)]
        )

    async def _handle_poll_failure(self) -> None:
        self.errors += 1
        self._address_index += 1
        await asyncio.sleep(self._backoff_s * self._rng.random())
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    async def _handle_response(self, sync_req: SyncReq, res: SyncRes) -> None:
        if res.delta is not None:
            self._apply_delta(sync_req, res.delta)
        if res.endpoints is not None:
            self._apply_endpoints(res.endpoints)
        if res.delta is not None or res.endpoints is not None:
            self._wake_subscribers()
        if res.redirect:
            self._redirect_address = res.redirect
        elif res.code != Code.DONE:
            await asyncio.sleep(res.retry_after_ms / MS_PER_S)
            self._address_index += res.code != Code.BUSY
        else:
            self._backoff_s = INITIAL_BACKOFF_S
            self._address_index += not res.leased

    def _apply_delta(self, sync_req: SyncReq, delta: Delta) -> None:
        outcome = self.configuration.apply(delta)
        if isinstance(outcome, Rejected):
            self._reject(outcome, delta)
        elif isinstance(outcome, Applied):
            self._rejected = None
            self._held_service = sync_req.service
            self._held_extra = sync_req.extra
            self._index_routes(delta)
            log.info(
                'version applied',
                extra={
                    'version': outcome.version,
                    'answer_gap_ms': self.polls.answer_gap_ms,
                },
            )
            self._notify_listeners()

    def _index_routes(self, delta: Delta) -> None:
        """Indexes the routes of the configuration that a delta produced."""
        self.routes = RouteTable(self.configuration.parts.values())

    def _reject(self, outcome: Rejected, delta: Delta) -> None:
        """Requests a snapshot after a bad delta; reports a bad snapshot."""
        self.errors += 1
        self._snapshot_needed = delta.base > 0
        if not delta.base:
            self._rejected = outcome
        log.error(
            'version rejected',
            extra={
                'version': outcome.version,
                'code': outcome.code,
                'reason': outcome.reason,
            },
        )

    def _wake_subscribers(self) -> None:
        self._routes_applied.set()
        self._routes_applied = asyncio.Event()

    def _apply_endpoints(self, delta: EndpointDelta) -> None:
        """Applies endpoint changes and stores the cursor to resume from.

        Before the first full table the node has no base for a cursor, so it
        keeps none and goes on asking for the full table.
        """
        now = self._clock.monotonic()
        if delta.full:
            self._endpoint_store.replace_all(delta.endpoints, now)
        else:
            _merge_endpoints(self._endpoint_store, delta, now)
        if delta.full or self._epoch:
            self._epoch = delta.epoch
            self._cursor = delta.cursor

    def _request(self, wait_ms: int) -> SyncReq:
        configuration = self.configuration
        rejected = self._rejected
        snapshot_needed = self._snapshot_needed
        self._snapshot_needed = False
        return SyncReq(
            node=self._name,
            zone=self._zone,
            service=self.service,
            incarnation=self.incarnation,
            version=configuration.version,
            digest='' if snapshot_needed else configuration.digest,
            held_service=self._held_service,
            held_extra=self._held_extra,
            extra=self._subscriptions.names,
            epoch=self._epoch,
            cursor=self._cursor,
            rejected=rejected.version if rejected else 0,
            reject_code=rejected.code if rejected else 0,
            endpoint=self._endpoint(),
            wait_ms=wait_ms,
        )

    def _endpoint(self) -> Endpoint | None:
        current = self.backend.announcement
        if current is None:
            return None
        return Endpoint(
            server=current.server,
            service=current.service,
            zone=self._zone,
            address=self._own_address,
            incarnation=self.incarnation,
            state=self._state(),
        )

    def _state(self) -> EndpointState:
        if self._clock.monotonic() >= self.backend.expires_at:
            return 'left'
        return 'draining' if self.backend.draining else 'ready'

    def _check_backend_lease(self) -> None:
        expired = self._clock.monotonic() >= self.backend.expires_at
        if self.backend.announcement and expired and not self.backend.expired:
            log.warning('backend server stopped announcing itself')
            self.backend.expired = True
            self._notify_listeners()


def _merge_endpoints(
    store: EndpointStore, delta: EndpointDelta, now: float
) -> None:
    for endpoint in reversed(delta.endpoints):
        if endpoint.state == 'left':
            store.remove(endpoint.server, now)
        else:
            store.upsert(endpoint, now)


async def _cancel(tasks: 'Iterable[asyncio.Task[Any]]') -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
