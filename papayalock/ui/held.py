"""Shows which version a node held at a given time, for audits."""

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

HELP = 'show which version a node held at a given time'
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
    """Prints the version, or the range that all control VMs agree on.

    Each control VM knows a range of versions that the node may have held; the
    intersection of these ranges is printed, or its lower bound if they do
    not overlap.
    """
    at_ms = parse_time(args.at)
    responses = client_from_args(args).get_all(
        '/v1/held', node=args.node, at_ms=at_ms
    )
    if not responses:
        raise PapayalockError(Code.UNREACHABLE, 'no control VM answers')
    conclusive = [
        response for response in responses if response['code'] == Code.DONE
    ]
    if args.json:
        print_json(conclusive or responses)
    if not conclusive:
        reasons = sorted({response['reason'] for response in responses})
        if not args.json:
            print_line(
                f'{args.node} at {format_time(at_ms)}: cannot be known ({"; ".join(reasons)})'
            )
        return Code.CANNOT_KNOW
    low = max(response['low'] for response in conclusive)
    high = max(low, min(response['high'] for response in conclusive))
    if not args.json:
        span = (
            f'version {low}'
            if low == high
            else f'a version from {low} to {high} (a release was under way)'
        )
        print_line(f'{args.node} at {format_time(at_ms)}: {span}')
    return Code.DONE


def parse_time(text: str | None) -> int:
    """Returns an ISO 8601 time as ms since the epoch; now if it is None.

    :raises PapayalockError: ``SYNTAX`` if the text is not a time
    """
    if text is None:
        return int(datetime.now(UTC).timestamp() * MS_PER_S)
    try:
        time = datetime.fromisoformat(text)
    except ValueError as exc:
        raise PapayalockError(Code.SYNTAX, f'--at: {exc}') from exc
    if time.tzinfo is None:
        time = time.replace(tzinfo=UTC)
    return int(time.timestamp() * MS_PER_S)
