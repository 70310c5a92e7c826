"""Reads the register and rules that commands name."""

import argparse
from pathlib import Path

from papayalock.core.inventory import Inventory, parse_inventory
from papayalock.result import Code, PapayalockError
from papayalock.ui.client import put


def add_files(parser: argparse.ArgumentParser) -> None:
    """Adds the two file arguments."""
    parser.add_argument('register', type=Path, help='asset register in TOML')
    parser.add_argument(
        'rules', type=Path, nargs='?', help='rules in TOML; none if left out'
    )


def read_inventory(args: argparse.Namespace) -> Inventory | None:
    """Returns the inventory, or None after printing every error in it.

    :raises PapayalockError: ``FILE_UNREADABLE`` when a file cannot be read
    """
    register = read_text(args.register)
    rules = read_text(args.rules) if args.rules else ''
    inventory, problems = parse_inventory(register, rules)
    for problem in problems:
        put(
            f'{problem.code} {Code(problem.code).name} {problem.where}: {problem.message}'
        )
    return inventory


def read_text(path: Path) -> str:
    """Returns the text of a file, without a byte order mark.

    :raises PapayalockError: ``FILE_UNREADABLE``, naming the file and why
    """
    try:
        return path.read_text(encoding='utf-8-sig')
    except OSError as exc:
        reason = exc.strerror or str(exc)
    except UnicodeDecodeError as exc:
        reason = f'not UTF-8 text at byte {exc.start}'
    raise PapayalockError(Code.FILE_UNREADABLE, f'{path}: {reason}')
