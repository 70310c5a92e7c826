"""The soak's plan and its checks: each finds the fault that it is there for."""

import hashlib

import pytest

from bench.soak import checks
from bench.soak.__main__ import kept_seeds
from bench.soak.callers import DEADLINES_MS, MS_PER_S
from bench.soak.cluster import PLANNED_KINDS, STOP_GRACE_S
from bench.soak.faults import (
    QUIET_S,
    WARM_UP_S,
    FaultKind,
    ProcessRole,
    Target,
    draw_faults,
    draw_rolling_restarts,
)
from bench.soak.history import (
    CallRecord,
    Disturbance,
    DrainAck,
    History,
    Publication,
    RouteRead,
    Run,
)
from papayalock.result import Code

SENT_AFTER_STOP_S = 3.0  # last calls for which a stop answers
STOP = Disturbance('node-a', 99.0, 104.0, planned=True)
TARGETS = [
    *(Target(f'control-{one}', ProcessRole.CONTROL) for one in 'abc'),
    *(Target(f'node-{one}', ProcessRole.NODE) for one in 'abc'),
    *(Target(f'server-{one}', ProcessRole.BACKEND) for one in 'abc'),
]


def attempt(call='c-1', path='/look/1', **changed):
    plain = {
        'node': 'node-a',
        'repeatable': not path.startswith('/pay'),
        'sent': 100.0,
        'deadline': 101.0,
        'ended': 100.1,
        'status': 200,
        'echo': f'{call} {path}',
    }
    return CallRecord(call, path, **{**plain, **changed})


def run_of(
    one, at=100.05, server='s-1', service=None, *, ended=None, whole=True
):
    prefix = f'/{one.path.split("/")[1]}/'
    return Run(
        one.call,
        one.path,
        server,
        service or checks.SERVICE_BY_PREFIX[prefix],
        at,
        ended=at + 0.02 if ended is None else ended,
        whole=whole,
    )


def given_up(**changed):
    ending = {
        'status': 504,
        'code': int(Code.UNKNOWN_TIMEOUT),
        'ended': 100.3,
        'echo': '',
    }
    return attempt(**{**ending, **changed})


def history(attempts, runs=None, **more):
    if runs is None:
        runs = [run_of(one) for one in attempts if one.served]
    more.setdefault('explained', {one.call for one in attempts})
    return History(['control-a'], attempts, runs, quiet_from=200.0, **more)


def accepted(label, base, acked=90.0):
    return Publication(label, base, True, acked - 0.1, acked)


def first_words(found):
    return {line.split(':')[0] for line in checks.find_violations(found)}


class TestPlan:
    def test_is_the_same_for_a_seed(self):
        assert draw_faults(3, 60, TARGETS) == draw_faults(3, 60, TARGETS)
        assert draw_faults(3, 60, TARGETS) != draw_faults(4, 60, TARGETS)

    @pytest.mark.parametrize('seed', range(40))
    def test_keeps_to_its_time_and_loses_one_disk_at_most(self, seed):
        faults = draw_faults(seed, 60, TARGETS)
        assert faults
        assert min(one.at for one in faults) >= WARM_UP_S
        assert max(one.at + one.duration_s for one in faults) <= 60 - QUIET_S
        assert sum(one.kind is FaultKind.WIPE for one in faults) <= 1

    def test_has_every_kind_and_role_over_some_seeds(self):
        faults = [
            one for seed in range(40) for one in draw_faults(seed, 60, TARGETS)
        ]
        assert {one.kind for one in faults} == set(FaultKind) - {FaultKind.ROLL}
        assert {one.target for one in faults} == {one.name for one in TARGETS}

    def test_has_series_and_overlaps(self):
        faults = draw_faults(1, 200, TARGETS)
        pairs = list(zip(faults, faults[1:], strict=False))
        assert any(one.target == two.target for one, two in pairs)
        assert any(two.at < one.at + one.duration_s for one, two in pairs)

    @pytest.mark.parametrize(
        ('seed', 'digest'),
        [(1, '9dd02edce809'), (8, '04e7c1e8c1d0')],
    )
    def test_of_a_kept_seed_stays_the_same(self, seed, digest):
        words = ' '.join(
            f'{one.at:.3f} {one.kind.value} {one.target} {one.duration_s:.3f}'
            for one in draw_faults(seed, 45, TARGETS)
        )
        assert hashlib.sha256(words.encode()).hexdigest()[:12] == digest


