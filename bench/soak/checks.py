"""Holds a run's history against what papayalock promises."""

import bisect
from collections import Counter
from collections.abc import Callable, Iterator

from bench.soak.faults import node_name
from bench.soak.history import CallRecord, History, Publication, Run
from papayalock.result import Code

MAX_APPLY_S = 2.0  # time in which an acknowledged version is in force
REORDER_S = 0.25  # time for which requests of two versions may cross
SETTLE_S = 3.0  # calm time after which the bounds hold for a process again
MAX_DRAIN_S = 2.0  # time after its acknowledgement in which a drain binds
MAX_RECOVERY_S = 15.0
MIN_RECOVERED_SHARE = 0.25
DEADLINE_SLACK_S = 0.5  # past its deadline, from which an answer is overdue
MAX_CUT_CALLS = 3
MIN_OVERDUE_CALLS = 8
MAX_OVERDUE_SHARE = 0.25
RETRY_WINDOW_S = 10.0
RETRY_BUDGET_SHARE = 0.2
RETRY_BUDGET_FLOOR = 60
EARLY_END_S = 0.1  # before its deadline, from which a call ends too early
MIN_FAILURE_STATUS = 400
MAX_LOG_DELAY_S = 0.5  # longest time that a line stays in memory
MARK_PREFIX = '/mark/'
INNER_CALL_SUFFIX = '.inner'
SERVICE_BY_PREFIX = {
    '/look/': 'desk',
    '/pay/': 'desk',
    '/history/': 'ledger',
    '/status/': 'ledger',
    MARK_PREFIX: 'ledger',
}

Check = Callable[[History], Iterator[str]]


def find_violations(history: History, *, timed: bool = True) -> list[str]:
    """Returns what did not hold, one line each; empty when all held.

    :param timed: whether bounds in time are checked too; they say nothing on
        a machine that is too busy to run the processes
    """
    checks = (*SAFETY_CHECKS, *TIMED_CHECKS) if timed else SAFETY_CHECKS
    return [line for check in checks for line in check(history)]


def check_responses_match_calls(history: History) -> Iterator[str]:
    """A success is the answer of a server that ran just this call."""
    ran = {run.call for run in history.runs}
    for one in history.attempts:
        if not one.served:
            continue
        if one.echo != f'{one.call} {one.path}':
            yield f'mixed: {one.call} got the answer of {one.echo!r}'
        elif one.call not in ran:
            yield f'mixed: {one.call} was served, but no server ran it'


def check_only_sent_calls_run(history: History) -> Iterator[str]:
    """A server runs what a caller sent, unchanged, at its own service."""
    paths = {one.call: one.path for one in history.attempts}
    for run in history.runs:
        outer = run.call.removesuffix(INNER_CALL_SUFFIX)
        known = outer in paths
        if not known or (outer == run.call and paths[outer] != run.path):
            yield f'unasked: {run.server} ran {run.call} {run.path}'
        prefix = f'/{run.path.split("/")[1]}/'
        if SERVICE_BY_PREFIX.get(prefix) != run.service:
            yield f'route: {run.service} ran {run.path}'


def check_at_most_once(history: History) -> Iterator[str]:
    """A call that may not be repeated runs once at most."""
    times = Counter(run.call for run in history.runs)
    for one in history.attempts:
        if not one.repeatable and times[one.call] > 1:
            yield f'twice: {one.call} ran {times[one.call]} times'


def check_refused_calls_never_ran(history: History) -> Iterator[str]:
    """A refusal that says that a call was not run tells the truth."""
    ran = {run.call for run in history.runs}
    for one in history.attempts:
        said = one.code >= 0 and Code(one.code).not_run
        if said and not one.repeatable and one.call in ran:
            yield f'refused: {one.call} got {Code(one.code).name} and has run'


def check_refused_versions_not_applied(history: History) -> Iterator[str]:
    """Nothing that was refused, or is invalid, has any effect."""
    barred = {
        one.label
        for one in history.publications
        if one.refused or not one.valid
    }
    for one in history.attempts:
        label = mark_label(one)
        if one.served and label in barred:
            yield f'unaccepted: {one.call} was served by refused {label}'
    for sent in history.publications:
        if sent.acked is not None and not sent.valid:
            yield f'unaccepted: invalid {sent.label} was acknowledged'


def check_versions_are_linear(history: History) -> Iterator[str]:
    """Of two sets made from the same label, one at most is accepted."""
    bases: dict[int, int] = {}
    for one in history.publications:
        if one.acked is None:
            continue
        other = bases.setdefault(one.base, one.label)
        if other != one.label:
            yield f'race: {one.label} and {other} both follow {one.base}'


