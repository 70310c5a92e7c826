"""Shows the differences between two accepted versions."""

import argparse

from papayalock.core.ledger import describe_change
from papayalock.result import Code
from papayalock.ui.client import (
    add_json_option,
    client_from_args,
    print_json,
    print_line,
)

HELP = 'show what differs between two accepted versions'
EXAMPLE = 'papayalock diff 3 4'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('old', type=int, help='older version')
    parser.add_argument('new', type=int, help='newer version')
    add_json_option(parser)


def run(args: argparse.Namespace) -> Code:
    """Prints the services and the fields of parts that differ."""
    client = client_from_args(args)
    old = client.get('/v1/version', version=args.old)
    new = client.get('/v1/version', version=args.new)
    change = describe_change(old['info']['parts'], new['info']['parts'])
    if args.json:
        print_json({'change': change.split()})
        return Code.DONE
    print_line(change or 'no difference')
    old_parts = {part['service']: part for part in old['parts']}
    for part in new['parts']:
        _print_changed_fields(old_parts.get(part['service']), part)
    return Code.DONE


def _print_changed_fields(
    old: dict[str, object] | None, new: dict[str, object]
) -> None:
    """Prints the changed fields of a part; nothing if the part is new."""
    for key in sorted(new):
        if old is not None and old.get(key) != new[key]:
            print_line(
                f'  {new["service"]}.{key}: {old.get(key)} -> {new[key]}'
            )
