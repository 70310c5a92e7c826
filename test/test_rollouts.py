"""Roll-outs: their replicated state, verdicts, steps and exposure."""

import random

import msgspec
import pytest

from papayalock.commands import decode_command, encode_command
from papayalock.core.derive import part_digest
from papayalock.core.directory import KnownServer
from papayalock.core.evidence import (
    BUCKETS,
    EvidenceTable,
    Increment,
    RunCounter,
    time_bucket,
)
from papayalock.core.exposure import GRANT_S, Cohort, Exposure
from papayalock.core.hostroutes import HostRouteTable
from papayalock.core.ledger import Ledger
from papayalock.core.promotion import (
    MAX_MOVED_MS,
    Observed,
    next_step,
    stage_shares,
)
from papayalock.core.rollouts import (
    COMPLETED,
    RESEND_MS,
    ROLLED_BACK,
    RUNNING,
)
from papayalock.core.verdict import Trial
from papayalock.messages import (
    AcceptVersions,
    OrderRollout,
    Part,
    Publish,
    Rollout,
    ServerEvidence,
    ServiceVersions,
    StepRollout,
)
from papayalock.result import Code
from test.test_placement import endpoint
from test.test_routesets import route_set

SERVICE = 'floor'
SHARES = stage_shares(0.1)


def order(target: str = 'v2', **changes) -> OrderRollout:
    return OrderRollout(
        kind='rollout',
        service=SERVICE,
        target=target,
        **{'duration_ms': 12_000, 'at_ms': 1000, **changes},
    )


def step(number: int, **changes) -> StepRollout:
    fields = {'state': RUNNING, 'share': 0.04, 'order': 2, **changes}
    return StepRollout(
        kind='rollout-step', service=SERVICE, step=number, **fields
    )


def ledger_with(*commands) -> Ledger:
    """Returns a ledger that has applied commands after the first versions."""
    ledger = Ledger(history=20, audit_records=50)
    first = AcceptVersions(kind='versions', service=SERVICE, versions=['v1'])
    for index, command in enumerate([first, *commands], 1):
        ledger.apply(index, command)
    return ledger


def rollout_of(ledger: Ledger) -> Rollout:
    return ledger.rollouts.services[SERVICE].rollout


