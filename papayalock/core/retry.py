"""Decides whether and when to retry a failed try of a declared operation."""

from dataclasses import dataclass

from papayalock.ports import Random
from papayalock.result import Code

MS_PER_S = 1000
PERCENT = 100
BURST_SECONDS = 10  # unspent budget that may accumulate
RETRYABLE_REFUSALS = frozenset(
    (
        Code.NO_SERVER,
        Code.SHED,
        Code.DRAINING,
        Code.NOT_CONNECTED,
    )
)


class RetryBudget:
    """A token bucket that limits the retries of one service."""

    __slots__ = ('_floor', '_share', '_tokens', '_updated_at')

    def __init__(self, percent: int, floor: int, started_at: float) -> None:
        """Starts empty, as the process before it may have spent its tokens.

        :param percent: retries per hundred calls
        :param floor: retries per second that need no calls
        :param started_at: when the process started, in monotonic seconds
        """
        self._share = percent / PERCENT
        self._floor = floor
        self._tokens = 0.0
        self._updated_at = started_at

    def record_call(self) -> None:
        """Adds the tokens of one call."""
        limit = max(self._floor * BURST_SECONDS, BURST_SECONDS)
        self._tokens = min(self._tokens + self._share, limit)

    def try_spend(self, now: float) -> bool:
        """Spends one retry and returns True, if the budget allows it."""
        limit = max(self._floor * BURST_SECONDS, BURST_SECONDS)
        refilled = self._tokens + (now - self._updated_at) * self._floor
        self._tokens = min(max(self._tokens, refilled), limit)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True, frozen=True)
class Retry:
    """Retry the call after a delay."""

    delay_ms: int


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Return the failure to the caller."""

    code: Code


RetryDecision = Retry | GiveUp


@dataclass(slots=True, frozen=True)
class FailedTry:
    """A failed try, with the facts about its call that decide on a retry."""

    code: Code
    tries: int  # including this one
    repeatable: bool
    outermost: bool  # whether no other call of the mesh caused it
    remaining_ms: int


class RetryPolicy:
    """Retries calls that are safe to send again, at the outermost node only.

    A call is safe to send again when it is idempotent or was not run.
    """

    __slots__ = ('_backoff_ms', '_max_tries', '_rng')

    def __init__(self, max_tries: int, backoff_ms: int, rng: Random) -> None:
        """Sets the limits.

        :param max_tries: tries of one call, including the first
        :param backoff_ms: maximum first delay; it doubles with each try
        """
        self._max_tries = max_tries
        self._backoff_ms = backoff_ms
        self._rng = rng

    def decide(
        self, failed: FailedTry, budget: RetryBudget, now: float
    ) -> RetryDecision:
        """Returns whether to retry, and after which random delay.

        A call that was caused by another call is not retried: the node of the
        outermost call retries the whole call tree, and retries at each level
        of the tree would multiply.
        """
        if not self._may_retry(failed):
            return GiveUp(failed.code)
        delay_ms = self._delay_ms(failed.tries)
        if delay_ms >= failed.remaining_ms or not budget.try_spend(now):
            return GiveUp(failed.code)
        return Retry(delay_ms)

    def _may_retry(self, failed: FailedTry) -> bool:
        if not failed.outermost or failed.tries >= self._max_tries:
            return False
        if failed.code in RETRYABLE_REFUSALS:
            return True
        return failed.repeatable and failed.code.may_have_run

    def _delay_ms(self, tries: int) -> int:
        max_delay_ms = self._backoff_ms * 2 ** (tries - 1)
        return self._rng.randrange(max_delay_ms + 1)