def check_accepted_versions_survive(history: History) -> Iterator[str]:
    """The newest accepted version is there at the end."""
    newest = newest_accepted(history, history.ended)
    if history.last_label < newest:
        yield f'lost: {newest} was accepted, {history.last_label} is read'


def check_reads_are_fresh(history: History) -> Iterator[str]:
    """A read answers with nothing older than what was accepted before."""
    for one in history.readings:
        newest = newest_accepted(history, one.sent - MAX_APPLY_S)
        if one.label < newest:
            yield f'stale read: {one.label} after {newest} was accepted'


def check_versions_applied_in_time(history: History) -> Iterator[str]:
    """A calm node acts on what was accepted long enough ago."""
    for one in history.attempts:
        label = mark_label(one)
        if not label or not undisturbed(history, one.node, one.sent, one.ended):
            continue
        newest = newest_accepted(history, one.sent - MAX_APPLY_S)
        if one.served and label < newest:
            yield f'stale: {one.call} served by {label}, {newest} in force'
        dropped = one.code == Code.NO_ROUTE and label == newest
        if dropped and not _superseded(history, label, one.ended):
            yield f'stale: {one.call} has no route by {label} at {one.node}'


def check_no_version_rollback(history: History) -> Iterator[str]:
    """One start of a node never acts on an older version than before."""
    ran = {run.call: run.at for run in history.runs}
    newest: dict[tuple[str, int], tuple[int, float]] = {}
    marks = [one for one in history.attempts if one.served and mark_label(one)]
    for one in sorted(marks, key=lambda mark: mark.sent):
        starts = history.starts.get(one.node, [])
        start = bisect.bisect(starts, one.sent)
        label = mark_label(one)
        highest, seen = newest.get((one.node, start), (0, 0.0))
        if label < highest and one.sent > seen + REORDER_S:
            yield f'back: {one.node} served {label} after {highest}'
        if label > highest:
            newest[one.node, start] = (label, ran[one.call])


def check_permanent_routes_never_denied(history: History) -> Iterator[str]:
    """What every version allows is never answered as unknown."""
    for one in history.attempts:
        denied = one.code in {Code.NO_ROUTE, Code.DENIED}
        if denied and not mark_label(one):
            yield f'denied: {one.call} {one.path} at {one.node}'


def check_drained_servers_get_no_calls(history: History) -> Iterator[str]:
    """A server that leaves gets nothing long after its acknowledgement."""
    acked = {one.server: one.acked for one in history.drains}
    for run in history.runs:
        if run.at > acked.get(run.server, run.at) + MAX_DRAIN_S:
            late = run.at - acked[run.server]
            yield f'drain: {run.server} ran {run.call} {late:.2f} s after'


def check_calls_not_cut(history: History) -> Iterator[str]:
    """A calm node cuts no call, nor does one that is asked to stop."""
    ran = {run.call for run in history.runs}
    lost = [
        one
        for one in history.attempts
        if one.fault == 'broken'
        and one.call in ran
        and undisturbed(history, one.node, one.sent, one.ended, unplanned=True)
    ]
    if len(lost) > MAX_CUT_CALLS:
        calls = ', '.join(f'{one.call} at {one.node}' for one in lost[:5])
        yield f'lost: {len(lost)} calls cut by calm nodes: {calls}'


def check_planned_work_fails_no_calls(history: History) -> Iterator[str]:
    """Around planned work no call ends before its deadline and its run.

    Deadlines are too short for a run that is at work in the last sixth of a
    grace time, of a call sent soon after the stop; so none is passed over.
    """
    runs: dict[str, list[Run]] = {}
    for run in history.runs:
        runs.setdefault(run.call, []).append(run)
    for one in history.attempts:
        if not (_ended_early(one) and _near_planned_work(history, one)):
            continue
        for run in runs.get(one.call, []):
            if not run.completed_by(one.ended) and _path_undisturbed(
                history, one, run
            ):
                left = one.deadline - one.ended
                end = f'{one.code} at {one.node}, {left:.2f} s left'
                yield f'given up: {one.call} {end}, run by {run.server}'
                break


def check_deadlines_hold(history: History) -> Iterator[str]:
    """A calm node answers at the latest when the deadline passes."""
    due = [
        one
        for one in history.attempts
        if one.ended >= one.deadline
        and undisturbed(history, one.node, one.sent, one.ended)
    ]
    late = [one for one in due if one.ended > one.deadline + DEADLINE_SLACK_S]
    if len(late) >= MIN_OVERDUE_CALLS and len(late) > MAX_OVERDUE_SHARE * len(
        due
    ):
        yield f'late: {len(late)} of {len(due)} calls held, {late[0].call}'


