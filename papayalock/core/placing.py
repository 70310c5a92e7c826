"""Chooses the backend server by when it is expected to be done.

Answers servers of differing speed and uneven load: each is judged by its
reported load and pace, by the calls that this node has under way there, and
by the way to it.
"""

from papayalock.core.directory import Directory, Peer
from papayalock.messages import ServerLoad
from papayalock.ports import Random
from papayalock.result import Code

MS = 1000  # milliseconds in a second
FIRST_GUESS_S = 0.1  # service time of a server before any is known
LOAD_LASTS_S = 1.0  # age at which what others have under way is forgotten
FRESH_S = 0.25  # age up to which a report of full slots is believed
NEAR_S = 0.001  # cost of a hop within the availability zone
FAR_S = 0.05  # cost of a hop to another one, with its headers
FAR_S_PER_KB = 0.06  # of the answer; bytes between zones are paid for
KB = 1024  # bytes
SIZE_SMOOTHING = 0.05  # weight of the newest answer's size in its average
CLOSE_CALL = 1.1  # estimates within this ratio of the best are taken alike
BUSY_WEIGHT = 0.2  # a server whose slots are all in use runs so much slower
FAILING_WEIGHT = 6.0  # slows a server down by its share of failed calls
EJECT_S = 0.4  # first ejection; doubled on each further failure
MOST_DOUBLINGS = 4
FAILURES_TO_EJECT = 2
ABSENT_S = 0.3  # time for which a server that refused is passed over
NONE_TRIED: frozenset[str] = frozenset()
SILENT = frozenset((Code.NOT_CONNECTED, Code.UNKNOWN_TIMEOUT))


class Placement(Directory):
    """Chooses among the known backend servers of a service."""

    def __init__(self, zone: str, own_address: str, rng: Random) -> None:
        """Starts without servers.

        :param own_address: where this node takes calls for its own server
        """
        super().__init__()
        self._sizes: dict[str, float] = {}
        self._zone = zone
        self._own = own_address
        self._rng = rng

    def choose(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = NONE_TRIED,
        route: str = '',
    ) -> Peer | None:
        """Returns the server for a call, or None when there is none to try.

        :param avoid: servers that this call has already tried
        :param route: route of the call, whose answers may be long
        """
        ready = self._untried(service, avoid)
        usable = [one for one in ready if one.shunned_until <= now]
        if not usable:
            return self._least_shunned(ready, now)
        return self._best(usable, route, now)

    def choose_free(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = NONE_TRIED,
        route: str = '',
    ) -> Peer | None:
        """Returns a server that may have a free slot, or None.

        One that was full a moment ago is not asked again: under overload that
        would cost a message for each call and server.
        """
        free = [
            one
            for one in self._untried(service, avoid)
            if one.shunned_until <= now and _may_be_free(one, now)
        ]
        return self._best(free, route, now) if free else None

    def has_other(self, service: str, avoid: frozenset[str]) -> bool:
        """Whether a service has a server that a call has not tried."""
        return any(
            one.endpoint.server not in avoid for one in self.ready(service)
        )

    def _untried(self, service: str, avoid: frozenset[str]) -> list[Peer]:
        return [
            one
            for one in self.ready(service)
            if one.endpoint.server not in avoid
        ]

    def _best(self, usable: list[Peer], route: str, now: float) -> Peer:
        typical = self._typical_pace(usable)
        costs = [
            (self._cost(one, typical, now) + self._distance(one, route), one)
            for one in usable
        ]
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
        elif code in SILENT or code.may_have_run:
            self._failed(peer, code, now)

    def silent(self, peer: Peer, now: float) -> None:
        """Notes that a server has fallen silent, though its call goes on."""
        self._failed(peer, Code.UNKNOWN_TIMEOUT, now)

    def answered(self, route: str, size: int) -> None:
        """Notes the bytes of an answer."""
        known = self._sizes.get(route, size)
        self._sizes[route] = known + SIZE_SMOOTHING * (size - known)

    def reported(self, peer: Peer, load: ServerLoad, now: float) -> None:
        """Takes in the load that an answer carried."""
        peer.load = load
        peer.load_at = now
        peer.others = max(0, load.jobs - peer.in_flight + 1)

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
        return (wait + run) * (1 + FAILING_WEIGHT * failing)

    def _distance(self, peer: Peer, route: str) -> float:
        """Returns what the way to a server costs, in seconds."""
        if peer.endpoint.address == self._own:
            return 0.0
        if peer.endpoint.zone == self._zone:
            return NEAR_S
        return FAR_S + FAR_S_PER_KB * self._sizes.get(route, 0.0) / KB


def _jobs(peer: Peer, now: float) -> float:
    """Returns the calls under way at a server; what others sent is forgotten."""
    age = now - peer.load_at
    return peer.in_flight + peer.others * max(0.0, 1 - age / LOAD_LASTS_S)


def _may_be_free(peer: Peer, now: float) -> bool:
    """Whether a server has a free slot, or too little is known to say."""
    if peer.load is None or now - peer.load_at > FRESH_S:
        return True
    return _jobs(peer, now) < _slots(peer)


def _slots(peer: Peer) -> int:
    reported = peer.load.slots if peer.load else 0
    return max(1, peer.endpoint.slots or reported)
