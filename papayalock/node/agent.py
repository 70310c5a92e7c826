"""The task that keeps a node's configuration and endpoints current."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any, Literal, Protocol

import msgspec

from papayalock.reachability import ReachabilityLog
from papayalock.core.apply import Applied, Configuration, Rejected
from papayalock.core.routing import RouteTable
from papayalock.core.subscriptions import Subscriptions
from papayalock.messages import (
    Announcement,
    Delta,
    Endpoint,
    EndpointDelta,
    SyncReq,
    SyncRes,
)
from papayalock.compression import decompress_body
from papayalock.pool import Pool, json_request
from papayalock.ports import Clock, Random
from papayalock.result import Code
from papayalock.httpclient import TransportError

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
MAX_ANSWER_BYTES = 67_108_864
TOTAL_MS = 30_000  # longest time in which a whole answer arrives
MARGIN_MS = 1500  # on top of the poll for the answer to arrive
UNKNOWN_MS = 5000  # time for which an unknown service name is refused
OK = 200
BACKOFF_FIRST_S = 0.05
BACKOFF_LIMIT_S = 2.0
State = Literal['ready', 'draining', 'left']
_SYNC_RES = msgspec.json.Decoder(SyncRes)


class Directory(Protocol):
    """Where the agent keeps the endpoints."""

    def upsert(self, endpoint: Endpoint, now: float) -> None:
        """Takes in an announced endpoint."""
        ...

    def remove(self, name: str) -> None:
        """Forgets a server."""
        ...

    def replace_all(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Takes in a whole table."""
        ...


class Backend:
    """The backend server beside this node, as it announced itself."""

    __slots__ = ('announcement', 'draining', 'expires', 'lost')

    def __init__(self) -> None:
        """Starts without a server."""
        self.announcement: Announcement | None = None
        self.expires = float('-inf')
        self.draining = False
        self.lost = False

    @property
    def serving(self) -> Announcement | None:
        """The announcement, unless the server stopped renewing it."""
        return None if self.lost else self.announcement


