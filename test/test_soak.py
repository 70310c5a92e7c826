"""The draws of faults in the soak, and the violation that each check finds."""

import asyncio
import hashlib

import pytest

from bench.link import Link
from bench.soak import checks, customers, rolloutchecks, startchecks
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
    Refusal,
    RouteRead,
    Run,
    StatedLimit,
)
from bench.soak.rollouts import RolloutRecord
from papayalock.result import Code

# A stopping node is responsible for calls sent until this long after SIGTERM.
SENT_AFTER_STOP_S = 3.0
STOP = Disturbance('node-a', 99.0, 104.0, planned=True)
TARGETS = [
    *(Target(f'control-{suffix}', ProcessRole.CONTROL) for suffix in 'abc'),
    *(Target(f'node-{suffix}', ProcessRole.NODE) for suffix in 'abc'),
    *(Target(f'server-{suffix}', ProcessRole.BACKEND) for suffix in 'abc'),
]


def call_record(call='c-1', path='/look/1', **changed):
    plain = {
        'node': 'node-a',
        'repeatable': not path.startswith('/pay'),
        'customer': 'field',
        'sent': 100.0,
        'deadline': 101.0,
        'ended': 100.1,
        'status': 200,
        'echo': f'{call} {path}',
    }
    return CallRecord(call, path, **{**plain, **changed})


def run_of(
    record, at=100.05, server='s-1', service=None, *, ended=None, whole=True
):
    prefix = f'/{record.path.split("/")[1]}/'
    return Run(
        record.call,
        record.path,
        server,
        service or checks.SERVICE_BY_PREFIX[prefix],
        at,
        customer=record.customer,
        ended=at + 0.02 if ended is None else ended,
        whole=whole,
    )


def failed_early(**changed):
    ending = {
        'status': 504,
        'code': int(Code.UNKNOWN_TIMEOUT),
        'ended': 100.3,
        'echo': '',
    }
    return call_record(**{**ending, **changed})


def make_history(attempts, runs=None, **more):
    if runs is None:
        runs = [run_of(record) for record in attempts if record.served]
    more.setdefault('explained', {record.call for record in attempts})
    return History(['control-a'], attempts, runs, quiet_from=200.0, **more)


def accepted(label, base, acked=90.0):
    return Publication(label, base, True, acked - 0.1, acked)


def violation_kinds(found):
    return {line.split(':')[0] for line in checks.find_violations(found)}


class TestDrawFaults:
    def test_is_the_same_for_a_seed(self):
        assert draw_faults(3, 60, TARGETS) == draw_faults(3, 60, TARGETS)
        assert draw_faults(3, 60, TARGETS) != draw_faults(4, 60, TARGETS)

    @pytest.mark.parametrize('seed', range(40))
    def test_stays_within_its_period_and_wipes_at_most_one_disk(self, seed):
        faults = draw_faults(seed, 60, TARGETS)
        assert faults
        assert min(fault.at for fault in faults) >= WARM_UP_S
        assert (
            max(fault.at + fault.duration_s for fault in faults) <= 60 - QUIET_S
        )
        assert sum(fault.kind is FaultKind.WIPE for fault in faults) <= 1

    def test_draws_every_kind_and_target_over_some_seeds(self):
        faults = [
            fault
            for seed in range(40)
            for fault in draw_faults(seed, 60, TARGETS)
        ]
        assert {fault.kind for fault in faults} == set(FaultKind) - {
            FaultKind.ROLL
        }
        assert {fault.target for fault in faults} == {
            target.name for target in TARGETS
        }

    def test_draws_series_and_overlapping_faults(self):
        faults = draw_faults(1, 200, TARGETS)
        pairs = list(zip(faults, faults[1:], strict=False))
        assert any(first.target == second.target for first, second in pairs)
        assert any(
            second.at < first.at + first.duration_s for first, second in pairs
        )

    @pytest.mark.parametrize(
        ('seed', 'digest'),
        [(1, '9dd02edce809'), (8, '04e7c1e8c1d0')],
    )
    def test_draws_the_recorded_faults_for_a_kept_seed(self, seed, digest):
        words = ' '.join(
            f'{fault.at:.3f} {fault.kind.value} {fault.target} '
            f'{fault.duration_s:.3f}'
            for fault in draw_faults(seed, 45, TARGETS)
        )
        assert hashlib.sha256(words.encode()).hexdigest()[:12] == digest


