"""Drains the backend server beside a node."""

import argparse
import time

from papayalock.result import Code
from papayalock.ui.client import print_line, send_request

HELP = 'stop sending new calls to the backend server beside a node'
EXAMPLE = 'papayalock drain 10.0.0.7:7500 --wait 30'
POLL_INTERVAL_S = 0.1


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('node', help='IP and port of the node')
    parser.add_argument(
        '--wait',
        type=float,
        default=0.0,
        metavar='SECONDS',
        help='wait until no call is in flight',
    )
    parser.add_argument(
        '--undo', action='store_true', help='take new calls again'
    )


def run(args: argparse.Namespace) -> Code:
    """Starts or ends the drain, then waits for the calls in flight."""
    send_request(
        args.node, 'POST', '/papayalock/drain', {'draining': not args.undo}
    )
    print_line('takes new calls' if args.undo else 'takes no new calls')
    deadline = time.monotonic() + args.wait
    while time.monotonic() < deadline:
        running = send_request(args.node, 'GET', '/papayalock/status', None)[
            'running'
        ]
        if not running:
            print_line('no call is in flight')
            return Code.DONE
        time.sleep(POLL_INTERVAL_S)
    return Code.UNREACHABLE if args.wait else Code.DONE
