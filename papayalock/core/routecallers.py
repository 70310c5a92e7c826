"""Which routes only the servers of one service call.

Every VM has callers of its own beside its server, so a route that callers use
is called from VMs of all services. One that is called from the VMs of a single
service is called by its servers, while they hold a slot for another call. To
refuse such a call wastes that work.

The load that it answers: a service that is full of first calls and of calls
that the work on others waits for.
"""

MIN_CALLS = 40  # of a route, before its callers are judged
MAX_ROUTES = 1024


class RouteCallers:
    """The services from whose VMs the calls of each route come."""

    __slots__ = ('_by_route', '_services')

    def __init__(self) -> None:
        """Starts without calls."""
        self._by_route: dict[str, dict[str, int]] = {}
        self._services: set[str] = set()

    def record(self, route: str, caller: str) -> None:
        """Counts a call.

        :param caller: service of the VM where it began
        """
        self._services.add(caller)
        calls = self._by_route.setdefault(route, {})
        calls[caller] = calls.get(caller, 0) + 1
        if len(self._by_route) > MAX_ROUTES:
            del self._by_route[next(iter(self._by_route))]

    def is_nested(self, route: str) -> bool:
        """Returns whether servers call a route while they run other calls."""
        calls = self._by_route.get(route, {})
        if len(calls) != 1 or len(self._services) == 1:
            return False
        return sum(calls.values()) >= MIN_CALLS
