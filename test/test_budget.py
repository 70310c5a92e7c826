"""The shared retry budget, and the action after a failed try."""

import bisect
import random

import pytest

from papayalock.core.budget import STARTING_PART, ServiceBudgets, SharedBudget
from papayalock.core.hedging import (
    CallProgress,
    NextAction,
    SlotSearch,
    next_action,
)
from papayalock.result import Code


def budget(floor: int = 60) -> SharedBudget:
    """Returns the budget of a node that has run for a long time."""
    return SharedBudget(
        window_ms=10_000, share=0.2, floor=floor, started_at=float('-inf')
    )


class TestBudget:
    def test_all_nodes_together_stay_within_the_floor(self):
        nodes = [budget() for _ in range(10)]
        granted = sum(
            node.try_spend(1.0, nodes=10) for node in nodes for _ in range(100)
        )
        assert granted <= 60

    def test_budget_grows_with_the_calls(self):
        service_budget = budget(floor=0)
        for _ in range(100):
            service_budget.record_call(0)
        assert (
            0
            < sum(service_budget.try_spend(1.0, nodes=1) for _ in range(100))
            <= 20
        )

    def test_limit_holds_in_any_window(self):
        service_budget = budget(floor=10)
        times = [
            tick / 10
            for tick in range(400)
            if service_budget.try_spend(tick / 10, nodes=1)
        ]
        for start in times:
            assert sum(start <= at < start + 10 for at in times) <= 10


class RestartingNodes:
    """All calls of a service fail from ``FAILING_FROM`` on, and nodes restart.

    A call is retried as often as its node's budget allows, twice at most. The
    target is the one stated for all nodes together: in any window, no more
    retries than a share of the calls and the floor.
    """

    WINDOW_S = 10.0
    SHARE = 0.2
    FLOOR = 62
    NODES = 16
    CALM_S = 20.0  # without a failure, after the first start
    LENGTH_S = 60.0

    def __init__(
        self, per_s: float, restarts: list[float], part: float = 1.0
    ) -> None:
        """Plays the calls.

        :param per_s: calls of all nodes together
        :param restarts: when nodes restart, in seconds after the first failure
        :param part: share of the nodes that restart
        """
        self.calls: list[float] = []
        self.retries: list[float] = []
        rng = random.Random(5)
        nodes = [self.start(0) for _ in range(self.NODES)]
        due = [self.CALM_S + after for after in restarts]
        now = self.WINDOW_S
        while now < self.LENGTH_S:
            while due and due[0] <= now:
                for index in range(round(part * self.NODES)):
                    nodes[index] = self.start(due[0])
                del due[0]
            self.play_call(rng.choice(nodes), now)
            now += rng.expovariate(per_s)

    def start(self, now: float) -> SharedBudget:
        """Returns the budget of a process that starts now."""
        window_ms = round(self.WINDOW_S * 1000)
        budgets = ServiceBudgets(window_ms, self.SHARE, self.FLOOR, now)
        return budgets.find('service')

    def play_call(self, node: SharedBudget, now: float) -> None:
        self.calls.append(now)
        node.record_call(now)
        for _ in range(2):
            if now >= self.CALM_S and node.try_spend(now, self.NODES):
                self.retries.append(now)

    def count_retries(self, begin: float, end: float) -> int:
        """Counts the retries between two times after the first failure."""
        return count_between(
            self.retries, self.CALM_S + begin, self.CALM_S + end
        )

    def worst_excess(self) -> float:
        """Returns by how many retries a window goes beyond the target.

        The calls are those of the window, of the one before it or of the one
        half a window before it, whichever has most.
        """
        return max(
            count_between(self.retries, begin, begin + self.WINDOW_S)
            - self.SHARE
            * max(
                count_between(
                    self.calls, begin - earlier, begin - earlier + self.WINDOW_S
                )
                for earlier in (0, self.WINDOW_S / 2, self.WINDOW_S)
            )
            - self.FLOOR
            for begin in self.retries
        )


def count_between(times: list[float], begin: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)


RATES_PER_S = (20, 150, 220)
# In seconds after the first failure.
RESTARTS_S = ([1], [1, 4], [1, 4, 7], [1, 3, 5, 7], [5, 16, 27])


class TestBudgetOverRestarts:
    @pytest.mark.parametrize('per_s', RATES_PER_S)
    def test_without_restarts_nodes_stay_within_the_target(self, per_s):
        assert RestartingNodes(per_s, []).worst_excess() <= 0

    def test_restarted_nodes_do_not_spend_the_budget_anew(self):
        excesses = {
            (per_s, part, *restarts): RestartingNodes(
                per_s, restarts, part
            ).worst_excess()
            for per_s in RATES_PER_S
            for part in (0.5, 1.0)
            for restarts in RESTARTS_S
        }
        assert max(excesses.values()) <= 0, excesses

    @pytest.mark.parametrize('per_s', RATES_PER_S)
    def test_callers_of_restarted_nodes_still_get_retries(self, per_s):
        played = RestartingNodes(per_s, [1])
        begin = played.CALM_S + 1
        calls = count_between(played.calls, begin, begin + played.WINDOW_S)
        granted = played.count_retries(1, 1 + played.WINDOW_S)
        most_unused = played.NODES  # each node spends whole retries only
        assert granted >= played.SHARE * STARTING_PART * calls - most_unused

    def test_a_node_spends_all_of_its_part_after_its_first_window(self):
        node = SharedBudget(10_000, share=0.2, floor=60, started_at=100.0)
        assert not node.try_spend(109.9, nodes=2)
        granted = [node.try_spend(110.0, nodes=2) for _ in range(40)]
        assert sum(granted) == 30


