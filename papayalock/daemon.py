"""The composition root of ``papayalockd``."""

import argparse
import asyncio
import contextlib
import logging
import sys
from pathlib import Path

import uvloop

from papayalock.config import load_settings
from papayalock.logs import start_logging
from papayalock.result import PapayalockError
from papayalock.settings import Settings

log = logging.getLogger(__name__)


def parse_args(argv: list[str]) -> argparse.Namespace:
    """Returns the parsed command line."""
    parser = argparse.ArgumentParser(
        prog='papayalockd', description='Runs a node or a control VM.'
    )
    parser.add_argument('--config', type=Path, help='settings file to run with')
    parser.add_argument(
        '--check', type=Path, help='settings file to check, without running'
    )
    args = parser.parse_args(argv)
    if (args.config is None) == (args.check is None):
        parser.error('give either --config or --check')
    return args


def main() -> int:
    """Runs the daemon; returns the exit status."""
    args = parse_args(sys.argv[1:])
    try:
        settings = load_settings(args.config or args.check)
        if args.check:
            sys.stdout.write(f'{args.check}: ok\n')
            return 0
        start_logging(settings.log.level, settings.name)
        run_daemon(settings)
    except PapayalockError as exc:
        sys.stderr.write(f'papayalockd: {exc}\n')
        return 1
    return 0


def run_daemon(settings: Settings) -> None:
    """Runs the role that the settings name, until a signal stops it.

    A node does not import what only a control VM needs.
    """
    if settings.role == 'node':
        from papayalock.node.main import run_node as run
    else:
        from papayalock.control.main import run_control as run
    with contextlib.suppress(KeyboardInterrupt):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(settings))


if __name__ == '__main__':
    sys.exit(main())
