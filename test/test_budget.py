"""The shared retry budget and what follows a failed try."""

import pytest

from papayalock.core.budget import SharedBudget
from papayalock.core.hedging import CallProgress, NextAction, next_action
from papayalock.result import Code


def budget(floor: int = 60) -> SharedBudget:
    return SharedBudget(window_ms=10_000, share=0.2, floor=floor)


class TestBudget:
    def test_all_nodes_together_stay_within_the_floor(self):
        nodes = [budget() for _ in range(10)]
        taken = sum(
            one.try_spend(1.0, nodes=10) for one in nodes for _ in range(100)
        )
        assert taken <= 60

    def test_the_share_grows_with_the_calls(self):
        one = budget(floor=0)
        for _ in range(100):
            one.record_call(0)
        assert 0 < sum(one.try_spend(1.0, nodes=1) for _ in range(100)) <= 20

    def test_any_window_keeps_the_bound(self):
        one = budget(floor=10)
        times = [
            step / 10
            for step in range(400)
            if one.try_spend(step / 10, nodes=1)
        ]
        for start in times:
            assert sum(start <= at < start + 10 for at in times) <= 10


class TestNextStep:
    def step(
        self,
        code: Code,
        *,
        arrived: bool = False,
        has_untried: bool = True,
        **changes,
    ) -> NextAction:
        fields = {
            'repeatable': True,
            'max_runs': 2,
            'max_refusals': 3,
            'deadline_at': 10.0,
            **changes,
        }
        return next_action(
            CallProgress(**fields),
            code,
            arrived=arrived,
            has_untried=has_untried,
            now=1.0,
            service_s=0.1,
            budget=budget(),
            nodes=1,
        )

    @pytest.mark.parametrize('repeatable', [True, False])
    def test_what_no_server_saw_goes_to_another_without_cost(self, repeatable):
        step = self.step(Code.SHED, repeatable=repeatable)
        assert step is NextAction.ASK_ANOTHER

    def test_a_call_joins_a_queue_once_asking_took_its_share(self):
        assert self.step(Code.SHED, queue_after=0.5) is NextAction.WAIT
        assert self.step(Code.SHED, queue_after=5.0) is NextAction.ASK_ANOTHER

    def test_a_call_whose_queue_went_away_joins_another(self):
        for code in (Code.DRAINING, Code.NO_SERVER, Code.NOT_CONNECTED):
            assert self.step(code, may_queue=True) is NextAction.WAIT
        assert self.step(Code.SHED, may_queue=True) is NextAction.GIVE_UP
        assert (
            self.step(Code.DRAINING, may_queue=True, refusals=3)
            is NextAction.GIVE_UP
        )

    def test_a_call_that_may_have_run_is_repeated_only_when_allowed(self):
        code = Code.UNKNOWN_BROKEN
        assert self.step(code, arrived=True, runs=1) is NextAction.REPEAT
        assert (
            self.step(code, arrived=True, runs=1, repeatable=False)
            is NextAction.GIVE_UP
        )

    def test_what_a_server_refused_may_go_on_within_the_budget(self):
        step = self.step(Code.SHED, arrived=True, repeatable=False)
        assert step is NextAction.REPEAT

    def test_no_more_servers_than_allowed_run_a_call(self):
        step = self.step(Code.UNKNOWN_BROKEN, arrived=True, runs=2)
        assert step is NextAction.GIVE_UP

    def test_a_try_under_way_may_be_a_run(self):
        code = Code.UNKNOWN_BROKEN
        step = self.step(code, arrived=True, runs=1, pending_tries=1)
        assert step is NextAction.GIVE_UP

    def test_without_another_server_nothing_is_repeated(self):
        code = Code.UNKNOWN_BROKEN
        assert (
            self.step(code, arrived=True, has_untried=False)
            is NextAction.GIVE_UP
        )

    def test_nothing_follows_the_deadline(self):
        assert self.step(Code.SHED, deadline_at=0.5) is NextAction.GIVE_UP
