"""Matches calls to declared operations and balances them between servers."""

from collections.abc import Iterable

from papayalock.messages import Endpoint, Part, Route
from papayalock.ports import Random

MS_PER_S = 1000
PERCENT = 100
FAILURES_TO_EJECT = 3
INITIAL_WEIGHT = 0.1  # of a server that has just started, until it ramps up
LOAD_DECAY_S = 2.0  # age at which a reported load counts as zero


TemplateKey = tuple[str, str, int]  # service, method, number of segments
Template = tuple[list[str], Route]  # segments, empty for a parameter
NONE_TRIED: frozenset[str] = frozenset()


class RouteTable:
    """The routes of the current configuration, indexed for matching."""

    def __init__(self, parts: Iterable[Part]) -> None:
        """Indexes the routes of all parts."""
        self.parts = {part.service: part for part in parts}
        self._exact: dict[tuple[str, str, str], Route] = {}
        self._templates: dict[TemplateKey, list[Template]] = {}
        for part in self.parts.values():
            for route in part.routes:
                self._add(part.service, route)

    def match(self, service: str, method: str, path: str) -> Route | None:
        """Returns the route of a call; literal segments win over parameters."""
        exact = self._exact.get((service, method, path))
        if exact is not None:
            return exact
        segments = path.split('/')
        for template, route in self._templates.get(
            (service, method, len(segments)), ()
        ):
            if _matches(template, segments):
                return route
        return None

    def allowed(self, route: Route, caller: str) -> bool:
        """Returns whether a caller may use a route."""
        if caller in route.denied or '*' in route.denied:
            return False
        callers = self.parts[route.cluster].callers
        return '*' in callers or caller in callers

    def _add(self, service: str, route: Route) -> None:
        if '{' not in route.path:
            self._exact[service, route.method, route.path] = route
            return
        segments = [
            '' if part.startswith('{') else part
            for part in route.path.split('/')
        ]
        key = (service, route.method, len(segments))
        group = self._templates.setdefault(key, [])
        group.append((segments, route))
        group.sort(key=lambda pair: [not part for part in pair[0][1:]])


def _matches(template: list[str], segments: list[str]) -> bool:
    pairs = zip(template, segments, strict=True)
    return all(
        segment == expected if expected else segment
        for expected, segment in list(pairs)[1:]
    )


class Server:
    """A backend server with the observations of this node."""

    __slots__ = (
        'ejected_until',
        'endpoint',
        'failures',
        'first_seen_at',
        'in_flight',
        'load',
        'load_at',
    )

    def __init__(self, endpoint: Endpoint, now: float) -> None:
        """Starts without observations."""
        self.endpoint = endpoint
        self.first_seen_at = now
        self.in_flight = 0
        self.load = 0.0  # percent of the slots, as last reported
        self.load_at = now
        self.failures = 0
        self.ejected_until = float('-inf')


