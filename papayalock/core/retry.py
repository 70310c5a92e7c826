"""Decides whether a failed try is repeated, and when."""

from dataclasses import dataclass

from papayalock.ports import Random
from papayalock.result import Code

MS = 1000  # milliseconds in a second
PERCENT = 100
BURST_SECONDS = 10  # budget that may be saved up
WORTH_RETRYING = frozenset(
    (
        Code.NO_SERVER,
        Code.SHED,
        Code.DRAINING,
        Code.NOT_CONNECTED,
    )
)


class RetryBudget:
    """Retries allowed for one service, as a share of its calls."""

    __slots__ = ('_floor', '_last', '_share', '_tokens')

    def __init__(self, percent: int, floor: int, now: float) -> None:
        """Starts with the floor's worth of tokens.

        :param percent: retries per hundred calls
        :param floor: retries a second allowed whatever the calls
        """
        self._share = percent / PERCENT
        self._floor = floor
        self._tokens = float(floor)
        self._last = now

    def called(self) -> None:
        """Notes a first try."""
        limit = max(self._floor * BURST_SECONDS, BURST_SECONDS)
        self._tokens = min(self._tokens + self._share, limit)

    def take(self, now: float) -> bool:
        """Whether one more retry fits the budget; it is then spent."""
        limit = max(self._floor * BURST_SECONDS, BURST_SECONDS)
        grown = self._tokens + (now - self._last) * self._floor
        self._tokens = min(max(self._tokens, grown), limit)
        self._last = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True, frozen=True)
class Again:
    """The call is tried again after a delay."""

    delay_ms: int


@dataclass(slots=True, frozen=True)
class GiveUp:
    """The outcome is final."""

    code: Code


RetryDecision = Again | GiveUp


@dataclass(slots=True, frozen=True)
class Attempted:
    """A failed try and what is known of its call."""

    code: Code
    tries: int
    repeatable: bool
    outermost: bool
    remaining_ms: int


class RetryPolicy:
    """Retries only what cannot run twice, only at the outermost level."""

    __slots__ = ('_backoff_ms', '_rng', '_tries')

    def __init__(self, tries: int, backoff_ms: int, rng: Random) -> None:
        """Keeps the bounds.

        :param tries: tries of one call, the first included
        :param backoff_ms: upper bound of the first delay; it doubles each try
        """
        self._tries = tries
        self._backoff_ms = backoff_ms
        self._rng = rng

    def decide(
        self, failed: Attempted, budget: RetryBudget, now: float
    ) -> RetryDecision:
        """Returns whether a failed try is repeated.

        A call below another call is never retried here, since the node of the
        outermost call already does so.
        """
        if not self._may_repeat(failed):
            return GiveUp(failed.code)
        delay_ms = self._delay_ms(failed.tries)
        if delay_ms >= failed.remaining_ms or not budget.take(now):
            return GiveUp(failed.code)
        return Again(delay_ms)

    def _may_repeat(self, failed: Attempted) -> bool:
        if not failed.outermost or failed.tries >= self._tries:
            return False
        if failed.code in WORTH_RETRYING:
            return True
        return failed.repeatable and failed.code.may_have_run

    def _delay_ms(self, tries: int) -> int:
        ceiling = self._backoff_ms * 2 ** (tries - 1)
        return self._rng.randrange(ceiling + 1)
