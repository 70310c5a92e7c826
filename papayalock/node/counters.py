"""Metrics of a node with register routing."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Registry, render

from papayalock.result import Code


class Counters:
    """Counts calls by result code, and retries, since the process started.

    Every call is counted, so counting is a plain addition. The counts are
    copied to the metrics library only for a scrape.
    """

    __slots__ = (
        '_calls_by_code',
        '_calls',
        '_gauges',
        '_registry',
        '_retry_count',
        '_retries',
    )

    def __init__(self) -> None:
        """Starts at zero."""
        self._calls_by_code: dict[Code, int] = {}
        self._retry_count = 0
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
        """Counts an answered call."""
        self._calls_by_code[code] = self._calls_by_code.get(code, 0) + 1

    def count_retry(self) -> None:
        """Counts a try after a call's first."""
        self._retry_count += 1

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Returns the metrics in the Prometheus text format.

        :param gauges: current values by name, added to the counts
        """
        for code, calls in self._calls_by_code.items():
            self._calls.set({'code': code.name}, calls)
        self._retries.set({}, self._retry_count)
        for name, current in gauges.items():
            self._gauges.set({'what': name}, current)
        text, _ = render(self._registry, [])
        return bytes(text)
