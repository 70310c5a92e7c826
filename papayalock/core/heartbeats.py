"""State of the backend server beside a node, from its heartbeats.

Heartbeats are ordered by the start of the server and by their sequence, so that
a delayed one of an earlier start, or one sent before a drain, changes nothing.
"""

from collections import Counter
from enum import Enum

from papayalock.core.serverstarts import OfServer, StartHistory, start_of
from papayalock.messages import (
    Announcement,
    Endpoint,
    NodeNotice,
    ServerNotice,
)

MS_PER_S = 1000
CLOSE_AFTER_DRAIN_SHARE = 0.6  # of the drain time; no calls are forwarded later


class HeartbeatEffect(Enum):
    """What a heartbeat changed."""

    CHANGED = 'news'
    RENEWED = 'renewed'
    STALE = 'stale'


class DropReason(Enum):
    """Why a heartbeat was dropped."""

    LATE = 'late'  # sent before another one of the same start
    REPLACED = 'replaced'  # of a start that another one has replaced


class BackendMonitor:
    """Lease and drain state of one backend server.

    Draining is final until the server's next start.
    """

    __slots__ = (
        '_close_after_s',
        '_has_notice',
        '_history',
        '_lease_s',
        '_limit_stated_at',
        'announcement',
        'changed_sequence',
        'draining_since',
        'dropped',
        'former_left',
        'lease_until',
        'limit',
    )

    def __init__(self, lease_ms: int, drain_ms: int) -> None:
        """Starts without a server.

        :param lease_ms: time a heartbeat lasts without renewal
        :param drain_ms: time after the acknowledgement of a drain within which
            calls may still reach the server
        """
        self.announcement: Announcement | None = None
        self.lease_until = float('-inf')
        self.draining_since: float | None = None
        self.changed_sequence = 0
        self.limit: float | None = None  # requests per second; None for none
        self.dropped: Counter[DropReason] = Counter()
        self.former_left = False  # whether the former start had said it leaves
        self._history = StartHistory()
        self._limit_stated_at = float('-inf')
        self._has_notice = False  # whether this start has sent a response
        self._lease_s = lease_ms / MS_PER_S
        self._close_after_s = drain_ms / MS_PER_S * CLOSE_AFTER_DRAIN_SHARE

    def record_heartbeat(
        self, heartbeat: Announcement, now: float
    ) -> HeartbeatEffect:
        """Updates the state from a heartbeat and returns what changed."""
        drop_reason = self._reason_to_drop(heartbeat, now)
        if drop_reason is not None:
            self.dropped[drop_reason] += 1
            return HeartbeatEffect.STALE
        current = self.announcement
        if current is not None and not self._is_current(heartbeat):
            self._history.record_replaced(start_of(current), current.sequence)
            self._forget_start()
        had_expired = self.lease_expired(now)
        self.announcement = heartbeat
        self.lease_until = now + self._lease_s
        if heartbeat.draining:
            return self._start_draining(now)
        changed = current is None or _content(current) != _content(heartbeat)
        if changed or had_expired:
            self.changed_sequence = heartbeat.sequence
            return HeartbeatEffect.CHANGED
        return HeartbeatEffect.RENEWED

    def _reason_to_drop(
        self, heartbeat: Announcement, now: float
    ) -> DropReason | None:
        """Returns why to drop a heartbeat, or None to use it."""
        current = self.announcement
        if current is None:
            return None
        if self._is_current(heartbeat):
            is_late = heartbeat.sequence <= current.sequence
            return DropReason.LATE if is_late else None
        may_follow = self._history.may_follow(
            start_of(heartbeat),
            heartbeat.sequence,
            start_of(current),
            lease_expired=self.lease_expired(now),
        )
        return None if may_follow else DropReason.REPLACED

    def record_discovery(self, discovered: Announcement, now: float) -> bool:
        """Records a server that was found before any heartbeat of it came.

        A heartbeat holds more data, so a server that sent one is not replaced.

        :returns: whether the server was new
        """
        if self.announcement is not None:
            return False
        self.announcement = discovered
        self.lease_until = now + self._lease_s
        return True

    def record_departure(self, server: str, now: float) -> HeartbeatEffect:
        """Records that a server leaves without a drain, or has drained."""
        current = self.announcement
        if current is None or current.server != server:
            return HeartbeatEffect.STALE
        return self._start_draining(now)

    def record_notice(
        self,
        serving: Announcement,
        notice: ServerNotice,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records what the server stated in a response.

        Responses may overtake each other: one without a limit lifts the limit
        only if its call was sent after the limit was last stated.

        :param serving: the start of the server that sent the response
        :param sent_at: time at which the call of the response was sent
        :returns: whether the limit changed
        """
        if not self._is_current(serving):
            return False
        self._has_notice = True
        before = self.limit
        if notice.limit is not None:
            self._limit_stated_at = now
            self.limit = notice.limit
        elif sent_at >= self._limit_stated_at:
            self.limit = None
        return self.limit != before

    def record_leaving(
        self, serving: Announcement, now: float
    ) -> HeartbeatEffect:
        """Records that the server stated in a response that it leaves.

        :param serving: the start of the server that sent the response
        """
        if not self._is_current(serving):
            return HeartbeatEffect.STALE
        return self._start_draining(now)

    def adopt_limit(self, told: NodeNotice, now: float) -> bool:
        """Adopts the limit that another node has heard from the server.

        It holds until the first response; a node that has just started has
        had none.

        :returns: whether the limit changed
        """
        limit = told.notice.limit
        if self._has_notice or limit is None:
            return False
        if not self._is_current(told):
            return False
        if limit == self.limit:
            return False
        self.limit = limit
        self._limit_stated_at = now
        return True

    def adopt_version(self, endpoint: Endpoint) -> None:
        """Adopts the version that this node's previous process reported.

        A server that was found by a health check has not told it yet.
        """
        current = self.announcement
        if current is None or current.version or not endpoint.version:
            return
        if self._is_current(endpoint):
            current.version = endpoint.version

    def close(self, now: float) -> None:
        """Forwards no more calls to a server that left some time ago."""
        self._start_draining(now - self._close_after_s)

    def expire_lease(self) -> None:
        """Ends the lease because another server has the address.

        The next heartbeat renews it.
        """
        self.lease_until = float('-inf')

    def lease_expired(self, now: float) -> bool:
        """Whether the server has stopped its heartbeats."""
        return now >= self.lease_until

    def is_draining(self) -> bool:
        """Whether the server has announced that it drains or leaves."""
        return self.draining_since is not None

    def is_closed(self, now: float) -> bool:
        """Whether no call may be forwarded to the server any more."""
        if self.draining_since is None:
            return False
        return now >= self.draining_since + self._close_after_s

    def serving(self, now: float) -> Announcement | None:
        """Returns the announcement of the server if it may get calls now."""
        if self.lease_expired(now) or self.is_closed(now):
            return None
        return self.announcement

    def _is_current(self, message: OfServer) -> bool:
        """Whether a message is about the start that is known last."""
        current = self.announcement
        if current is None:
            return False
        return start_of(message).is_same(start_of(current))

    def _forget_start(self) -> None:
        """Clears the state that ended with the previous start of the server."""
        self.former_left = self.draining_since is not None
        self.draining_since = None
        self.limit = None
        self._limit_stated_at = float('-inf')
        self._has_notice = False

    def _start_draining(self, now: float) -> HeartbeatEffect:
        if self.draining_since is not None:
            return HeartbeatEffect.RENEWED
        self.draining_since = now
        if self.announcement is not None:
            self.changed_sequence = self.announcement.sequence
        return HeartbeatEffect.CHANGED


def _content(announcement: Announcement) -> tuple[object, ...]:
    return (
        announcement.server,
        announcement.service,
        announcement.address,
        (announcement.slots, announcement.version),
        announcement.born_ms,
    )
