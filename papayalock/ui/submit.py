"""Submits an asset register and rules as a new version."""

import argparse
import getpass
import secrets
import sys
import time
from typing import Any

import msgspec

from papayalock.core.derive import derive_parts, part_digest
from papayalock.core.inventory import Inventory
from papayalock.core.ledger import describe_change
from papayalock.core.source import InventorySources, Source
from papayalock.messages import Problem, Register, Service, VersionDetail
from papayalock.result import Code, PapayalockError
from papayalock.ui.client import ControlClient, client_from_args, print_line
from papayalock.ui.files import (
    add_file_arguments,
    file_names,
    print_problems,
    read_inventory,
)
from papayalock.ui.status import nodes_behind

HELP = 'submit a register and rules as a new version'
EXAMPLE = 'papayalock submit register.toml rules.toml --base 4 --yes --wait 30'
MAX_SENDS = 20
RESEND_DELAY_S = 0.25
POLL_INTERVAL_S = 0.1
PROGRESS_INTERVAL_S = 1.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    add_file_arguments(parser)
    parser.add_argument(
        '--base',
        type=int,
        help='version that the files were made from (default: the current one)',
    )
    parser.add_argument(
        '--request',
        help='request id, to resend a submission whose answer was lost',
    )
    parser.add_argument(
        '--operator', default=getpass.getuser(), help='name for the audit trail'
    )
    parser.add_argument(
        '--yes', action='store_true', help='submit without asking'
    )
    parser.add_argument(
        '--wait',
        type=float,
        default=0.0,
        metavar='SECONDS',
        help='wait until in force everywhere',
    )


def run(args: argparse.Namespace) -> Code:
    """Checks the files, submits them and prints the result.

    With ``--wait`` it then waits until every node has applied the version.
    """
    inventory = read_inventory(args)
    if inventory is None:
        print_line('nothing was accepted')
        return Code.INVALID
    client = client_from_args(args)
    base = _current_version(client) if args.base is None else args.base
    detail = _fetch_version(client, base)
    print_line(
        f'change against version {base}: {_describe_changes(detail, inventory)}'
    )
    if not args.yes and not _ask_confirmation():
        print_line('not submitted')
        return Code.DONE
    response = _send_with_retries(
        client, _build_submission(detail, inventory, args, base)
    )
    code = Code(response['code'])
    if code != Code.DONE:
        _print_refusal(response, args)
        return code
    print_line(f'accepted as version {response["version"]}')
    return (
        _wait_until_applied(client, int(response['version']), args.wait)
        if args.wait
        else code
    )


def _print_refusal(response: dict[str, Any], args: argparse.Namespace) -> None:
    """Prints why a control VM refused the submission.

    The file names are added here, as the control VM does not know them.
    """
    code = Code(response['code'])
    problems = msgspec.convert(response.get('problems', []), list[Problem])
    register, rules = file_names(args)
    sources = InventorySources(Source(register, ''), Source(rules, ''))
    print_problems(map(sources.with_location, problems))
    print_line(
        f'{code.value} {code.name}: {response["message"] or "nothing was accepted"}'
    )


def _current_version(client: ControlClient) -> int:
    """Returns the newest version on the control VMs, 0 if there is none."""
    return max(
        (int(status['version']) for status in client.get_all('/v1/status')),
        default=0,
    )


def _fetch_version(client: ControlClient, base: int) -> VersionDetail | None:
    """Returns a version with its parts, or None for version 0."""
    if not base:
        return None
    detail = client.get('/v1/version', version=base)
    return msgspec.convert(detail, VersionDetail)


def _describe_changes(
    detail: VersionDetail | None, inventory: Inventory
) -> str:
    """Returns the services whose parts the submission would change."""
    previous = detail.info.parts if detail else {}
    parts = detail.parts if detail else []
    existing = [part.service for part in parts if part.routes]
    current = {
        name: part_digest(part)
        for name, part in derive_parts(inventory, existing).items()
    }
    return describe_change(previous, current) or 'none'


def _changed_services(
    detail: VersionDetail | None, inventory: Inventory
) -> tuple[list[Service], list[str]] | None:
    """Returns the changed and new services, and the names of removed ones.

    :returns: None if the control VM has not kept the register of the base
        version, so that the whole register must be sent
    """
    if detail is None or detail.register is None:
        return None
    old_services = {
        service.name: service for service in detail.register.services
    }
    new_services = {
        service.name: service for service in inventory.register.services
    }
    changed = [
        service
        for name, service in new_services.items()
        if old_services.get(name) != service
    ]
    return changed, sorted(old_services.keys() - new_services.keys())


def _ask_confirmation() -> bool:
    """Asks on the terminal; returns True for yes."""
    sys.stdout.write('submit? [y/N] ')
    sys.stdout.flush()
    return sys.stdin.readline().strip().lower() in {'y', 'yes'}


def _build_submission(
    detail: VersionDetail | None,
    inventory: Inventory,
    args: argparse.Namespace,
    base: int,
) -> dict[str, Any]:
    """Returns the submission message.

    It contains only the services that differ from the base version if the
    register of the base is available, otherwise all services.
    """
    change = _changed_services(detail, inventory)
    services, removed = change or (inventory.register.services, [])
    register = Register(mesh=inventory.register.mesh, services=services)
    return {
        'kind': 'submit',
        'request': args.request or secrets.token_hex(8),
        'base': base,
        'operator': args.operator,
        'register': msgspec.to_builtins(register),
        'rules': msgspec.to_builtins(inventory.rules),
        'partial': change is not None,
        'removed': removed,
    }


def _send_with_retries(client: ControlClient, body: dict[str, Any]) -> Any:
    """Submits until a leader responds, with the same request id each time."""
    for attempt in range(MAX_SENDS):
        try:
            return client.post('/v1/submit', body)
        except PapayalockError as exc:
            if (
                exc.code not in {Code.NO_LEADER, Code.UNREACHABLE}
                or attempt == MAX_SENDS - 1
            ):
                raise
            time.sleep(RESEND_DELAY_S)
    raise PapayalockError(Code.NO_LEADER, 'no leader answered')


def _wait_until_applied(
    client: ControlClient, version: int, seconds: float
) -> Code:
    """Polls until every node has applied a version, and prints progress.

    :returns: ``UNREACHABLE`` if the time runs out first
    """
    started = time.monotonic()
    last_progress = started
    while time.monotonic() - started < seconds:
        pending = nodes_behind(client.get_all('/v1/status'), version)
        if pending is not None and not pending:
            print_line(
                f'in force everywhere after {time.monotonic() - started:.2f} s'
            )
            return Code.DONE
        if time.monotonic() - last_progress > PROGRESS_INTERVAL_S:
            last_progress = time.monotonic()
            print_line(
                f'waiting for {len(pending or ())} nodes: {", ".join((pending or [])[:5])}'
            )
        time.sleep(POLL_INTERVAL_S)
    print_line(f'version {version} is accepted but not yet in force everywhere')
    return Code.UNREACHABLE
