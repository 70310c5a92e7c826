"""Calls that reach a failing leaf per root call, in a call chain 11 deep.

Each level has the production retry policy with a budget of its own. A level
is a function here instead of a node, since calls are counted, not timed.
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
ROOT_CALLS = 300
MAX_TRIES = 3
UNBOUNDED_ROOT_CALLS = 2
FAIL_SHARE = 1.0


class CallChain:
    """Levels between a root call and the leaf, and the calls at the leaf."""

    def __init__(
        self, seed: int, *, budget: bool, outermost_only: bool
    ) -> None:
        """Creates the levels.

        :param budget: use a retry budget of 20 % with a floor of 3 instead
            of one of 100 % with a floor of 1000
        :param outermost_only: let only the outermost level retry
        """
        rng = random.Random(seed)
        self._policy = RetryPolicy(MAX_TRIES, 25, rng)
        percent, floor = (20, 3) if budget else (100, 1000)
        self._budgets = [RetryBudget(percent, floor, 0.0) for _ in range(DEPTH)]
        self._outermost_only = outermost_only
        self.leaf_calls = 0

    def call(self, level: int, now: float) -> None:
        """Makes a call at a level, with its retries; the leaf always fails."""
        if level == DEPTH:
            self.leaf_calls += 1
            return
        budget = self._budgets[level]
        budget.record_call()
        tries = 0
        while True:
            self.call(level + 1, now)
            tries += 1
            outermost = level == 0 or not self._outermost_only
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
    """Counts leaf calls with both limits, with each alone and with neither."""
    return {
        'leaf_per_root': _leaf_calls_per_root(
            seed, ROOT_CALLS, budget=True, outermost_only=True
        ),
        'leaf_per_root_no_budget': _leaf_calls_per_root(
            seed, ROOT_CALLS, budget=False, outermost_only=True
        ),
        'leaf_per_root_every_level': _leaf_calls_per_root(
            seed, ROOT_CALLS, budget=True, outermost_only=False
        ),
        'leaf_per_root_unbounded': _leaf_calls_per_root(
            seed, UNBOUNDED_ROOT_CALLS, budget=False, outermost_only=False
        ),
    }


def _leaf_calls_per_root(
    seed: int, calls: int, *, budget: bool, outermost_only: bool
) -> float:
    chain = CallChain(seed, budget=budget, outermost_only=outermost_only)
    for number in range(calls):
        chain.call(0, number * 0.01)
    return chain.leaf_calls / calls
