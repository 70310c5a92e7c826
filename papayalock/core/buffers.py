"""Shares the memory for message bodies between the calls of a process."""

SMALL_BODY_BYTES = 65536
LARGE_BODIES_SHARE = 0.75  # of the memory; the rest is kept for small bodies


class BufferPool:
    """The bytes that calls may buffer together.

    Bodies without end can take a part of the memory only, so that ordinary
    ones still find room beside them.
    """

    __slots__ = ('_capacity', 'used')

    def __init__(self, capacity: int) -> None:
        """Starts empty.

        :param capacity: total size of all buffers in bytes
        """
        self._capacity = capacity
        self.used = 0

    def grow(self, held: int, size: int) -> bool:
        """Takes room for a buffer to grow, or returns False.

        :param held: present size of the buffer in bytes
        :param size: bytes to add
        """
        limit: float = self._capacity
        if held + size > SMALL_BODY_BYTES:
            limit *= LARGE_BODIES_SHARE
        if self.used + size > limit:
            return False
        self.used += size
        return True

    def release(self, held: int) -> None:
        """Gives back the room of a buffer.

        :param held: its size in bytes
        """
        self.used -= held


class BodyBuffer:
    """Collects one body whose bytes count against a shared memory.

    Pieces are joined as they come: kept one by one, pieces of a few bytes
    would take many times the memory that is counted.
    """

    __slots__ = ('_content', '_pool')

    def __init__(self, pool: BufferPool) -> None:
        """Starts empty."""
        self._pool = pool
        self._content = bytearray()

    def __len__(self) -> int:
        """Returns the number of bytes collected."""
        return len(self._content)

    def add(self, piece: bytes) -> bool:
        """Adds a piece, or returns False if there is no room for it."""
        if not self._pool.grow(len(self._content), len(piece)):
            return False
        self._content += piece
        return True

    def take(self) -> bytes:
        """Returns the body; the taker gives back its room to the pool."""
        body = bytes(self._content)
        self._content = bytearray()
        return body

    def drop(self) -> None:
        """Drops what was collected."""
        self._pool.release(len(self._content))
        self._content = bytearray()
