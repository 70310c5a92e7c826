"""The backend servers known to a node, by name and by service."""

from collections import Counter
from collections.abc import Iterable

from papayalock.core.servernotices import ServerNotices
from papayalock.core.serverstarts import start_of
from papayalock.messages import Endpoint, ServerLoad

RETENTION_S = 6.0  # how long a server stays after a full list omitted it
# How long a node is counted after its last server is gone: it takes calls
# without one, and behind a cut it still shares what all nodes share.
NODE_MEMORY_S = 600.0


class KnownServer:
    """A backend server with the observations of this node."""

    __slots__ = (
        'backoff_until',
        'endpoint',
        'failures',
        'hop_at',
        'hop_s',
        'in_flight',
        'limit_refusals',
        'load',
        'load_at',
        'others_in_flight',
        'reads_short',
        'unlisted_at',
    )

    def __init__(self, endpoint: Endpoint, now: float) -> None:
        """Starts without observations."""
        self.endpoint = endpoint
        self.in_flight = 0
        self.load: ServerLoad | None = None
        self.load_at = now  # monotonic time of the newest load report
        self.others_in_flight = 0  # calls of other nodes, from that report
        self.failures = 0
        self.hop_s = 0.0  # smoothed time of calls outside the server's node
        self.hop_at = now  # monotonic time of its newest measurement
        self.reads_short = False  # whether its node reads short headers
        self.limit_refusals = 0  # consecutive ones while the server is limited
        self.backoff_until = float('-inf')
        self.unlisted_at = float('inf')


class Directory:
    """The known backend servers; the agent keeps them up to date."""

    def __init__(self) -> None:
        """Starts without servers."""
        self.servers: dict[str, KnownServer] = {}
        self.notices = ServerNotices()
        self._by_service: dict[str, dict[str, KnownServer]] = {}
        self._addresses: Counter[str] = Counter()
        self._left_at: dict[str, float] = {}  # of nodes without a server
        self._ready: dict[str, list[KnownServer]] = {}
        self._ready_revision = 0

    def upsert(self, endpoint: Endpoint, now: float) -> None:
        """Adds or updates an announced endpoint.

        The observations of a server are dropped when it has restarted.
        """
        current = self.servers.get(endpoint.server)
        server = KnownServer(endpoint, now)
        if current is not None and _same_process(current.endpoint, endpoint):
            current.unlisted_at = float('inf')
            server = current
        self.remove(endpoint.server, now)
        server.endpoint = endpoint
        self._add(server)

    def remove(self, name: str, now: float) -> None:
        """Removes a server, if it is known."""
        server = self.servers.pop(name, None)
        if server is None:
            return
        self._ready.clear()
        endpoint = server.endpoint
        del self._by_service[endpoint.service][name]
        self._addresses[endpoint.address] -= 1
        if not self._addresses[endpoint.address]:
            del self._addresses[endpoint.address]
            self._left_at[endpoint.address] = now

    def replace_all(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Applies a full list of endpoints.

        A control VM that has just started doesn't list the servers that have
        not reported to it yet, so an unlisted server stays for
        ``RETENTION_S``.
        """
        listed = {endpoint.server: endpoint for endpoint in endpoints}
        for endpoint in listed.values():
            self.upsert(endpoint, now)
        for name, server in self.servers.items():
            if name not in listed:
                server.unlisted_at = min(server.unlisted_at, now)
        self.drop_unlisted(now)

    def drop_unlisted(self, now: float) -> None:
        """Removes the servers that have been unlisted for ``RETENTION_S``."""
        expired = [
            name
            for name, server in self.servers.items()
            if now - server.unlisted_at >= RETENTION_S
        ]
        for name in expired:
            self.remove(name, now)

    def count_nodes(self, now: float) -> int:
        """Returns the number of nodes that may be running.

        These are the distinct addresses of the servers that are known, or were
        within ``NODE_MEMORY_S``.
        """
        for address, left_at in list(self._left_at.items()):
            if now - left_at >= NODE_MEMORY_S:
                del self._left_at[address]
        return len(self._addresses) + len(self._left_at)

    def ready(self, service: str) -> list[KnownServer]:
        """Returns the servers of a service that accept calls."""
        if self._ready_revision != self.notices.revision:
            self._ready_revision = self.notices.revision
            self._ready.clear()
        ready = self._ready.get(service)
        if ready is None:
            ready = self._find_ready(service)
            self._ready[service] = ready
        return ready

    def _find_ready(self, service: str) -> list[KnownServer]:
        return [
            server
            for server in self._by_service.get(service, {}).values()
            if server.endpoint.state == 'ready'
            and not self.notices.find(server.endpoint).leaving
        ]

    def _add(self, server: KnownServer) -> None:
        self._ready.clear()
        endpoint = server.endpoint
        self.servers[endpoint.server] = server
        by_name = self._by_service.setdefault(endpoint.service, {})
        by_name[endpoint.server] = server
        self._addresses[endpoint.address] += 1
        self._left_at.pop(endpoint.address, None)


def _same_process(current: Endpoint, update: Endpoint) -> bool:
    same_node = current.incarnation == update.incarnation
    return same_node and start_of(current).is_same(start_of(update))