class TestRollingPlan:
    def test_is_the_same_for_a_seed(self):
        assert draw_rolling_restarts(3, 60, TARGETS) == draw_rolling_restarts(
            3, 60, TARGETS
        )
        assert draw_rolling_restarts(3, 60, TARGETS) != draw_rolling_restarts(
            4, 60, TARGETS
        )

    @pytest.mark.parametrize('seed', range(40))
    def test_keeps_to_its_time_and_to_planned_work_at_nodes(self, seed):
        faults = draw_rolling_restarts(seed, 60, TARGETS)
        assert {one.kind for one in faults} <= PLANNED_KINDS
        assert all(one.target.startswith('node-') for one in faults)
        assert min(one.at for one in faults) >= WARM_UP_S
        assert max(one.at + one.duration_s for one in faults) <= 60 - QUIET_S
        assert faults == sorted(faults, key=lambda one: one.at)

    @pytest.mark.parametrize('seed', range(40))
    def test_restarts_every_node_before_one_again(self, seed):
        rolled = [
            one.target
            for one in draw_rolling_restarts(seed, 60, TARGETS)
            if one.kind is FaultKind.ROLL
        ]
        assert len(set(rolled[:3])) == 3
        assert len(set(rolled[3:6])) == len(rolled[3:6])

    def test_has_reloads_and_restarts_that_overlap(self):
        faults = draw_rolling_restarts(1, 200, TARGETS)
        assert any(one.kind is FaultKind.HUP for one in faults)
        rolls = [one for one in faults if one.kind is FaultKind.ROLL]
        pairs = zip(rolls, rolls[1:], strict=False)
        assert any(two.at < one.at + one.duration_s for one, two in pairs)


class TestKeptSeeds:
    def test_can_be_read(self):
        assert 8 in kept_seeds()

    def test_of_the_rolling_plan_are_apart(self):
        assert 1 in kept_seeds(rolling=True)
        assert 1 not in kept_seeds()


