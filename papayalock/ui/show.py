"""Shows one accepted version."""

import argparse
from typing import Any

from papayalock.result import Code
from papayalock.ui.client import add_json, client_of, put, put_json
from papayalock.ui.versions import time_text

HELP = 'show one accepted version, the newest by default'
EXAMPLE = 'papayalock show 3'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('version', type=int, nargs='?', help='version number')
    add_json(parser)


def run(args: argparse.Namespace) -> Code:
    """Runs the command."""
    query = {} if args.version is None else {'version': args.version}
    detail = client_of(args).get('/v1/version', **query)
    if args.json:
        put_json(detail)
        return Code.DONE
    info = detail['info']
    author = info['operator'] or info['cause']
    put(f'version {info["version"]} of {time_text(info["at_ms"])} by {author}')
    for part in detail['parts']:
        _put_part(part)
    return Code.DONE


def _put_part(part: dict[str, Any]) -> None:
    limits = f'{part["slots"]} slots, {part["connections"]} connections'
    put(f'  {part["service"]}: {limits}')
    if not part['routes']:
        put('    no routes: no backend server has announced itself')
    for route in part['routes']:
        put(f'    {_route(route)}')


def _route(route: dict[str, Any]) -> str:
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
