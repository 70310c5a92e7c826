"""Decides which calls a node still accepts while it shuts down."""

NOTICE_S = 2.6  # until all callers have seen that the node is not ready
EXIT_MARGIN_S = 0.4  # part of the grace period reserved for the exit
REFUSE_LOCAL_S = 1.2  # before the end, when new local calls are refused
RETRY_AFTER_MS = 300  # for calls refused because of the shutdown


class ShutdownTimes:
    """The schedule of a node's graceful shutdown, in monotonic seconds.

    Before :meth:`begin` the node accepts every call.
    """

    __slots__ = ('ends_at', 'notified_at')

    def __init__(self) -> None:
        """Starts without a shutdown."""
        self.notified_at = float('inf')
        self.ends_at = float('inf')

    def begin(self, now: float, grace_s: float) -> None:
        """Schedules when callers have been notified and when the node ends.

        :param grace_s: time until the process must have exited
        """
        self.ends_at = now + max(0.0, grace_s - EXIT_MARGIN_S)
        self.notified_at = min(now + NOTICE_S, self.ends_at)

    def end(self, now: float) -> None:
        """Ends the node now at the latest; no call is accepted from then on."""
        self.ends_at = min(self.ends_at, now)

    def may_cut_off(self, deadline_at: float) -> bool:
        """Returns whether the node may end before a call with this deadline."""
        return deadline_at >= self.ends_at

    def refuses_hop(self, deadline_at: float, now: float) -> bool:
        """Returns whether to refuse a call that another node sends now.

        Until callers have been notified, the node accepts every call. One with
        a deadline after the end is cut off if it takes that long.
        """
        return now >= self.notified_at and self.may_cut_off(deadline_at)

    def refuses_local(self, deadline_at: float, now: float) -> bool:
        """Returns whether to refuse a call of a caller on this VM.

        Shortly before the end all are refused, so that the node becomes idle.
        """
        refuse_all_at = max(self.notified_at, self.ends_at - REFUSE_LOCAL_S)
        return now >= refuse_all_at or self.refuses_hop(deadline_at, now)

    def start_deadline(self, deadline_at: float, run_s: float) -> float:
        """Returns the latest time at which a queued call may start.

        A call that the node may cut off has to start before the node refuses
        all local calls, since it may take longer than expected.

        :param run_s: expected service time
        """
        if self.may_cut_off(deadline_at):
            return self.ends_at - max(run_s, REFUSE_LOCAL_S)
        return deadline_at - run_s