class TestDrawRollingRestarts:
    def test_is_the_same_for_a_seed(self):
        assert draw_rolling_restarts(3, 60, TARGETS) == draw_rolling_restarts(
            3, 60, TARGETS
        )
        assert draw_rolling_restarts(3, 60, TARGETS) != draw_rolling_restarts(
            4, 60, TARGETS
        )

    @pytest.mark.parametrize('seed', range(40))
    def test_stays_within_its_period_and_draws_planned_work_at_nodes(
        self, seed
    ):
        faults = draw_rolling_restarts(seed, 60, TARGETS)
        assert {fault.kind for fault in faults} <= PLANNED_KINDS
        assert all(fault.target.startswith('node-') for fault in faults)
        assert min(fault.at for fault in faults) >= WARM_UP_S
        assert (
            max(fault.at + fault.duration_s for fault in faults) <= 60 - QUIET_S
        )
        assert faults == sorted(faults, key=lambda fault: fault.at)

    @pytest.mark.parametrize('seed', range(40))
    def test_restarts_every_node_before_restarting_one_again(self, seed):
        rolled = [
            fault.target
            for fault in draw_rolling_restarts(seed, 60, TARGETS)
            if fault.kind is FaultKind.ROLL
        ]
        assert len(set(rolled[:3])) == 3
        assert len(set(rolled[3:6])) == len(rolled[3:6])

    def test_draws_reloads_and_overlapping_restarts(self):
        faults = draw_rolling_restarts(1, 200, TARGETS)
        assert any(fault.kind is FaultKind.HUP for fault in faults)
        rolls = [fault for fault in faults if fault.kind is FaultKind.ROLL]
        pairs = zip(rolls, rolls[1:], strict=False)
        assert any(
            second.at < first.at + first.duration_s for first, second in pairs
        )


class TestKeptSeeds:
    def test_can_be_read(self):
        assert 8 in kept_seeds()

    def test_of_rolling_restarts_are_separate(self):
        assert 1 in kept_seeds(rolling=True)
        assert 1 not in kept_seeds()


