"""A cache that is bounded by the memory of its entries."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar('Key', bound=Hashable)
Entry = TypeVar('Entry')


class SizedCache(Generic[Key, Entry]):
    """Drops the entries that were not used for longest.

    The newest entry is kept whatever it weighs, since several readers may want
    it in turn. ``size`` is the memory of all entries in bytes.
    """

    __slots__ = ('_entries', '_max_bytes', 'size')

    def __init__(self, max_bytes: int) -> None:
        """Starts empty."""
        self._entries: OrderedDict[Key, tuple[Entry, int]] = OrderedDict()
        self._max_bytes = max_bytes
        self.size = 0

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    def get(self, key: Key) -> Entry | None:
        """Returns an entry, which then counts as just used, or None."""
        found = self._entries.get(key)
        if found is None:
            return None
        self._entries.move_to_end(key)
        return found[0]

    def put(self, key: Key, entry: Entry, size: int) -> None:
        """Adds an entry that is not in the cache.

        :param size: its memory in bytes
        """
        self._entries[key] = (entry, size)
        self.size += size
        while self.size > self._max_bytes and len(self._entries) > 1:
            _, (_, dropped) = self._entries.popitem(last=False)
            self.size -= dropped
