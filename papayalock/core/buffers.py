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
