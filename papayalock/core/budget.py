"""The retry budget of a service, of which every node holds its share.

The bound is on all nodes together: in any window, repeats are at most a share
of the calls plus a floor. A node spends the share on its own calls only, and
the floor divided by the number of nodes.
"""

from collections import deque

SAFETY = 0.7  # part of the share spent; the calls of a repeated run repeat too


class SlidingCount:
    """Counts events within a sliding window."""

    __slots__ = ('_times', '_window')

    def __init__(self, window_s: float) -> None:
        """Starts empty."""
        self._window = window_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Counts one event."""
        self._times.append(now)

    def within(self, now: float) -> int:
        """Returns the events of the last window."""
        times = self._times
        while times and times[0] <= now - self._window:
            times.popleft()
        return len(times)


class SharedBudget:
    """One node's share of the retry budget of one service."""

    __slots__ = ('_calls', '_floor', '_repeats', '_share')

    def __init__(self, window_ms: int, share: float, floor: float) -> None:
        """Starts unspent.

        :param share: repeats to calls, over all nodes
        :param floor: repeats in a window whatever the calls, over all nodes
        """
        window_s = window_ms / 1000
        self._share = share * SAFETY
        self._floor = floor
        self._calls = SlidingCount(window_s)
        self._repeats = SlidingCount(window_s)

    def record_call(self, now: float) -> None:
        """Notes a call."""
        self._calls.add(now)

    def remaining(self, now: float, nodes: int) -> float:
        """Returns how many repeats may still be sent in this window."""
        calls = self._calls.within(now)
        allowed = calls * self._share + self._floor / max(1, nodes)
        return allowed - self._repeats.within(now)

    def try_spend(self, now: float, nodes: int) -> bool:
        """Whether one more repeat fits; it is then spent.

        :param nodes: number of nodes that share the floor
        """
        if self.remaining(now, nodes) < 1:
            return False
        self._repeats.add(now)
        return True
