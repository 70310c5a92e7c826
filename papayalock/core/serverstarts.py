"""Starts of backend servers: which of two is the same, and which is newer."""

from dataclasses import dataclass
from typing import Protocol

MAX_REPLACED = 64


class OfServer(Protocol):
    """A message about one start of a backend server."""

    @property
    def server(self) -> str:
        """Name of the server."""
        ...

    @property
    def born_ms(self) -> int:
        """Start time of the server, ms since the epoch; 0 if unknown."""
        ...


@dataclass(slots=True, frozen=True)
class ServerStart:
    """One start of a backend server.

    A restarted server has a new name, or its former name and a later start
    time. Servers may leave out the time, and a health check does not tell it.
    """

    server: str
    born_ms: int  # ms since the epoch; 0 if unknown

    def is_same(self, other: 'ServerStart') -> bool:
        """Whether two starts are the same, as far as is known."""
        if self.server != other.server:
            return False
        return self.born_ms == other.born_ms or not self._both_known(other)

    def is_before(self, other: 'ServerStart') -> bool:
        """Whether the start times are known and this one is earlier."""
        return self._both_known(other) and self.born_ms < other.born_ms

    def _both_known(self, other: 'ServerStart') -> bool:
        return bool(self.born_ms) and bool(other.born_ms)


def start_of(message: OfServer) -> ServerStart:
    """Returns the start that a message is about."""
    return ServerStart(message.server, message.born_ms)


def is_outdated(
    start: ServerStart, sequence: int, than: ServerStart, than_sequence: int
) -> bool:
    """Whether a heartbeat was sent before another one of the same name.

    Heartbeats of one start are ordered by their sequence, those of different
    starts by the start times.
    """
    if start.is_same(than):
        return sequence < than_sequence
    return start.is_before(than)


class ReplacedStart:
    """A start that another one has replaced."""

    __slots__ = ('sequence', 'start')

    def __init__(self, start: ServerStart, sequence: int) -> None:
        """Sets the start and the highest sequence of its heartbeats."""
        self.start = start
        self.sequence = sequence


class StartHistory:
    """The former starts of the servers at one address, by name.

    Names have no order, so a name that differs from the current one is a new
    start unless it was replaced before. A delayed heartbeat of a server from
    before this node started can therefore replace the current server. The
    latter returns with its next heartbeat after the lease of the other ended.
    """

    __slots__ = ('_replaced',)

    def __init__(self) -> None:
        """Starts without former starts."""
        self._replaced: dict[str, ReplacedStart] = {}

    def __len__(self) -> int:
        """Returns the number of former starts that are remembered."""
        return len(self._replaced)

    def record_replaced(self, start: ServerStart, sequence: int) -> None:
        """Remembers a start that was replaced; the oldest one is forgotten.

        :param sequence: highest sequence of its heartbeats
        """
        self._replaced.pop(start.server, None)
        self._replaced[start.server] = ReplacedStart(start, sequence)
        if len(self._replaced) > MAX_REPLACED:
            self._replaced.pop(next(iter(self._replaced)))

    def may_follow(
        self,
        start: ServerStart,
        sequence: int,
        current: ServerStart,
        *,
        lease_expired: bool,
    ) -> bool:
        """Whether a heartbeat of another start shows that it is in use now.

        :param sequence: sequence of the heartbeat
        :param lease_expired: whether the current start has fallen silent
        """
        if start.is_before(current):
            return False
        former = self._replaced.get(start.server)
        if former is None or former.start.is_before(start):
            return True
        is_new = sequence > former.sequence
        former.sequence = max(former.sequence, sequence)
        return is_new and lease_expired