class TestChecks:
    def test_find_no_violation_in_a_good_run(self):
        mark = call_record('c-2', '/mark/3/1')
        good = make_history(
            [call_record(), mark, call_record('c-3', '/pay/1', ended=100.2)],
            publications=[accepted(3, 0)],
            readings=[RouteRead(3, 100.0)],
            last_label=3,
            ended=300.0,
        )
        assert not checks.find_violations(good)

    def test_response_to_another_call(self):
        found = make_history([call_record(echo='c-9 /look/9')])
        assert violation_kinds(found) == {'mixed'}

    def test_success_that_no_server_ran(self):
        assert violation_kinds(make_history([call_record()], runs=[])) == {
            'mixed'
        }

    def test_run_of_a_call_that_was_not_sent(self):
        unsent = run_of(call_record('ghost'))
        assert violation_kinds(make_history([], [unsent])) == {'unasked'}

    def test_run_with_a_changed_path(self):
        record = call_record()
        other = run_of(call_record(path='/look/2'))
        found = make_history([record], [run_of(record), other])
        assert violation_kinds(found) == {'unasked'}

    def test_run_at_another_service(self):
        record = call_record()
        found = make_history([record], [run_of(record, service='ledger')])
        assert violation_kinds(found) == {'route'}

    def test_run_of_an_inner_call_is_allowed(self):
        record = call_record()
        inner = Run('c-1.inner', '/status/1', 's-2', 'ledger', 100.06)
        assert not checks.find_violations(
            make_history([record], [run_of(record), inner])
        )

    def test_second_run_of_a_call_that_is_not_idempotent(self):
        record = call_record(path='/pay/1')
        assert violation_kinds(
            make_history([record], [run_of(record)] * 2)
        ) == {'twice'}

    def test_second_run_of_an_idempotent_call_is_allowed(self):
        record = call_record()
        assert not checks.find_violations(
            make_history([record], [run_of(record)] * 2)
        )

    def test_refusal_of_a_call_that_has_run(self):
        record = call_record(path='/pay/1', status=503, code=int(Code.SHED))
        assert violation_kinds(make_history([record], [run_of(record)])) == {
            'refused'
        }

    def test_refused_version_applied(self):
        mark = call_record(path='/mark/4/1')
        refused = Publication(4, 0, True, 80.0, refused=True)
        found = make_history([mark], publications=[refused])
        assert violation_kinds(found) == {'unaccepted'}

    def test_invalid_version_applied(self):
        mark = call_record(path='/mark/4/1')
        invalid = Publication(4, 0, False, 80.0)
        found = make_history([mark], publications=[invalid])
        assert violation_kinds(found) == {'unaccepted'}

    def test_invalid_version_acknowledged(self):
        invalid = Publication(4, 0, False, 80.0, 80.1)
        found = make_history(
            [], publications=[invalid], last_label=4, ended=300.0
        )
        assert violation_kinds(found) == {'unaccepted'}

    def test_two_versions_with_the_same_base(self):
        both = [accepted(4, 3), accepted(5, 3)]
        found = make_history([], publications=both, last_label=5, ended=300.0)
        assert violation_kinds(found) == {'race'}

    def test_lost_version(self):
        found = make_history(
            [], publications=[accepted(4, 3)], last_label=3, ended=300.0
        )
        assert violation_kinds(found) == {'lost'}

    def test_old_version_read(self):
        found = make_history(
            [],
            publications=[accepted(4, 3)],
            readings=[RouteRead(3, 95.0)],
            last_label=4,
            ended=300.0,
        )
        assert violation_kinds(found) == {'stale read'}

    def test_old_version_still_applied(self):
        record = call_record(path='/mark/3/1')
        found = make_history(
            [record],
            publications=[accepted(3, 0), accepted(4, 3)],
            last_label=4,
            ended=300.0,
        )
        assert violation_kinds(found) == {'stale'}
        found.spans.append(Disturbance('node-a', 95.0, 97.5))
        assert not checks.find_violations(found)

    def test_new_version_not_applied(self):
        record = call_record(
            path='/mark/4/1', status=404, code=int(Code.NO_ROUTE)
        )
        newest = accepted(4, 3)
        found = make_history(
            [record], publications=[newest], last_label=4, ended=300.0
        )
        assert violation_kinds(found) == {'stale'}
        found.publications.append(Publication(5, 4, True, 100.05))
        assert not checks.find_violations(found)

    def test_node_that_returns_to_an_older_version(self):
        marks = [
            call_record('c-1', '/mark/4/1'),
            call_record('c-2', '/mark/3/1', sent=101.0, ended=101.1),
        ]
        found = make_history(marks)
        assert violation_kinds(found) == {'back'}
        found.starts['node-a'] = [50.0, 100.5]
        assert not checks.find_violations(found)

    def test_permanent_route_denied(self):
        record = call_record(status=404, code=int(Code.NO_ROUTE))
        assert violation_kinds(make_history([record])) == {'denied'}

    def test_call_long_after_a_drain(self):
        record = call_record(sent=102.0, ended=102.5)
        late = run_of(record, at=102.4)
        found = make_history([record], [late], drains=[DrainAck('s-1', 100.0)])
        assert violation_kinds(found) == {'drain'}

    def test_calls_cut_by_an_undisturbed_node(self):
        cut = [
            call_record(f'c-{number}', status=0, fault='broken', echo='')
            for number in range(4)
        ]
        found = make_history(cut, [run_of(record) for record in cut])
        assert violation_kinds(found) == {'lost'}
        found.spans.append(Disturbance('node-a', 100.0, 106.0, planned=True))
        assert violation_kinds(found) == {'lost'}
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
    def test_call_failed_early_near_a_planned_stop(self, ending, ran, stopped):
        record = call_record(ended=100.3, echo='', **ending)
        stop = Disturbance(stopped, 99.0, 104.0, planned=True)
        found = make_history([record], [run_of(record, **ran)], spans=[stop])
        assert violation_kinds(found) == {'given up'}

    def test_call_failed_early_with_runs_at_a_killed_and_a_running_server(self):
        record = failed_early()
        runs = [run_of(record), run_of(record, 100.2, 's-2', ended=100.4)]
        found = make_history(
            [record], runs, spans=[STOP, Disturbance('s-1', 100.1, 101.0)]
        )
        assert violation_kinds(found) == {'given up'}

    def test_call_failed_after_its_run_completed_is_allowed(self):
        record = failed_early()
        found = make_history(
            [record], [run_of(record, ended=100.29)], spans=[STOP]
        )
        assert not checks.find_violations(found)

    def test_call_failed_early_that_no_server_ran_is_allowed(self):
        assert not checks.find_violations(
            make_history([failed_early()], [], spans=[STOP])
        )

    def test_call_failed_at_its_deadline_is_allowed(self):
        record = failed_early(ended=100.95)
        found = make_history(
            [record], [run_of(record, ended=101.2)], spans=[STOP]
        )
        assert not checks.find_violations(found)

    def test_call_whose_caller_disconnected_is_allowed(self):
        record = failed_early(status=0, code=-1, fault='left')
        found = make_history(
            [record], [run_of(record, ended=100.5)], spans=[STOP]
        )
        assert not checks.find_violations(found)

    def test_call_failed_by_its_server_is_allowed(self):
        record = failed_early(status=502, code=-1)
        found = make_history(
            [record], [run_of(record, ended=100.5)], spans=[STOP]
        )
        assert not checks.find_violations(found)

    @pytest.mark.parametrize(
        'struck', ['node-a', 's-1', 'node-s-1', 'control-a']
    )
    @pytest.mark.parametrize('until', [97.5, 100.2])
    def test_call_failed_early_near_an_unplanned_fault_is_allowed(
        self, struck, until
    ):
        record = failed_early()
        run = run_of(record, ended=100.5, whole=False)
        fault = Disturbance(struck, 97.2, until)
        assert not checks.find_violations(
            make_history([record], [run], spans=[STOP, fault])
        )

    def test_call_failed_early_without_planned_work_is_allowed(self):
        record = failed_early()
        run = run_of(record, ended=100.5, whole=False)
        early = Disturbance('node-b', 95.0, 96.9, planned=True)
        assert not checks.find_violations(
            make_history([record], [run], spans=[early])
        )

    def test_deadlines_pass_before_the_last_sixth_of_the_grace_time(self):
        longest = max(DEADLINES_MS.values()) / MS_PER_S
        assert SENT_AFTER_STOP_S + longest <= STOP_GRACE_S * 5 / 6

    def test_calls_overdue_past_their_deadline(self):
        held = [
            call_record(f'c-{number}', status=504, code=200, ended=101.6)
            for number in range(8)
        ]
        assert violation_kinds(make_history(held)) == {'late'}

    def test_retries_beyond_the_budget(self):
        calls = [call_record(f'c-{number}') for number in range(100)]
        runs = [run_of(record) for record in calls]
        found = make_history(calls, [*runs, *runs[:80]])
        assert not checks.find_violations(found)
        assert violation_kinds(make_history(calls, [*runs, *runs[:81]])) == {
            'budget'
        }

    def test_refused_arrivals_count_as_retries(self):
        calls = [call_record(f'c-{number}') for number in range(100)]
        runs = [run_of(record) for record in calls]
        refusals = [Refusal(run.call, run.service, run.at) for run in runs[:81]]
        allowed = make_history(calls, runs, refusals=refusals[:80])
        assert not checks.find_violations(allowed)
        found = make_history(calls, runs, refusals=refusals)
        assert violation_kinds(found) == {'budget'}

    def test_calls_of_earlier_windows_do_not_add_up(self):
        calls = [
            call_record(f'c-{number}', sent=sent, ended=sent + 0.1)
            for number in range(200)
            for sent in [101.0 if number % 2 else 95.0]
        ]
        runs = [run_of(record, record.sent + 0.05) for record in calls]
        retries = [run_of(record) for record in calls[:81]]
        found = make_history(calls, [*runs, *retries])
        assert violation_kinds(found) == {'budget'}

    def test_no_call_served_after_the_last_fault(self):
        late = [
            call_record(f'c-{number}', sent=220.0, ended=220.1, status=503)
            for number in range(4)
        ]
        assert violation_kinds(make_history(late, [])) == {'recover'}

    def test_failure_without_a_log_line(self):
        record = call_record(status=503, code=int(Code.SHED))
        found = make_history([record], explained=set())
        assert violation_kinds(found) == {'unexplained'}
        found.spans.append(Disturbance('node-a', 100.2, 100.2))
        assert not checks.find_violations(found)

    def test_process_that_exited_unexpectedly(self):
        found = make_history([], ended_alone=['node-a (1)'])
        assert violation_kinds(found) == {'ended'}


