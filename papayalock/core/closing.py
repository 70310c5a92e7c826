"""Decides which calls a node that stops still takes."""

NOTICE_S = 2.6  # time in which callers see that the node is not ready
EXIT_MARGIN_S = 0.4  # kept at the end of the grace time
REFUSE_S = 1.2  # before the end, from which on new calls are refused
RETRY_MS = 300  # wait before a node that stops is asked again


class Closing:
    """The times of a node's stop, in monotonic seconds.

    Until :meth:`begin` the node takes every call.
    """

    __slots__ = ('ends_at', 'told_at')

    def __init__(self) -> None:
        """Starts with a node that does not stop."""
        self.told_at = float('inf')
        self.ends_at = float('inf')

    def begin(self, now: float, grace_s: float) -> None:
        """Sets when callers have been told, and when the node ends.

        :param grace_s: time in which the process has to end
        """
        self.ends_at = now + max(0.0, grace_s - EXIT_MARGIN_S)
        self.told_at = min(now + NOTICE_S, self.ends_at)

    def refuses_all(self, now: float) -> bool:
        """Whether the node takes no call of its own callers any more."""
        return now >= max(self.told_at, self.ends_at - REFUSE_S)
