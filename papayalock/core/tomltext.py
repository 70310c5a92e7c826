"""Parses TOML and locates its errors."""

import re
import tomllib
from typing import Any

from papayalock.texts import one_line

PLACE = re.compile(
    r'(?P<reason>.*) \(at '
    r'(?:line (?P<line>\d+), column (?P<column>\d+)|end of document)\)',
    re.DOTALL,
)


class TomlError(Exception):
    """A text that is not valid TOML."""

    def __init__(self, reason: str, line: int = 0, column: int = 0) -> None:
        """Sets the reason and the location.

        :param line: counted from 1, as is the column; 0 when unknown
        """
        super().__init__(reason)
        self.reason = reason
        self.line = line
        self.column = column

    def location(self, name: str) -> str:
        """Returns the file, with line and column if they are known."""
        return f'{name}:{self.line}:{self.column}' if self.line else name

    def describe(self, name: str) -> str:
        """Returns the file, the location and the reason."""
        return f'{self.location(name)}: {self.reason}'


def parse_toml(text: str) -> dict[str, Any]:
    """Returns the parsed document.

    :raises TomlError: when the text is not valid TOML
    """
    try:
        return tomllib.loads(text)
    except ValueError as exc:
        raise error_from_message(str(exc), text) from exc
    except RecursionError as exc:
        raise TomlError('nested too deeply') from exc


def error_from_message(message: str, text: str) -> TomlError:
    """Returns the error that a message of the parser describes.

    :param text: the parsed text; its end is the end of its last line
    """
    match = PLACE.fullmatch(message)
    if match is None:
        return TomlError(one_line(message))
    line, column = _end_of_text(text)
    if match['line']:
        line, column = int(match['line']), int(match['column'])
    return TomlError(one_line(match['reason']), line, column)


def _end_of_text(text: str) -> tuple[int, int]:
    """Returns line and column after the last character of the last line."""
    lines = text.replace('\r\n', '\n').removesuffix('\n').split('\n')
    return len(lines), len(lines[-1]) + 1
