"""Tells an auditor which version a node held at a time."""

import argparse
from datetime import UTC, datetime

from papayalock.result import Code, PapayalockError
from papayalock.ui.client import add_json, client_of, put, put_json
from papayalock.ui.versions import time_text

HELP = 'tell which version a node held at a time'
EXAMPLE = 'papayalock held node-gulberg-1 --at 2026-12-03T09:30:00Z'
MS = 1000  # milliseconds in a second


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('node', help='name of the node')
    parser.add_argument(
        '--at',
        help='time as ISO 8601, UTC unless it says otherwise (default: now)',
    )
    add_json(parser)


def run(args: argparse.Namespace) -> Code:
    """Runs the command."""
    at_ms = parse_time(args.at)
    answers = client_of(args).get_all('/v1/held', node=args.node, at_ms=at_ms)
    if not answers:
        raise PapayalockError(Code.UNREACHABLE, 'no control VM answers')
    known = [one for one in answers if one['code'] == Code.DONE]
    if args.json:
        put_json(known or answers)
    if not known:
        reasons = sorted({one['reason'] for one in answers})
        if not args.json:
            put(
                f'{args.node} at {time_text(at_ms)}: cannot be known ({"; ".join(reasons)})'
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
        put(f'{args.node} at {time_text(at_ms)}: {span}')
    return Code.DONE


def parse_time(text: str | None) -> int:
    """Returns a time in ms since the epoch.

    :raises PapayalockError: ``SYNTAX`` when the text is no time
    """
    if text is None:
        return int(datetime.now(UTC).timestamp() * MS)
    try:
        found = datetime.fromisoformat(text)
    except ValueError as exc:
        raise PapayalockError(Code.SYNTAX, f'--at: {exc}') from exc
    if found.tzinfo is None:
        found = found.replace(tzinfo=UTC)
    return int(found.timestamp() * MS)