class TestNoticeChecks:
    """What servers state in their responses."""

    def left(self, sent, **more):
        """Returns a history with a call sent after its server left."""
        told = call_record('c-1', ended=100.0, leaving=True)
        late = call_record('c-2', sent=sent, ended=sent + 0.1)
        runs = [run_of(told, at=99.9), run_of(late, at=sent + 0.05)]
        return make_history([told, late], runs, **more)

    def test_call_after_its_node_passed_on_that_the_server_leaves(self):
        found = checks.check_leaving_servers_get_no_calls(self.left(102.5))
        assert [line.split(':')[0] for line in found] == ['leaving']

    def test_call_within_the_drain_time_is_allowed(self):
        assert not list(
            checks.check_leaving_servers_get_no_calls(self.left(101.9))
        )

    @pytest.mark.parametrize(
        ('stops', 'kinds'), [(True, []), (False, ['leaving'])]
    )
    def test_only_a_stop_of_the_node_is_an_excuse_for_a_call(
        self, stops, kinds
    ):
        span = Disturbance('node-a', 101.0, 101.5, stops=stops)
        found = checks.check_leaving_servers_get_no_calls(
            self.left(102.5, spans=[span])
        )
        assert [line.split(':')[0] for line in found] == kinds

    def test_a_hedged_call_tells_only_of_the_server_that_answered(self):
        told = call_record('c-1', ended=100.0, leaving=True)
        late = call_record('c-2', sent=102.5, ended=102.6)
        runs = [
            run_of(told, at=99.9, server='s-2'),
            run_of(told, at=99.95, server='s-1', ended=100.02),
            run_of(late, at=102.55, server='s-1'),
        ]
        history = make_history([told, late], runs)
        assert not list(checks.check_leaving_servers_get_no_calls(history))

    def limited(self, per_s, **more):
        """Returns 10 s of calls to a server that states a limit of 2."""
        records = [
            call_record(
                f'c-{number}',
                sent=100 + number / per_s,
                ended=100 + number / per_s + 0.1,
                limit_stated=True,
            )
            for number in range(int(10 * per_s))
        ]
        runs = [run_of(record, at=record.sent + 0.05) for record in records]
        limits = [StatedLimit('s-1', 2.0, 100.0), StatedLimit('s-1', None, 110)]
        return make_history(records, runs, limits=limits, ended=120.0, **more)

    def test_more_calls_than_a_limit_allows(self):
        found = checks.check_stated_limits_hold(self.limited(5))
        assert [line.split(':')[0] for line in found] == ['limit']

    def test_calls_within_the_limit(self):
        assert not list(checks.check_stated_limits_hold(self.limited(4)))

    def test_a_disturbed_node_has_an_excuse_for_the_limit(self):
        spans = [Disturbance('node-a', 101.0, 101.5)]
        history = self.limited(5, spans=spans)
        assert not list(checks.check_stated_limits_hold(history))


