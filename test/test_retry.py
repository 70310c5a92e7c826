"""Retries: only safe ones, within a budget, at the outermost node."""

import random

import pytest

from papayalock.core.deadlines import effective_deadline, forwarded_ms
from papayalock.core.retry import (
    FailedTry,
    GiveUp,
    Retry,
    RetryBudget,
    RetryPolicy,
)
from papayalock.result import Code


def policy() -> RetryPolicy:
    return RetryPolicy(3, 25, random.Random(1))


def ample_budget() -> RetryBudget:
    """Returns a budget with the tokens of one second."""
    return RetryBudget(20, 10, -1.0)


def failed(code: Code, **changes: object) -> FailedTry:
    fields = {
        'tries': 1,
        'repeatable': True,
        'outermost': True,
        'remaining_ms': 1000,
        **changes,
    }
    return FailedTry(code=code, **fields)


class TestPolicy:
    @pytest.mark.parametrize(
        'code', [code for code in Code if code.may_have_run]
    )
    def test_call_that_may_have_run_is_retried_only_if_idempotent(self, code):
        assert isinstance(
            policy().decide(failed(code), ample_budget(), 0.0), Retry
        )
        not_idempotent = failed(code, repeatable=False)
        assert policy().decide(not_idempotent, ample_budget(), 0.0) == GiveUp(
            code
        )

    def test_call_that_did_not_run_is_retried(self):
        not_idempotent = failed(Code.SHED, repeatable=False)
        assert isinstance(
            policy().decide(not_idempotent, ample_budget(), 0.0), Retry
        )

    @pytest.mark.parametrize(
        'code',
        [
            Code.NO_ROUTE,
            Code.DENIED,
            Code.BAD_REQUEST,
            Code.DEADLINE_BEFORE_RUN,
        ],
    )
    def test_permanent_failure_is_not_retried(self, code):
        assert isinstance(
            policy().decide(failed(code), ample_budget(), 0.0), GiveUp
        )

    @pytest.mark.parametrize(
        'change', [{'outermost': False}, {'tries': 3}, {'remaining_ms': 0}]
    )
    def test_limits_prevent_a_retry(self, change):
        assert isinstance(
            policy().decide(failed(Code.SHED, **change), ample_budget(), 0.0),
            GiveUp,
        )

    def test_backoff_has_full_jitter_and_doubles(self):
        retry_policy = policy()
        first = [
            retry_policy.decide(failed(Code.SHED), ample_budget(), 0.0).delay_ms
            for _ in range(100)
        ]
        second = [
            retry_policy.decide(
                failed(Code.SHED, tries=2), ample_budget(), 0.0
            ).delay_ms
            for _ in range(100)
        ]
        assert 0 <= min(first) <= max(first) <= 25
        assert 25 < max(second) <= 50
        assert len(set(first)) > 10


class TestBudget:
    def test_retries_are_a_share_of_calls(self):
        budget = RetryBudget(20, 0, 0.0)
        granted = 0
        for _ in range(1000):
            budget.record_call()
            granted += budget.try_spend(0.0)
        assert 190 <= granted <= 200

    def test_a_process_that_restarts_gets_no_retries_anew(self):
        granted = 0
        for restart in range(100):
            budget = RetryBudget(20, 10, restart / 10)
            for _ in range(20):
                granted += budget.try_spend(restart / 10 + 0.09)
        assert granted <= 10 * 10  # the floor of ten seconds

    def test_retries_do_not_multiply_down_a_call_tree(self):
        retry_policy = policy()
        budgets = [ample_budget() for _ in range(11)]
        calls = 1
        for depth, budget in enumerate(budgets):
            tries = 1
            outermost = depth == 0
            while isinstance(
                retry_policy.decide(
                    failed(
                        Code.UNKNOWN_BROKEN, tries=tries, outermost=outermost
                    ),
                    budget,
                    0.0,
                ),
                Retry,
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
    def test_earlier_deadline_wins(self, header, expected):
        assert effective_deadline(500, header, 10.0).remaining_ms(
            10.0
        ) == pytest.approx(expected, abs=1)

    def test_forwarded_time_shrinks(self):
        deadline = effective_deadline(500, '', 10.0)
        assert forwarded_ms(deadline, 10.1) < 400
        assert forwarded_ms(deadline, 99.0) == 1
