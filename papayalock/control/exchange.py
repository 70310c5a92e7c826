"""Keeps the endpoint tables of all control VMs alike, by long polls of peers."""

import asyncio
import logging
from urllib.parse import urlencode

import msgspec

from papayalock.control.zone import Zone
from papayalock.messages import EndpointDelta
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.httpclient import Request, TransportError

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
OK = 200
POLL_MS = 5000
ANSWER_MS = 7000
RETRY_S = 0.2
MAX_ANSWER_BYTES = 67_108_864
_DELTA = msgspec.json.Decoder(EndpointDelta)


class PeerTable:
    """Follows the endpoint table of one peer."""

    def __init__(
        self, name: str, address: str, zone: Zone, pool: Pool, clock: Clock
    ) -> None:
        """Starts with nothing known of the peer."""
        self._name = name
        self._address = address
        self._zone = zone
        self._pool = pool
        self._clock = clock
        self._epoch = ''
        self._cursor = 0
        self.heard_at = clock.monotonic()

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            try:
                await self._poll()
            except (TransportError, msgspec.MsgspecError) as exc:
                log.debug(
                    'no endpoints from peer',
                    extra={
                        'peer': self._name,
                        'code': Code.UNREACHABLE,
                        'reason': str(exc),
                    },
                )
                await asyncio.sleep(RETRY_S)

    async def _poll(self) -> None:
        query = urlencode(
            {'epoch': self._epoch, 'cursor': self._cursor, 'wait_ms': POLL_MS}
        )
        req = Request(
            b'GET',
            f'/v1/endpoints?{query}'.encode(),
            [(b'host', self._address.encode())],
        )
        status, body = await self._pool.exchange(
            self._address, req, ANSWER_MS, MAX_ANSWER_BYTES
        )
        self.heard_at = self._clock.monotonic()
        if status != OK or not body:
            return
        delta = _DELTA.decode(body)
        self._epoch = delta.epoch
        self._cursor = delta.cursor
        merged = [
            self._zone.table.merge(endpoint) for endpoint in delta.endpoints
        ]
        if any(merged):
            self._zone.wake()


class Exchange:
    """Runs one :class:`PeerTable` for each peer that the log names."""

    def __init__(
        self, own: str, zone: Zone, pool: Pool, clock: Clock, orphan_ms: int
    ) -> None:
        """Starts without peers.

        :param orphan_ms: silence after which a peer's endpoints are dropped
        """
        self._own = own
        self._zone = zone
        self._pool = pool
        self._clock = clock
        self._orphan = orphan_ms / MS
        self._peers: dict[str, PeerTable] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def follow(self, addresses: dict[str, str]) -> None:
        """Starts and stops followers to match the peers' addresses."""
        for name in set(self._tasks) - set(addresses):
            self._tasks.pop(name).cancel()
            self._peers.pop(name)
            self._zone.table.drop_origin(name)
        for name, address in addresses.items():
            if name != self._own and name not in self._tasks:
                peer = PeerTable(
                    name, address, self._zone, self._pool, self._clock
                )
                self._peers[name] = peer
                self._tasks[name] = asyncio.create_task(peer.run())

    def drop_orphans(self) -> None:
        """Drops the endpoints of peers that have been silent for too long."""
        limit = self._clock.monotonic() - self._orphan
        for name, peer in self._peers.items():
            if peer.heard_at < limit and self._zone.table.drop_origin(name):
                log.warning(
                    'endpoints of a silent control VM dropped',
                    extra={'peer': name},
                )
                self._zone.wake()
