"""Chooses the backend server by when it is expected to be done.

Answers servers of differing speed and uneven load: each is judged by its
reported load and pace, by the calls that this node has under way there, and
by the way to it.
"""

from collections.abc import Iterable

from papayalock.messages import Endpoint, ServerLoad
from papayalock.ports import Random
from papayalock.result import Code

MS = 1000  # milliseconds in a second
FIRST_GUESS_S = 0.1  # service time of a server before any is known
LOAD_LASTS_S = 1.0  # age at which what others have under way is forgotten
NEAR_S = 0.001  # cost of a hop within the availability zone
FAR_S = 0.05  # cost of a hop to another one, with the bytes that it carries
CLOSE_CALL = 1.1  # estimates within this ratio of the best are taken alike
BUSY_WEIGHT = 0.2  # a server whose slots are all in use runs so much slower
FAILING_WEIGHT = 6.0  # slows a server down by its share of failed calls
EJECT_S = 0.4  # first ejection; doubled on each further failure
MOST_DOUBLINGS = 4
FAILURES_TO_EJECT = 2
ABSENT_S = 0.3  # time for which a server that refused is passed over
RETENTION_S = 6.0  # time for which an endpoint that a new table lacks is kept
NONE_TRIED: frozenset[str] = frozenset()
SILENT = frozenset((Code.NOT_CONNECTED, Code.UNKNOWN_TIMEOUT))


class Peer:
    """One backend server as this node sees it."""

    __slots__ = (
        'endpoint',
        'failures',
        'in_flight',
        'known_since',
        'load',
        'load_at',
        'others',
        'shunned_until',
        'unlisted_at',
    )

    def __init__(self, endpoint: Endpoint, now: float) -> None:
        """Starts without observations."""
        self.endpoint = endpoint
        self.known_since = now
        self.in_flight = 0
        self.load: ServerLoad | None = None
        self.load_at = now
        self.others = 0
        self.failures = 0
        self.shunned_until = float('-inf')
        self.unlisted_at = float('inf')