class TestChecks:
    def test_find_nothing_in_a_good_run(self):
        mark = attempt('c-2', '/mark/3/1')
        good = history(
            [attempt(), mark, attempt('c-3', '/pay/1', ended=100.2)],
            publications=[accepted(3, 0)],
            readings=[RouteRead(3, 100.0)],
            last_label=3,
            ended=300.0,
        )
        assert not checks.find_violations(good)

    def test_answer_of_another_call(self):
        found = history([attempt(echo='c-9 /look/9')])
        assert first_words(found) == {'mixed'}

    def test_success_that_nobody_ran(self):
        assert first_words(history([attempt()], runs=[])) == {'mixed'}

    def test_run_that_nobody_asked_for(self):
        ghost = run_of(attempt('ghost'))
        assert first_words(history([], [ghost])) == {'unasked'}

    def test_run_with_a_changed_path(self):
        one = attempt()
        other = run_of(attempt(path='/look/2'))
        found = history([one], [run_of(one), other])
        assert first_words(found) == {'unasked'}

    def test_run_at_another_service(self):
        one = attempt()
        found = history([one], [run_of(one, service='ledger')])
        assert first_words(found) == {'route'}

    def test_inner_calls_are_known(self):
        one = attempt()
        inner = Run('c-1.inner', '/status/1', 's-2', 'ledger', 100.06)
        assert not checks.find_violations(history([one], [run_of(one), inner]))

    def test_second_run_of_what_may_not_be_repeated(self):
        one = attempt(path='/pay/1')
        assert first_words(history([one], [run_of(one)] * 2)) == {'twice'}

    def test_second_run_of_what_may_be_repeated(self):
        one = attempt()
        assert not checks.find_violations(history([one], [run_of(one)] * 2))

    def test_refusal_of_what_has_run(self):
        one = attempt(path='/pay/1', status=503, code=int(Code.SHED))
        assert first_words(history([one], [run_of(one)])) == {'refused'}

    def test_refused_version_in_force(self):
        mark = attempt(path='/mark/4/1')
        refused = Publication(4, 0, True, 80.0, refused=True)
        found = history([mark], publications=[refused])
        assert first_words(found) == {'unaccepted'}

    def test_invalid_version_in_force(self):
        mark = attempt(path='/mark/4/1')
        invalid = Publication(4, 0, False, 80.0)
        found = history([mark], publications=[invalid])
        assert first_words(found) == {'unaccepted'}

    def test_invalid_version_acknowledged(self):
        invalid = Publication(4, 0, False, 80.0, 80.1)
        found = history([], publications=[invalid], last_label=4, ended=300.0)
        assert first_words(found) == {'unaccepted'}

    def test_two_versions_after_one(self):
        both = [accepted(4, 3), accepted(5, 3)]
        found = history([], publications=both, last_label=5, ended=300.0)
        assert first_words(found) == {'race'}

    def test_lost_version(self):
        found = history(
            [], publications=[accepted(4, 3)], last_label=3, ended=300.0
        )
        assert first_words(found) == {'lost'}

    def test_old_version_read(self):
        found = history(
            [],
            publications=[accepted(4, 3)],
            readings=[RouteRead(3, 95.0)],
            last_label=4,
            ended=300.0,
        )
        assert first_words(found) == {'stale read'}

    def test_old_version_enforced(self):
        one = attempt(path='/mark/3/1')
        found = history(
            [one],
            publications=[accepted(3, 0), accepted(4, 3)],
            last_label=4,
            ended=300.0,
        )
        assert first_words(found) == {'stale'}
        found.spans.append(Disturbance('node-a', 95.0, 97.5))
        assert not checks.find_violations(found)

    def test_new_version_not_enforced(self):
        one = attempt(path='/mark/4/1', status=404, code=int(Code.NO_ROUTE))
        newest = accepted(4, 3)
        found = history([one], publications=[newest], last_label=4, ended=300.0)
        assert first_words(found) == {'stale'}
        found.publications.append(Publication(5, 4, True, 100.05))
        assert not checks.find_violations(found)

    def test_node_that_goes_back(self):
        marks = [
            attempt('c-1', '/mark/4/1'),
            attempt('c-2', '/mark/3/1', sent=101.0, ended=101.1),
        ]
        found = history(marks)
        assert first_words(found) == {'back'}
        found.starts['node-a'] = [50.0, 100.5]
        assert not checks.find_violations(found)

    def test_lasting_route_denied(self):
        one = attempt(status=404, code=int(Code.NO_ROUTE))
        assert first_words(history([one])) == {'denied'}

    def test_call_long_after_a_drain(self):
        one = attempt(sent=102.0, ended=102.5)
        late = run_of(one, at=102.4)
        found = history([one], [late], drains=[DrainAck('s-1', 100.0)])
        assert first_words(found) == {'drain'}

    def test_calls_cut_by_a_calm_node(self):
        cut = [
            attempt(f'c-{number}', status=0, fault='broken', echo='')
            for number in range(4)
        ]
        found = history(cut, [run_of(one) for one in cut])
        assert first_words(found) == {'lost'}
        found.spans.append(Disturbance('node-a', 100.0, 106.0, planned=True))
        assert first_words(found) == {'lost'}
        found.spans.append(Disturbance('node-a', 100.0, 100.0))
        assert not checks.find_violations(found)

    @pytest.mark.parametrize(
        'ending',
        [
            {'status': 504, 'code': int(Code.UNKNOWN_TIMEOUT)},
            {'status': 502, 'code': int(Code.UNKNOWN_BROKEN)},
            {'status': 503, 'code': int(Code.SHED)},
            {'status': 0, 'fault': 'broken'},
        ],
    )
    @pytest.mark.parametrize(
        'ran',
        [
            {'at': 100.05, 'ended': 100.35, 'whole': True},
            {'at': 100.05, 'ended': 100.3, 'whole': False},
            {'at': 100.05, 'ended': 100.299, 'whole': False},
            {'at': 100.45, 'ended': 100.5, 'whole': False},
            {'at': 100.45, 'ended': 100.5, 'whole': True},
        ],
    )
    @pytest.mark.parametrize('stopped', ['node-a', 'node-s-1', 'node-b'])
    def test_call_given_up_beside_a_stop(self, ending, ran, stopped):
        one = attempt(ended=100.3, echo='', **ending)
        stop = Disturbance(stopped, 99.0, 104.0, planned=True)
        found = history([one], [run_of(one, **ran)], spans=[stop])
        assert first_words(found) == {'given up'}

    def test_call_given_up_at_a_killed_server_and_at_a_sound_one(self):
        one = given_up()
        runs = [run_of(one), run_of(one, 100.2, 's-2', ended=100.4)]
        found = history(
            [one], runs, spans=[STOP, Disturbance('s-1', 100.1, 101.0)]
        )
        assert first_words(found) == {'given up'}

    def test_call_whose_run_had_ended(self):
        one = given_up()
        found = history([one], [run_of(one, ended=100.29)], spans=[STOP])
        assert not checks.find_violations(found)

    def test_call_that_no_server_ran(self):
        assert not checks.find_violations(
            history([given_up()], [], spans=[STOP])
        )

    def test_call_that_ended_at_its_deadline(self):
        one = given_up(ended=100.95)
        found = history([one], [run_of(one, ended=101.2)], spans=[STOP])
        assert not checks.find_violations(found)

    def test_call_whose_caller_left(self):
        one = given_up(status=0, code=-1, fault='left')
        found = history([one], [run_of(one, ended=100.5)], spans=[STOP])
        assert not checks.find_violations(found)

    def test_call_that_its_server_failed(self):
        one = given_up(status=502, code=-1)
        found = history([one], [run_of(one, ended=100.5)], spans=[STOP])
        assert not checks.find_violations(found)

    @pytest.mark.parametrize(
        'struck', ['node-a', 's-1', 'node-s-1', 'control-a']
    )
    @pytest.mark.parametrize('until', [97.5, 100.2])
    def test_call_given_up_beside_an_unplanned_fault(self, struck, until):
        one = given_up()
        run = run_of(one, ended=100.5, whole=False)
        fault = Disturbance(struck, 97.2, until)
        assert not checks.find_violations(
            history([one], [run], spans=[STOP, fault])
        )

    def test_call_given_up_without_planned_work(self):
        one = given_up()
        run = run_of(one, ended=100.5, whole=False)
        early = Disturbance('node-b', 95.0, 96.9, planned=True)
        assert not checks.find_violations(history([one], [run], spans=[early]))

    def test_no_call_lasts_to_the_end_of_a_grace_time(self):
        longest = max(DEADLINES_MS.values()) / MS_PER_S
        assert SENT_AFTER_STOP_S + longest <= STOP_GRACE_S * 5 / 6

    def test_calls_held_past_their_deadline(self):
        held = [
            attempt(f'c-{number}', status=504, code=200, ended=101.6)
            for number in range(8)
        ]
        assert first_words(history(held)) == {'late'}

    def test_repeats_beyond_the_budget(self):
        calls = [attempt(f'c-{number}') for number in range(100)]
        runs = [run_of(one) for one in calls]
        found = history(calls, [*runs, *runs[:80]])
        assert not checks.find_violations(found)
        assert first_words(history(calls, [*runs, *runs[:81]])) == {'budget'}

    def test_no_service_at_the_end(self):
        late = [
            attempt(f'c-{number}', sent=220.0, ended=220.1, status=503)
            for number in range(4)
        ]
        assert first_words(history(late, [])) == {'recover'}

    def test_failure_without_a_line(self):
        one = attempt(status=503, code=int(Code.SHED))
        found = history([one], explained=set())
        assert first_words(found) == {'unexplained'}
        found.spans.append(Disturbance('node-a', 100.2, 100.2))
        assert not checks.find_violations(found)

    def test_process_that_ended(self):
        found = history([], ended_alone=['node-a (1)'])
        assert first_words(found) == {'ended'}
