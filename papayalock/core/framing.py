"""Limits the bytes of an HTTP message that are not its body.

A parser buffers an unfinished header line, trailer or chunk line, however long
it gets. A peer that sends one without end would fill the memory.
"""

# A body sent in chunks of one byte has five bytes of framing for each.
FRAMING_BYTES_PER_BODY_BYTE = 8

FIRST_INTERIM = 64  # interim responses to a call that come at any rate
MAX_INTERIM_PER_S = 200  # twice as many as a node's shortest alive_ms allows


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


class InterimLimit:
    """Counts the interim responses to one call against what nodes send.

    A node sends keepalives at a fixed interval while a call runs. More than
    that, over the time of the call, is no response but bytes without end.
    """

    __slots__ = ('_count', '_started_at', 'exceeded')

    def __init__(self, now: float) -> None:
        """Starts a call.

        :param now: monotonic seconds
        """
        self._started_at = now
        self._count = 0
        self.exceeded = False

    def record(self, now: float) -> None:
        """Counts one interim response."""
        self._count += 1
        allowed = FIRST_INTERIM + MAX_INTERIM_PER_S * (now - self._started_at)
        self.exceeded = self._count > allowed
