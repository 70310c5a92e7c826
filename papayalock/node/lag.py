"""Measures how late the event loop runs a periodic timer.

A node that is short of processor time also reads messages late that arrived
in time.
"""

MS_PER_S = 1000


class LoopLag:
    """The event loop lag over the last two runs of a periodic timer."""

    __slots__ = ('_previous_s', '_current_s', '_due_at', '_interval_s')

    def __init__(self, interval_s: float) -> None:
        """Starts without a measurement.

        :param interval_s: interval of the timer
        """
        self._interval_s = interval_s
        self._due_at: float | None = None
        self._previous_s = 0.0
        self._current_s = 0.0

    def record_run(self, now: float) -> None:
        """Records a run of the timer and how late it was.

        :param now: monotonic seconds
        """
        self._previous_s = self._current_s
        self._current_s = 0.0
        if self._due_at is not None:
            self._current_s = max(0.0, now - self._due_at)
        self._due_at = now + self._interval_s

    def max_lag_ms(self, now: float) -> float:
        """Returns the greatest lag of the last two runs and of an overdue one.

        :param now: monotonic seconds
        """
        overdue_s = (
            0.0 if self._due_at is None else max(0.0, now - self._due_at)
        )
        return round(
            max(self._previous_s, self._current_s, overdue_s) * MS_PER_S, 1
        )
