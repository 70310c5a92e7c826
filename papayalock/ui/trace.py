"""Shows what happened to one call, from the logs of all processes."""

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
from papayalock.ui.client import print_line

HELP = 'show from the logs what happened to a call'
EXAMPLE = 'papayalock trace 28498927b25f0803 node-*.log control-*.log'
SHOWN_FIELDS = (
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
    'retries_spent',
    'running_ms',
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
    """Prints the log lines about the call, and the cause of its outcome."""
    trace = trace_call(args.call, read_lines(_read_logs(args.logs)))
    if not trace.lines:
        raise PapayalockError(
            Code.CANNOT_KNOW,
            f'no log line names call {args.call}; only a sample of the '
            'successful calls is logged',
        )
    for text in trace_lines(trace):
        print_line(text)
    return Code.DONE


def _read_logs(paths: list[Path]) -> Iterator[str]:
    """Yields the lines of all files, or of standard input if there are none."""
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with path.open(errors='replace') as log:
                yield from log
        except OSError as exc:
            raise PapayalockError(
                Code.BAD_MESSAGE, f'{path}: {exc.strerror}'
            ) from exc


def trace_lines(trace: CallTrace) -> Iterator[str]:
    """Yields the lines of the report on a call."""
    yield f'call {trace.call}'
    yield f'cause: {explain_outcome(trace)}'
    for process, skew in sorted(trace.skews.items()):
        yield f'clock: {process} differs by {skew * 1000:+.0f} ms at least'
    if trace.context:
        yield 'before and around it:'
        yield from (f'  {_format_line(nearby)}' for nearby in trace.context)
    yield 'what was decided:'
    for line in trace.lines:
        yield f'  {_format_line(line)}'
        yield from _format_tries(line)


def _format_tries(line: LogLine) -> Iterator[str]:
    """Yields a line for each try that a log line records."""
    for number, record in enumerate(line.fields.get('tries', ()), start=1):
        version = record.get('version', '')
        yield (
            f'    try {number}: {record.get("server")} {version} '
            f'at {record.get("address")}: '
            f'{record.get("code")} {record.get("reason", "")} '
            f'in {record.get("took_ms")} ms; knew of {record.get("jobs_known")} jobs, '
            f'{record.get("load_age_ms")} ms old'
        )


def _format_line(line: LogLine) -> str:
    """Returns a log line with those of its fields that are shown."""
    shown = [
        f'{key}={line.fields[key]}'
        for key in SHOWN_FIELDS
        if line.fields.get(key) not in {None, ''}
    ]
    return f'{line.text_time} {line.process}: {line.message} {" ".join(shown)}'
