"""Adds the file and line to the errors of a document."""

import re
from typing import Any

from papayalock.core.schema import labelled_elements
from papayalock.core.tomltext import parse_toml
from papayalock.messages import Problem
from papayalock.result import Code

HEADING = re.compile(r'\s*\[\[\s*(?P<kind>service|rule)s?\s*\]\]')
ENTRY = re.compile(
    r'(?P<kind>service|rule)s?(?P<label>\[.*?\])(?:\.|$)', re.DOTALL
)


class Source:
    """The text of a register or of rules, with the name its errors show."""

    __slots__ = ('_lines', 'name', 'text')

    def __init__(self, name: str, text: str) -> None:
        """Starts without known lines.

        :param name: the file as the operator gave it
        """
        self.name = name
        self.text = text
        self._lines: dict[str, list[int]] = {}

    def parse(self) -> dict[str, Any]:
        """Returns the document with its lists of tables under plural keys.

        :raises TomlError: when the text is not valid TOML
        """
        raw = parse_toml(self.text)
        _rename_to_plural(raw, 'service')
        _rename_to_plural(raw, 'rule')
        for service in _list_at(raw, 'services'):
            if isinstance(service, dict):
                _rename_to_plural(service, 'operation')
        self._find_lines('service', _list_at(raw, 'services'))
        self._find_lines('rule', _list_at(raw, 'rules'))
        return raw

    def with_location(self, problem: Problem) -> Problem:
        """Adds the file, and the line of the table if known, to a problem."""
        return Problem(
            code=problem.code,
            where=f'{self.name}{self._line(problem)}: {problem.where}',
            message=problem.message,
        )

    def _find_lines(self, kind: str, tables: list[Any]) -> None:
        """Records the line of each table, if all of them have a heading."""
        matches = map(HEADING.match, self.text.split('\n'))
        headings = [
            number
            for number, heading in enumerate(matches, 1)
            if heading and heading['kind'] == kind
        ]
        if len(headings) != len(tables):
            return
        labelled = labelled_elements(tables, kind)
        for (place, _), number in zip(labelled, headings, strict=True):
            self._lines.setdefault(place, []).append(number)

    def _line(self, problem: Problem) -> str:
        """Returns the line of the table, or an empty text.

        If several tables have the same name, it is known only for a duplicate.
        """
        entry = ENTRY.match(problem.where)
        place = ''.join(entry.groups()) if entry else ''
        lines = self._lines.get(place, [])
        if len(lines) == 1 or (lines and problem.code == Code.DUPLICATE):
            return f':{lines[-1]}'
        return ''


def _rename_to_plural(table: dict[str, Any], key: str) -> None:
    if key in table:
        table[f'{key}s'] = table.pop(key)


def _list_at(raw: dict[str, Any], key: str) -> list[Any]:
    tables = raw.get(key)
    return tables if isinstance(tables, list) else []


class InventorySources:
    """The texts of the register and the rules of one inventory."""

    __slots__ = ('register', 'rules')

    def __init__(self, register: Source, rules: Source) -> None:
        """Sets the two documents."""
        self.register = register
        self.rules = rules

    def with_location(self, problem: Problem) -> Problem:
        """Returns a semantic problem of the inventory with its file."""
        in_rules = problem.where.startswith('rule[')
        return (self.rules if in_rules else self.register).with_location(
            problem
        )