class Balancer:
    """Chooses servers: own zone first, then the better of two random ones.

    Only failures that this node has seen eject a server, for a while; the
    figures that servers announce and report are hints. At most a configured
    share of the servers of a service is ejected at a time.
    """

    def __init__(
        self,
        zone: str,
        rng: Random,
        *,
        ramp_ms: int,
        eject_ms: int,
        eject_percent: int,
    ) -> None:
        """Starts without servers.

        :param zone: this node's availability zone
        :param ramp_ms: time in which a new server reaches its full weight
        :param eject_ms: first ejection time; doubled on each further failure
        :param eject_percent: maximum share of a service's servers to eject
        """
        self.servers: dict[str, Server] = {}
        self._zone = zone
        self._rng = rng
        self._ramp = ramp_ms / MS_PER_S
        self._eject = eject_ms / MS_PER_S
        self._eject_share = eject_percent / PERCENT
        self._by_service: dict[str, dict[str, Server]] = {}
        self._shedding_until: dict[tuple[str, str], float] = {}

    def upsert(self, endpoint: Endpoint, now: float) -> None:
        """Adds or updates an announced endpoint.

        The observations of a server are dropped when it has restarted.
        """
        current = self.servers.get(endpoint.server)
        if (
            current is not None
            and current.endpoint.incarnation == endpoint.incarnation
        ):
            current.endpoint = endpoint
            return
        self.remove(endpoint.server, now)
        server = Server(endpoint, now)
        self.servers[endpoint.server] = server
        self._by_service.setdefault(endpoint.service, {})[endpoint.server] = (
            server
        )

    def remove(self, name: str, now: float) -> None:
        """Removes a server, if it is known."""
        server = self.servers.pop(name, None)
        if server is not None:
            self._by_service[server.endpoint.service].pop(name, None)

    def replace_all(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Replaces the known servers by those of a full list."""
        listed = {endpoint.server: endpoint for endpoint in endpoints}
        for name in set(self.servers) - set(listed):
            self.remove(name, now)
        for endpoint in listed.values():
            self.upsert(endpoint, now)

    def servers_of(self, service: str) -> list[Server]:
        """Returns all known servers of a service."""
        return list(self._by_service.get(service, {}).values())

    def choose(
        self,
        part: Part,
        now: float,
        *,
        avoid: frozenset[str] = NONE_TRIED,
        retrying: bool = False,
    ) -> Server | None:
        """Returns the server for a call, or None when there is none to try.

        :param avoid: servers that this call has already tried
        :param retrying: skip availability zones that shed load
        """
        ready = [
            server
            for server in self._by_service.get(part.service, {}).values()
            if server.endpoint.state == 'ready'
        ]
        usable = [
            server
            for server in self._without_ejected(ready, now)
            if server.endpoint.server not in avoid
        ]
        allowed_zones = [
            server
            for server in usable
            if part.weights.get(server.endpoint.zone, PERCENT) > 0
        ]
        if retrying:
            allowed_zones = [
                server
                for server in allowed_zones
                if not self._zone_sheds(server, now)
            ]
        pool = self._prefer_own_zone(allowed_zones, part, now)
        return self._pick_of_two(pool, part, now) if pool else None

    def call_started(self, server: Server) -> None:
        """Counts a call that is being sent to a server."""
        server.in_flight += 1

    def call_finished(
        self,
        server: Server,
        now: float,
        *,
        healthy: bool | None,
        load: int | None = None,
    ) -> None:
        """Records the end of a call.

        :param healthy: whether the server worked; None when the call doesn't
            show it, for example because it was cancelled
        :param load: load that the response carried, in percent of the slots
        """
        server.in_flight -= 1
        if load is not None:
            server.load = load
            server.load_at = now
        if healthy:
            server.failures = 0
            server.ejected_until = float('-inf')
        elif healthy is False:
            self._record_failure(server, now)

    def record_unresponsive(self, server: Server, now: float) -> None:
        """Counts a failure of a server that is unresponsive during a call."""
        self._record_failure(server, now)

    def record_shed(
        self, server: Server, now: float, retry_after_ms: int
    ) -> None:
        """Records that a server shed a call.

        Retries avoid its availability zone until the retry-after delay ends.
        """
        key = (server.endpoint.service, server.endpoint.zone)
        self._shedding_until[key] = now + retry_after_ms / MS_PER_S

    def _record_failure(self, server: Server, now: float) -> None:
        server.failures += 1
        doublings = server.failures - FAILURES_TO_EJECT
        if doublings >= 0:
            server.ejected_until = now + self._eject * 2 ** min(doublings, 5)

    def _without_ejected(self, ready: list[Server], now: float) -> list[Server]:
        available = [server for server in ready if server.ejected_until <= now]
        allowed = int(len(ready) * self._eject_share)
        if len(ready) - len(available) <= allowed:
            return available
        by_failures = sorted(ready, key=lambda server: server.failures)
        return by_failures[: len(ready) - allowed]

    def _zone_sheds(self, server: Server, now: float) -> bool:
        key = (server.endpoint.service, server.endpoint.zone)
        return self._shedding_until.get(key, now) > now

    def _prefer_own_zone(
        self, servers: list[Server], part: Part, now: float
    ) -> list[Server]:
        local = [
            server for server in servers if server.endpoint.zone == self._zone
        ]
        if not local:
            return servers
        full = all(
            self._utilization(server, part, now) >= 1 for server in local
        )
        return servers if full else local

    def _utilization(self, server: Server, part: Part, now: float) -> float:
        """Returns the estimated load as a share of the slots.

        The reported load fades out as the report ages.
        """
        own = server.in_flight / part.slots
        age = now - server.load_at
        reported = server.load / PERCENT * max(0.0, 1 - age / LOAD_DECAY_S)
        return max(own, reported)

    def _pick_of_two(
        self, pool: list[Server], part: Part, now: float
    ) -> Server:
        first = pool[self._rng.randrange(len(pool))]
        second = pool[self._rng.randrange(len(pool))]
        return min(
            first, second, key=lambda server: self._score(server, part, now)
        )

    def _score(self, server: Server, part: Part, now: float) -> float:
        weight = part.weights.get(server.endpoint.zone, PERCENT) / PERCENT
        utilization = self._utilization(server, part, now) + 1 / part.slots
        return utilization / (weight * self._ramp_weight(server, now))

    def _ramp_weight(self, server: Server, now: float) -> float:
        if not self._ramp:
            return 1.0
        age = now - server.first_seen_at
        return min(1.0, INITIAL_WEIGHT + age / self._ramp)
