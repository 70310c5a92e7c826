"""Shows the requests that crash backend servers, or lifts a quarantine."""

import argparse
from typing import Any

from papayalock.result import Code
from papayalock.ui.client import (
    add_json_option,
    print_json,
    print_line,
    send_request,
)

HELP = 'show requests that crash backend servers, or lift a quarantine'
EXAMPLE = 'papayalock crashes 10.0.0.7:9464 --lift 1f0c9a'
MS_PER_S = 1000


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('node', help='IP and metrics port of any node')
    parser.add_argument(
        '--lift',
        metavar='REQUEST',
        help='let all nodes run a request again',
    )
    add_json_option(parser)


def run(args: argparse.Namespace) -> Code:
    """Prints what the node knows, or lifts a quarantine on all nodes."""
    if args.lift:
        send_request(args.node, 'DELETE', f'/crashes/{args.lift}', None)
        print_line('lifted')
        return Code.DONE
    views = send_request(args.node, 'GET', '/crashes', None)
    if args.json:
        print_json(views)
        return Code.DONE
    for view in views:
        print_line(_view_line(view))
    return Code.DONE


def _view_line(view: dict[str, Any]) -> str:
    report = view['report']
    ended = [end['start'] for end in report['ends'] if not end.get('cleared')]
    age_s = report['age_ms'] // MS_PER_S
    return ' '.join((view['request'], view['status'], f'{age_s}s', *ended))
