"""Differences between two versions of a long text made of similar pieces."""

from collections.abc import Iterable
from difflib import SequenceMatcher

from papayalock.messages import TextEdit

SEPARATOR = '},{'  # between the elements of a list of JSON objects


def diff_text(old: str, new: str) -> list[TextEdit]:
    """Returns the edits that turn one text into another."""
    before = old.split(SEPARATOR)
    after = new.split(SEPARATOR)
    matcher = SequenceMatcher(None, before, after, autojunk=False)
    return [
        TextEdit(start=start, stop=stop, pieces=after[first:last])
        for tag, start, stop, first, last in matcher.get_opcodes()
        if tag != 'equal'
    ]


def apply_edits(old: str, edits: Iterable[TextEdit]) -> str:
    """Returns a text with edits applied."""
    pieces = old.split(SEPARATOR)
    for edit in reversed(list(edits)):
        pieces = pieces[: edit.start] + edit.pieces + pieces[edit.stop :]
    return SEPARATOR.join(pieces)
