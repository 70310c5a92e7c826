"""Reads the register and rules that commands name."""

import argparse
from pathlib import Path

from papayalock.core.inventory import Inventory, parse_inventory
from papayalock.result import Code, PapayalockError
from papayalock.ui.client import put


def add_files(parser: argparse.ArgumentParser) -> None:
    """Adds the two file arguments."""
    parser.add_argument('register', type=Path, help='asset register in TOML')
    parser.add_argument('rules', type=Path, help='rules in TOML')


def read_inventory(args: argparse.Namespace) -> Inventory | None:
    """Returns the inventory, or None after printing every error in it.

    :raises PapayalockError: ``SYNTAX`` when a file cannot be read
    """
    try:
        register = args.register.read_text()
        rules = args.rules.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise PapayalockError(Code.SYNTAX, str(exc)) from exc
    inventory, problems = parse_inventory(register, rules)
    for problem in problems:
        put(
            f'{problem.code} {Code(problem.code).name} {problem.where}: {problem.message}'
        )
    return inventory
