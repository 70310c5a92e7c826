"""Explains the routing decision of a node for a call."""

import argparse
from typing import Any
from urllib.parse import urlencode

from papayalock.result import Code
from papayalock.ui.client import (
    add_json_option,
    print_json,
    print_line,
    send_request,
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
    """Asks the node for its routing decision and prints it."""
    service, _, path = args.path.lstrip('/').partition('/')
    query = urlencode(
        {
            'service': service,
            'method': args.method,
            'path': f'/{path}',
            'caller': args.caller,
        }
    )
    decision = send_request(
        args.node, 'GET', f'/papayalock/explain?{query}', None
    )
    if args.json:
        print_json(decision)
        return Code.DONE
    code = Code(decision['code'])
    print_line(
        f'version {decision["version"]}: {code.value} {code.name} {decision["reason"]}'.rstrip()
    )
    if decision['operation']:
        print_line(f'  {_format_operation(decision)}')
    if decision['own_first']:
        print_line(
            "  goes to this node's own backend server, whose gate has room"
        )
    for server in decision['servers']:
        print_line(f'  {_format_server(server)}')
    return Code.DONE


def _format_operation(decision: dict[str, Any]) -> str:
    repeatability = 'repeatable' if decision['repeatable'] else 'at most once'
    limits = f'{decision["priority"]}, {decision["deadline_ms"]} ms'
    return f'operation {decision["operation"]}, {limits}, {repeatability}'


def _format_server(server: dict[str, Any]) -> str:
    mark = ' ejected' if server['ejected'] else ''
    place = f'{server["server"]} in {server["zone"]}: {server["state"]}'
    load = f'{server["in_flight"]} in flight, load {server["load"]:.0f}%'
    return f'{place}, {load}{mark}'