class Placement:
    """The known backend servers, and the choice among those of a service."""

    def __init__(self, zone: str, own_address: str, rng: Random) -> None:
        """Starts without servers.

        :param own_address: where this node takes calls for its own server
        """
        self.peers: dict[str, Peer] = {}
        self._zone = zone
        self._own = own_address
        self._rng = rng

    # The directory, kept by the agent.

    def upsert(self, endpoint: Endpoint, now: float) -> None:
        """Takes in an announced endpoint; a restarted one starts afresh."""
        known = self.peers.get(endpoint.server)
        if known is not None and _same_start(known.endpoint, endpoint):
            known.endpoint = endpoint
            known.unlisted_at = float('inf')
        else:
            self.peers[endpoint.server] = Peer(endpoint, now)

    def remove(self, name: str) -> None:
        """Forgets a server."""
        self.peers.pop(name, None)

    def replace_all(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Takes in a whole table.

        The table of a control VM that has just started lacks servers that
        have not reported to it yet, so what it lacks is kept for a while.
        """
        listed = {one.server: one for one in endpoints}
        for endpoint in listed.values():
            self.upsert(endpoint, now)
        for name, peer in self.peers.items():
            if name not in listed:
                peer.unlisted_at = min(peer.unlisted_at, now)
        self.forget(now)

    def forget(self, now: float) -> None:
        """Drops the servers that no table has listed for too long."""
        gone = [
            name
            for name, peer in self.peers.items()
            if now - peer.unlisted_at >= RETENTION_S
        ]
        for name in gone:
            self.peers.pop(name)

    @property
    def nodes(self) -> int:
        """The number of nodes, as far as the endpoints tell."""
        return len({one.endpoint.address for one in self.peers.values()})

    # The choice.

    def choose(
        self, service: str, now: float, avoid: frozenset[str] = NONE_TRIED
    ) -> Peer | None:
        """Returns the server for a call, or None when there is none to try.

        :param avoid: servers that this call has already tried
        """
        ready = [
            one
            for one in self._ready(service)
            if one.endpoint.server not in avoid
        ]
        usable = [one for one in ready if one.shunned_until <= now]
        if not usable:
            return self._least_shunned(ready, now)
        typical = self._typical_pace(usable)
        costs = [(self._cost(one, typical, now), one) for one in usable]
        best = min(cost for cost, _ in costs)
        near = [one for cost, one in costs if cost <= best * CLOSE_CALL]
        return near[self._rng.randrange(len(near))]

    def started(self, peer: Peer) -> None:
        """Notes a call sent to a server."""
        peer.in_flight += 1

    def finished(self, peer: Peer, code: Code, now: float) -> None:
        """Notes how a call ended; DONE for any answer of the server."""
        peer.in_flight -= 1
        if code == Code.DONE:
            peer.failures = 0
            peer.shunned_until = float('-inf')
        elif code in {Code.NO_SERVER, Code.DRAINING, Code.OTHER_SERVER}:
            peer.shunned_until = now + ABSENT_S
        elif code in SILENT or code.unknown:
            self._failed(peer, code, now)

    def reported(self, peer: Peer, load: ServerLoad, now: float) -> None:
        """Takes in the load that an answer carried."""
        peer.load = load
        peer.load_at = now
        peer.others = max(0, load.jobs - peer.in_flight + 1)

    def _ready(self, service: str) -> list[Peer]:
        return [
            one
            for one in self.peers.values()
            if one.endpoint.service == service and one.endpoint.state == 'ready'
        ]

    def _least_shunned(self, ready: list[Peer], now: float) -> Peer | None:
        """Returns a server to probe when all are shunned.

        One that only refused is tried again; one that was silent is tried
        when nothing else is left.
        """
        return min(ready, key=lambda one: one.shunned_until, default=None)

    def _failed(self, peer: Peer, code: Code, now: float) -> None:
        peer.failures += 1
        extra = peer.failures - FAILURES_TO_EJECT
        if code in SILENT:
            extra = peer.failures - 1
        if extra >= 0:
            doubled = 2 ** min(extra, MOST_DOUBLINGS)
            peer.shunned_until = now + EJECT_S * doubled

    def _typical_pace(self, peers: list[Peer]) -> float:
        known = sorted(one.load.pace_ms for one in peers if one.load)
        return known[len(known) // 2] / MS if known else FIRST_GUESS_S

    def _cost(self, peer: Peer, typical: float, now: float) -> float:
        """Returns the seconds until a new call is expected to be answered."""
        pace = typical
        failing = 0.0
        if peer.load is not None:
            pace = peer.load.pace_ms / MS
            failing = peer.load.failing
        slots = _slots(peer)
        jobs = _jobs(peer, now)
        wait = max(0.0, jobs + 1 - slots) / slots * pace
        run = pace * (1 + BUSY_WEIGHT * min(1.0, jobs / slots))
        slowed = (wait + run) * (1 + FAILING_WEIGHT * failing)
        return slowed + self._distance(peer.endpoint)

    def _distance(self, endpoint: Endpoint) -> float:
        if endpoint.address == self._own:
            return 0.0
        return NEAR_S if endpoint.zone == self._zone else FAR_S


def _jobs(peer: Peer, now: float) -> float:
    """Returns the calls under way at a server; what others sent is forgotten."""
    age = now - peer.load_at
    return peer.in_flight + peer.others * max(0.0, 1 - age / LOAD_LASTS_S)


def _slots(peer: Peer) -> int:
    reported = peer.load.slots if peer.load else 0
    return max(1, peer.endpoint.slots or reported)


def _same_start(known: Endpoint, fresh: Endpoint) -> bool:
    return (known.incarnation, known.born_ms) == (
        fresh.incarnation,
        fresh.born_ms,
    )
