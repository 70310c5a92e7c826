"""The ``papayalock`` command-line tool; each command is a module here."""

import argparse
import importlib
import sys

from papayalock.result import Code, PapayalockError

COMMANDS = (
    'check',
    'submit',
    'versions',
    'show',
    'diff',
    'status',
    'explain',
    'held',
    'audit',
    'drain',
    'crashes',
    'member',
    'trace',
    'rollout',
)  # modules of this package
EXIT_USAGE = 2
EXIT_BY_CODE = {
    Code.DONE: 0,
    Code.CONFLICT: 3,
    Code.INVALID: 4,
    Code.NO_LEADER: 5,
    Code.UNREACHABLE: 5,
    Code.DISK_FULL: 6,
    Code.CANNOT_KNOW: 7,
    Code.CHAIN_BROKEN: 8,
}


def build_parser() -> argparse.ArgumentParser:
    """Returns the argument parser, with a subparser for each command."""
    parser = argparse.ArgumentParser(
        prog='papayalock', description='Operates a papayalock mesh.'
    )
    parser.add_argument(
        '--control',
        default='127.0.0.1:7400',
        metavar='IP:PORT[,IP:PORT]',
        help='control VMs, tried in order (default %(default)s)',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for name in COMMANDS:
        module = importlib.import_module(f'{__name__}.{name}')
        sub = commands.add_parser(
            name,
            help=module.HELP,
            description=module.HELP,
            epilog=f'example: {module.EXAMPLE}',
        )
        module.add_arguments(sub)
        sub.set_defaults(run=module.run)
    return parser


def main() -> int:
    """Runs the command of the command line and returns the exit status."""
    args = build_parser().parse_args()
    try:
        return EXIT_BY_CODE.get(args.run(args), 1)
    except PapayalockError as exc:
        sys.stderr.write(f'papayalock: {exc}\n')
        return EXIT_BY_CODE.get(exc.code, 1)
    except (KeyboardInterrupt, BrokenPipeError):
        return EXIT_USAGE
