"""Tells the story of one call from the logs of all processes."""

import argparse
import sys
from collections.abc import Iterator
from pathlib import Path

from papayalock.calltrace import (
    CallTrace,
    LogLine,
    explain_outcome,
    read_lines,
    trace_call,
)
from papayalock.result import Code, PapayalockError
from papayalock.ui.client import put

HELP = 'tell from the logs what became of a call'
EXAMPLE = 'papayalock trace 28498927b25f0803 node-*.log control-*.log'
SHOWN = (
    'server',
    'service',
    'route',
    'version',
    'reason',
    'running',
    'jobs',
    'slots',
    'pace_ms',
    'left_ms',
    'target_left_ms',
    'budget_left',
    'retry_after_ms',
    'address',
    'peer',
    'leaving',
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('call', help='id of the call')
    parser.add_argument(
        'logs', nargs='*', type=Path, help='log files; standard input if none'
    )


def run(args: argparse.Namespace) -> Code:
    """Runs the command."""
    story = trace_call(args.call, read_lines(_texts(args.logs)))
    if not story.lines:
        raise PapayalockError(
            Code.CANNOT_KNOW,
            f'no line names {args.call}; calls that went well are sampled',
        )
    for text in story_text(story):
        put(text)
    return Code.DONE


def _texts(paths: list[Path]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with path.open(errors='replace') as opened:
                yield from opened
        except OSError as exc:
            raise PapayalockError(
                Code.BAD_MESSAGE, f'{path}: {exc.strerror}'
            ) from exc


def story_text(story: CallTrace) -> Iterator[str]:
    """Yields the story as lines for people."""
    yield f'call {story.call}'
    yield f'cause: {explain_outcome(story)}'
    for process, skew in sorted(story.skews.items()):
        yield f'clock: {process} differs by {skew * 1000:+.0f} ms at least'
    if story.context:
        yield 'before and around it:'
        yield from (f'  {_line_text(one)}' for one in story.context)
    yield 'what was decided:'
    for line in story.lines:
        yield f'  {_line_text(line)}'
        yield from _tries(line)


def _tries(line: LogLine) -> Iterator[str]:
    for number, one in enumerate(line.fields.get('tries', ()), start=1):
        yield (
            f'    try {number}: {one.get("server")} at {one.get("address")}: '
            f'{one.get("code")} {one.get("reason", "")} '
            f'in {one.get("took_ms")} ms; knew of {one.get("jobs_known")} jobs, '
            f'{one.get("load_age_ms")} ms old'
        )


def _line_text(line: LogLine) -> str:
    shown = [
        f'{key}={line.fields[key]}'
        for key in SHOWN
        if line.fields.get(key) not in {None, ''}
    ]
    return f'{line.text_time} {line.process}: {line.message} {" ".join(shown)}'