class TestRestartedServers:
    """A server starts at 100 s while its service gets a call each 0.05 s."""

    def history(self, *, gets_calls: bool, **changes) -> History:
        server = 's-1@5' if gets_calls else 's-2@1'
        runs = [
            Run(f'c-{number}', '/look/1', server, 'desk', 100 + number / 20)
            for number in range(80)
        ]
        runs.append(Run('c-0', '/look/1', 's-1@4', 'desk', 90))
        fields = {'control': ['control-a'], 'ended': 200.0, **changes}
        return History(runs=runs, starts={'s-1': [100.0]}, **fields)

    def found(self, **changes) -> list[str]:
        return list(
            startchecks.check_restarted_servers_get_calls(
                self.history(**changes)
            )
        )

    def test_a_server_that_stays_unused_is_found(self):
        lines = self.found(gets_calls=False)
        assert lines == ['unused: s-1 got no call since its start 100.00']
        assert self.found(gets_calls=True) == []

    def test_its_own_restart_is_no_excuse(self):
        killed = Disturbance('s-1', 97.0, 100.02, stops=True)
        assert self.found(gets_calls=False, spans=[killed])

    @pytest.mark.parametrize(
        'span',
        [
            Disturbance('s-1', 101.0, 102.0, stops=True),
            Disturbance('node-s-1', 98.0, 99.0),
            Disturbance('control-a', 102.0, 103.0),
        ],
    )
    def test_another_fault_on_the_way_is_an_excuse(self, span):
        assert self.found(gets_calls=False, spans=[span]) == []

    def test_a_quarantined_request_is_found(self):
        record = call_record(status=503, code=Code.QUARANTINED)
        history = History(control=[], attempts=[record])
        assert list(
            startchecks.check_harmless_requests_are_not_quarantined(history)
        )


