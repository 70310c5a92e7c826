"""Copies endpoints between the control VMs by long polls of each peer."""

import asyncio
import logging
from urllib.parse import urlencode

import msgspec

from papayalock.control.distributor import Distributor
from papayalock.httpclient import Request, TransportError
from papayalock.messages import EndpointDelta
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code

log = logging.getLogger(__name__)

MS_PER_S = 1000
OK = 200
POLL_WAIT_MS = 5000
POLL_TIMEOUT_MS = 7000
RETRY_DELAY_S = 0.2
MAX_RESPONSE_BYTES = 67_108_864
_DELTA = msgspec.json.Decoder(EndpointDelta)


class EndpointPoller:
    """Merges the endpoint table of one peer into the own one."""

    def __init__(
        self,
        name: str,
        address: str,
        distributor: Distributor,
        pool: Pool,
        clock: Clock,
    ) -> None:
        """Starts with an empty cursor, so that the first poll gets all."""
        self._name = name
        self._address = address
        self._distributor = distributor
        self._pool = pool
        self._clock = clock
        self._epoch = ''
        self._cursor = 0
        self.last_response_at = clock.monotonic()

    async def run(self) -> None:
        """Polls the peer until cancelled."""
        while True:
            try:
                await self._poll()
            except (TransportError, msgspec.MsgspecError) as exc:
                log.debug(
                    'endpoint poll of a control VM failed',
                    extra={
                        'peer': self._name,
                        'code': Code.UNREACHABLE,
                        'reason': str(exc),
                    },
                )
                await asyncio.sleep(RETRY_DELAY_S)

    async def _poll(self) -> None:
        query = urlencode(
            {
                'epoch': self._epoch,
                'cursor': self._cursor,
                'wait_ms': POLL_WAIT_MS,
            }
        )
        req = Request(
            b'GET',
            f'/v1/endpoints?{query}'.encode(),
            [(b'host', self._address.encode())],
        )
        status, body = await self._pool.exchange(
            self._address, req, POLL_TIMEOUT_MS, MAX_RESPONSE_BYTES
        )
        self.last_response_at = self._clock.monotonic()
        if status != OK or not body:
            return
        delta = _DELTA.decode(body)
        self._epoch = delta.epoch
        self._cursor = delta.cursor
        merged = [
            self._distributor.table.merge(endpoint)
            for endpoint in delta.endpoints
        ]
        if any(merged):
            self._distributor.notify_change()


class EndpointSync:
    """Runs an :class:`EndpointPoller` for each other member of the group."""

    def __init__(
        self,
        own_name: str,
        distributor: Distributor,
        pool: Pool,
        clock: Clock,
        orphan_ms: int,
    ) -> None:
        """Starts without peers.

        :param own_name: name of this control VM
        :param orphan_ms: time without a response after which a peer's
            endpoints are dropped
        """
        self._own_name = own_name
        self._distributor = distributor
        self._pool = pool
        self._clock = clock
        self._orphan_s = orphan_ms / MS_PER_S
        self._pollers: dict[str, EndpointPoller] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def update_peers(self, addresses: dict[str, str]) -> None:
        """Starts and stops pollers to match the members.

        :param addresses: IP and port of each member by name
        """
        for name in set(self._tasks) - set(addresses):
            self._tasks.pop(name).cancel()
            self._pollers.pop(name)
            self._distributor.table.drop_origin(name)
        for name, address in addresses.items():
            if name != self._own_name and name not in self._tasks:
                poller = EndpointPoller(
                    name, address, self._distributor, self._pool, self._clock
                )
                self._pollers[name] = poller
                self._tasks[name] = asyncio.create_task(poller.run())

    def drop_orphans(self) -> None:
        """Drops the endpoints of peers that did not respond in ``orphan_ms``."""
        cutoff = self._clock.monotonic() - self._orphan_s
        for name, poller in self._pollers.items():
            if (
                poller.last_response_at < cutoff
                and self._distributor.table.drop_origin(name)
            ):
                log.warning(
                    'endpoints of a silent control VM dropped',
                    extra={'peer': name},
                )
                self._distributor.notify_change()
