"""Matches calls to routes and chooses the backend server that runs each."""

from collections.abc import Iterable

from papayalock.messages import Endpoint, Part, Route
from papayalock.ports import Random

MS = 1000  # milliseconds in a second
PERCENT = 100
FAILURES_TO_EJECT = 3
COLD_SHARE = 0.1  # weight of a server that has just started
LOAD_LASTS_S = 2.0  # age at which a reported load counts as nothing


TemplateKey = tuple[str, str, int]  # service, method, segments
Template = tuple[list[str], Route]
NONE_TRIED: frozenset[str] = frozenset()


class RouteTable:
    """The routes of the configuration in force, ready for matching."""

    def __init__(self, parts: Iterable[Part]) -> None:
        """Compiles every part."""
        self.parts = {part.service: part for part in parts}
        self._exact: dict[tuple[str, str, str], Route] = {}
        self._templates: dict[TemplateKey, list[Template]] = {}
        for part in self.parts.values():
            for route in part.routes:
                self._add(part.service, route)

    def match(self, service: str, method: str, path: str) -> Route | None:
        """Returns the route of a call; an exact segment wins over a template."""
        exact = self._exact.get((service, method, path))
        if exact is not None:
            return exact
        segments = path.split('/')
        for template, route in self._templates.get(
            (service, method, len(segments)), ()
        ):
            if _fits(template, segments):
                return route
        return None

    def allowed(self, route: Route, caller: str) -> bool:
        """Whether a caller may use a route."""
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


def _fits(template: list[str], segments: list[str]) -> bool:
    pairs = zip(template, segments, strict=True)
    return all(
        segment == want if want else segment
        for want, segment in list(pairs)[1:]
    )


class Server:
    """One backend server as this node sees it."""

    __slots__ = (
        'ejected_until',
        'endpoint',
        'failures',
        'in_flight',
        'first_seen_at',
        'load',
        'load_at',
    )

    def __init__(self, endpoint: Endpoint, now: float) -> None:
        """Starts without observations."""
        self.endpoint = endpoint
        self.first_seen_at = now
        self.in_flight = 0
        self.load = 0.0
        self.load_at = now
        self.failures = 0
        self.ejected_until = float('-inf')


