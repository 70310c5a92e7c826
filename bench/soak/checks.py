"""Checks the history of a run against the guarantees of papayalock."""

import bisect
from collections import Counter
from collections.abc import Callable, Iterator

from bench.soak.customers import (
    check_customers_are_identified,
    check_keys_stay_secret,
    check_known_keys_are_admitted,
)
from bench.soak.faults import node_name
from bench.soak.history import (
    INNER_CALL_SUFFIX,
    CallRecord,
    History,
    Publication,
    Run,
)
from bench.soak.noticechecks import (
    check_leaving_servers_get_no_calls,
    check_stated_limits_hold,
)
from bench.soak.rolloutchecks import (
    check_bad_version_is_contained,
    check_rollout_orders_bind,
)
from bench.soak.startchecks import (
    check_harmless_requests_are_not_quarantined,
    check_restarted_servers_get_calls,
)
from papayalock.result import Code

MAX_APPLY_S = 2.0  # from the acknowledgement of a version until nodes apply it
# Requests routed by two versions may overtake each other: this long after a
# call ran by the newer version, a call served by the older one is no rollback.
REORDER_S = 0.25
SETTLE_S = 3.0  # after a disturbance, until time bounds apply again
MAX_DRAIN_S = 2.0  # from the acknowledgement of a drain to the last new call
MAX_RECOVERY_S = 15.0
MIN_RECOVERED_SHARE = 0.25
DEADLINE_SLACK_S = 0.5  # past its deadline, after which a call is overdue
MAX_CUT_CALLS = 3
MIN_OVERDUE = 8  # calls
OVERDUE_SHARE = 0.25
RETRY_WINDOW_S = 10.0
RETRY_BUDGET_SHARE = 0.2
RETRY_BUDGET_FLOOR = 60
EARLY_END_S = 0.1  # a call that ends this long before its deadline is early
MIN_FAILURE_STATUS = 400
MAX_LOG_DELAY_S = 0.5  # longest time that a log line stays buffered
MARK_PREFIX = '/mark/'
SERVICE_BY_PREFIX = {
    '/look/': 'desk',
    '/pay/': 'desk',
    '/history/': 'ledger',
    '/status/': 'ledger',
    MARK_PREFIX: 'ledger',
}

Check = Callable[[History], Iterator[str]]


def find_violations(history: History, *, timed: bool = True) -> list[str]:
    """Returns the violations of a run, one line each.

    :param timed: whether to run the checks of time bounds too; their results
        mean nothing on a machine that is too busy for the processes
    """
    checks = (*SAFETY_CHECKS, *TIMED_CHECKS) if timed else SAFETY_CHECKS
    return [line for check in checks for line in check(history)]


def check_responses_match_calls(history: History) -> Iterator[str]:
    """A successful response comes from a server that ran this very call."""
    ran = {run.call for run in history.runs}
    for record in history.attempts:
        if not record.served:
            continue
        if record.echo != f'{record.call} {record.path}':
            yield f'mixed: {record.call} got the answer of {record.echo!r}'
        elif record.call not in ran:
            yield f'mixed: {record.call} was served, but no server ran it'


def check_only_sent_calls_run(history: History) -> Iterator[str]:
    """Servers run only calls that were sent, unchanged and of their service."""
    paths = {record.call: record.path for record in history.attempts}
    for run in history.runs:
        outer_call = run.call.removesuffix(INNER_CALL_SUFFIX)
        was_sent = outer_call in paths
        if not was_sent or (
            outer_call == run.call and paths[outer_call] != run.path
        ):
            yield f'unasked: {run.server} ran {run.call} {run.path}'
        prefix = f'/{run.path.split("/")[1]}/'
        if SERVICE_BY_PREFIX.get(prefix) != run.service:
            yield f'route: {run.service} ran {run.path}'


def check_at_most_once(history: History) -> Iterator[str]:
    """A call that is not idempotent runs at most once."""
    times = Counter(run.call for run in history.runs)
    for record in history.attempts:
        if not record.repeatable and times[record.call] > 1:
            yield f'twice: {record.call} ran {times[record.call]} times'


