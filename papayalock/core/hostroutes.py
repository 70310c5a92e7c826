"""Matches calls to host routes and splits their traffic between services."""

from collections.abc import Iterable

from papayalock.messages import CallerLimits, HostRoute, Part, ServicePolicy


class HostRouteTable:
    """The host routes of the current configuration, indexed for matching."""

    __slots__ = ('_by_host', 'limits', 'policies', 'routes')

    def __init__(self, parts: Iterable[Part]) -> None:
        """Indexes the shared parts of a configuration."""
        self.routes: dict[str, HostRoute] = {}
        self.policies: dict[str, ServicePolicy] = {}
        self.limits: CallerLimits | None = None
        self._by_host: dict[str, list[HostRoute]] = {}
        for part in parts:
            self._add(part)
        for routes in self._by_host.values():
            routes.sort(key=_prefix_length, reverse=True)

    def match(self, host: str, path: str) -> HostRoute | None:
        """Returns the route of a host with the longest prefix that matches."""
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
    """Chooses the service of each call of a split route, by weight.

    This is smooth weighted round robin: every call adds to the credit of each
    service its weight, then the service with the most credit is chosen and
    the sum of the weights is subtracted from its credit. The shares of any
    sequence of calls stay within one call of the weights.
    """

    __slots__ = ('_credits',)

    def __init__(self) -> None:
        """Starts without credit."""
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: HostRoute) -> str:
        """Returns the service for the next call of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = {share.service: share.weight for share in route.shares}
        total = sum(weights.values())
        previous = self._credits.get(route.name, {})
        updated = {
            name: previous.get(name, 0.0) + weight
            for name, weight in weights.items()
        }
        service = max(updated, key=lambda name: (updated[name], name))
        updated[service] -= total
        self._credits[route.name] = updated
        return service
