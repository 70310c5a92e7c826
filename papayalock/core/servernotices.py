"""What backend servers stated about themselves, as a node has heard it."""

from dataclasses import dataclass

from papayalock.messages import Endpoint, ServerNotice

MAX_REMEMBERED = 1024
LIMIT_RECENT_S = 2.0
NOTHING = ServerNotice()


@dataclass(slots=True, frozen=True)
class HeardNotice:
    """A notice, the start of the server, and when the notice was heard."""

    born_ms: int  # start of the server, ms since the epoch; 0 if unknown
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
        if heard is None or is_other_start(heard.born_ms, endpoint.born_ms):
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
        known = self._heard.get(server, UNHEARD)
        if born_ms and born_ms < known.born_ms:
            return
        if not is_other_start(born_ms, known.born_ms):
            leaving = notice.leaving or known.notice.leaving
            notice = ServerNotice(limit=notice.limit, leaving=leaving)
        self._heard.pop(server, None)
        heard = HeardNotice(born_ms or known.born_ms, notice, now)
        if known is UNHEARD and notice == NOTHING:
            return
        if (heard.born_ms, notice) != (known.born_ms, known.notice):
            self.revision += 1
        if notice == NOTHING:
            return
        self._heard[server] = heard
        if len(self._heard) > MAX_REMEMBERED:
            self._heard.pop(next(iter(self._heard)))
            self.revision += 1


UNHEARD = HeardNotice(0, NOTHING, float('-inf'))


def is_other_start(one_ms: int, other_ms: int) -> bool:
    """Whether two start times differ, as far as they are known."""
    return one_ms != other_ms and bool(one_ms) and bool(other_ms)
