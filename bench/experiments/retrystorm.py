"""A tree of calls 11 deep with a failing leaf: calls at the leaf per root call.

Each level is the real retry policy with its own budget; levels are functions
here, since what is measured is a count and no time.
"""

import random

from papayalock.core.retry import (
    FailedTry,
    Retry,
    RetryBudget,
    RetryPolicy,
)
from papayalock.result import Code

DEPTH = 11
CALLS = 300
TRIES = 3
UNBOUNDED_CALLS = 2
FAIL_SHARE = 1.0


class Tree:
    """The levels between a root call and the leaf."""

    def __init__(self, seed: int, *, budget: bool, one_level: bool) -> None:
        """Chooses what bounds retries."""
        rng = random.Random(seed)
        self._policy = RetryPolicy(TRIES, 25, rng)
        percent, floor = (20, 3) if budget else (100, 1000)
        self._budgets = [RetryBudget(percent, floor, 0.0) for _ in range(DEPTH)]
        self._one_level = one_level
        self.leaf = 0

    def call(self, level: int, now: float) -> None:
        """Makes a call at a level; the leaf always fails."""
        if level == DEPTH:
            self.leaf += 1
            return
        budget = self._budgets[level]
        budget.record_call()
        tries = 0
        while True:
            self.call(level + 1, now)
            tries += 1
            outermost = level == 0 or not self._one_level
            failed = FailedTry(
                Code.UNKNOWN_BROKEN,
                tries,
                repeatable=True,
                outermost=outermost,
                remaining_ms=10_000,
            )
            if not isinstance(self._policy.decide(failed, budget, now), Retry):
                return


def run(seed: int) -> dict[str, float]:
    """Counts with both bounds, with one of them, and with neither."""
    return {
        'leaf_per_root': _ratio(seed, CALLS, budget=True, one_level=True),
        'leaf_per_root_no_budget': _ratio(
            seed, CALLS, budget=False, one_level=True
        ),
        'leaf_per_root_every_level': _ratio(
            seed, CALLS, budget=True, one_level=False
        ),
        'leaf_per_root_unbounded': _ratio(
            seed, UNBOUNDED_CALLS, budget=False, one_level=False
        ),
    }


def _ratio(seed: int, calls: int, *, budget: bool, one_level: bool) -> float:
    tree = Tree(seed, budget=budget, one_level=one_level)
    for number in range(calls):
        tree.call(0, number * 0.01)
    return tree.leaf / calls
