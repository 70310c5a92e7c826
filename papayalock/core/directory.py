"""The backend servers that a node knows, by name and by service."""

from collections import Counter
from collections.abc import Iterable

from papayalock.messages import Endpoint, ServerLoad

RETENTION_S = 6.0  # time for which an endpoint that a new table lacks is kept


class KnownServer:
    """One backend server as this node sees it."""

    __slots__ = (
        'endpoint',
        'failures',
        'in_flight',
        'load',
        'load_at',
        'others_in_flight',
        'backoff_until',
        'unlisted_at',
    )

    def __init__(self, endpoint: Endpoint, now: float) -> None:
        """Starts without observations."""
        self.endpoint = endpoint
        self.in_flight = 0
        self.load: ServerLoad | None = None
        self.load_at = now
        self.others_in_flight = 0
        self.failures = 0
        self.backoff_until = float('-inf')
        self.unlisted_at = float('inf')


class Directory:
    """The known backend servers, kept up to date by the agent."""

    def __init__(self) -> None:
        """Starts without servers."""
        self.servers: dict[str, KnownServer] = {}
        self._by_service: dict[str, dict[str, KnownServer]] = {}
        self._addresses: Counter[str] = Counter()

    def upsert(self, endpoint: Endpoint, now: float) -> None:
        """Takes in an announced endpoint; a restarted one starts afresh."""
        known = self.servers.get(endpoint.server)
        fresh = KnownServer(endpoint, now)
        if known is not None and _same_start(known.endpoint, endpoint):
            known.unlisted_at = float('inf')
            fresh = known
        self.remove(endpoint.server)
        fresh.endpoint = endpoint
        self._put(fresh)

    def remove(self, name: str) -> None:
        """Forgets a server."""
        known = self.servers.pop(name, None)
        if known is None:
            return
        endpoint = known.endpoint
        del self._by_service[endpoint.service][name]
        self._addresses[endpoint.address] -= 1
        if not self._addresses[endpoint.address]:
            del self._addresses[endpoint.address]

    def replace_all(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Takes in a whole table.

        The table of a control VM that has just started lacks servers that
        have not reported to it yet, so what it lacks is kept for a while.
        """
        listed = {one.server: one for one in endpoints}
        for endpoint in listed.values():
            self.upsert(endpoint, now)
        for name, peer in self.servers.items():
            if name not in listed:
                peer.unlisted_at = min(peer.unlisted_at, now)
        self.drop_unlisted(now)

    def drop_unlisted(self, now: float) -> None:
        """Drops the servers that no table has listed for too long."""
        gone = [
            name
            for name, peer in self.servers.items()
            if now - peer.unlisted_at >= RETENTION_S
        ]
        for name in gone:
            self.remove(name)

    @property
    def node_count(self) -> int:
        """The number of nodes, as far as the endpoints tell."""
        return len(self._addresses)

    def ready(self, service: str) -> list[KnownServer]:
        """Returns the servers of a service that take calls."""
        return [
            one
            for one in self._by_service.get(service, {}).values()
            if one.endpoint.state == 'ready'
        ]

    def _put(self, peer: KnownServer) -> None:
        endpoint = peer.endpoint
        self.servers[endpoint.server] = peer
        by_name = self._by_service.setdefault(endpoint.service, {})
        by_name[endpoint.server] = peer
        self._addresses[endpoint.address] += 1


def _same_start(known: Endpoint, fresh: Endpoint) -> bool:
    return (known.incarnation, known.born_ms) == (
        fresh.incarnation,
        fresh.born_ms,
    )