def check_retries_within_budget(history: History) -> Iterator[str]:
    """In no window a service gets more repeats than its budget."""
    calls: dict[str, list[float]] = {}
    for one in history.attempts:
        service = SERVICE_BY_PREFIX[f'/{one.path.split("/")[1]}/']
        calls.setdefault(service, []).append(one.sent)
    repeats: dict[str, list[float]] = {}
    seen: set[tuple[str, str]] = set()
    for run in sorted(history.runs, key=lambda one: one.at):
        if (run.call, run.service) in seen:
            repeats.setdefault(run.service, []).append(run.at)
        seen.add((run.call, run.service))
    for service, times in repeats.items():
        for number, begin in enumerate(times):
            until = bisect.bisect_left(times, begin + RETRY_WINDOW_S)
            asked = sum(
                begin - RETRY_WINDOW_S <= sent < begin + RETRY_WINDOW_S
                for sent in calls.get(service, [])
            )
            allowed = RETRY_BUDGET_SHARE * asked + RETRY_BUDGET_FLOOR
            if until - number > allowed:
                yield f'budget: {until - number} repeats at {service}'
                break


def check_service_recovers(history: History) -> Iterator[str]:
    """Calls are served again once the faults are over."""
    since = history.quiet_from + MAX_RECOVERY_S
    late = [one for one in history.attempts if one.sent > since]
    served = sum(one.served for one in late)
    if late and served < MIN_RECOVERED_SHARE * len(late):
        yield f'recover: {served} of {len(late)} served at the end'


def check_failures_are_logged(history: History) -> Iterator[str]:
    """Each refusal and failure has a line that names its cause.

    A process that is killed takes its newest lines with it.
    """
    for one in history.attempts:
        failed = one.status >= MIN_FAILURE_STATUS
        if not failed or one.call in history.explained:
            continue
        if undisturbed(
            history, one.node, one.sent, one.ended + MAX_LOG_DELAY_S
        ):
            yield f'unexplained: {one.call} got {one.status} at {one.node}'


def check_processes_stay_up(history: History) -> Iterator[str]:
    """No process ends unless it was ended from outside."""
    for name in history.ended_alone:
        yield f'ended: {name} ended by itself'


SAFETY_CHECKS: tuple[Check, ...] = (
    check_responses_match_calls,
    check_only_sent_calls_run,
    check_at_most_once,
    check_refused_calls_never_ran,
    check_refused_versions_not_applied,
    check_versions_are_linear,
    check_accepted_versions_survive,
    check_permanent_routes_never_denied,
    check_failures_are_logged,
    check_processes_stay_up,
)
TIMED_CHECKS: tuple[Check, ...] = (
    check_reads_are_fresh,
    check_versions_applied_in_time,
    check_no_version_rollback,
    check_drained_servers_get_no_calls,
    check_calls_not_cut,
    check_planned_work_fails_no_calls,
    check_deadlines_hold,
    check_retries_within_budget,
    check_service_recovers,
)


def mark_label(attempt: CallRecord) -> int:
    """Returns the label whose effect a call asked for, or 0."""
    if not attempt.path.startswith(MARK_PREFIX):
        return 0
    return int(attempt.path.split('/')[2])


def newest_accepted(history: History, before: float) -> int:
    """Returns the newest label that was accepted before a time."""
    accepted = [
        one.label
        for one in history.publications
        if one.acked is not None and one.acked <= before
    ]
    return max(accepted, default=0)


def undisturbed(
    history: History,
    node: str,
    begin: float,
    end: float,
    *,
    unplanned: bool = False,
) -> bool:
    """Whether a node and the control VMs were undisturbed for long enough.

    :param unplanned: whether a planned stop does not count as disturbance
    """
    names = {node, *history.control}
    return not any(
        one.name in names
        and one.begin <= end
        and one.end >= begin - SETTLE_S
        and not (unplanned and one.planned)
        for one in history.spans
    )


def _ended_early(one: CallRecord) -> bool:
    """Whether the node itself failed a call well before its deadline."""
    failed = one.code > Code.DONE or one.fault == 'broken'
    return failed and one.ended < one.deadline - EARLY_END_S


def _near_planned_work(history: History, one: CallRecord) -> bool:
    return any(
        span.planned
        and span.begin <= one.ended
        and span.end >= one.sent - SETTLE_S
        for span in history.spans
    )


def _path_undisturbed(history: History, one: CallRecord, run: Run) -> bool:
    """Whether no fault struck a call's way to the run of a server."""
    server = run.server.partition('@')[0]
    end = max(one.ended, run.at)
    return all(
        undisturbed(history, name, one.sent, end, unplanned=True)
        for name in (one.node, node_name(server), server)
    )


def _superseded(history: History, label: int, before: float) -> bool:
    def newer(one: Publication) -> bool:
        return one.label > label and one.sent <= before and not one.refused

    return any(newer(one) for one in history.publications)
