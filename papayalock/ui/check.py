"""Checks an asset register and rules without submitting them."""

import argparse

from papayalock.result import Code
from papayalock.ui.client import print_line
from papayalock.ui.files import add_file_arguments, read_inventory

HELP = 'check a register and rules without submitting them'
EXAMPLE = 'papayalock check register.toml rules.toml'


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of this command."""
    add_file_arguments(parser)


def run(args: argparse.Namespace) -> Code:
    """Checks the files and prints their errors, or a summary."""
    inventory = read_inventory(args)
    if inventory is None:
        return Code.INVALID
    register = inventory.register
    services = len(register.services)
    rules = len(inventory.rules.rules)
    print_line(
        f'{register.mesh}: {services} services, {rules} rules, no errors'
    )
    return Code.DONE