class TestLink:
    def test_the_end_of_a_run_during_a_connect_leaves_no_traceback(
        self, monkeypatch
    ):
        class Writer:
            class transport:
                abort = staticmethod(lambda: None)

        async def never_connects(*_):
            await asyncio.sleep(float('inf'))

        async def play():
            accepting = asyncio.ensure_future(
                Link('127.0.0.1:1').accept(None, Writer())
            )
            await asyncio.sleep(0)
            accepting.cancel()
            await asyncio.wait({accepting})
            return accepting.cancelled()

        monkeypatch.setattr(asyncio, 'open_connection', never_connects)
        assert not asyncio.run(play())


class TestRolloutChecks:
    """The order was sent at 100 s; 200 calls of the service ran after it."""

    def violations(self, check, *new_runs: float, **changes) -> list[str]:
        fields = {'is_bad': True, 'ordered': 100.0, 'acked': 100.1}
        record = RolloutRecord(**{**fields, 'final_target': 'v2', **changes})
        runs = [
            Run(f'c{at}', '/look/1', 'desk-1@1', 'desk', 100 + at / 20)
            for at in range(200)
        ]
        runs += [
            Run(f'n{at}', '/look/1', 'desk-9@1', 'desk', at) for at in new_runs
        ]
        history = History([], runs=runs, rollout=record, last_label=5)
        return list(check(history))

    def test_a_call_before_the_order_is_found(self):
        check = rolloutchecks.check_rollout_orders_bind
        assert not self.violations(check, 101.0)
        assert 'unordered' in self.violations(check, 99.0)[0]

    def test_a_lost_order_is_found(self):
        check = rolloutchecks.check_rollout_orders_bind
        assert 'lost' in self.violations(check, final_target='')[0]
        assert not self.violations(check, final_target='', acked=None)

    def test_a_roll_out_that_runs_again_is_found(self):
        readings = ['running', 'rolled_back', 'running']
        check = rolloutchecks.check_rollout_orders_bind
        assert 'again' in self.violations(check, readings=readings)[0]

    def test_too_many_calls_to_a_bad_version_are_found(self):
        check = rolloutchecks.check_bad_version_is_contained
        assert not self.violations(check, *[101.0] * 70)
        assert 'got 80' in self.violations(check, *[101.0] * 80)[0]
        assert not self.violations(check, *[101.0] * 80, is_bad=False)

    def test_calls_after_the_roll_back_are_found(self):
        check = rolloutchecks.check_bad_version_is_contained
        changes = {'ended': 103.0, 'state': 'rolled_back'}
        assert not self.violations(check, 105.0, **changes)
        assert 'after' in self.violations(check, 107.0, **changes)[0]


class TestCustomerChecks:
    def violations(self, check, ran_for: str, **changes) -> list[str]:
        record = call_record(**changes)
        run = run_of(record)
        run.customer = ran_for
        return list(check(History([], attempts=[record], runs=[run])))

    def test_a_call_that_runs_for_another_customer_is_found(self):
        check = customers.check_customers_are_identified
        assert not self.violations(check, 'field')
        assert 'office' in self.violations(check, 'office')[0]
        assert self.violations(check, '')

    def test_a_call_that_runs_with_a_wrong_key_is_found(self):
        check = customers.check_customers_are_identified
        assert 'wrong key' in self.violations(check, '', customer='')[0]

    def test_a_known_key_that_is_refused_is_found(self):
        check = customers.check_known_keys_are_admitted
        refused = {'code': int(Code.UNKNOWN_API_KEY), 'status': 401}
        assert self.violations(check, 'field', **refused)
        assert not self.violations(check, '', customer='', **refused)

    def test_a_key_in_a_log_is_found(self, tmp_path):
        (tmp_path / 'node-a.log').write_text('key soak-key-of-field')
        (tmp_path / 'node-b.log').write_text('nothing')
        leaking = customers.find_leaks(tmp_path)
        check = customers.check_keys_stay_secret
        assert list(check(History([], leaking_logs=leaking))) == [
            'customer: an API key stands in node-a.log'
        ]
