"""Reconstructs a call from the log lines of all processes.

This is what ``papayalock trace`` prints.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from papayalock.result import Code

MS_PER_S = 1000
CONTEXT_WINDOW_S = 3.0  # events this close to a call may explain it
MIN_SKEW_S = 0.05  # smaller clock differences are not reported
CALL_PREFIX = 'call '  # begins every message about the end of a call
GATE_MESSAGES = frozenset(('call not admitted', 'call abandoned'))
CONTEXT_MESSAGES = frozenset(
    (
        'version applied',
        'control VM lost',
        'control VM regained',
        'backend server changed',
        'backend server found',
        'backend server had left',
        'backend server stopped announcing itself',
        'node started',
        'node stops',
        'node stopped',
        'settings reloaded',
        'version rejected',
    )
)
CAUSES = {
    Code.NO_ROUTE: 'the configuration in force on the node has no such route',
    Code.NOT_CONFIGURED: 'the node had no configuration yet, as after a start',
    Code.NO_SERVER: 'no backend server of the service takes calls',
    Code.SHED: 'every server asked was full, and the wait too long',
    Code.DEADLINE_BEFORE_RUN: 'the deadline came before a slot was free',
    Code.DRAINING: 'the node or the server was leaving',
    Code.OTHER_SERVER: 'another server has the address now',
    Code.NOT_CONNECTED: 'no connection to the node of the server',
    Code.UNKNOWN_TIMEOUT: 'the far end fell silent, or the time ran out',
    Code.UNKNOWN_BROKEN: 'the connection broke after the call was sent',
    Code.INCOMPLETE_ANSWER: 'the answer ended short or could not be read',
    Code.FOREIGN_ANSWER: "the answer was not the server's own",
}


@dataclass(slots=True)
class LogLine:
    """One parsed log line."""

    at: float  # seconds since the epoch, by the clock of that process
    process: str
    message: str
    fields: dict[str, Any]

    @property
    def text_time(self) -> str:
        """The timestamp as the process wrote it."""
        return str(self.fields.get('time', ''))


@dataclass(slots=True)
class CallTrace:
    """The log lines that concern one call."""

    call: str  # call id
    lines: list[LogLine]  # lines that name the call
    context: list[LogLine]  # other events that may explain its outcome
    # Minimum clock difference to the ingress node in seconds, by process.
    skews: dict[str, float] = field(default_factory=dict)

    @property
    def outcome_line(self) -> LogLine | None:
        """The last line that the call's ingress node wrote about its end."""
        matching = [
            line
            for line in self.lines
            if line.message.startswith(CALL_PREFIX)
            and line.message not in GATE_MESSAGES
        ]
        return matching[-1] if matching else None


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parses log lines, skipping text that isn't one.

    A line may have a prefix before its JSON object.
    """
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        line = _parse_line(fields)
        if line is not None:
            yield line


def _parse_line(fields: dict[str, Any]) -> LogLine | None:
    try:
        at = datetime.fromisoformat(str(fields['time'])).timestamp()
    except (KeyError, ValueError):
        return None
    process = str(fields.get('process_name', ''))
    return LogLine(at, process, str(fields.get('message', '')), fields)


def trace_call(call: str, lines: Iterable[LogLine]) -> CallTrace:
    """Returns the trace of a call, with causes before their effects.

    :param call: call id
    :param lines: log lines of all processes, in any order
    """
    all_lines = list(lines)
    call_lines = [line for line in all_lines if line.fields.get('call') == call]
    trace = CallTrace(call, sorted(call_lines, key=_causal_order), [])
    outcome = trace.outcome_line
    if outcome is None:
        return trace
    processes = {line.process for line in call_lines}
    began = outcome.at - float(outcome.fields.get('took_ms', 0)) / MS_PER_S
    candidates = [
        line
        for line in all_lines
        if _may_explain(line, processes, began, outcome.at)
    ]
    trace.context = _select_nearest(candidates, began)
    trace.skews = _estimate_skews(call_lines, began, outcome.at)
    return trace


def _causal_order(line: LogLine) -> tuple[bool, float]:
    """Returns a sort key that puts the gates' lines before all others.

    A gate's decision thus precedes the ingress node's reaction to it,
    whatever their clocks say.
    """
    return (line.message not in GATE_MESSAGES, line.at)


def _may_explain(
    line: LogLine, processes: set[str], began: float, ended: float
) -> bool:
    if line.process not in processes or line.message not in CONTEXT_MESSAGES:
        return False
    return began - CONTEXT_WINDOW_S <= line.at <= ended + CONTEXT_WINDOW_S


def _select_nearest(lines: list[LogLine], began: float) -> list[LogLine]:
    """Keeps, per process and message, the lines nearest to a call's start.

    These are the last one up to the start and the first one after it.
    """
    nearest: dict[tuple[str, str, bool], LogLine] = {}
    for line in sorted(lines, key=lambda logged: logged.at):
        after = line.at > began
        kind = (line.process, line.message, after)
        if not after or kind not in nearest:
            nearest[kind] = line
    return sorted(nearest.values(), key=lambda logged: logged.at)


def _estimate_skews(
    lines: list[LogLine], began: float, ended: float
) -> dict[str, float]:
    """Returns how far clocks differ at least from the ingress node's.

    A line about the call that is dated before its start or after its end shows
    a difference of at least that time.

    :returns: seconds by process, where they exceed ``MIN_SKEW_S``
    """
    skews: dict[str, float] = {}
    for line in lines:
        before_s = began - line.at
        after_s = line.at - ended
        if before_s > MIN_SKEW_S:
            skews[line.process] = -before_s
        elif after_s > MIN_SKEW_S:
            skews[line.process] = after_s
    return skews


def explain_outcome(trace: CallTrace) -> str:
    """Explains in one line how a call ended and why."""
    outcome = trace.outcome_line
    if outcome is None:
        return 'no line of the node at which the call began'
    name = str(outcome.fields.get('code', ''))
    if name not in Code.__members__:
        return _explain_response(outcome)
    code = Code[name]
    cause = CAUSES.get(code, str(outcome.fields.get('reason', '')))
    certainty = 'was not run' if code.not_run else 'may have run'
    return f'{code.value} {code.name}: {cause}; the call {certainty}'


def _explain_response(outcome: LogLine) -> str:
    status = outcome.fields.get('status', '')
    if outcome.fields.get('callee_failed'):
        return f'answered {status}: a call that the server itself made failed'
    return f'answered {status} by the server'
