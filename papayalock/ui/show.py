"""Shows one accepted version."""

import argparse
from typing import Any

from papayalock.result import Code
from papayalock.ui.client import (
    add_json_option,
    client_from_args,
    print_json,
    print_line,
)
from papayalock.ui.versions import format_time

HELP = 'show one accepted version, the newest by default'
EXAMPLE = 'papayalock show 3'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('version', type=int, nargs='?', help='version number')
    add_json_option(parser)


def run(args: argparse.Namespace) -> Code:
    """Prints the version with its parts and their routes."""
    query = {} if args.version is None else {'version': args.version}
    detail = client_from_args(args).get('/v1/version', **query)
    if args.json:
        print_json(detail)
        return Code.DONE
    info = detail['info']
    author = info['operator'] or info['cause']
    print_line(
        f'version {info["version"]} of {format_time(info["at_ms"])} by {author}'
    )
    for part in detail['parts']:
        _print_part(part)
    return Code.DONE


def _print_part(part: dict[str, Any]) -> None:
    limits = f'{part["slots"]} slots, {part["connections"]} connections'
    print_line(f'  {part["service"]}: {limits}')
    if not part['routes']:
        print_line('    no routes: no backend server has announced itself')
    for route in part['routes']:
        print_line(f'    {_format_route(route)}')


def _format_route(route: dict[str, Any]) -> str:
    words = [
        route['method'],
        route['path'],
        route['operation'],
        route['priority'],
        f'{route["deadline_ms"]} ms',
    ]
    if not route['repeatable']:
        words.append('at-most-once')
    if route['denied']:
        words.append(f'denied: {", ".join(route["denied"])}')
    return ' '.join(words)
