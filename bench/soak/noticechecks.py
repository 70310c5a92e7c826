"""Checks that nodes follow what servers state in their responses."""

import bisect
import itertools
from collections.abc import Iterator

from bench.soak.history import CallRecord, History, Run

MAX_DRAIN_S = 2.0  # from a response that says that its server leaves
LIMIT_EFFECT_S = 3.0  # from the first statement of a limit until it must hold
LIMIT_HEARD_S = 0.5  # from a response until calls of its node count
LIMIT_SPAN_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_EXTRA = 5  # calls in any span, beside the tolerance

Heard = dict[tuple[str, str], list[float]]  # by server and node


def check_leaving_servers_get_no_calls(history: History) -> Iterator[str]:
    """A server gets no call from a node that has passed on that it leaves.

    A restart or suspension of the node since then is an excuse.
    """
    records = _records(history)
    leaving = [record for record in history.attempts if record.leaving]
    heard = _heard(history, leaving)
    for run in history.runs:
        record = records.get(run.call)
        if record is None:
            continue
        first = next(iter(heard.get((run.server, record.node), ())), None)
        if first is None or record.sent <= first + MAX_DRAIN_S:
            continue
        if not _disturbed(history, record.node, first, run.at, stops=True):
            late_s = record.sent - first
            yield f'leaving: {run.server} ran {run.call} {late_s:.2f} s after'


def check_stated_limits_hold(history: History) -> Iterator[str]:
    """A server gets no more calls than its limit allows, see the constants."""
    records = _records(history)
    stating = [record for record in history.attempts if record.limit_stated]
    heard = _heard(history, stating)
    for server, limit, begin, end in _limited_periods(history):
        arrivals = sorted(
            run.at
            for run in history.runs
            if run.server == server
            and begin <= run.at <= end
            and _counts(history, run, records.get(run.call), heard, begin)
        )
        allowed = LIMIT_TOLERANCE * limit * LIMIT_SPAN_S + LIMIT_EXTRA
        judged_from = begin + LIMIT_EFFECT_S
        for index, at in enumerate(arrivals):
            count = bisect.bisect(arrivals, at + LIMIT_SPAN_S) - index
            if at >= judged_from and count > allowed:
                yield f'limit: {server} got {count} calls, {allowed:.0f} allowed'
                break


def _records(history: History) -> dict[str, CallRecord]:
    return {record.call: record for record in history.attempts}


def _heard(history: History, records: list[CallRecord]) -> Heard:
    """Returns when each node passed on a response of each server."""
    runs_by_call: dict[str, list[Run]] = {}
    for run in history.runs:
        runs_by_call.setdefault(run.call, []).append(run)
    heard: Heard = {}
    for record in sorted(records, key=lambda one: one.ended):
        server = _answering_server(record, runs_by_call.get(record.call, []))
        if server is not None:
            times = heard.setdefault((server, record.node), [])
            times.append(record.ended)
    return heard


def _answering_server(record: CallRecord, runs: list[Run]) -> str | None:
    """Returns the server of a response; None if several may have sent it.

    A hedged call runs at several servers, one of which answered.
    """
    completed = [run.server for run in runs if run.completed_by(record.ended)]
    return completed[0] if len(completed) == 1 else None


def _limited_periods(
    history: History,
) -> Iterator[tuple[str, float, float, float]]:
    """Yields the server, limit, begin and end of each limited period."""
    statements = sorted(history.limits, key=lambda one: (one.server, one.at))
    for stated, following in itertools.pairwise([*statements, None]):
        if stated is None or stated.limit is None:
            continue
        end = history.ended
        if following is not None and following.server == stated.server:
            end = following.at
        yield stated.server, stated.limit, stated.at, end


def _counts(
    history: History,
    run: Run,
    record: CallRecord | None,
    heard: Heard,
    begin: float,
) -> bool:
    """Whether the node of a call knew the limit and has no excuse."""
    if record is None:
        return False
    times = heard.get((run.server, record.node), [])
    index = bisect.bisect_left(times, begin)
    if index == len(times) or times[index] + LIMIT_HEARD_S > run.at:
        return False
    return not _disturbed(history, record.node, begin, run.at)


def _disturbed(
    history: History,
    node: str,
    begin: float,
    end: float,
    *,
    stops: bool = False,
) -> bool:
    """Whether a fault hit a node; with ``stops`` one that stopped it."""
    return any(
        span.name == node
        and span.begin <= end
        and span.end >= begin
        and (span.stops or not stops)
        for span in history.spans
    )
