"""Finds the backend server beside a node that has just started.

A restarted node would otherwise leave its server idle until the next
heartbeat. The server's health answer names it, and says that it takes calls.
"""

import asyncio
import logging

from papayalock.dialect import CallDialect
from papayalock.messages import Announcement
from papayalock.node.hostagent import HostAgent
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.settings import HostSettings
from papayalock.httpclient import Request, Response, TransportError

log = logging.getLogger(__name__)

STEP_S = 0.02
TRIES = 3
TRY_S = 0.3  # interval of two tries
ANSWER_MS = 250
ANSWER_BYTES = 65536
CAREFUL_SLOTS = 2  # slots assumed when no server of the service tells more


class BackendFinder:
    """Asks the server for its name once, after the first version came."""

    def __init__(
        self,
        agent: HostAgent,
        dialect: CallDialect,
        pool: Pool,
        clock: Clock,
        hosts: HostSettings,
    ) -> None:
        """Binds the parts."""
        self._agent = agent
        self._dialect = dialect
        self._pool = pool
        self._clock = clock
        self._hosts = hosts

    async def run(self) -> None:
        """Tries until the server is known, or a few times."""
        while not self._agent.configuration.version:
            await asyncio.sleep(STEP_S)
        for _ in range(TRIES):
            if self._agent.watch.announcement is not None:
                return
            name = await self._ask()
            if name:
                self._introduce(name)
                return
            await asyncio.sleep(TRY_S)

    async def _ask(self) -> str:
        policy = self._agent.hosts.policies.get(self._hosts.service)
        if policy is None or not self._hosts.backend:
            return ''
        address = self._hosts.backend
        headers = [(b'host', address.encode())]
        req = Request(b'GET', policy.health_path.encode(), headers)
        try:
            response = await self._exchange(address, req)
        except TransportError as exc:
            log.info('backend server not found', extra={'reason': str(exc)})
            return ''
        return self._dialect.read_server_name(response.status, response.headers)

    async def _exchange(self, address: str, req: Request) -> Response:
        conn = await self._pool.acquire(address)
        try:
            response = await conn.call(req, ANSWER_MS)
            await response.read_all(ANSWER_BYTES)
        except TransportError:
            conn.close()
            raise
        self._pool.release(address, conn)
        return response

    def _introduce(self, name: str) -> None:
        """Takes the server in, unless control VMs know that it leaves."""
        known = self._agent.placement.peers.get(name)
        if known is not None and known.endpoint.state != 'ready':
            log.info('backend server leaves', extra={'server': name})
            return
        service = self._hosts.service
        slots = [
            peer.endpoint.slots
            for peer in self._agent.placement.peers.values()
            if peer.endpoint.service == service and peer.endpoint.slots
        ]
        found = Announcement(
            server=name,
            service=service,
            address=self._hosts.backend,
            slots=min(slots, default=CAREFUL_SLOTS),
        )
        if self._agent.watch.introduce(found, self._clock.monotonic()):
            log.info('backend server found', extra={'server': name})
            self._agent.changed()
