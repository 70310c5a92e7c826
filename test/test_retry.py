"""Retries: only what cannot run twice, within a budget, at one level."""

import random

import pytest

from papayalock.core.deadlines import effective_deadline, forwarded_ms
from papayalock.core.retry import (
    Again,
    Attempted,
    GiveUp,
    RetryBudget,
    RetryPolicy,
)
from papayalock.result import Code


def policy() -> RetryPolicy:
    return RetryPolicy(3, 25, random.Random(1))


def rich() -> RetryBudget:
    return RetryBudget(20, 10, 0.0)


def failed(code: Code, **changes: object) -> Attempted:
    fields = {
        'tries': 1,
        'repeatable': True,
        'outermost': True,
        'remaining_ms': 1000,
        **changes,
    }
    return Attempted(code=code, **fields)


class TestPolicy:
    @pytest.mark.parametrize('code', [one for one in Code if one.may_have_run])
    def test_what_may_have_run_is_repeated_only_when_repeatable(self, code):
        assert isinstance(policy().decide(failed(code), rich(), 0.0), Again)
        once = failed(code, repeatable=False)
        assert policy().decide(once, rich(), 0.0) == GiveUp(code)

    def test_what_did_not_run_is_repeated(self):
        once = failed(Code.SHED, repeatable=False)
        assert isinstance(policy().decide(once, rich(), 0.0), Again)

    @pytest.mark.parametrize(
        'code',
        [
            Code.NO_ROUTE,
            Code.DENIED,
            Code.BAD_REQUEST,
            Code.DEADLINE_BEFORE_RUN,
        ],
    )
    def test_what_would_fail_again_is_not_repeated(self, code):
        assert isinstance(policy().decide(failed(code), rich(), 0.0), GiveUp)

    @pytest.mark.parametrize(
        'change', [{'outermost': False}, {'tries': 3}, {'remaining_ms': 0}]
    )
    def test_bounds(self, change):
        assert isinstance(
            policy().decide(failed(Code.SHED, **change), rich(), 0.0), GiveUp
        )

    def test_backoff_has_full_jitter_and_doubles(self):
        chosen = policy()
        first = [
            chosen.decide(failed(Code.SHED), rich(), 0.0).delay_ms
            for _ in range(100)
        ]
        second = [
            chosen.decide(failed(Code.SHED, tries=2), rich(), 0.0).delay_ms
            for _ in range(100)
        ]
        assert 0 <= min(first) <= max(first) <= 25
        assert 25 < max(second) <= 50
        assert len(set(first)) > 10


class TestBudget:
    def test_retries_are_a_share_of_calls(self):
        budget = RetryBudget(20, 0, 0.0)
        taken = 0
        for _ in range(1000):
            budget.called()
            taken += budget.take(0.0)
        assert 190 <= taken <= 200

    def test_a_failing_tree_eleven_deep_is_not_multiplied(self):
        chosen = policy()
        budgets = [rich() for _ in range(11)]
        calls = 1
        for depth, budget in enumerate(budgets):
            tries = 1
            outermost = depth == 0
            while isinstance(
                chosen.decide(
                    failed(
                        Code.UNKNOWN_BROKEN, tries=tries, outermost=outermost
                    ),
                    budget,
                    0.0,
                ),
                Again,
            ):
                tries += 1
            calls *= tries
        assert calls == 3


class TestDeadline:
    @pytest.mark.parametrize(
        ('header', 'expected'),
        [
            ('', 500),
            ('200', 200),
            ('9000', 500),
            ('-5', 500),
            ('abc', 500),
            ('٣', 500),
            ('0', 1),
        ],
    )
    def test_the_earlier_deadline_counts(self, header, expected):
        assert effective_deadline(500, header, 10.0).remaining_ms(
            10.0
        ) == pytest.approx(expected, abs=1)

    def test_time_shrinks_on_the_way(self):
        deadline = effective_deadline(500, '', 10.0)
        assert forwarded_ms(deadline, 10.1) < 400
        assert forwarded_ms(deadline, 99.0) == 1
