"""Matches calls to host routes and spreads them over the parts of a split."""

from collections.abc import Iterable

from papayalock.messages import CallerLimits, HostRoute, Part, ServicePolicy


class HostRouteTable:
    """The host routes in force on a node, ready for matching."""

    __slots__ = ('_by_host', 'limits', 'policies', 'routes')

    def __init__(self, parts: Iterable[Part]) -> None:
        """Compiles the shared parts of a configuration."""
        self.routes: dict[str, HostRoute] = {}
        self.policies: dict[str, ServicePolicy] = {}
        self.limits: CallerLimits | None = None
        self._by_host: dict[str, list[HostRoute]] = {}
        for part in parts:
            self._add(part)
        for routes in self._by_host.values():
            routes.sort(key=_prefix_length, reverse=True)

    def match(self, host: str, path: str) -> HostRoute | None:
        """Returns the route of the host with the longest prefix of a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def _add(self, part: Part) -> None:
        if part.host_route is not None:
            route = part.host_route
            self.routes[route.name] = route
            self._by_host.setdefault(route.host.lower(), []).append(route)
        if part.policy is not None:
            self.policies[part.policy.service] = part.policy
        if part.limits is not None:
            self.limits = part.limits


def _prefix_length(route: HostRoute) -> int:
    return len(route.prefix)


class TrafficSplitter:
    """Chooses the service of a split route so that each gets its weight.

    Every call raises the credit of each service by its weight, and the one
    with the most credit is chosen and pays the sum. The shares of any run of
    calls then stay within one call of the weights.
    """

    __slots__ = ('_credits',)

    def __init__(self) -> None:
        """Starts without credit."""
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: HostRoute) -> str:
        """Returns the service for the next call of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = {one.service: one.weight for one in route.shares}
        total = sum(weights.values())
        known = self._credits.get(route.name, {})
        current = {
            name: known.get(name, 0.0) + weight
            for name, weight in weights.items()
        }
        chosen = max(current, key=lambda name: (current[name], name))
        current[chosen] -= total
        self._credits[route.name] = current
        return chosen
