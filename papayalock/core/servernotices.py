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
        is_same_start = born_ms == endpoint.born_ms or not (
            born_ms and endpoint.born_ms
        )
        return notice if is_same_start else NOTHING

    def record(self, endpoint: Endpoint, notice: ServerNotice) -> None:
        """Records what a server stated; the oldest notices are dropped.

        Leaving is final for one start of a server.
        """
        leaving = notice.leaving or self.find(endpoint).leaving
        notice = ServerNotice(limit=notice.limit, leaving=leaving)
        self._notices.pop(endpoint.server, None)
        if notice == NOTHING:
            return
        self._notices[endpoint.server] = (endpoint.born_ms, notice)
        if len(self._notices) > MAX_REMEMBERED:
            self._notices.pop(next(iter(self._notices)))
