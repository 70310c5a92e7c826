"""Entry point of ``papayalockd``: parses arguments and runs the role."""

from papayalock import ignore_sighup  # noqa: F401  must precede slow imports

import argparse
import asyncio
import contextlib
import logging
import sys
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from papayalock.config import load_settings
from papayalock.dialect import (
    AnnouncementDialect,
    CallDialect,
    NodeDialects,
    OperatorDialect,
)
from papayalock.logs import start_logging
from papayalock.native import (
    NativeAnnouncements,
    NativeCalls,
    NativeOperator,
)
from papayalock.result import PapayalockError
from papayalock.settings import Settings

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Dialects:
    """The dialects that callers, backend servers and operators use."""

    calls: CallDialect
    announcements: AnnouncementDialect
    operator: OperatorDialect


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
    """Runs ``papayalockd`` and returns its exit status."""
    args = parse_args(sys.argv[1:])
    if args.config:
        return run_file(args.config, native_dialects())
    try:
        load_settings(args.check)
    except PapayalockError as exc:
        sys.stderr.write(f'papayalockd: {exc}\n')
        return 1
    sys.stdout.write(f'{args.check}: ok\n')
    return 0


def native_dialects() -> Dialects:
    """Returns the project's own dialects."""
    return Dialects(NativeCalls(), NativeAnnouncements(), NativeOperator())


def run_file(path: Path, dialects: Dialects) -> int:
    """Runs the daemon with a settings file and returns its exit status."""
    try:
        settings = load_settings(path)
    except PapayalockError as exc:
        sys.stderr.write(f'papayalockd: {exc}\n')
        return 1
    log_handler = start_logging(
        settings.log.level,
        settings.name,
        lines=settings.log.lines,
        per_s=settings.log.per_s,
    )
    try:
        run_daemon(settings, dialects, path)
    except PapayalockError as exc:
        log.critical(
            'daemon ended with an error',
            extra={'code': exc.code, 'reason': str(exc)},
        )
        sys.stderr.write(f'papayalockd: {exc}\n')
        return 1
    finally:
        log_handler.close()
    return 0


def run_daemon(settings: Settings, dialects: Dialects, path: Path) -> None:
    """Runs the configured role until a signal stops it."""
    with contextlib.suppress(KeyboardInterrupt):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_role_main(settings, dialects, path))


def _role_main(
    settings: Settings, dialects: Dialects, path: Path
) -> 'Coroutine[Any, Any, None]':
    """Returns the coroutine that runs the configured role.

    Each role is imported only when needed, so that a node doesn't load the
    modules of a control VM.
    """
    if settings.role == 'control':
        from papayalock.control.main import run_control

        return run_control(settings, dialects.operator, path)
    if settings.hosts.outbound:
        from papayalock.node.hostrun import run_host_node

        node_dialects = NodeDialects(dialects.calls, dialects.announcements)
        return run_host_node(settings, node_dialects, path)
    from papayalock.node.main import run_node

    return run_node(settings)


if __name__ == '__main__':
    sys.exit(main())
