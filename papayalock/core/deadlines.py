"""Deadlines: carried between nodes as remaining time, kept locally as an instant."""

MS = 1000  # milliseconds in a second
HOP_MARGIN_MS = 2  # spent by one hop on the way back


class Deadline:
    """The instant by which a caller must have its answer."""

    __slots__ = ('at',)

    def __init__(self, at: float) -> None:
        """Keeps the instant.

        :param at: monotonic seconds
        """
        self.at = at

    def remaining_ms(self, now: float) -> int:
        """Returns the remaining time in ms, not below zero."""
        return max(0, int((self.at - now) * MS))

    def passed(self, now: float) -> bool:
        """Whether the deadline lies in the past."""
        return now >= self.at


def effective_deadline(route_ms: int, header: str, now: float) -> Deadline:
    """Returns the earlier of the route's deadline and the caller's.

    :param route_ms: deadline of the operation
    :param header: remaining time in ms as the caller sent it; anything that
        is not a positive number is ignored
    """
    limit_ms = route_ms
    if header.isascii() and header.isdigit():
        limit_ms = min(route_ms, max(1, int(header[:9])))
    return Deadline(now + limit_ms / MS)


def forwarded_ms(deadline: Deadline, now: float) -> int:
    """Returns the remaining time to send with the next hop."""
    return max(1, deadline.remaining_ms(now) - HOP_MARGIN_MS)