class TestOrders:
    def test_an_order_starts_with_no_share(self):
        rollout = rollout_of(ledger_with(order()))
        assert (rollout.state, rollout.share, rollout.order) == (RUNNING, 0, 2)

    def test_the_same_order_is_acknowledged_without_effect(self):
        ledger = ledger_with(order(), step(1))
        res = ledger.apply(9, order(at_ms=5000))
        assert res.code == Code.DONE
        assert rollout_of(ledger).step == 1

    def test_a_resend_after_the_end_is_acknowledged_without_effect(self):
        ledger = ledger_with(order(), step(1, state=ROLLED_BACK))
        assert ledger.apply(9, order(at_ms=1500)).code == Code.DONE
        assert rollout_of(ledger).state == ROLLED_BACK

    def test_a_later_order_after_the_end_starts_anew(self):
        ledger = ledger_with(order(), step(1, state=ROLLED_BACK))
        ledger.apply(9, order(at_ms=1000 + RESEND_MS))
        assert (rollout_of(ledger).state, rollout_of(ledger).order) == (
            RUNNING,
            9,
        )

    def test_an_order_for_the_accepted_version_is_complete_at_once(self):
        """As when an operator sends an order again long after its end."""
        ledger = ledger_with(order(), step(1, state=COMPLETED, proven=True))
        res = ledger.apply(9, order(at_ms=1000 + RESEND_MS))
        assert res.code == Code.DONE
        assert rollout_of(ledger).state == COMPLETED
        assert ledger.rollouts.services[SERVICE].accepted == ['v2']

    def test_another_target_is_refused_while_one_runs(self):
        ledger = ledger_with(order())
        res = ledger.apply(9, order('v3'))
        assert res.code == Code.CONFLICT
        assert 'v2' in res.message
        assert rollout_of(ledger).target == 'v2'

    def test_an_order_for_an_unknown_service_is_refused(self):
        ledger = Ledger(history=5, audit_records=5)
        assert ledger.apply(1, order()).code == Code.CONFLICT

    def test_a_step_of_a_former_leader_has_no_effect(self):
        ledger = ledger_with(order(), step(1), step(2, share=0.15))
        res = ledger.apply(9, step(2, state=COMPLETED))
        assert res.code == Code.CONFLICT
        assert rollout_of(ledger).state == RUNNING

    def test_a_completed_roll_out_replaces_the_accepted_versions(self):
        ledger = ledger_with(order(), step(1, state=COMPLETED, proven=True))
        assert ledger.rollouts.services[SERVICE].accepted == ['v2']

    def test_a_rolled_back_one_leaves_them(self):
        ledger = ledger_with(order(), step(1, state=ROLLED_BACK))
        assert ledger.rollouts.services[SERVICE].accepted == ['v1']

    def test_the_state_survives_a_snapshot_and_the_log_encoding(self):
        ledger = ledger_with(order(), step(1, reason='9 calls'))
        restored = Ledger(history=20, audit_records=50)
        restored.load(ledger.dump())
        assert restored.rollouts.services == ledger.rollouts.services
        for command in (order(), step(1)):
            assert decode_command(encode_command(command)) == command

    def test_each_change_is_a_version_and_an_audit_record(self):
        ledger = ledger_with(order(operator='amina'), step(1, reason='3 bad'))
        assert [record.kind for record in ledger.audit.records] == [
            'rollout'
        ] * 3
        assert ledger.audit.records[1].operator == 'amina'
        assert '3 bad' in ledger.audit.records[2].detail
        assert ledger.version == 3

    @pytest.mark.parametrize('state', [RUNNING, ROLLED_BACK, COMPLETED])
    def test_nodes_compute_the_same_digest_of_the_part(self, state):
        """A number that changes its form on the way had versions refused."""
        for commands in ([order()], [order(), step(1, state=state, share=0)]):
            part = ledger_with(*commands).rollouts.part(SERVICE)
            received = msgspec.json.decode(msgspec.json.encode(part), type=Part)
            assert part_digest(received) == part_digest(part)

    def test_a_route_set_does_not_touch_the_versions(self):
        ledger = ledger_with(order())
        publication = Publish(kind='publish', route_set=route_set(1, 0))
        ledger.apply(9, publication)
        parts = ledger.version_parts(ledger.history.newest).values()
        assert HostRouteTable(parts).versions[SERVICE].rollout.target == 'v2'


def calls(
    version: str, server: str, good: int, bad: int = 0, **changes
) -> Increment:
    """Returns calls of 100 ms that ended at a server."""
    times = [0] * BUCKETS
    times[time_bucket(changes.pop('took_ms', 100))] = good
    fields = {'zone': 'a', 'route': 'r', **changes}
    return Increment(
        server=server, version=version, failed=bad, times=times, **fields
    )


class Versions:
    """Plays calls at servers of two versions, a few at a time.

    Service times are log-normal, and servers differ in speed by 3.
    """

    SPEEDS = (0.5, 1.0, 1.0, 1.5)

    def __init__(self, seed: int, target_servers: int = 3) -> None:
        self.rng = random.Random(seed)
        self.trial = Trial('v2')
        self.target_servers = target_servers
        self.old_bad = 0.0  # share of bad calls at each old server
        self.calls = 0  # of the new version
        self.play_old(600)

    def play_old(self, count: int) -> None:
        for _ in range(count):
            number = self.rng.randrange(12)
            self._play('v1', number, self.rng.random() < self.old_bad, 0)

    def play_target(self, count: int, bad=lambda number, call: False, x=0):
        """Plays calls until the version counts as bad.

        :param bad: whether a server's call is bad
        :param x: how much longer a bad call takes; 0 if it fails
        """
        for call in range(count):
            if self.trial.is_bad:
                return
            number = self.rng.randrange(self.target_servers)
            self._play('v2', number, bad(number, call), x)
            self.play_old(8)
            self.calls += 1

    def _play(self, version: str, number: int, is_bad: bool, x: float) -> None:
        speed = self.SPEEDS[number % len(self.SPEEDS)]
        took_ms = 160 * self.rng.lognormvariate(0, 0.5) / speed
        failed = is_bad and not x
        took_ms *= x if is_bad and x else 1
        added = calls(
            version,
            f'{version}-{number}',
            0 if failed else 1,
            int(failed),
            took_ms=took_ms,
            route=self.rng.choice(['r1', 'r2']),
        )
        self.trial.record(added)


