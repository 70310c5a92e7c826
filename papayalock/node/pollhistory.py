"""When control VMs answered a node's polls, for logs and metrics."""

import logging
from collections.abc import Callable

from papayalock.ports import Clock
from papayalock.reachability import ReachabilityLog

MS_PER_S = 1000
NEVER_MS = -1  # stands for a time before the first answer


class PollHistory:
    """Records the answered and the failed polls of a node.

    The line of a failure has the load of the node, which tells a full link, a
    node short of processor time and a lost control VM apart.
    """

    def __init__(self, log: logging.Logger, clock: Clock) -> None:
        """Starts without polls."""
        self.read_load: Callable[[], dict[str, float]] = dict
        self.answer_gap_ms = NEVER_MS  # between the last two answers
        self._clock = clock
        self._answered_at: float | None = None
        self._reachability = ReachabilityLog(log, 'control VM')

    @property
    def answered_ms_ago(self) -> int:
        """Time since a control VM last answered."""
        if self._answered_at is None:
            return NEVER_MS
        return round((self._clock.monotonic() - self._answered_at) * MS_PER_S)

    def record_answer(self, address: str) -> None:
        """Records the answer of a control VM."""
        now = self._clock.monotonic()
        self._reachability.mark_reachable(address, now)
        self.answer_gap_ms = self.answered_ms_ago
        self._answered_at = now

    def record_failure(
        self, address: str, exc: Exception, version: int
    ) -> None:
        """Records a poll without a usable answer.

        :param version: the version that the node continues with
        """
        self._reachability.mark_unreachable(
            address,
            f'{type(exc).__name__}: {exc}',
            self._clock.monotonic(),
            version=version,
            answered_ms_ago=self.answered_ms_ago,
            **self.read_load(),
        )
