"""Lists the accepted versions."""

import argparse
from datetime import UTC, datetime

from papayalock.result import Code
from papayalock.ui.client import (
    add_json_option,
    client_from_args,
    print_json,
    print_line,
)

HELP = 'list the accepted versions'
EXAMPLE = 'papayalock versions --json'
MS_PER_S = 1000


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    add_json_option(parser)


def run(args: argparse.Namespace) -> Code:
    """Prints number, time and author of each version."""
    response = client_from_args(args).get('/v1/versions')
    if args.json:
        print_json(response)
        return Code.DONE
    for info in response['versions']:
        at = format_time(info['at_ms'])
        author = info['operator'] or info['cause']
        print_line(f'{info["version"]:>6}  {at}  {author}')
    return Code.DONE


def format_time(at_ms: int) -> str:
    """Returns a time in ms since the epoch as ISO 8601 text in UTC."""
    return datetime.fromtimestamp(at_ms / MS_PER_S, UTC).isoformat(
        timespec='milliseconds'
    )