@pytest.mark.parametrize('seed', range(20))
class TestVerdict:
    """The most calls that a bad version gets before it is known as bad."""

    def half(self, versions: Versions):
        return lambda number, call: versions.rng.random() < 0.5

    def test_a_version_that_fails_half_its_calls(self, seed):
        versions = Versions(seed)
        versions.play_target(200, self.half(versions))
        assert versions.trial.is_bad
        assert versions.calls <= 80

    def test_a_version_that_is_slow_in_half_its_calls(self, seed):
        versions = Versions(seed)
        versions.play_target(300, self.half(versions), x=8)
        assert versions.trial.is_bad
        assert versions.calls <= 120

    def test_a_version_that_turns_bad_late(self, seed):
        versions = Versions(seed)
        versions.play_target(150)
        assert not versions.trial.is_bad
        good_calls = versions.calls
        versions.play_target(200, self.half(versions))
        assert versions.trial.is_bad
        assert versions.calls - good_calls <= 80

    def test_a_good_version_is_not_bad_and_passes(self, seed):
        versions = Versions(seed)
        versions.play_target(1000)
        assert not versions.trial.is_bad
        assert versions.trial.passed

    def test_one_faulty_server_does_not_condemn_the_version(self, seed):
        versions = Versions(seed, target_servers=4)
        versions.play_target(400, lambda number, call: number == 0)
        assert not versions.trial.is_bad

    def test_faults_of_both_versions_do_not_condemn_the_new_one(self, seed):
        versions = Versions(seed)
        versions.old_bad = 0.3
        versions.play_old(300)
        versions.play_target(
            400, lambda number, call: versions.rng.random() < 0.3
        )
        assert not versions.trial.is_bad


class TestTrial:
    def test_a_fault_on_one_route_is_enough(self):
        trial = Trial('v2')
        trial.record(calls('v1', 'o', 500))
        trial.record(calls('v1', 'o', 500, route='other'))
        for server in ('n1', 'n2', 'n3'):
            trial.record(calls('v2', server, 50))
            trial.record(calls('v2', server, 4, 6, route='other'))
        assert trial.is_bad

    def test_a_zone_is_compared_with_itself(self):
        trial = Trial('v2')
        trial.record(calls('v1', 'o1', 5000))
        trial.record(calls('v1', 'o2', 50, 50, zone='b'))
        for server in ('n1', 'n2'):
            trial.record(calls('v2', server, 10, 10, zone='b'))
        assert not trial.is_bad

    def test_a_new_stage_needs_its_own_evidence(self):
        trial = Trial('v2')
        trial.record(calls('v1', 'o', 500))
        trial.record(calls('v2', 'n', 60))
        assert trial.passed
        trial.start_stage()
        assert not trial.passed

    def test_a_busy_route_can_keep_a_stage_from_passing(self):
        trial = Trial('v2')
        trial.record(calls('v1', 'o', 500))
        trial.record(calls('v1', 'o', 500, route='other'))
        trial.record(calls('v2', 'n', 200))
        assert trial.passed
        trial.record(calls('v2', 'n', 20, 12, route='other'))
        assert not trial.passed

    def test_a_single_server_can_be_judged(self):
        trial = Trial('v2')
        trial.record(calls('v1', 'o', 500))
        trial.record(calls('v2', 'n', 4, 6))
        assert trial.is_bad


def report(ended: int, failed: int = 0, **changes) -> ServerEvidence:
    counter = RunCounter()
    for number in range(ended):
        counter.record('r', 0.1, failed=number < failed)
    fields = {
        'server': 's',
        'service': SERVICE,
        'version': 'v2',
        'incarnation': 1,
        **changes,
    }
    return ServerEvidence(routes=counter.routes, **fields)


