"""What backend servers stated about themselves, as a node has heard it."""

from dataclasses import dataclass

from papayalock.core.serverstarts import ServerStart, start_of
from papayalock.messages import Endpoint, ServerNotice

MAX_REMEMBERED = 1024
LIMIT_RECENT_S = 2.0
NOTHING = ServerNotice()
NEVER = float('-inf')


@dataclass(slots=True, frozen=True)
class HeardNotice:
    """A notice, the start of the server, and when the notice was heard."""

    start: ServerStart
    notice: ServerNotice
    heard_at: float  # monotonic seconds


class ServerNotices:
    """The newest notice of each server, for its current start.

    Kept apart from the endpoints: these come and go with the node beside the
    server, and what the server stated holds until its own next start.
    """

    __slots__ = ('_heard', 'revision')

    def __init__(self) -> None:
        """Starts without notices."""
        self._heard: dict[str, HeardNotice] = {}
        self.revision = 0  # number of changes

    def find(self, endpoint: Endpoint) -> ServerNotice:
        """Returns what a server stated since its start."""
        heard = self._heard.get(endpoint.server)
        if heard is None or not heard.start.is_same(start_of(endpoint)):
            return NOTHING
        return heard.notice

    def recent_limit(self, endpoint: Endpoint, now: float) -> float | None:
        """Returns the limit that a server stated lately, if any.

        Only a call can tell that a limit has ended, so a limit no longer
        counts some time after it was heard; the server's gate still keeps it.
        """
        heard = self._heard.get(endpoint.server)
        if heard is None or now - heard.heard_at > LIMIT_RECENT_S:
            return None
        return self.find(endpoint).limit

    def record(
        self, server: str, born_ms: int, notice: ServerNotice, now: float
    ) -> None:
        """Records what a server stated; the oldest notices are dropped.

        Leaving is final for one start of a server.

        :param born_ms: start of the server, in ms since the epoch; 0 if unknown
        """
        start = ServerStart(server, born_ms)
        known = self._heard.get(server, HeardNotice(start, NOTHING, NEVER))
        if start.is_before(known.start):
            return
        if start.is_same(known.start):
            leaving = notice.leaving or known.notice.leaving
            notice = ServerNotice(limit=notice.limit, leaving=leaving)
            start = ServerStart(server, born_ms or known.start.born_ms)
        if self._heard.pop(server, None) is None and notice == NOTHING:
            return
        heard = HeardNotice(start, notice, now)
        if (start, notice) != (known.start, known.notice):
            self.revision += 1
        if notice == NOTHING:
            return
        self._heard[server] = heard
        if len(self._heard) > MAX_REMEMBERED:
            self._heard.pop(next(iter(self._heard)))
            self.revision += 1