class Balancer:
    """Chooses servers: own zone first, then the better of two random ones.

    Own observations decide; announced and reported figures are hints. Ejection
    never takes more than a set share of a service's servers out of use.
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
        :param ramp_ms: time over which a started server reaches full weight
        :param eject_ms: first ejection time; doubled on each further failure
        :param eject_percent: share of a service's servers ejected at most
        """
        self.servers: dict[str, Server] = {}
        self._zone = zone
        self._rng = rng
        self._ramp = ramp_ms / MS
        self._eject = eject_ms / MS
        self._eject_share = eject_percent / PERCENT
        self._by_service: dict[str, dict[str, Server]] = {}
        self._shedding: dict[tuple[str, str], float] = {}

    def upsert(self, endpoint: Endpoint, now: float) -> None:
        """Takes in an announced endpoint; a restarted one starts afresh."""
        known = self.servers.get(endpoint.server)
        if (
            known is not None
            and known.endpoint.incarnation == endpoint.incarnation
        ):
            known.endpoint = endpoint
            return
        self.remove(endpoint.server)
        server = Server(endpoint, now)
        self.servers[endpoint.server] = server
        self._by_service.setdefault(endpoint.service, {})[endpoint.server] = (
            server
        )

    def remove(self, name: str) -> None:
        """Forgets a server."""
        known = self.servers.pop(name, None)
        if known is not None:
            self._by_service[known.endpoint.service].pop(name, None)

    def replace_all(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Makes the known servers exactly these."""
        fresh = {one.server: one for one in endpoints}
        for name in set(self.servers) - set(fresh):
            self.remove(name)
        for endpoint in fresh.values():
            self.upsert(endpoint, now)

    def servers_of(self, service: str) -> list[Server]:
        """Returns every server of a service."""
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
        :param retrying: leaves out availability zones that shed load
        """
        ready = [
            one
            for one in self._by_service.get(part.service, {}).values()
            if one.endpoint.state == 'ready'
        ]
        usable = [
            one
            for one in self._unejected(ready, now)
            if one.endpoint.server not in avoid
        ]
        open_zones = [
            one
            for one in usable
            if part.weights.get(one.endpoint.zone, PERCENT) > 0
        ]
        if retrying:
            open_zones = [
                one for one in open_zones if not self._sheds(one, now)
            ]
        pool = self._zone_first(open_zones, part, now)
        return self._better_of_two(pool, part, now) if pool else None

    def call_started(self, server: Server) -> None:
        """Notes a call sent to a server."""
        server.in_flight += 1

    def call_finished(
        self,
        server: Server,
        now: float,
        *,
        healthy: bool | None,
        load: int | None = None,
    ) -> None:
        """Notes the end of a call.

        :param healthy: whether the server proved to work; None when the call
            told nothing, such as a cancelled one
        :param load: load in percent of the slots that the answer carried
        """
        server.in_flight -= 1
        if load is not None:
            server.load = load
            server.load_at = now
        if healthy:
            server.failures = 0
            server.ejected_until = float('-inf')
        elif healthy is False:
            self._failed(server, now)

    def record_unresponsive(self, server: Server, now: float) -> None:
        """Notes that a server is silent on a call that still goes on."""
        self._failed(server, now)

    def record_shed(
        self, server: Server, now: float, retry_after_ms: int
    ) -> None:
        """Notes that a server refused for lack of room."""
        key = (server.endpoint.service, server.endpoint.zone)
        self._shedding[key] = now + retry_after_ms / MS

    def _failed(self, server: Server, now: float) -> None:
        server.failures += 1
        extra = server.failures - FAILURES_TO_EJECT
        if extra >= 0:
            server.ejected_until = now + self._eject * 2 ** min(extra, 5)

    def _unejected(self, ready: list[Server], now: float) -> list[Server]:
        kept = [one for one in ready if one.ejected_until <= now]
        allowed = int(len(ready) * self._eject_share)
        if len(ready) - len(kept) <= allowed:
            return kept
        by_failures = sorted(ready, key=lambda one: one.failures)
        return by_failures[: len(ready) - allowed]

    def _sheds(self, server: Server, now: float) -> bool:
        key = (server.endpoint.service, server.endpoint.zone)
        return self._shedding.get(key, now) > now

    def _zone_first(
        self, servers: list[Server], part: Part, now: float
    ) -> list[Server]:
        local = [one for one in servers if one.endpoint.zone == self._zone]
        if not local:
            return servers
        full = all(self._pressure(one, part, now) >= 1 for one in local)
        return servers if full else local

    def _pressure(self, server: Server, part: Part, now: float) -> float:
        """Returns the estimated load as a share of the slots."""
        own = server.in_flight / part.slots
        age = now - server.load_at
        reported = server.load / PERCENT * max(0.0, 1 - age / LOAD_LASTS_S)
        return max(own, reported)

    def _better_of_two(
        self, pool: list[Server], part: Part, now: float
    ) -> Server:
        first = pool[self._rng.randrange(len(pool))]
        second = pool[self._rng.randrange(len(pool))]
        return min(first, second, key=lambda one: self._score(one, part, now))

    def _score(self, server: Server, part: Part, now: float) -> float:
        weight = part.weights.get(server.endpoint.zone, PERCENT) / PERCENT
        pressure = self._pressure(server, part, now) + 1 / part.slots
        return pressure / (weight * self._warmth(server, now))

    def _warmth(self, server: Server, now: float) -> float:
        if not self._ramp:
            return 1.0
        age = now - server.first_seen_at
        return min(1.0, COLD_SHARE + age / self._ramp)
