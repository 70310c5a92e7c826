"""How late this process's event loop runs its timers.

A node that is short of processor time reads late what others sent in time.
"""

MS = 1000  # milliseconds in a second


class LoopLag:
    """The greatest lateness of a periodic timer, of late."""

    __slots__ = ('_before', '_current', '_due', '_interval')

    def __init__(self, interval_s: float) -> None:
        """Starts without a measurement.

        :param interval_s: interval of the timer
        """
        self._interval = interval_s
        self._due: float | None = None
        self._before = 0.0
        self._current = 0.0

    def record_run(self, now: float) -> None:
        """Takes in that the timer has run."""
        self._before = self._current
        self._current = 0.0
        if self._due is not None:
            self._current = max(0.0, now - self._due)
        self._due = now + self._interval

    def max_lag_ms(self, now: float) -> float:
        """Returns the lateness of the newest runs, or of one still awaited."""
        overdue = 0.0 if self._due is None else max(0.0, now - self._due)
        return round(max(self._before, self._current, overdue) * MS, 1)