class Agent:
    """Polls a control VM of the node's availability zone."""

    def __init__(
        self,
        name: str,
        zone: str,
        listen: str,
        addresses: list[str],
        balancer: Directory,
        pool: Pool,
        clock: Clock,
        rng: Random,
        *,
        poll_ms: int,
        extra_services: int,
        announce_lease_ms: int,
        margin_ms: int = MARGIN_MS,
    ) -> None:
        """Starts with nothing in force."""
        self.configuration = Configuration()
        self.routes = RouteTable([])
        self.backend = Backend()
        self.incarnation = clock.wall_ms()
        self._ordered_drain = False
        self.on_changed: list[Callable[[], None]] = []
        self.errors = 0
        self._name = name
        self._zone = zone
        self._listen = listen
        self._addresses = list(addresses)
        self._balancer = balancer
        self._pool = pool
        self._clock = clock
        self._rng = rng
        self._poll_ms = poll_ms
        self._margin_ms = margin_ms
        self._announce_lease = announce_lease_ms / MS
        self._subscriptions = Subscriptions(extra_services, UNKNOWN_MS)
        self._held_service = ''
        self._held_extra: list[str] = []
        self._want_snapshot = False
        self._epoch = ''
        self._cursor = 0
        self._rejected: Rejected | None = None
        self._changed = asyncio.Event()
        self._target = rng.randrange(len(addresses)) if addresses else 0
        self._backoff = BACKOFF_FIRST_S
        self._applied = asyncio.Event()
        self._alternate = ''
        self._contacts = ReachabilityLog(log, 'control VM')

    @property
    def service(self) -> str:
        """The service of the backend server beside this node, or ''."""
        known = self.backend.announcement
        return known.service if known else ''

    # Called by the relay.

    def announce(self, announcement: Announcement) -> None:
        """Takes in an announcement of the backend server."""
        known = self.backend.announcement
        self.backend.announcement = announcement
        self.backend.expires = self._clock.monotonic() + self._announce_lease
        self.backend.draining = announcement.draining or self._ordered_drain
        if known != announcement or self.backend.lost:
            self.backend.lost = False
            self._tell_listeners()
            self.poke()

    def drain(self, *, draining: bool) -> None:
        """Tells all that this node takes no new calls, or takes them again."""
        self._ordered_drain = draining
        known = self.backend.announcement
        self.backend.draining = draining or (
            known is not None and known.draining
        )
        self._tell_listeners()
        self.poke()

    async def leave(self) -> None:
        """Tells a control VM that the server beside this node has left."""
        self.backend.expires = float('-inf')
        self.backend.lost = True
        await self._poll(wait_ms=0)

    def poke(self) -> None:
        """Makes the next poll go out now."""
        self._changed.set()

    async def subscribe(self, service: str, timeout: float) -> bool:
        """Widens the node's scope to a service that a caller asked for.

        :param timeout: longest wait in seconds
        :returns: whether its routes are now in force
        """
        if not self._subscriptions.want(service, self._clock.monotonic()):
            return False
        self.poke()
        try:
            async with asyncio.timeout(timeout):
                while service not in self.routes.parts:
                    await self._applied.wait()
        except TimeoutError:
            self._subscriptions.refute(service, self._clock.monotonic())
            return False
        return True

    def touch(self, service: str) -> None:
        """Notes the use of a service, so that its subscription is kept."""
        self._subscriptions.touch(service)

    def _tell_listeners(self) -> None:
        for listener in self.on_changed:
            listener()

    # The task.

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            self._watch_backend()
            if self._changed.is_set():
                self._changed.clear()
                await self._poll(wait_ms=0)
            else:
                await self._poll_until_changed()

    async def _poll_until_changed(self) -> None:
        """Waits for news; a change of this node's own state ends the wait."""
        poll = asyncio.create_task(self._poll(wait_ms=self._poll_ms))
        changed = asyncio.create_task(self._changed.wait())
        tasks = (poll, changed)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await _cancel(tasks)

    async def _poll(self, wait_ms: int) -> None:
        address = self._next_address()
        sent = self._request(wait_ms)
        req = json_request(
            b'POST', '/v1/sync', address, msgspec.json.encode(sent)
        )
        try:
            status, body = await self._pool.exchange(
                address,
                req,
                wait_ms + self._margin_ms,
                MAX_ANSWER_BYTES,
                total_ms=TOTAL_MS,
            )
            if status != OK:
                raise TransportError(
                    Code.UNREACHABLE, f'status {status}', sent=True
                )
            res = _SYNC_RES.decode(decompress_body(body, MAX_ANSWER_BYTES))
        except (TransportError, msgspec.MsgspecError, ValueError) as exc:
            version = self.configuration.version
            self._contacts.mark_unreachable(address, str(exc), version=version)
            self._pool.close_idle(address)
            await self._try_next()
            return
        self._contacts.mark_reachable(address)
        await self._take(sent, res)

    def _next_address(self) -> str:
        address = self._alternate
        self._alternate = ''
        return address or self._addresses[self._target % len(self._addresses)]

    async def _try_next(self) -> None:
        self.errors += 1
        self._target += 1
        await asyncio.sleep(self._backoff * self._rng.random())
        self._backoff = min(self._backoff * 2, BACKOFF_LIMIT_S)

    async def _take(self, sent: SyncReq, res: SyncRes) -> None:
        if res.delta is not None:
            self._apply(sent, res.delta)
        if res.endpoints is not None:
            self._take_endpoints(res.endpoints)
        if res.delta is not None or res.endpoints is not None:
            self._wake_subscribers()
        if res.redirect:
            self._alternate = res.redirect
        elif res.code != Code.DONE:
            await asyncio.sleep(res.retry_after_ms / MS)
            self._target += res.code != Code.BUSY
        else:
            self._backoff = BACKOFF_FIRST_S
            self._target += not res.leased

    def _apply(self, sent: SyncReq, delta: Delta) -> None:
        outcome = self.configuration.apply(delta)
        if isinstance(outcome, Rejected):
            self._reject(outcome, delta)
        elif isinstance(outcome, Applied):
            self._rejected = None
            self._held_service = sent.service
            self._held_extra = sent.extra
            self.routes = RouteTable(self.configuration.parts.values())
            log.info('version applied', extra={'version': outcome.version})
            self._tell_listeners()

    def _reject(self, outcome: Rejected, delta: Delta) -> None:
        """Asks for a snapshot after a bad delta; reports a bad snapshot."""
        self.errors += 1
        self._want_snapshot = delta.base > 0
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
        self._applied.set()
        self._applied = asyncio.Event()

    def _take_endpoints(self, delta: EndpointDelta) -> None:
        """Takes endpoints in; a cursor counts only from a full table on."""
        now = self._clock.monotonic()
        if delta.full:
            self._balancer.replace_all(delta.endpoints, now)
        else:
            self._merge_endpoints(delta, now)
        if delta.full or self._epoch:
            self._epoch = delta.epoch
            self._cursor = delta.cursor

    def _merge_endpoints(self, delta: EndpointDelta, now: float) -> None:
        for endpoint in reversed(delta.endpoints):
            if endpoint.state == 'left':
                self._balancer.remove(endpoint.server)
            else:
                self._balancer.upsert(endpoint, now)

    def _request(self, wait_ms: int) -> SyncReq:
        configuration = self.configuration
        rejected = self._rejected
        want_snapshot = self._want_snapshot
        self._want_snapshot = False
        return SyncReq(
            node=self._name,
            zone=self._zone,
            service=self.service,
            incarnation=self.incarnation,
            version=configuration.version,
            digest='' if want_snapshot else configuration.digest,
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
        known = self.backend.announcement
        if known is None:
            return None
        return Endpoint(
            server=known.server,
            service=known.service,
            zone=self._zone,
            address=self._listen,
            incarnation=self.incarnation,
            state=self._state(),
        )

    def _state(self) -> State:
        if self._clock.monotonic() >= self.backend.expires:
            return 'left'
        return 'draining' if self.backend.draining else 'ready'

    def _watch_backend(self) -> None:
        lost = self._clock.monotonic() >= self.backend.expires
        if self.backend.announcement and lost and not self.backend.lost:
            log.warning('backend server stopped announcing itself')
            self.backend.lost = True
            self._tell_listeners()


async def _cancel(tasks: 'Iterable[asyncio.Task[Any]]') -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
