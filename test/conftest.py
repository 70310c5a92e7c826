"""Marks the tests listed in KNOWN-RED.txt as expected to fail."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def known_red_ids(text: str) -> list[str]:
    """Returns the test ids that stand at the start of a line."""
    first_words = (line.split(' ')[0] for line in text.splitlines())
    return [word for word in first_words if word.startswith('test/')]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks listed tests as strict xfail, so that a pass fails the run."""
    known_red = set(known_red_ids(KNOWN_RED.read_text()))
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason='known red', strict=True))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the ids of the listed tests."""
    for test_id in known_red_ids(KNOWN_RED.read_text()):
        terminalreporter.write_line(f'known red: {test_id}')
