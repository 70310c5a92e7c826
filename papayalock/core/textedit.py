"""Differences between two versions of a long text made of similar pieces.

The work grows with the length of the texts, whatever differs between them: a
change of every piece is found in the time that a change of one takes.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Iterator

from papayalock.messages import TextEdit

NOWHERE = -1
SEPARATOR = '},{'  # between the elements of a list of JSON objects
Range = tuple[int, int]
Pair = tuple[int, int]  # positions of a piece in the old and the new text


class Gap:
    """Pieces of the old text and those of the new one in their place.

    ``start`` is the position of the first one in the old text.
    """

    __slots__ = ('new', 'old', 'start')

    def __init__(self, start: int, old: list[str], new: list[str]) -> None:
        """Takes off equal pieces at both ends."""
        head = _equal_length(old, new)
        tail = _equal_length(reversed(old[head:]), reversed(new[head:]))
        self.start = start + head
        self.old = old[head : len(old) - tail]
        self.new = new[head : len(new) - tail]

    def edits(self) -> Iterator[TextEdit]:
        """Yields edits: piece by piece if there are as many as before."""
        if len(self.old) != len(self.new):
            yield self._edit(0, len(self.old), self.new)
            return
        for first, last in _different_runs(self.old, self.new):
            yield self._edit(first, last, self.new[first:last])

    def _edit(self, first: int, last: int, pieces: list[str]) -> TextEdit:
        return TextEdit(
            start=self.start + first, stop=self.start + last, pieces=pieces
        )


def diff_text(old: str, new: str) -> list[TextEdit]:
    """Returns the edits that turn one text into another."""
    whole = Gap(0, old.split(SEPARATOR), new.split(SEPARATOR))
    edits: list[TextEdit] = []
    for gap in _gaps_between_matches(whole):
        edits.extend(gap.edits())
    return edits


def apply_edits(old: str, edits: Iterable[TextEdit]) -> str:
    """Returns a text with edits applied, which are in ascending order."""
    pieces = old.split(SEPARATOR)
    edited: list[str] = []
    position = 0
    for edit in edits:
        edited.extend(pieces[position : edit.start])
        edited.extend(edit.pieces)
        position = edit.stop
    edited.extend(pieces[position:])
    return SEPARATOR.join(edited)


def _gaps_between_matches(whole: Gap) -> Iterator[Gap]:
    """Yields the gaps between pieces that both texts have once."""
    matches = _unique_matches(whole.old, whole.new)
    matches.append((len(whole.old), len(whole.new)))
    old_start, new_start = 0, 0
    for old_stop, new_stop in matches:
        if old_start < old_stop or new_start < new_stop:
            yield Gap(
                whole.start + old_start,
                whole.old[old_start:old_stop],
                whole.new[new_start:new_stop],
            )
        old_start = old_stop + 1
        new_start = new_stop + 1


def _unique_matches(before: list[str], after: list[str]) -> list[Pair]:
    """Returns the pieces that both texts have once, in an order of both."""
    places = _unique_places(before)
    candidates = [
        (places[piece], position)
        for piece, position in _unique_places(after).items()
        if piece in places
    ]
    return _longest_ascending(candidates)


def _unique_places(pieces: list[str]) -> dict[str, int]:
    """Returns the positions of the pieces that occur once, in order."""
    counts = Counter(pieces)
    return {
        piece: position
        for position, piece in enumerate(pieces)
        if counts[piece] == 1
    }


def _longest_ascending(pairs: list[Pair]) -> list[Pair]:
    """Returns a longest subsequence with ascending first members."""
    ends: list[int] = []  # smallest first member that ends each length
    tails: list[int] = []  # position of its pair
    previous: list[int] = []
    for position, (first, _) in enumerate(pairs):
        length = bisect_left(ends, first)
        previous.append(tails[length - 1] if length else NOWHERE)
        if length == len(ends):
            ends.append(first)
            tails.append(position)
        else:
            ends[length] = first
            tails[length] = position
    return _chain(pairs, previous, tails[-1] if tails else NOWHERE)


def _chain(pairs: list[Pair], previous: list[int], last: int) -> list[Pair]:
    """Returns the pairs that lead to the last one, in order."""
    chain: list[Pair] = []
    while last != NOWHERE:
        chain.append(pairs[last])
        last = previous[last]
    chain.reverse()
    return chain


def _equal_length(old: Iterable[str], new: Iterable[str]) -> int:
    """Returns how many pieces are equal before the first that differs."""
    length = 0
    for old_piece, new_piece in zip(old, new, strict=False):
        if old_piece != new_piece:
            break
        length += 1
    return length


def _different_runs(before: list[str], after: list[str]) -> Iterator[Range]:
    """Yields the ranges in which two lists of one length differ."""
    first = NOWHERE
    for position, piece in enumerate(before):
        differs = piece != after[position]
        if differs and first == NOWHERE:
            first = position
        if not differs and first != NOWHERE:
            yield first, position
            first = NOWHERE
    if first != NOWHERE:
        yield first, len(before)
