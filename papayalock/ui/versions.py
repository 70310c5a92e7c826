"""Lists the accepted versions."""

import argparse
from datetime import UTC, datetime

from papayalock.result import Code
from papayalock.ui.client import add_json, client_of, put, put_json

HELP = 'list the accepted versions'
EXAMPLE = 'papayalock versions --json'
MS = 1000  # milliseconds in a second


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    add_json(parser)


def run(args: argparse.Namespace) -> Code:
    """Runs the command."""
    answer = client_of(args).get('/v1/versions')
    if args.json:
        put_json(answer)
        return Code.DONE
    for info in answer['versions']:
        at = time_text(info['at_ms'])
        author = info['operator'] or info['cause']
        put(f'{info["version"]:>6}  {at}  {author}')
    return Code.DONE


def time_text(at_ms: int) -> str:
    """Returns a time as text in UTC."""
    return datetime.fromtimestamp(at_ms / MS, UTC).isoformat(
        timespec='milliseconds'
    )