class TestNextAction:
    def action(
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
            'search': SlotSearch(3),
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
    def test_refusal_before_a_server_tries_another(self, repeatable):
        action = self.action(Code.SHED, repeatable=repeatable)
        assert action is NextAction.ASK_ANOTHER

    def test_call_queues_when_the_free_slot_search_ends(self):
        assert self.action(Code.SHED, queue_after=0.5) is NextAction.WAIT
        assert self.action(Code.SHED, queue_after=5.0) is NextAction.ASK_ANOTHER

    def test_queued_call_whose_server_left_joins_another_queue(self):
        for code in (Code.DRAINING, Code.NO_SERVER, Code.NOT_CONNECTED):
            assert self.action(code, may_queue=True) is NextAction.WAIT
        assert self.action(Code.SHED, may_queue=True) is NextAction.GIVE_UP
        assert (
            self.action(Code.DRAINING, may_queue=True, refusals=3)
            is NextAction.GIVE_UP
        )

    def test_call_that_may_have_run_is_retried_only_if_idempotent(self):
        code = Code.UNKNOWN_BROKEN
        assert self.action(code, arrived=True, runs=1) is NextAction.REPEAT
        assert (
            self.action(code, arrived=True, runs=1, repeatable=False)
            is NextAction.GIVE_UP
        )

    def test_call_that_a_server_refused_is_retried_within_the_budget(self):
        action = self.action(Code.SHED, arrived=True, repeatable=False)
        assert action is NextAction.REPEAT

    def test_max_runs_is_not_exceeded(self):
        action = self.action(Code.UNKNOWN_BROKEN, arrived=True, runs=2)
        assert action is NextAction.GIVE_UP

    def test_pending_try_counts_as_a_run(self):
        code = Code.UNKNOWN_BROKEN
        action = self.action(code, arrived=True, runs=1, pending_tries=1)
        assert action is NextAction.GIVE_UP

    def test_no_retry_without_an_untried_server(self):
        code = Code.UNKNOWN_BROKEN
        assert (
            self.action(code, arrived=True, has_untried=False)
            is NextAction.GIVE_UP
        )

    def test_no_action_after_the_deadline(self):
        assert self.action(Code.SHED, deadline_at=0.5) is NextAction.GIVE_UP


class TestSlotSearch:
    """Calls of a service all of whose slots are taken, for a while."""

    def search(self, *results: bool) -> SlotSearch:
        search = SlotSearch(5)
        for found in results:
            search.record(found=found, took_s=0.01)
        return search

    def test_it_asks_several_servers_while_slots_are_found(self):
        assert self.search().max_asks == 5
        assert self.search(*[True, False] * 30).max_asks == 5

    def test_it_asks_one_server_while_no_slots_are_found(self):
        assert self.search(*[False] * 30).max_asks == 1

    def test_it_asks_several_again_once_slots_are_found(self):
        results = [False] * 100 + [True] * 5
        assert self.search(*results).max_asks == 5

    def test_asks_of_a_call_are_counted_until_it_may_queue(self):
        search = self.search(*[False] * 14)
        tried = CallProgress(True, 2, 5, 10.0, search)
        for _ in range(10):
            tried.try_ended(
                Code.SHED, arrived=False, unresponsive=False, took_s=0.01
            )
        assert search.max_asks == 1
        tried.may_queue = True
        for _ in range(10):
            tried.try_ended(
                Code.DONE, arrived=True, unresponsive=False, took_s=0.01
            )
        assert search.max_asks == 1

    def test_search_pays_off_while_asks_are_quicker_than_a_wait(self):
        search = self.search(*[True, False] * 30)
        assert all(search.pays_off(wait_s=0.1) for _ in range(20))

    def test_search_does_not_pay_off_once_asks_take_as_long_as_a_wait(self):
        search = SlotSearch(5)
        for found in [True, False] * 60:
            search.record(found=found, took_s=0.08)
        searching = [search.pays_off(wait_s=0.04) for _ in range(80)]
        assert sum(searching) == 10

    def test_search_pays_off_again_once_links_are_idle(self):
        search = SlotSearch(5)
        for found in [True, False] * 60:
            search.record(found=found, took_s=0.08)
        for _ in range(30):
            search.record(found=False, took_s=0.002)
            search.record(found=True, took_s=0.002)
        assert all(search.pays_off(wait_s=0.04) for _ in range(20))

    def test_call_that_has_not_searched_tries_a_second_queue(self):
        action = TestNextAction().action
        changes = {'may_queue': True, 'direct': True}
        assert action(Code.SHED, refusals=1, **changes) is NextAction.WAIT
        assert action(Code.SHED, refusals=2, **changes) is NextAction.GIVE_UP

    def test_a_call_joins_a_queue_after_the_last_ask(self):
        action = TestNextAction().action
        free = self.search()
        assert action(Code.SHED, search=free) is NextAction.ASK_ANOTHER
        full = self.search(*[False] * 30)
        assert action(Code.SHED, search=full, refusals=1) is NextAction.WAIT
