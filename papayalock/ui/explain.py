"""Explains why a node routes a call where it does."""

import argparse
from typing import Any
from urllib.parse import urlencode

from papayalock.result import Code
from papayalock.ui.client import (
    add_json_option,
    print_json,
    print_line,
    request,
)

HELP = 'explain why a node routes a call where it does'
EXAMPLE = 'papayalock explain 10.0.0.7:7500 POST enrol-desk/riders/42/deposit'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('node', help='IP and port of the node')
    parser.add_argument('method', help='HTTP method')
    parser.add_argument('path', help='service and path, as SERVICE/PATH')
    parser.add_argument(
        '--caller', default='external', help='caller that makes the call'
    )
    add_json_option(parser)


def run(args: argparse.Namespace) -> Code:
    """Runs the command."""
    service, _, path = args.path.lstrip('/').partition('/')
    query = urlencode(
        {
            'service': service,
            'method': args.method,
            'path': f'/{path}',
            'caller': args.caller,
        }
    )
    found = request(args.node, 'GET', f'/papayalock/explain?{query}', None)
    if args.json:
        print_json(found)
        return Code.DONE
    code = Code(found['code'])
    print_line(
        f'version {found["version"]}: {code.value} {code.name} {found["reason"]}'.rstrip()
    )
    if found['operation']:
        print_line(f'  {_operation(found)}')
    if found['own_first']:
        print_line(
            "  goes to this node's own backend server, whose gate has room"
        )
    for server in found['servers']:
        print_line(f'  {_server(server)}')
    return Code.DONE


def _operation(found: dict[str, Any]) -> str:
    once = 'repeatable' if found['repeatable'] else 'at most once'
    limits = f'{found["priority"]}, {found["deadline_ms"]} ms'
    return f'operation {found["operation"]}, {limits}, {once}'


def _server(server: dict[str, Any]) -> str:
    mark = ' ejected' if server['ejected'] else ''
    place = f'{server["server"]} in {server["zone"]}: {server["state"]}'
    load = f'{server["in_flight"]} in flight, load {server["load"]:.0f}%'
    return f'{place}, {load}{mark}'