def check_refused_calls_never_ran(history: History) -> Iterator[str]:
    """A call whose result code says that it was not run has not run."""
    ran = {run.call for run in history.runs}
    for record in history.attempts:
        claims_not_run = record.code >= 0 and Code(record.code).not_run
        if claims_not_run and not record.repeatable and record.call in ran:
            yield (
                f'refused: {record.call} got {Code(record.code).name} '
                'and has run'
            )


def check_refused_versions_not_applied(history: History) -> Iterator[str]:
    """A refused or invalid version is neither applied nor acknowledged."""
    unaccepted_labels = {
        publication.label
        for publication in history.publications
        if publication.refused or not publication.valid
    }
    for record in history.attempts:
        label = mark_label(record)
        if record.served and label in unaccepted_labels:
            yield f'unaccepted: {record.call} was served by refused {label}'
    for publication in history.publications:
        if publication.acked is not None and not publication.valid:
            yield f'unaccepted: invalid {publication.label} was acknowledged'


def check_versions_are_linear(history: History) -> Iterator[str]:
    """At most one of the versions with the same base label is accepted."""
    bases: dict[int, int] = {}
    for publication in history.publications:
        if publication.acked is None:
            continue
        other = bases.setdefault(publication.base, publication.label)
        if other != publication.label:
            yield (
                f'race: {publication.label} and {other} '
                f'both follow {publication.base}'
            )


def check_accepted_versions_survive(history: History) -> Iterator[str]:
    """The last read returns the newest accepted version or a newer one."""
    newest = newest_accepted(history, history.ended)
    if history.last_label < newest:
        yield f'lost: {newest} was accepted, {history.last_label} is read'


def check_reads_are_fresh(history: History) -> Iterator[str]:
    """A read returns no version older than one accepted MAX_APPLY_S earlier."""
    for read in history.readings:
        newest = newest_accepted(history, read.sent - MAX_APPLY_S)
        if read.label < newest:
            yield f'stale read: {read.label} after {newest} was accepted'


def check_versions_applied_in_time(history: History) -> Iterator[str]:
    """An undisturbed node applies a version within MAX_APPLY_S."""
    for record in history.attempts:
        label = mark_label(record)
        if not label or not undisturbed(
            history, record.node, record.sent, record.ended
        ):
            continue
        newest = newest_accepted(history, record.sent - MAX_APPLY_S)
        if record.served and label < newest:
            yield f'stale: {record.call} served by {label}, {newest} in force'
        missing = record.code == Code.NO_ROUTE and label == newest
        if missing and not _superseded(history, label, record.ended):
            yield (
                f'stale: {record.call} has no route by {label} at {record.node}'
            )


def check_no_version_rollback(history: History) -> Iterator[str]:
    """Between two starts, a node never returns to an older version."""
    ran = {run.call: run.at for run in history.runs}
    newest: dict[tuple[str, int], tuple[int, float]] = {}
    marks = [
        record
        for record in history.attempts
        if record.served and mark_label(record)
    ]
    for record in sorted(marks, key=lambda mark: mark.sent):
        starts = history.starts.get(record.node, [])
        start = bisect.bisect(starts, record.sent)
        label = mark_label(record)
        highest, seen = newest.get((record.node, start), (0, 0.0))
        if label < highest and record.sent > seen + REORDER_S:
            yield f'back: {record.node} served {label} after {highest}'
        if label > highest:
            newest[record.node, start] = (label, ran[record.call])


def check_permanent_routes_never_denied(history: History) -> Iterator[str]:
    """A route that every version contains is never denied or missing."""
    for record in history.attempts:
        denied = record.code in {Code.NO_ROUTE, Code.DENIED}
        if denied and not mark_label(record):
            yield f'denied: {record.call} {record.path} at {record.node}'


def check_drained_servers_get_no_calls(history: History) -> Iterator[str]:
    """A draining server gets no call MAX_DRAIN_S after its acknowledgement."""
    acked = {drain.server: drain.acked for drain in history.drains}
    for run in history.runs:
        if run.at > acked.get(run.server, run.at) + MAX_DRAIN_S:
            delay_s = run.at - acked[run.server]
            yield f'drain: {run.server} ran {run.call} {delay_s:.2f} s after'


