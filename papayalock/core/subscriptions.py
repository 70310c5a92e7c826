"""Services that a node holds because callers asked for them."""

from collections import OrderedDict

MS_PER_S = 1000
MAX_UNKNOWN_NAMES = 256


class Subscriptions:
    """The most recently used services, within a bound.

    Names of no service are remembered for a while, so that callers that use
    them are refused at once and evict no real service.
    """

    __slots__ = ('_limit', '_unknown', '_unknown_s', '_used')

    def __init__(self, limit: int, unknown_ms: int) -> None:
        """Starts empty.

        :param limit: maximum number of services
        :param unknown_ms: time for which an unknown name is refused at once
        """
        self._limit = limit
        self._unknown_s = unknown_ms / MS_PER_S
        self._used: OrderedDict[str, None] = OrderedDict()
        self._unknown: OrderedDict[str, float] = OrderedDict()

    @property
    def names(self) -> list[str]:
        """The subscribed services, sorted."""
        return sorted(self._used)

    def subscribe(self, service: str, now: float) -> bool:
        """Subscribes to a service, unless its name is marked as unknown.

        :returns: whether the service is subscribed
        """
        if self._unknown.get(service, now) > now:
            return False
        self._used[service] = None
        self._used.move_to_end(service)
        while len(self._used) > self._limit:
            self._used.popitem(last=False)
        return True

    def mark_used(self, service: str) -> None:
        """Makes a service the most recently used one."""
        if service in self._used:
            self._used.move_to_end(service)

    def mark_unknown(self, service: str, now: float) -> None:
        """Records that no service has this name."""
        self._used.pop(service, None)
        self._unknown[service] = now + self._unknown_s
        while len(self._unknown) > MAX_UNKNOWN_NAMES:
            self._unknown.popitem(last=False)
