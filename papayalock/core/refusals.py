"""Which calls come from callers that were refused before.

A refused caller sends the same request again, with what is left of its
deadline. It is known by the digest of the request and by the time at which
its deadline passes, which does not change. How short a deadline is tells
nothing, since callers differ in patience.

The load that it answers: overload, in which refused callers return among
first calls, and their latency objectives count from their first call.
"""

from collections import deque
from dataclasses import dataclass

MAX_REMEMBERED = 4096  # refused callers; the oldest are forgotten first
# Difference up to which two deadlines count as the same: delays of the network
# and of the event loop between the caller's clock and this node's.
DEADLINE_TOLERANCE_S = 0.25


@dataclass(slots=True, frozen=True, eq=False)
class RefusedCall:
    """A call that was refused; its caller may return.

    Times are monotonic seconds.
    """

    request: str  # digest of its content
    first_arrived: float  # when its caller first sent it
    deadline_at: float  # of the caller


class RefusedCalls:
    """The calls that a node has refused and whose callers may return."""

    __slots__ = ('_by_request', '_order')

    def __init__(self) -> None:
        """Starts without calls."""
        self._by_request: dict[str, list[RefusedCall]] = {}
        self._order: deque[RefusedCall] = deque()

    def __len__(self) -> int:
        """Returns the number of calls remembered."""
        return sum(len(calls) for calls in self._by_request.values())

    def remember(self, refused: RefusedCall) -> None:
        """Remembers a call that has just been refused."""
        self._by_request.setdefault(refused.request, []).append(refused)
        self._order.append(refused)
        if len(self._order) > MAX_REMEMBERED:
            self._forget(self._order.popleft())

    def find_first_arrival(
        self, request: str, deadline_at: float, now: float
    ) -> float | None:
        """Returns when the caller of a call first sent it, and forgets that.

        :returns: None for a call that was not refused before
        """
        self._forget_ended(now)
        candidates = [
            refused
            for refused in self._by_request.get(request, ())
            if abs(refused.deadline_at - deadline_at) <= DEADLINE_TOLERANCE_S
        ]
        if not candidates:
            return None
        match = min(
            candidates,
            key=lambda refused: abs(refused.deadline_at - deadline_at),
        )
        self._forget(match)
        return match.first_arrived

    def _forget_ended(self, now: float) -> None:
        """Forgets the calls at the front whose deadline has passed."""
        while self._order and self._order[0].deadline_at < now:
            self._forget(self._order.popleft())

    def _forget(self, refused: RefusedCall) -> None:
        calls = self._by_request.get(refused.request, [])
        if refused in calls:
            calls.remove(refused)
        if not calls:
            self._by_request.pop(refused.request, None)