def check_calls_not_cut(history: History) -> Iterator[str]:
    """Undisturbed nodes, and those in a planned stop, cut almost no calls.

    Counts calls that a server ran and whose connection broke; up to
    MAX_CUT_CALLS of them are allowed in a run.
    """
    ran = {run.call for run in history.runs}
    cut = [
        record
        for record in history.attempts
        if record.fault == 'broken'
        and record.call in ran
        and undisturbed(
            history, record.node, record.sent, record.ended, unplanned=True
        )
    ]
    if len(cut) > MAX_CUT_CALLS:
        calls = ', '.join(
            f'{record.call} at {record.node}' for record in cut[:5]
        )
        yield f'lost: {len(cut)} calls cut by calm nodes: {calls}'


def check_planned_work_fails_no_calls(history: History) -> Iterator[str]:
    """Near planned work, no call fails while a server may still complete it.

    Calls that run until the end of the stop grace time need no exception: the
    deadline of a call sent soon after the stop request passes before the last
    sixth of the grace time.
    """
    runs: dict[str, list[Run]] = {}
    for run in history.runs:
        runs.setdefault(run.call, []).append(run)
    for record in history.attempts:
        if not (_ended_early(record) and _near_planned_work(history, record)):
            continue
        for run in runs.get(record.call, []):
            if not run.completed_by(record.ended) and _path_undisturbed(
                history, record, run
            ):
                remaining_s = record.deadline - record.ended
                ending = (
                    f'{record.code} at {record.node}, {remaining_s:.2f} s left'
                )
                yield f'given up: {record.call} {ending}, run by {run.server}'
                break


def check_deadlines_hold(history: History) -> Iterator[str]:
    """Undisturbed nodes respond to calls by their deadline.

    Reports a run only if at least MIN_OVERDUE calls and more than
    OVERDUE_SHARE of the calls that reached their deadline are overdue.
    """
    due = [
        record
        for record in history.attempts
        if record.ended >= record.deadline
        and undisturbed(history, record.node, record.sent, record.ended)
    ]
    overdue = [
        record
        for record in due
        if record.ended > record.deadline + DEADLINE_SLACK_S
    ]
    if len(overdue) >= MIN_OVERDUE and len(overdue) > OVERDUE_SHARE * len(due):
        yield (
            f'late: {len(overdue)} of {len(due)} calls held, {overdue[0].call}'
        )


