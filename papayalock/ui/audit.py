"""Shows the audit trail and verifies its hash chain."""

import argparse
from typing import Any

import msgspec

from papayalock.core.audit import verify_chain
from papayalock.messages import AuditRecord
from papayalock.result import Code, PapayalockError
from papayalock.ui.client import (
    add_json_option,
    client_from_args,
    print_json,
    print_line,
)
from papayalock.ui.versions import format_time

HELP = 'show the audit trail of changes'
EXAMPLE = 'papayalock audit --verify'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument(
        '--verify',
        action='store_true',
        help='check the hash chain on every control VM',
    )
    add_json_option(parser)


def run(args: argparse.Namespace) -> Code:
    """Prints the audit trail, or verifies it on every control VM."""
    client = client_from_args(args)
    if args.verify:
        return _verify(client.get_all('/v1/audit'))
    page = client.get('/v1/audit')
    if args.json:
        print_json(page)
        return Code.DONE
    for record in msgspec.convert(page['records'], list[AuditRecord]):
        print_line(_format_record(record))
    return Code.DONE


def _format_record(record: AuditRecord) -> str:
    at = format_time(record.at_ms)
    words = [record.kind, record.operator, record.detail]
    return f'{record.index:>7} {at} v{record.version} {" ".join(words)}'


def _verify(pages: list[dict[str, Any]]) -> Code:
    """Verifies the hash chain of each control VM and compares the chains.

    :raises PapayalockError: ``CHAIN_BROKEN``, naming the record at fault, or
        ``UNREACHABLE``
    """
    if not pages:
        raise PapayalockError(Code.UNREACHABLE, 'no control VM answers')
    digests: dict[int, str] = {}
    for page in pages:
        records = msgspec.convert(page['records'], list[AuditRecord])
        broken = verify_chain(records)
        if broken is not None:
            raise PapayalockError(
                Code.CHAIN_BROKEN,
                f'hash chain is broken at record {broken.index}',
            )
        _compare_digests(records, digests)
    count = len(digests)
    print_line(
        f'{count} records on {len(pages)} control VMs: whole and the same'
    )
    return Code.DONE


def _compare_digests(
    records: list[AuditRecord], digests: dict[int, str]
) -> None:
    """Compares records with those of the control VMs seen before.

    :param digests: digest by record index; records not yet in it are added
    """
    for record in records:
        expected = digests.setdefault(record.index, record.digest)
        if expected != record.digest:
            raise PapayalockError(
                Code.CHAIN_BROKEN,
                f'record {record.index} differs between control VMs',
            )
