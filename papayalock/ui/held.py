"""Tells an auditor which version a node held at a time."""

import argparse
from datetime import UTC, datetime

from papayalock.result import Code, PapayalockError
from papayalock.ui.client import (
    add_json_option,
    client_from_args,
    print_json,
    print_line,
)
from papayalock.ui.versions import format_time

HELP = 'tell which version a node held at a time'
EXAMPLE = 'papayalock held node-gulberg-1 --at 2026-12-03T09:30:00Z'
MS_PER_S = 1000


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('node', help='name of the node')
    parser.add_argument(
        '--at',
        help='time as ISO 8601, UTC unless it says otherwise (default: now)',
    )
    add_json_option(parser)


def run(args: argparse.Namespace) -> Code:
    """Runs the command."""
    at_ms = parse_time(args.at)
    answers = client_from_args(args).get_all(
        '/v1/held', node=args.node, at_ms=at_ms
    )
    if not answers:
        raise PapayalockError(Code.UNREACHABLE, 'no control VM answers')
    known = [one for one in answers if one['code'] == Code.DONE]
    if args.json:
        print_json(known or answers)
    if not known:
        reasons = sorted({one['reason'] for one in answers})
        if not args.json:
            print_line(
                f'{args.node} at {format_time(at_ms)}: cannot be known ({"; ".join(reasons)})'
            )
        return Code.CANNOT_KNOW
    low = max(one['low'] for one in known)
    high = max(low, min(one['high'] for one in known))
    if not args.json:
        span = (
            f'version {low}'
            if low == high
            else f'a version from {low} to {high} (a release was under way)'
        )
        print_line(f'{args.node} at {format_time(at_ms)}: {span}')
    return Code.DONE


def parse_time(text: str | None) -> int:
    """Returns a time in ms since the epoch.

    :raises PapayalockError: ``SYNTAX`` when the text is no time
    """
    if text is None:
        return int(datetime.now(UTC).timestamp() * MS_PER_S)
    try:
        found = datetime.fromisoformat(text)
    except ValueError as exc:
        raise PapayalockError(Code.SYNTAX, f'--at: {exc}') from exc
    if found.tzinfo is None:
        found = found.replace(tzinfo=UTC)
    return int(found.timestamp() * MS_PER_S)
