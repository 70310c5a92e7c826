"""Changes the membership of the control VMs."""

import argparse
import getpass
import secrets

from papayalock.result import Code, PapayalockError
from papayalock.ui.client import client_from_args, print_line

HELP = 'add, promote, fence, unfence or remove a control VM, or let one adopt a zone'
EXAMPLE = (
    'papayalock member add control-5 --zone gulberg --address 10.0.0.5:7400'
)
ACTIONS = ('add', 'promote', 'fence', 'unfence', 'remove', 'adopt')


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    parser.add_argument('action', choices=ACTIONS)
    parser.add_argument('member', help='name of the control VM')
    parser.add_argument(
        '--zone', default='', help='availability zone of a new VM'
    )
    parser.add_argument('--address', default='', help='IP and port of a new VM')
    parser.add_argument(
        '--adopts',
        default='',
        help='availability zone to adopt, whose own VMs are powered off',
    )
    parser.add_argument(
        '--operator', default=getpass.getuser(), help='name for the audit trail'
    )


def run(args: argparse.Namespace) -> Code:
    """Sends the membership change and prints the result."""
    if args.action == 'add' and not (args.zone and args.address):
        raise PapayalockError(
            Code.BAD_VALUE, 'a new control VM needs --zone and --address'
        )
    if args.action == 'adopt' and not args.adopts:
        raise PapayalockError(Code.BAD_VALUE, 'adopt needs --adopts')
    body = {
        'kind': 'member',
        'request': secrets.token_hex(8),
        'action': args.action,
        'operator': args.operator,
        'member': {
            'member': args.member,
            'zone': args.zone,
            'address': args.address,
            'adopts': [args.adopts] if args.adopts else [],
        },
    }
    response = client_from_args(args).post('/v1/member', body)
    print_line(f'{args.action} {args.member}: {Code(response["code"]).name}')
    return Code(response['code'])
