"""Finds the backend server beside a node that has just started.

Until the next heartbeat a restarted node would leave its server idle. The
response to a health check names the server and shows that it takes calls.
"""

import asyncio
import logging

from papayalock.dialect import CallDialect
from papayalock.httpclient import Request, Response, TransportError
from papayalock.messages import Announcement
from papayalock.node.backendnotices import BackendNotices
from papayalock.node.hostagent import HostAgent
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import HostSettings

log = logging.getLogger(__name__)

CONFIGURATION_CHECK_S = 0.02
MAX_TRIES = 3
TRY_INTERVAL_S = 0.3
MS_PER_S = 1000
HEALTH_TIMEOUT_MS = 250
MAX_HEALTH_BYTES = 65536
FALLBACK_SLOTS = 2  # when no endpoint of the service has a slot count


class BackendFinder:
    """Registers the backend server from its response to a health check.

    Starts when the first configuration is applied, which holds the path of
    the health check.
    """

    def __init__(
        self,
        agent: HostAgent,
        notices: BackendNotices,
        dialect: CallDialect,
        pool: Pool,
        clock: Clock,
        hosts: HostSettings,
    ) -> None:
        """Binds the parts."""
        self._agent = agent
        self._notices = notices
        self._dialect = dialect
        self._pool = pool
        self._clock = clock
        self._hosts = hosts

    async def run(self) -> None:
        """Tries a few times, until a heartbeat or response names the server."""
        while not self._agent.configuration.version:
            await asyncio.sleep(CONFIGURATION_CHECK_S)
        for _ in range(MAX_TRIES):
            if self._agent.backend_monitor.announcement is not None:
                return
            response = await self._check_health()
            if response is not None and self._register(response):
                return
            await asyncio.sleep(TRY_INTERVAL_S)

    async def _check_health(self) -> Response | None:
        policy = self._agent.host_table.policies.get(self._hosts.service)
        if policy is None or not self._hosts.backend:
            return None
        address = self._hosts.backend
        headers = [(b'host', address.encode())]
        req = Request(b'GET', policy.health_path.encode(), headers)
        try:
            return await self._exchange(address, req)
        except TransportError as exc:
            log.info(
                'health check of the backend server failed',
                extra={'reason': str(exc)},
            )
            return None

    async def _exchange(self, address: str, req: Request) -> Response:
        conn = await self._pool.acquire(address)
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_MS / MS_PER_S):
                response = await conn.call(req, HEALTH_TIMEOUT_MS)
                await response.read_all(MAX_HEALTH_BYTES)
        except TimeoutError as exc:
            raise TransportError(
                Code.UNKNOWN_TIMEOUT, 'no complete response in time', sent=True
            ) from exc
        finally:
            # A late second copy of the response names no call.
            conn.close()
        return response

    def _register(self, response: Response) -> bool:
        """Registers the server that a response names, if it takes calls.

        :returns: False for a response to try again after
        """
        name = self._dialect.read_server_name(response.status, response.headers)
        if not name:
            return False
        if not self._is_draining(name):
            self._record_discovery(name, response)
        return True

    def _is_draining(self, name: str) -> bool:
        """Returns whether the endpoint table shows a server as draining."""
        listed = self._agent.placement.servers.get(name)
        if listed is not None and listed.endpoint.state != 'ready':
            log.info(
                'backend server is draining and not registered',
                extra={'server': name},
            )
            return True
        return False

    def _record_discovery(self, name: str, response: Response) -> None:
        service = self._hosts.service
        slots = [
            server.endpoint.slots
            for server in self._agent.placement.servers.values()
            if server.endpoint.service == service and server.endpoint.slots
        ]
        announcement = Announcement(
            server=name,
            service=service,
            address=self._hosts.backend,
            slots=min(slots, default=FALLBACK_SLOTS),
        )
        now = self._clock.monotonic()
        if self._agent.backend_monitor.record_discovery(announcement, now):
            log.info('backend server found', extra={'server': name})
            self._agent.backend_changed()
            self._notices.record_health_check(announcement, response, now)