class TestEvidenceTable:
    def test_reports_that_come_twice_or_late_add_nothing(self):
        table = EvidenceTable()
        (first,) = table.merge(report(5, 1), 1.0)
        assert (first.ended, first.failed) == (5, 1)
        assert not table.merge(report(5, 1), 1.1)
        (second,) = table.merge(report(9, 2), 1.2)
        assert (second.ended, second.failed) == (4, 1)
        assert not table.merge(report(5, 1), 1.3)
        assert not table.merge(report(9, 2), 1.4)

    def test_a_restarted_node_or_server_counts_from_zero(self):
        table = EvidenceTable()
        table.merge(report(5), 1.0)
        (again,) = table.merge(report(3, incarnation=2), 1.1)
        assert again.ended == 3
        (again,) = table.merge(report(2, incarnation=2, born_ms=7), 1.2)
        assert again.ended == 2

    def test_running_calls_are_unknown_until_all_have_reported(self):
        table = EvidenceTable()
        table.merge(report(5, server='s1', running=2), 1.0)
        table.merge(report(5, server='s2', running=1), 2.0)
        assert table.running(['s1', 's2'], 1.5) is None
        assert table.running(['s1', 's2'], 0.5) == 3


def observed(**changes) -> Observed:
    fields = {
        'elapsed_ms': 5000,
        'stage_ms': 4000,
        'new_servers': 10,
        'old_servers': 10,
        'old_running': 0,
        'is_bad': False,
        'passed': True,
        'has_calls': True,
        'evidence': 'x',
        **changes,
    }
    return Observed(**fields)


def running(number: int, **changes) -> Rollout:
    share = SHARES[number - 1] if number else 0
    fields = {
        'duration_ms': 12_000,
        'step': number,
        'share': share,
        'proven': share == 1,
        **changes,
    }
    return Rollout(order=1, target='v2', **fields)


class TestSteps:
    @pytest.mark.parametrize('number', range(4))
    def test_a_good_version_gets_the_next_share(self, number):
        due = next_step(running(number), observed(), SHARES)
        assert (due.state, due.share) == (RUNNING, SHARES[number])
        assert due.proven == (due.share == 1)

    @pytest.mark.parametrize('number', range(1, 4))
    @pytest.mark.parametrize('missing', ['passed', 'time'])
    def test_a_stage_needs_time_and_evidence(self, number, missing):
        changes = {'passed': False} if missing == 'passed' else {'stage_ms': 9}
        assert next_step(running(number), observed(**changes), SHARES) is None

    @pytest.mark.parametrize('number', range(5))
    def test_a_bad_version_is_rolled_back_at_any_step(self, number):
        rollout = running(min(number, 4))
        due = next_step(rollout, observed(is_bad=True), SHARES)
        assert due.state == ROLLED_BACK

    def test_no_ready_server_no_step(self):
        assert next_step(running(0), observed(new_servers=0), SHARES) is None

    def test_too_few_servers_do_not_get_all_calls(self):
        few = observed(new_servers=5)
        assert next_step(running(2), few, SHARES).share == SHARES[2]
        assert next_step(running(3), few, SHARES) is None

    def test_an_unproven_version_is_rolled_back_before_the_limit(self):
        late = observed(elapsed_ms=11_000, passed=False)
        assert next_step(running(2), late, SHARES).state == ROLLED_BACK

    def test_it_completes_once_the_old_servers_are_free(self):
        assert next_step(running(4), observed(), SHARES).state == COMPLETED
        for unfinished in (3, None):
            busy = observed(old_running=unfinished, stage_ms=1000)
            assert next_step(running(4), busy, SHARES) is None

    def test_it_does_not_wait_for_old_servers_for_ever(self):
        busy = observed(old_running=None, stage_ms=MAX_MOVED_MS)
        assert next_step(running(4), busy, SHARES).state == COMPLETED

    def test_a_service_without_calls_is_rolled_out_by_time(self):
        idle = observed(has_calls=False, passed=False, stage_ms=10_000)
        assert next_step(running(1), idle, SHARES).share == SHARES[1]

    def test_shares_keep_a_bad_version_below_its_exposure(self):
        """300 calls a second, each stage caught 1.5 s after its start."""
        for exposure_share in (0.05, 0.1, 0.25):
            for duration_s in (12, 16, 60):
                spent = 0.0
                shares = stage_shares(exposure_share)[:3]
                for share, part in zip(shares, (0.2, 0.1, 0.1), strict=True):
                    caught = spent + 300 * share * 1.5
                    allowed = 300 * duration_s * exposure_share + 50
                    assert caught <= allowed
                    spent += 300 * share * max(1.2, duration_s * part)


