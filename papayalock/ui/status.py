"""Shows the state of each control VM and of the nodes that it serves."""

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
    """Prints the status of every control VM that can be reached."""
    client = client_from_args(args)
    responses = client.get_all('/v1/status')
    if not responses:
        raise PapayalockError(Code.UNREACHABLE, 'no control VM answers')
    if args.json:
        print_json(responses)
        return Code.DONE
    newest = max(int(status['version']) for status in responses)
    for status in responses:
        _print_control_vm(status, newest)
    if len(responses) < len(client.addresses):
        print_line(
            f'{len(client.addresses) - len(responses)} control VMs do not answer'
        )
    return Code.DONE


def _print_control_vm(status: dict[str, Any], newest: int) -> None:
    """Prints a control VM's state, its outdated nodes and those not ready."""
    print_line(
        f'{status["zone"]}: {status["name"]} {_format_state(status, newest)}'
    )
    outdated = [node for node in status['nodes'] if node['version'] < newest]
    print_line(
        f'  {len(status["nodes"])} nodes, {len(outdated)} not yet at version {newest}'
    )
    for node in outdated[:10]:
        rejected = f', refused {node["rejected"]}' if node['rejected'] else ''
        print_line(f'    {node["node"]} holds {node["version"]}{rejected}')
    for node in status['nodes']:
        if node['state'] != 'ready':
            print_line(f'    {node["node"]} {node["state"]}')


def _format_state(status: dict[str, Any], newest: int) -> str:
    """Returns the released version, the leader and any impairments."""
    words = [f'released {status["released"]} of {newest}']
    if status['leader'] == status['name']:
        words.append('leader')
    else:
        words.append(f'leader is {status["leader"] or "unknown"}')
    if not status['leased']:
        words.append('no lease')
    if status['missing_voters']:
        words.append('voters would not survive the tolerated losses')
    if status['disk_full']:
        words.append('disk full')
    return ', '.join(words)


def nodes_behind(
    responses: list[dict[str, Any]], version: int
) -> list[str] | None:
    """Returns the names of the nodes that have not applied a version.

    :param responses: status of each control VM that could be reached
    :returns: None if there is no response, or none from an unfenced member, as
        the versions of some nodes are then unknown
    """
    if not responses:
        return None
    expected = {
        member['member']
        for member in responses[0]['members']
        if not member['fenced']
    }
    if not expected <= {status['name'] for status in responses}:
        return None
    applied_versions: dict[str, int] = {}
    for status in responses:
        for node in status['nodes']:
            applied_versions[node['node']] = max(
                applied_versions.get(node['node'], 0), node['version']
            )
    return sorted(
        name for name, applied in applied_versions.items() if applied < version
    )
