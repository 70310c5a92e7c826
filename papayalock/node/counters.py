"""A node's metrics."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Registry, render

from papayalock.result import Code


class Counters:
    """Calls by result code and retries, since the process started."""

    __slots__ = ('_calls', '_gauges', '_registry', '_retries')

    def __init__(self) -> None:
        """Starts at zero."""
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
        self._calls.inc({'code': code.name})

    def retried(self) -> None:
        """Counts one retry."""
        self._retries.inc({})

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Returns the Prometheus text form.

        :param gauges: further current values by name
        """
        for name, current in gauges.items():
            self._gauges.set({'what': name}, current)
        text, _ = render(self._registry, [])
        return bytes(text)
