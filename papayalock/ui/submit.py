"""Submits a register and rules as a new version."""

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
from papayalock.core.source import Source, Sources
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
        help='version it was made from (default: the current one)',
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
    """Runs the command."""
    inventory = read_inventory(args)
    if inventory is None:
        print_line('nothing was accepted')
        return Code.INVALID
    client = client_from_args(args)
    base = _current(client) if args.base is None else args.base
    detail = _detail(client, base)
    print_line(f'change against version {base}: {_preview(detail, inventory)}')
    if not args.yes and not _confirmed():
        print_line('not submitted')
        return Code.DONE
    answer = _send(client, _body(detail, inventory, args, base))
    code = Code(answer['code'])
    if code != Code.DONE:
        _put_refusal(answer, args)
        return code
    print_line(f'accepted as version {answer["version"]}')
    return (
        _wait(client, int(answer['version']), args.wait) if args.wait else code
    )


def _put_refusal(answer: dict[str, Any], args: argparse.Namespace) -> None:
    """Prints a refusal; the control VM does not know the names of files."""
    code = Code(answer['code'])
    problems = msgspec.convert(answer.get('problems', []), list[Problem])
    register, rules = file_names(args)
    sources = Sources(Source(register, ''), Source(rules, ''))
    print_problems(map(sources.located, problems))
    print_line(
        f'{code.value} {code.name}: {answer["message"] or "nothing was accepted"}'
    )


def _current(client: ControlClient) -> int:
    return max(
        (int(one['version']) for one in client.get_all('/v1/status')), default=0
    )


def _detail(client: ControlClient, base: int) -> VersionDetail | None:
    if not base:
        return None
    found = client.get('/v1/version', version=base)
    return msgspec.convert(found, VersionDetail)


def _preview(detail: VersionDetail | None, inventory: Inventory) -> str:
    previous = detail.info.parts if detail else {}
    parts = detail.parts if detail else []
    existing = [part.service for part in parts if part.routes]
    current = {
        name: part_digest(part)
        for name, part in derive_parts(inventory, existing).items()
    }
    return describe_change(previous, current) or 'none'


def _change(
    detail: VersionDetail | None, inventory: Inventory
) -> tuple[list[Service], list[str]] | None:
    """Returns the services that differ from the base and those gone.

    None when the base's register is not kept, so that all must be sent.
    """
    if detail is None or detail.register is None:
        return None
    known = {one.name: one for one in detail.register.services}
    wanted = {one.name: one for one in inventory.register.services}
    changed = [one for name, one in wanted.items() if known.get(name) != one]
    return changed, sorted(known.keys() - wanted.keys())


def _confirmed() -> bool:
    sys.stdout.write('submit? [y/N] ')
    sys.stdout.flush()
    return sys.stdin.readline().strip().lower() in {'y', 'yes'}


def _body(
    detail: VersionDetail | None,
    inventory: Inventory,
    args: argparse.Namespace,
    base: int,
) -> dict[str, Any]:
    """Returns the submission; only what differs from the base, if known."""
    change = _change(detail, inventory)
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


def _send(client: ControlClient, body: dict[str, Any]) -> Any:
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


def _wait(client: ControlClient, version: int, seconds: float) -> Code:
    started = time.monotonic()
    told = started
    while time.monotonic() - started < seconds:
        late = nodes_behind(client.get_all('/v1/status'), version)
        if late is not None and not late:
            print_line(
                f'in force everywhere after {time.monotonic() - started:.2f} s'
            )
            return Code.DONE
        if time.monotonic() - told > PROGRESS_INTERVAL_S:
            told = time.monotonic()
            print_line(
                f'waiting for {len(late or ())} nodes: {", ".join((late or [])[:5])}'
            )
        time.sleep(POLL_INTERVAL_S)
    print_line(f'version {version} is accepted but not yet in force everywhere')
    return Code.UNREACHABLE
