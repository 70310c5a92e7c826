"""What backend servers stated about themselves, as a node has heard it."""

from papayalock.messages import Endpoint, ServerNotice

MAX_REMEMBERED = 1024
NOTHING = ServerNotice()


class ServerNotices:
    """The newest notice of each server, for its current start.

    Kept apart from the endpoints: these come and go with the node beside the
    server, and what the server stated holds until its own next start.
    """

    __slots__ = ('_notices',)

    def __init__(self) -> None:
        """Starts without notices."""
        self._notices: dict[str, tuple[int, ServerNotice]] = {}

    def find(self, endpoint: Endpoint) -> ServerNotice:
        """Returns what a server stated since its start."""
        known = self._notices.get(endpoint.server)
        if known is None:
            return NOTHING
        born_ms, notice = known
        is_other = is_other_start(born_ms, endpoint.born_ms)
        return NOTHING if is_other else notice

    def record(self, server: str, born_ms: int, notice: ServerNotice) -> None:
        """Records what a server stated; the oldest notices are dropped.

        Leaving is final for one start of a server.

        :param born_ms: start of the server, in ms since the epoch; 0 if unknown
        """
        known_born_ms, known = self._notices.get(server, (0, NOTHING))
        if born_ms and born_ms < known_born_ms:
            return
        if not is_other_start(born_ms, known_born_ms):
            leaving = notice.leaving or known.leaving
            notice = ServerNotice(limit=notice.limit, leaving=leaving)
        self._notices.pop(server, None)
        if notice == NOTHING:
            return
        self._notices[server] = (born_ms or known_born_ms, notice)
        if len(self._notices) > MAX_REMEMBERED:
            self._notices.pop(next(iter(self._notices)))


def is_other_start(one_ms: int, other_ms: int) -> bool:
    """Whether two start times differ, as far as they are known."""
    return one_ms != other_ms and bool(one_ms) and bool(other_ms)