def check_retries_within_budget(history: History) -> Iterator[str]:
    """In any RETRY_WINDOW_S, a service gets no more retries than its budget.

    A retry is an arrival at a server beyond the first of its call, run or
    refused. The calls are those of the window, of the one before it or of the
    one half a window before it, whichever has most.
    """
    calls: dict[str, list[float]] = {}
    for record in history.attempts:
        service = SERVICE_BY_PREFIX[f'/{record.path.split("/")[1]}/']
        calls.setdefault(service, []).append(record.sent)
    retries: dict[str, list[float]] = {}
    arrived: set[tuple[str, str]] = set()
    for at, service, call in _arrivals(history):
        if (call, service) in arrived:
            retries.setdefault(service, []).append(at)
        elif call.endswith(INNER_CALL_SUFFIX):
            calls.setdefault(service, []).append(at)
        arrived.add((call, service))
    for service, retry_times in retries.items():
        sent = sorted(calls.get(service, []))
        for begin in retry_times:
            count = _count_in_window(retry_times, begin)
            calls_sent = max(
                _count_in_window(sent, begin - earlier)
                for earlier in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            allowed = RETRY_BUDGET_SHARE * calls_sent + RETRY_BUDGET_FLOOR
            if count > allowed:
                yield (
                    f'budget: {count} retries at {service} in '
                    f'{RETRY_WINDOW_S} s, {allowed:.0f} allowed'
                )
                break


def _arrivals(history: History) -> list[tuple[float, str, str]]:
    """Returns time, service and call of all arrivals at servers, in order."""
    runs = [(run.at, run.service, run.call) for run in history.runs]
    refusals = [
        (refusal.at, refusal.service, refusal.refused)
        for refusal in history.refusals
    ]
    return sorted([*runs, *refusals])


def _count_in_window(times: list[float], begin: float) -> int:
    """Counts the times in the RETRY_WINDOW_S that begin at a time.

    :param times: in order
    """
    end_index = bisect.bisect_left(times, begin + RETRY_WINDOW_S)
    return end_index - bisect.bisect_left(times, begin)


def check_service_recovers(history: History) -> Iterator[str]:
    """Calls succeed again MAX_RECOVERY_S after the last fault."""
    recovered_at = history.quiet_from + MAX_RECOVERY_S
    records = [
        record for record in history.attempts if record.sent > recovered_at
    ]
    served = sum(record.served for record in records)
    if records and served < MIN_RECOVERED_SHARE * len(records):
        yield f'recover: {served} of {len(records)} served at the end'


def check_failures_are_logged(history: History) -> Iterator[str]:
    """Every failed call has a log line of its node that names the cause.

    A killed process loses its buffered log lines, so calls at a disturbed
    node are left out.
    """
    for record in history.attempts:
        failed = record.status >= MIN_FAILURE_STATUS
        if not failed or record.call in history.explained:
            continue
        if undisturbed(
            history, record.node, record.sent, record.ended + MAX_LOG_DELAY_S
        ):
            yield (
                f'unexplained: {record.call} got {record.status} '
                f'at {record.node}'
            )


def check_processes_stay_up(history: History) -> Iterator[str]:
    """No process exits unless the soak ended it."""
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
    check_retries_within_budget,
    check_harmless_requests_are_not_quarantined,
    check_rollout_orders_bind,
    check_customers_are_identified,
    check_known_keys_are_admitted,
    check_keys_stay_secret,
)
TIMED_CHECKS: tuple[Check, ...] = (
    check_reads_are_fresh,
    check_bad_version_is_contained,
    check_versions_applied_in_time,
    check_no_version_rollback,
    check_drained_servers_get_no_calls,
    check_leaving_servers_get_no_calls,
    check_stated_limits_hold,
    check_calls_not_cut,
    check_planned_work_fails_no_calls,
    check_deadlines_hold,
    check_service_recovers,
    check_restarted_servers_get_calls,
)


def mark_label(attempt: CallRecord) -> int:
    """Returns the label in the path of a mark call, or 0 for other calls."""
    if not attempt.path.startswith(MARK_PREFIX):
        return 0
    return int(attempt.path.split('/')[2])


def newest_accepted(history: History, before: float) -> int:
    """Returns the newest label acknowledged by a time, or 0."""
    accepted = [
        publication.label
        for publication in history.publications
        if publication.acked is not None and publication.acked <= before
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
    """Returns whether no fault hit a process or the control VMs in a period.

    A disturbance counts until SETTLE_S after its end.

    :param node: name of a node or a backend server
    :param unplanned: whether only unplanned disturbances count
    """
    names = {node, *history.control}
    return not any(
        span.name in names
        and span.begin <= end
        and span.end >= begin - SETTLE_S
        and not (unplanned and span.planned)
        for span in history.spans
    )


def _ended_early(record: CallRecord) -> bool:
    """Returns whether the node failed a call well before its deadline."""
    failed = record.code > Code.DONE or record.fault == 'broken'
    return failed and record.ended < record.deadline - EARLY_END_S


def _near_planned_work(history: History, record: CallRecord) -> bool:
    return any(
        span.planned
        and span.begin <= record.ended
        and span.end >= record.sent - SETTLE_S
        for span in history.spans
    )


def _path_undisturbed(history: History, record: CallRecord, run: Run) -> bool:
    """Returns whether no unplanned fault hit the processes that a call used."""
    server = run.server.partition('@')[0]
    end = max(record.ended, run.at)
    return all(
        undisturbed(history, name, record.sent, end, unplanned=True)
        for name in (record.node, node_name(server), server)
    )


def _superseded(history: History, label: int, before: float) -> bool:
    def newer(publication: Publication) -> bool:
        return (
            publication.label > label
            and publication.sent <= before
            and not publication.refused
        )

    return any(newer(publication) for publication in history.publications)
