"""RolloutManager: its duties as leader and as follower."""

import asyncio
import random

import pytest

from papayalock.control.rolloutmanager import (
    VERSIONS_SETTLE_S,
    RolloutManager,
)
from papayalock.core.endpoints import EndpointTable
from papayalock.core.evidence import RunCounter
from papayalock.core.ledger import Ledger
from papayalock.core.rollouts import COMPLETED, ROLLED_BACK, RUNNING
from papayalock.messages import RolloutRes, ServerEvidence
from papayalock.result import Code, PapayalockError
from test.test_placement import endpoint
from test.test_rollouts import SERVICE, ledger_with, order
from test.wires import FastLoop, LoopClock

CALLS_PER_S = 30.0  # of each server that takes part


class FakeDistributor:
    def __init__(self) -> None:
        self.table = EndpointTable('e', 'c1', 10**9)
        self.on_evidence = None


class FakeGroup:
    class replica:
        is_leader = True

    def __init__(self, coordinator: 'FakeCoordinator') -> None:
        self.coordinator = coordinator

    async def propose(self, command):
        return self.coordinator.apply(command)


class FakeCoordinator:
    """A control VM whose log commits at once."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.distributor = FakeDistributor()
        self.config_group = FakeGroup(self)
        self.config_group.replica = type('R', (), {'is_leader': True})()
        self.sent: list[ServerEvidence] = []
        self.reachable = True
        self.index = 10

    def apply(self, command):
        self.index += 1
        return self.ledger.apply(self.index, command)

    async def commit(self, command, path, *, forwarded) -> RolloutRes:
        if not self.reachable:
            raise PapayalockError(Code.NO_LEADER, 'cut off')
        return self.apply(command)

    async def catch_up(self):
        """Is always up to date."""

    async def send_to_leader(self, path, reports, *, forwarded):
        if not self.reachable:
            raise PapayalockError(Code.NO_LEADER, 'cut off')
        self.sent += reports


class Fleet:
    """Servers of both versions that report evidence to a control VM."""

    def __init__(self, manager: RolloutManager, coordinator) -> None:
        self.manager = manager
        self.coordinator = coordinator
        self.counters: dict[str, RunCounter] = {}
        self.versions: dict[str, str] = {}
        self.rng = random.Random(1)
        self.bad_share = 0.0  # of the calls of the new version
        self.new_calls = 0

    def start(self, version: str, count: int) -> None:
        for number in range(count):
            name = f'{version}-{number}'
            self.versions[name] = version
            self.counters[name] = RunCounter()
            announced = endpoint(name, service=SERVICE, version=version)
            self.coordinator.distributor.table.attach(announced, 0)

    def serve(self, seconds: float) -> None:
        """Reports the calls that the servers ran in a time."""
        rollout = self.coordinator.ledger.rollouts.services[SERVICE].rollout
        for name, version in self.versions.items():
            is_new = version != 'v1'
            share = rollout.share if is_new else 1.0
            calls = int(CALLS_PER_S * seconds * share + self.rng.random())
            for _ in range(calls):
                failed = is_new and self.rng.random() < self.bad_share
                self.counters[name].record('r', 0.1, failed=failed)
            self.new_calls += calls * is_new
            self.manager.record(
                ServerEvidence(
                    server=name,
                    service=SERVICE,
                    version=version,
                    order=rollout.order,
                    incarnation=1,
                    routes=self.counters[name].routes,
                )
            )


def play(seconds: float, script, *, ordered: bool = True) -> FakeCoordinator:
    """Runs a manager and calls ``script(now_s, fleet)`` five times a second."""

    async def run() -> FakeCoordinator:
        ledger = ledger_with(order()) if ordered else ledger_with()
        coordinator = FakeCoordinator(ledger)
        manager = RolloutManager(coordinator, LoopClock(), 0.1)
        fleet = Fleet(manager, coordinator)
        fleet.start('v1', 6)
        task = asyncio.create_task(manager.run())
        for tick in range(int(seconds * 5)):
            script(tick / 5, fleet)
            await asyncio.sleep(0.2)
        task.cancel()
        coordinator.fleet = fleet
        return coordinator

    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(run())


def rollout_of(coordinator: FakeCoordinator):
    return coordinator.ledger.rollouts.services[SERVICE].rollout


def good(now: float, fleet: Fleet) -> None:
    if now == 0:
        fleet.start('v2', 6)
    if rollout_of(fleet.coordinator).state == RUNNING:
        fleet.serve(0.2)


class TestLeader:
    def test_a_good_version_is_completed_before_the_time_limit(self):
        rollout = rollout_of(play(12, good))
        assert rollout.state == COMPLETED
        assert rollout.elapsed_ms < 11_000

    @pytest.mark.parametrize('bad_from_s', [0, 4])
    def test_a_bad_version_is_rolled_back_after_few_calls(self, bad_from_s):
        def script(now, fleet):
            fleet.bad_share = 0.5 if now >= bad_from_s else 0.0
            good(now, fleet)

        coordinator = play(12, script)
        assert rollout_of(coordinator).state == ROLLED_BACK
        offered = CALLS_PER_S * 6 * 12
        assert coordinator.fleet.new_calls <= offered * 0.1 + 50

    def test_servers_that_never_come_end_it_before_the_limit(self):
        coordinator = play(12, lambda now, fleet: None)
        rollout = rollout_of(coordinator)
        assert rollout.state == ROLLED_BACK
        assert rollout.elapsed_ms < 12_000

    def test_a_new_leader_goes_on_with_the_time_that_has_passed(self):
        def script(now, fleet):
            replica = fleet.coordinator.config_group.replica
            replica.is_leader = not 2 <= now < 5
            good(now, fleet)

        rollout = rollout_of(play(14, script))
        assert rollout.state == COMPLETED
        assert rollout.elapsed_ms < 12_000

    def test_servers_that_are_down_for_a_while_still_count_as_capacity(self):
        """One new server must not replace six that are down for a while."""

        def script(now, fleet):
            if now == 0:
                fleet.start('v2', 1)
            if now == 1:
                for number in range(6):
                    left = endpoint(
                        f'v1-{number}', service=SERVICE, state='left'
                    )
                    fleet.coordinator.distributor.table.attach(left, 1)
            if rollout_of(fleet.coordinator).state == RUNNING:
                fleet.serve(2.0)

        coordinator = play(12, script)
        assert rollout_of(coordinator).state == ROLLED_BACK

    def test_no_step_is_taken_without_a_quorum(self):
        def script(now, fleet):
            fleet.coordinator.reachable = False
            good(now, fleet)

        rollout = rollout_of(play(6, script))
        assert (rollout.state, rollout.step) == (RUNNING, 0)

    def test_the_first_versions_of_a_service_are_recorded_once_known(self):
        def script(now, fleet):
            if now == 0:
                fleet.coordinator.ledger.rollouts.services.clear()
            if now == 1:
                fleet.start('v1.1', 1)
            recorded = fleet.coordinator.ledger.rollouts.services
            assert bool(recorded) == (now > VERSIONS_SETTLE_S)
            if now == 4:
                fleet.start('v2', 1)

        coordinator = play(6, script, ordered=False)
        versions = coordinator.ledger.rollouts.services[SERVICE]
        assert versions.accepted == ['v1', 'v1.1']


class TestFollower:
    def follow(self, now: float, fleet: Fleet) -> None:
        fleet.coordinator.config_group.replica.is_leader = False
        good(now, fleet)

    def test_it_passes_evidence_on_and_takes_no_step(self):
        coordinator = play(2, self.follow)
        assert rollout_of(coordinator).step == 0
        assert {report.server for report in coordinator.sent} == set(
            coordinator.fleet.versions
        )
        assert len(coordinator.sent) <= 2 * 5 * 12

    def test_lost_reports_are_made_up_for_by_the_next_ones(self):
        def script(now, fleet):
            fleet.coordinator.reachable = now >= 1
            self.follow(now, fleet)

        coordinator = play(2, script)
        newest = [one for one in coordinator.sent if one.server == 'v1-0'][-1]
        assert newest.routes[0].ended > CALLS_PER_S * 0.2


class TestAbort:
    def abort(self, ledger: Ledger) -> RolloutRes:
        async def run():
            manager = RolloutManager(FakeCoordinator(ledger), LoopClock(), 0.1)
            return await manager.abort(SERVICE, 'amina')

        return asyncio.run(run())

    def test_it_rolls_back_and_names_the_operator(self):
        ledger = ledger_with(order())
        assert self.abort(ledger).rollout.state == ROLLED_BACK
        assert ledger.audit.records[-1].operator == 'amina'

    def test_without_a_roll_out_it_is_refused(self):
        with pytest.raises(PapayalockError) as caught:
            self.abort(ledger_with())
        assert caught.value.code == Code.UNKNOWN_VERSION
