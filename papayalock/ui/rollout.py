"""Orders, shows and aborts roll-outs of a service."""

import argparse
import getpass
from typing import Any

from papayalock.durations import parse_duration_ms
from papayalock.result import Code, PapayalockError
from papayalock.ui.client import (
    ControlClient,
    add_json_option,
    client_from_args,
    print_json,
    print_line,
)

HELP = 'move the calls of a service to servers of another version'
EXAMPLE = 'papayalock rollout start enrol-desk v2 --within 10m'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    actions = parser.add_subparsers(dest='action', required=True)
    start = actions.add_parser('start', help='order a roll-out')
    start.add_argument('service')
    start.add_argument('target', help='version of the new servers')
    start.add_argument(
        '--within',
        default='600s',
        metavar='TIME',
        help='time limit, such as 90s or 90000ms (default %(default)s)',
    )
    for action, text in (
        ('status', 'show the newest roll-out'),
        ('abort', 'roll back a roll-out that runs'),
    ):
        actions.add_parser(action, help=text).add_argument('service')
    for action_parser in actions.choices.values():
        add_json_option(action_parser)


def run(args: argparse.Namespace) -> Code:
    """Runs the action and prints the roll-out."""
    client = client_from_args(args)
    res = {'start': _start, 'status': _status, 'abort': _abort}[args.action](
        client, args
    )
    if args.json:
        print_json(res)
    else:
        print_line(_format(res))
    return Code(res['code'])


def _start(client: ControlClient, args: argparse.Namespace) -> Any:
    try:
        duration_ms = parse_duration_ms(args.within)
    except ValueError as exc:
        raise PapayalockError(Code.BAD_VALUE, str(exc)) from exc
    return client.post(
        '/v1/rollout-order',
        {
            'kind': 'rollout',
            'service': args.service,
            'target': args.target,
            'duration_ms': duration_ms,
            'operator': getpass.getuser(),
        },
    )


def _status(client: ControlClient, args: argparse.Namespace) -> Any:
    return client.get('/v1/rollout-status', service=args.service)


def _abort(client: ControlClient, args: argparse.Namespace) -> Any:
    return client.post(
        '/v1/rollout-abort',
        {'service': args.service, 'operator': getpass.getuser()},
    )


def _format(res: dict[str, Any]) -> str:
    rollout = res['rollout']
    if rollout is None:
        accepted = ', '.join(res['accepted']) or 'unknown'
        message = res['message'] or 'no roll-out'
        return f'{res["service"]}: {message}; accepted versions: {accepted}'
    line = (
        f'{res["service"]}: {rollout["target"]} {rollout["state"]}, '
        f'{rollout["share"]:.0%} of the calls after '
        f'{rollout["elapsed_ms"]} ms; {rollout["reason"]}'
    )
    return f'{line}; {res["message"]}' if res['message'] else line
