"""Reads the asset register and rules given on the command line."""

import argparse
from collections.abc import Iterable

from papayalock.core.inventory import Inventory, parse_inventory
from papayalock.messages import Problem
from papayalock.result import Code
from papayalock.texts import one_line, read_text
from papayalock.ui.client import print_line


def add_file_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments for the register and the rules."""
    parser.add_argument('register', help='asset register in TOML')
    parser.add_argument(
        'rules', nargs='?', help='rules in TOML; none if left out'
    )


def read_inventory(args: argparse.Namespace) -> Inventory | None:
    """Reads both files; prints all errors and returns None if there are any.

    :raises PapayalockError: ``FILE_UNREADABLE`` when a file cannot be read
    """
    register = read_text(args.register)
    rules = '' if args.rules is None else read_text(args.rules)
    inventory, problems = parse_inventory(register, rules, file_names(args))
    print_problems(problems)
    return inventory


def file_names(args: argparse.Namespace) -> tuple[str, str]:
    """Returns the names of both files as given, for error messages."""
    return args.register, args.rules or 'rules'


def print_problems(problems: Iterable[Problem]) -> None:
    """Prints each problem on one line."""
    for problem in problems:
        name = Code(problem.code).name
        print_line(
            one_line(
                f'{problem.code} {name} {problem.where}: {problem.message}'
            )
        )
