"""A retry budget for each service, split between all nodes.

In any window, the retries of all nodes together stay below a share of the
calls plus a floor. A node may spend most of the share of its own calls, and the
floor divided by the number of nodes.

A node that has just started does not know what the process before it spent in
this window, so for its first window it spends another part of the share, which
no node spends later, and nothing of the floor. The load that this answers:
servers fail for a whole window, while nodes restart again and again.
"""

from collections import deque

MS_PER_S = 1000
# Part of the share that nodes spend. A retried call makes its own calls once
# more, and these are retried as well.
SPENDABLE_PART = 0.7
STARTING_PART = 0.2  # of the share, in the first window after a start


class SlidingCount:
    """Counts events within a sliding window."""

    __slots__ = ('_times', '_window')

    def __init__(self, window_s: float) -> None:
        """Starts empty."""
        self._window = window_s
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Adds an event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Returns the number of events in the window that ends now."""
        times = self._times
        while times and times[0] <= now - self._window:
            times.popleft()
        return len(times)


class SharedBudget:
    """One node's share of the retry budget of one service."""

    __slots__ = (
        '_calls',
        '_floor',
        '_full_at',
        '_retries',
        '_share',
        'spent',
    )

    def __init__(
        self, window_ms: int, share: float, floor: float, started_at: float
    ) -> None:
        """Starts without calls.

        :param share: retries per call, over all nodes
        :param floor: retries per window without any calls, over all nodes
        :param started_at: when the node started, in monotonic seconds
        """
        window_s = window_ms / MS_PER_S
        self.spent = 0  # retries since the start
        self._full_at = started_at + window_s
        self._share = share
        self._floor = floor
        self._calls = SlidingCount(window_s)
        self._retries = SlidingCount(window_s)

    def record_call(self, now: float) -> None:
        """Counts a call, which raises the budget."""
        self._calls.add(now)

    def remaining(self, now: float, nodes: int) -> float:
        """Returns how many retries are still allowed in this window.

        :param nodes: number of nodes that share the floor
        """
        earned = self._calls.count(now) * self._share
        if now < self._full_at:
            allowed = earned * STARTING_PART
        else:
            allowed = earned * SPENDABLE_PART + self._floor / max(1, nodes)
        return allowed - self._retries.count(now)

    def try_spend(self, now: float, nodes: int) -> bool:
        """Spends one retry and returns True, if the budget allows it.

        :param nodes: number of nodes that share the floor
        """
        if self.remaining(now, nodes) < 1:
            return False
        self._retries.add(now)
        self.spent += 1
        return True


class ServiceBudgets:
    """The retry budgets of one node, by service."""

    __slots__ = ('_budgets', '_floor', '_share', '_started_at', '_window_ms')

    def __init__(
        self, window_ms: int, share: float, floor: float, started_at: float
    ) -> None:
        """Starts without services.

        :param share: retries of a service per call of it, over all nodes
        :param floor: retries of a service per window without any calls, over
            all nodes
        :param started_at: when the node started, in monotonic seconds
        """
        self._started_at = started_at
        self._window_ms = window_ms
        self._share = share
        self._floor = floor
        self._budgets: dict[str, SharedBudget] = {}

    def find(self, service: str) -> SharedBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedBudget(
                self._window_ms, self._share, self._floor, self._started_at
            )
            self._budgets[service] = budget
        return budget
