"""Decides which calls a node that stops still takes."""

NOTICE_S = 2.6  # time in which callers see that the node is not ready
EXIT_MARGIN_S = 0.4  # kept at the end of the grace time
REFUSE_S = 1.2  # before the end, from which on new calls are refused
RETRY_AFTER_MS = 300  # wait before a node that stops is asked again


class ShutdownTimes:
    """The times of a node's stop, in monotonic seconds.

    Until :meth:`begin` the node takes every call.
    """

    __slots__ = ('ends_at', 'notified_at')

    def __init__(self) -> None:
        """Starts with a node that does not stop."""
        self.notified_at = float('inf')
        self.ends_at = float('inf')

    def begin(self, now: float, grace_s: float) -> None:
        """Sets when callers have been told, and when the node ends.

        :param grace_s: time in which the process has to end
        """
        self.ends_at = now + max(0.0, grace_s - EXIT_MARGIN_S)
        self.notified_at = min(now + NOTICE_S, self.ends_at)

    def end(self, now: float) -> None:
        """Ends the node now, if not before; no call is taken from then on."""
        self.ends_at = min(self.ends_at, now)

    def may_cut_off(self, deadline_at: float) -> bool:
        """Whether the node may end before a call with this deadline."""
        return deadline_at >= self.ends_at

    def refuses_hop(self, deadline_at: float, now: float) -> bool:
        """Whether a call that arrives now may not be taken.

        Before its callers have been told, a node takes every call; one whose
        deadline is further off than the end is then cut if it lasts so long.
        """
        return now >= self.notified_at and self.may_cut_off(deadline_at)

    def refuses_local(self, deadline_at: float, now: float) -> bool:
        """The same for a call of the node's own callers.

        Shortly before the end none is taken, so that the node falls quiet.
        """
        last_call_at = max(self.notified_at, self.ends_at - REFUSE_S)
        return now >= last_call_at or self.refuses_hop(deadline_at, now)

    def start_deadline(self, deadline_at: float, run_s: float) -> float:
        """Returns when a queued call must start at the latest.

        A run may last longer than expected, so one that the node may cut
        starts no later than new calls of its callers are taken.

        :param run_s: expected run time
        """
        if self.may_cut_off(deadline_at):
            return self.ends_at - max(run_s, REFUSE_S)
        return deadline_at - run_s
