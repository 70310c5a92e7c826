"""A node's metrics."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Registry, render

from papayalock.result import Code


class Counters:
    """Calls by result code and retries, since the process started.

    Counting is a plain addition, since it is on the path of every call; the
    metrics library sees the counts when they are read.
    """

    __slots__ = (
        '_by_code',
        '_calls',
        '_gauges',
        '_registry',
        '_retried',
        '_retries',
    )

    def __init__(self) -> None:
        """Starts at zero."""
        self._by_code: dict[Code, int] = {}
        self._retried = 0
        self._registry = Registry()
        self._calls = Counter(
            'papayalock_calls_total',
            'Answered calls by result code',
            registry=self._registry,
        )
        self._retries = Counter(
            'papayalock_retries_total',
            'Tries after the first',
            registry=self._registry,
        )
        self._gauges = Gauge(
            'papayalock_state', 'State of this node', registry=self._registry
        )

    def count(self, code: Code) -> None:
        """Counts one answered call."""
        self._by_code[code] = self._by_code.get(code, 0) + 1

    def count_retry(self) -> None:
        """Counts one retry."""
        self._retried += 1

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Returns the Prometheus text form.

        :param gauges: further current values by name
        """
        for code, calls in self._by_code.items():
            self._calls.set({'code': code.name}, calls)
        self._retries.set({}, self._retried)
        for name, current in gauges.items():
            self._gauges.set({'what': name}, current)
        text, _ = render(self._registry, [])
        return bytes(text)