def versions_at(
    share: float, *, state: str = RUNNING, proven: bool = False
) -> dict[str, ServiceVersions]:
    rollout = Rollout(
        order=5,
        target='v2',
        duration_ms=12_000,
        state=state,
        share=share,
        proven=proven,
    )
    return {SERVICE: ServiceVersions(SERVICE, ['v1'], rollout)}


def servers(**versions: str) -> list[KnownServer]:
    return [
        KnownServer(endpoint(name, version=version), 0)
        for name, version in versions.items()
    ]


class TestExposure:
    def exposure(self, seed: int = 1, **changes) -> Exposure:
        exposure = Exposure(random.Random(seed))
        exposure.services = versions_at(**changes)
        exposure.renew_grant(0)
        return exposure

    def test_without_recorded_versions_all_servers_get_calls(self):
        exposure = Exposure(random.Random(1))
        assert exposure.choose(SERVICE, 0) is None
        assert exposure.repeat(SERVICE) is None
        assert exposure.admits(SERVICE, 'any')

    def test_a_version_without_an_order_gets_no_calls(self):
        exposure = Exposure(random.Random(1))
        exposure.services = {SERVICE: ServiceVersions(SERVICE, ['v1'])}
        cohort = exposure.choose(SERVICE, 0)
        chosen = cohort.select(servers(a='v1', b='v2', c=''))
        assert [server.endpoint.server for server in chosen] == ['a']
        assert not exposure.admits(SERVICE, 'v2')
        assert not exposure.admits(SERVICE, '')

    @pytest.mark.parametrize('calls_per_node', [1, 3, 40])
    @pytest.mark.parametrize('share', [0.04, 0.4])
    def test_many_nodes_keep_the_share_together(self, calls_per_node, share):
        exposed = 0
        for seed in range(80):
            node = self.exposure(seed, share=share)
            cohorts = [node.choose(SERVICE, 0) for _ in range(calls_per_node)]
            exposed += sum('v2' in cohort.versions for cohort in cohorts)
        expected = 80 * calls_per_node * share
        assert abs(exposed - expected) <= 12

    def test_repeats_go_to_the_accepted_version(self):
        exposure = self.exposure(share=1.0)
        assert exposure.choose(SERVICE, 0).versions == {'v2'}
        assert exposure.repeat(SERVICE).versions == {'v1'}

    def test_a_node_out_of_touch_does_not_use_an_unproven_version(self):
        exposure = self.exposure(share=1.0)
        assert exposure.choose(SERVICE, GRANT_S).versions == {'v1'}

    def test_a_proven_version_needs_no_touch(self):
        exposure = self.exposure(share=1.0, proven=True)
        assert exposure.choose(SERVICE, 100).versions == {'v2'}
        assert exposure.repeat(SERVICE).versions == {'v2'}

    @pytest.mark.parametrize('state', [ROLLED_BACK, COMPLETED])
    def test_after_the_end_only_accepted_versions_are_used(self, state):
        exposure = self.exposure(share=0.0, state=state)
        assert exposure.choose(SERVICE, 0).versions == {'v1'}
        assert not exposure.admits(SERVICE, 'v2')

    def test_an_order_without_a_step_admits_nothing_new(self):
        assert not self.exposure(share=0.0).admits(SERVICE, 'v2')

    def test_few_servers_of_the_new_version_take_a_small_share(self):
        known = servers(**{f's{number}': 'v2' for number in range(28)})
        cohort = Cohort(frozenset(['v2']), share=0.15, salt=5)
        first = cohort.select(known)
        assert len(first) == 4
        assert {
            server.endpoint.server for server in cohort.select(known[::-1])
        } == {server.endpoint.server for server in first}

    def test_without_servers_of_the_new_version_the_old_ones_are_used(self):
        cohort = Cohort(frozenset(['v2']), 0.1, 5, frozenset(['v1']))
        assert len(cohort.select(servers(a='v1', b='v1'))) == 2
