"""Shows what is in force in each availability zone."""

import argparse
from typing import Any

from papayalock.result import Code, PapayalockError
from papayalock.ui.client import (
    add_json_option,
    client_from_args,
    print_json,
    print_line,
)

HELP = 'show the version in force, stragglers and servers by availability zone'
EXAMPLE = 'papayalock --control 10.0.0.1:7400,10.0.1.1:7400 status'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    add_json_option(parser)


def run(args: argparse.Namespace) -> Code:
    """Runs the command."""
    client = client_from_args(args)
    answers = client.get_all('/v1/status')
    if not answers:
        raise PapayalockError(Code.UNREACHABLE, 'no control VM answers')
    if args.json:
        print_json(answers)
        return Code.DONE
    newest = max(int(one['version']) for one in answers)
    for one in answers:
        _put_control(one, newest)
    if len(answers) < len(client.addresses):
        print_line(
            f'{len(client.addresses) - len(answers)} control VMs do not answer'
        )
    return Code.DONE


def _put_control(one: dict[str, Any], newest: int) -> None:
    print_line(f'{one["zone"]}: {one["name"]} {_state(one, newest)}')
    late = [node for node in one['nodes'] if node['version'] < newest]
    print_line(
        f'  {len(one["nodes"])} nodes, {len(late)} not yet at version {newest}'
    )
    for node in late[:10]:
        rejected = f', refused {node["rejected"]}' if node['rejected'] else ''
        print_line(f'    {node["node"]} holds {node["version"]}{rejected}')
    for node in one['nodes']:
        if node['state'] != 'ready':
            print_line(f'    {node["node"]} {node["state"]}')


def _state(one: dict[str, Any], newest: int) -> str:
    words = [f'released {one["released"]} of {newest}']
    if one['leader'] == one['name']:
        words.append('leader')
    else:
        words.append(f'leader is {one["leader"] or "unknown"}')
    if not one['leased']:
        words.append('no lease')
    if one['disk_full']:
        words.append('disk full')
    return ', '.join(words)


def nodes_behind(
    answers: list[dict[str, Any]], version: int
) -> list[str] | None:
    """Returns the nodes that have not applied a version.

    :returns: None while a control VM that the members name has not answered
    """
    if not answers:
        return None
    expected = {
        one['member'] for one in answers[0]['members'] if not one['fenced']
    }
    if not expected <= {one['name'] for one in answers}:
        return None
    held: dict[str, int] = {}
    for one in answers:
        for node in one['nodes']:
            held[node['node']] = max(held.get(node['node'], 0), node['version'])
    return sorted(name for name, number in held.items() if number < version)
