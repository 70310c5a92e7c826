"""Deadlines of calls.

Between nodes they travel as the remaining time, since clocks differ; within a
node they are points on its monotonic clock.
"""

MS_PER_S = 1000
HOP_MARGIN_MS = 2  # time for the response to pass one hop


class Deadline:
    """The time by which the caller must have the response."""

    __slots__ = ('at',)

    def __init__(self, at: float) -> None:
        """Sets the time.

        :param at: monotonic seconds
        """
        self.at = at

    def remaining_ms(self, now: float) -> int:
        """Returns the remaining time in ms, at least 0."""
        return max(0, int((self.at - now) * MS_PER_S))

    def passed(self, now: float) -> bool:
        """Returns whether the deadline has passed."""
        return now >= self.at


def effective_deadline(route_ms: int, header: str, now: float) -> Deadline:
    """Returns the earlier of the route's deadline and the caller's.

    :param route_ms: time that the route allows
    :param header: remaining time in ms that the caller sent; ignored unless
        it consists of ASCII digits, and 0 counts as 1
    """
    limit_ms = route_ms
    if header.isascii() and header.isdigit():
        limit_ms = min(route_ms, max(1, int(header[:9])))
    return Deadline(now + limit_ms / MS_PER_S)


def forwarded_ms(deadline: Deadline, now: float) -> int:
    """Returns the remaining time to send with the next hop, at least 1 ms."""
    return max(1, deadline.remaining_ms(now) - HOP_MARGIN_MS)
