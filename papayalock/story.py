"""Joins the log lines of one call from all processes into its story."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from papayalock.result import Code

MS = 1000  # milliseconds in a second
BEFORE_S = 3.0  # time before a call in which changes may explain it
CLOCK_SLACK_S = 0.05  # disagreement of clocks that is not worth a word
ENTRY = 'call '
AT_GATE = frozenset(('call not admitted', 'call abandoned'))
CONTEXT = frozenset(
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
class Line:
    """One log line."""

    at: float  # seconds since the epoch, by the clock of the process
    process: str
    message: str
    fields: dict[str, Any]

    @property
    def text_time(self) -> str:
        """The time of day as the process wrote it."""
        return str(self.fields.get('time', ''))


@dataclass(slots=True)
class Story:
    """What the logs hold of one call."""

    call: str
    lines: list[Line]
    context: list[Line]
    skews: dict[str, float] = field(default_factory=dict)

    @property
    def entry(self) -> Line | None:
        """The line of the node at which the call began."""
        own = [
            one
            for one in self.lines
            if one.message.startswith(ENTRY) and one.message not in AT_GATE
        ]
        return own[-1] if own else None


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yields the log lines of some text; what is no log line is passed over."""
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        line = _line(fields)
        if line is not None:
            yield line


def _line(fields: dict[str, Any]) -> Line | None:
    try:
        at = datetime.fromisoformat(str(fields['time'])).timestamp()
    except (KeyError, ValueError):
        return None
    process = str(fields.get('process_name', ''))
    return Line(at, process, str(fields.get('message', '')), fields)


def tell(call: str, lines: Iterable[Line]) -> Story:
    """Returns the story of a call, in the order of cause."""
    all_lines = list(lines)
    own = [one for one in all_lines if one.fields.get('call') == call]
    story = Story(call, sorted(own, key=_cause_order), [])
    entry = story.entry
    if entry is None:
        return story
    involved = {one.process for one in own}
    began = entry.at - float(entry.fields.get('took_ms', 0)) / MS
    near = [
        one for one in all_lines if _explains(one, involved, began, entry.at)
    ]
    story.context = _nearest(near, began)
    story.skews = _skews(own, began, entry.at)
    return story


def _cause_order(line: Line) -> tuple[bool, float]:
    """Puts what the gates decided before what the node made of it."""
    return (line.message not in AT_GATE, line.at)


def _explains(
    line: Line, involved: set[str], began: float, ended: float
) -> bool:
    if line.process not in involved or line.message not in CONTEXT:
        return False
    return began - BEFORE_S <= line.at <= ended + BEFORE_S


def _nearest(lines: list[Line], began: float) -> list[Line]:
    """Returns the last line of each kind before a call, and the first after."""
    kept: dict[tuple[str, str, bool], Line] = {}
    for line in sorted(lines, key=lambda one: one.at):
        after = line.at > began
        kind = (line.process, line.message, after)
        if not after or kind not in kept:
            kept[kind] = line
    return sorted(kept.values(), key=lambda one: one.at)


def _skews(lines: list[Line], began: float, ended: float) -> dict[str, float]:
    """Returns by how many seconds clocks differ from the entry node's at least."""
    skews: dict[str, float] = {}
    for line in lines:
        early = began - line.at
        late = line.at - ended
        if early > CLOCK_SLACK_S:
            skews[line.process] = -early
        elif late > CLOCK_SLACK_S:
            skews[line.process] = late
    return skews


def cause_of(story: Story) -> str:
    """Returns the cause of a call's end in one line."""
    entry = story.entry
    if entry is None:
        return 'no line of the node at which the call began'
    name = str(entry.fields.get('code', ''))
    if name not in Code.__members__:
        return _answered(entry)
    code = Code[name]
    cause = CAUSES.get(code, str(entry.fields.get('reason', '')))
    promise = 'was not run' if code.not_run else 'may have run'
    return f'{code.value} {code.name}: {cause}; the call {promise}'


def _answered(entry: Line) -> str:
    status = entry.fields.get('status', '')
    if entry.fields.get('callee_failed'):
        return f'answered {status}: a call that the server itself made failed'
    return f'answered {status} by the server'
