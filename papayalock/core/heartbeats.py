"""What a node believes of the backend server beside it.

Heartbeats are ordered by the server's start and by their own count, so that a
late one of an earlier start, or one sent before a drain, changes nothing.
"""

from enum import Enum

from papayalock.messages import Announcement

MS_PER_S = 1000  # milliseconds in a second
CLOSE_AT = 0.6  # part of the drain time after which no more calls are passed on


class HeartbeatEffect(Enum):
    """What a heartbeat changed."""

    CHANGED = 'news'
    RENEWED = 'renewed'
    STALE = 'stale'


class BackendMonitor:
    """The state of one backend server, from what it says itself.

    Leaving is final for one start of a server.
    """

    __slots__ = (
        '_close_after',
        '_lease',
        'announcement',
        'expires',
        'draining_since',
        'changed_sequence',
    )

    def __init__(self, lease_ms: int, drain_ms: int) -> None:
        """Starts without a server.

        :param lease_ms: time a heartbeat lasts without renewal
        :param drain_ms: time after the acknowledgement of a drain within
            which calls may still reach the server
        """
        self.announcement: Announcement | None = None
        self.expires = float('-inf')
        self.draining_since: float | None = None
        self.changed_sequence = 0
        self._lease = lease_ms / MS_PER_S
        self._close_after = drain_ms / MS_PER_S * CLOSE_AT

    def record_heartbeat(
        self, fresh: Announcement, now: float
    ) -> HeartbeatEffect:
        """Takes in a heartbeat."""
        known = self.announcement
        if known is not None and _heartbeat_order(fresh) <= _heartbeat_order(
            known
        ):
            return HeartbeatEffect.STALE
        if known is None or _start_id(known) != _start_id(fresh):
            self.draining_since = None
        was_lost = self.lease_expired(now)
        self.announcement = fresh
        self.expires = now + self._lease
        if fresh.draining:
            return self._start_draining(now)
        changed = known is None or _announced_facts(known) != _announced_facts(
            fresh
        )
        if changed or was_lost:
            self.changed_sequence = fresh.sequence
            return HeartbeatEffect.CHANGED
        return HeartbeatEffect.RENEWED

    def record_discovery(self, found: Announcement, now: float) -> bool:
        """Takes in a server that was found before any heartbeat of it came.

        :returns: whether it is news; any heartbeat tells more than this
        """
        if self.announcement is not None:
            return False
        self.announcement = found
        self.expires = now + self._lease
        return True

    def record_departure(self, server: str, now: float) -> HeartbeatEffect:
        """Takes in that a server leaves without a drain, or has drained."""
        known = self.announcement
        if known is None or known.server != server:
            return HeartbeatEffect.STALE
        return self._start_draining(now)

    def invalidate(self) -> None:
        """Notes that another server has the address, until the next heartbeat."""
        self.expires = float('-inf')

    def lease_expired(self, now: float) -> bool:
        """Whether the server has stopped its heartbeats."""
        return now >= self.expires

    def is_draining(self) -> bool:
        """Whether the server has said that it leaves."""
        return self.draining_since is not None

    def is_closed(self, now: float) -> bool:
        """Whether no call may be passed on to the server any more."""
        if self.draining_since is None:
            return False
        return now >= self.draining_since + self._close_after

    def serving(self, now: float) -> Announcement | None:
        """Returns the announcement of the server that may get calls now."""
        if self.lease_expired(now) or self.is_closed(now):
            return None
        return self.announcement

    def _start_draining(self, now: float) -> HeartbeatEffect:
        if self.draining_since is not None:
            return HeartbeatEffect.RENEWED
        self.draining_since = now
        if self.announcement is not None:
            self.changed_sequence = self.announcement.sequence
        return HeartbeatEffect.CHANGED


def _heartbeat_order(announcement: Announcement) -> tuple[int, int]:
    return announcement.born_ms, announcement.sequence


def _start_id(announcement: Announcement) -> tuple[str, int]:
    return announcement.server, announcement.born_ms


def _announced_facts(announcement: Announcement) -> tuple[object, ...]:
    return (
        announcement.server,
        announcement.service,
        announcement.address,
        announcement.slots,
        announcement.born_ms,
    )
