"""Limits the bytes of an HTTP message that are not its body.

A parser buffers an unfinished header line, trailer or chunk line, however long
it gets. A peer that sends one without end would fill the memory.
"""

# A body sent in chunks of one byte has five bytes of framing for each.
FRAMING_BYTES_PER_BODY_BYTE = 8


class FramingLimit:
    """Counts the bytes received for one message against a limit."""

    __slots__ = ('_body', '_limit', '_received')

    def __init__(self, limit: int) -> None:
        """Starts a message.

        :param limit: size of the largest head in bytes
        """
        self._limit = limit
        self._received = 0
        self._body = 0

    def restart(self) -> None:
        """Starts the next message."""
        self._received = 0
        self._body = 0

    def record_received(self, size: int) -> None:
        """Counts bytes from the network."""
        self._received += size

    def record_body(self, size: int) -> None:
        """Counts bytes of the body, which are also received ones."""
        self._body += size

    @property
    def exceeded(self) -> bool:
        """Whether head, trailers and chunk lines are longer than allowed."""
        allowed = self._limit + self._body * FRAMING_BYTES_PER_BODY_BYTE
        return self._received - self._body > allowed
