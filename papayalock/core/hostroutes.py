"""Matches calls to host routes and splits their traffic between services."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from papayalock.core.customers import CustomerTable
from papayalock.core.partnames import (
    LIMITS_PART,
    customer_of,
    policy_of,
    route_of,
    versions_of,
)
from papayalock.messages import (
    CallerLimits,
    HostRoute,
    Part,
    ServicePolicy,
    ServiceVersions,
)
from papayalock.ports import Random

MAX_SKIPPED_TURNS = 100  # the sequence for weights in percent is that long


class HostIndex:
    """The routes of one host, indexed by their prefix."""

    __slots__ = ('_by_prefix', '_lengths', '_longest_first')

    def __init__(self) -> None:
        """Starts without routes."""
        self._by_prefix: dict[str, list[HostRoute]] = {}
        self._lengths: Counter[int] = Counter()
        self._longest_first: list[int] = []

    def __len__(self) -> int:
        """Returns the number of routes."""
        return self._lengths.total()

    def add(self, route: HostRoute) -> None:
        """Adds a route; of two with one prefix the first by name is used."""
        routes = self._by_prefix.setdefault(route.prefix, [])
        routes.append(route)
        routes.sort(key=_route_name)
        self._count_length(len(route.prefix), 1)

    def remove(self, route: HostRoute) -> None:
        """Removes a route that was added."""
        routes = self._by_prefix[route.prefix]
        routes.remove(route)
        if not routes:
            del self._by_prefix[route.prefix]
        self._count_length(len(route.prefix), -1)

    def find(self, path: str) -> HostRoute | None:
        """Returns the route with the longest prefix that matches."""
        for length in self._longest_first:
            routes = self._by_prefix.get(path[:length])
            if routes:
                return routes[0]
        return None

    def _count_length(self, length: int, change: int) -> None:
        self._lengths[length] += change
        if self._lengths[length] > 1:
            return
        self._lengths += Counter()  # drops the lengths without routes
        self._longest_first = sorted(self._lengths, reverse=True)


class HostRouteTable:
    """The host routes of the current configuration, indexed for matching.

    The cost of a change depends on what it changes only, and the cost of a
    match on how many lengths the prefixes of the host have.
    """

    __slots__ = (
        '_by_host',
        'customers',
        'limits',
        'policies',
        'routes',
        'versions',
    )

    def __init__(self, parts: Iterable[Part]) -> None:
        """Indexes the shared parts of a configuration."""
        self.routes: dict[str, HostRoute] = {}
        self.policies: dict[str, ServicePolicy] = {}
        self.limits: CallerLimits | None = None
        self.customers = CustomerTable()
        self.versions: dict[str, ServiceVersions] = {}
        self._by_host: defaultdict[str, HostIndex] = defaultdict(HostIndex)
        self.update(parts, ())

    def update(self, changed: Iterable[Part], removed: Iterable[str]) -> None:
        """Applies a change of the configuration.

        :param changed: parts that are new or different
        :param removed: names of parts
        """
        for name in removed:
            self._remove(name)
        for part in changed:
            self._remove(part.service)
            self._add(part)

    def match(self, host: str, path: str) -> HostRoute | None:
        """Returns the route of a host with the longest prefix that matches."""
        index = self._by_host.get(host)
        return index.find(path) if index else None

    def _add(self, part: Part) -> None:
        if part.host_route is not None:
            route = part.host_route
            self.routes[route.name] = route
            self._by_host[route.host.lower()].add(route)
        if part.policy is not None:
            self.policies[part.policy.service] = part.policy
        if part.limits is not None:
            self.limits = part.limits
        if part.customer is not None:
            self.customers.add(part.customer)
        if part.versions is not None:
            self.versions[part.versions.service] = part.versions

    def _remove(self, name: str) -> None:
        if name == LIMITS_PART:
            self.limits = None
        self.policies.pop(policy_of(name), None)
        self.customers.remove(customer_of(name))
        self.versions.pop(versions_of(name), None)
        route = self.routes.pop(route_of(name), None)
        if route is None:
            return
        host = route.host.lower()
        self._by_host[host].remove(route)
        if not self._by_host[host]:
            del self._by_host[host]


def _route_name(route: HostRoute) -> str:
    return route.name


class TrafficSplitter:
    """Chooses the service of each call of a split route, by weight.

    This is smooth weighted round robin: every call adds to the credit of each
    service its weight, then the service with the most credit is chosen and
    the sum of the weights is subtracted from its credit. The shares of any
    sequence of calls stay within one call of the weights.

    Each node starts at a random point of that sequence. Otherwise all nodes
    would send their first calls to the same service, and with many nodes these
    are most of the calls in the first seconds of a route.
    """

    __slots__ = ('_credits', '_is_reachable', '_rng')

    def __init__(
        self, rng: Random, is_reachable: Callable[[str, float], bool]
    ) -> None:
        """Starts without credit.

        :param is_reachable: whether a service has a server that may take a
            call at a time, in monotonic seconds
        """
        self._credits: dict[str, dict[str, float]] = {}
        self._rng = rng
        self._is_reachable = is_reachable

    def choose(self, route: HostRoute, now: float) -> str:
        """Returns the service for the next call of a route, '' for none.

        The share of a service that cannot be reached goes to the others. A
        service that is only full keeps its share: its calls are refused.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = self._usable_weights(route, now)
        if not weights:
            return ''
        previous = self._credits.get(route.name)
        if previous is None:
            previous = self._random_credits(weights)
        service, credits = _next_in_turn(weights, previous)
        self._credits[route.name] = credits
        return service

    def _usable_weights(self, route: HostRoute, now: float) -> dict[str, float]:
        weights = {
            share.service: share.weight
            for share in route.shares
            if share.weight
        }
        reachable = {
            service: weight
            for service, weight in weights.items()
            if self._is_reachable(service, now)
        }
        return reachable or weights

    def _random_credits(self, weights: dict[str, float]) -> dict[str, float]:
        credits: dict[str, float] = {}
        for _ in range(self._rng.randrange(MAX_SKIPPED_TURNS)):
            _, credits = _next_in_turn(weights, credits)
        return credits


def _next_in_turn(
    weights: dict[str, float], previous: dict[str, float]
) -> tuple[str, dict[str, float]]:
    """Returns the service whose turn it is, and the credits afterwards."""
    credits = {
        name: previous.get(name, 0.0) + weight
        for name, weight in weights.items()
    }
    service = max(credits, key=lambda name: (credits[name], name))
    credits[service] -= sum(weights.values())
    return service, credits
