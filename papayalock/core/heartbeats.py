"""What a node believes of the backend server beside it.

Heartbeats are ordered by the server's start and by their own count, so that a
late one of an earlier start, or one sent before a drain, changes nothing.
"""

from enum import Enum

from papayalock.messages import Announcement

MS_PER_S = 1000  # milliseconds in a second
CLOSE_AT = 0.6  # part of the drain time after which no more calls are passed on


class Heard(Enum):
    """What a heartbeat changed."""

    NEWS = 'news'
    RENEWED = 'renewed'
    STALE = 'stale'


class BackendWatch:
    """The state of one backend server, from what it says itself.

    Leaving is final for one start of a server.
    """

    __slots__ = (
        '_close_after',
        '_lease',
        'announcement',
        'expires',
        'left_at',
        'news_sequence',
    )

    def __init__(self, lease_ms: int, drain_ms: int) -> None:
        """Starts without a server.

        :param lease_ms: time a heartbeat lasts without renewal
        :param drain_ms: time after the acknowledgement of a drain within
            which calls may still reach the server
        """
        self.announcement: Announcement | None = None
        self.expires = float('-inf')
        self.left_at: float | None = None
        self.news_sequence = 0
        self._lease = lease_ms / MS_PER_S
        self._close_after = drain_ms / MS_PER_S * CLOSE_AT

    def hear(self, fresh: Announcement, now: float) -> Heard:
        """Takes in a heartbeat."""
        known = self.announcement
        if known is not None and _order(fresh) <= _order(known):
            return Heard.STALE
        if known is None or _start(known) != _start(fresh):
            self.left_at = None
        was_lost = self.lost(now)
        self.announcement = fresh
        self.expires = now + self._lease
        if fresh.draining:
            return self._leave(now)
        changed = known is None or _subject(known) != _subject(fresh)
        if changed or was_lost:
            self.news_sequence = fresh.sequence
            return Heard.NEWS
        return Heard.RENEWED

    def introduce(self, found: Announcement, now: float) -> bool:
        """Takes in a server that was found before any heartbeat of it came.

        :returns: whether it is news; any heartbeat tells more than this
        """
        if self.announcement is not None:
            return False
        self.announcement = found
        self.expires = now + self._lease
        return True

    def depart(self, server: str, now: float) -> Heard:
        """Takes in that a server leaves without a drain, or has drained."""
        known = self.announcement
        if known is None or known.server != server:
            return Heard.STALE
        return self._leave(now)

    def mistaken(self) -> None:
        """Notes that another server has the address, until the next heartbeat."""
        self.expires = float('-inf')

    def lost(self, now: float) -> bool:
        """Whether the server has stopped its heartbeats."""
        return now >= self.expires

    def leaving(self) -> bool:
        """Whether the server has said that it leaves."""
        return self.left_at is not None

    def closed(self, now: float) -> bool:
        """Whether no call may be passed on to the server any more."""
        if self.left_at is None:
            return False
        return now >= self.left_at + self._close_after

    def serving(self, now: float) -> Announcement | None:
        """Returns the announcement of the server that may get calls now."""
        if self.lost(now) or self.closed(now):
            return None
        return self.announcement

    def _leave(self, now: float) -> Heard:
        if self.left_at is not None:
            return Heard.RENEWED
        self.left_at = now
        if self.announcement is not None:
            self.news_sequence = self.announcement.sequence
        return Heard.NEWS


def _order(announcement: Announcement) -> tuple[int, int]:
    return announcement.born_ms, announcement.sequence


def _start(announcement: Announcement) -> tuple[str, int]:
    return announcement.server, announcement.born_ms


def _subject(announcement: Announcement) -> tuple[object, ...]:
    return (
        announcement.server,
        announcement.service,
        announcement.address,
        announcement.slots,
        announcement.born_ms,
    )
