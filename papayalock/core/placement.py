"""Chooses the backend server that is expected to complete a call first.

The estimate uses the load and service time that each server reports, the calls
that this node has in flight there, and the network distance. Servers may thus
differ in speed and in load.
"""

import math

from papayalock.core.directory import Directory, KnownServer
from papayalock.core.exposure import Cohort
from papayalock.core.ratelimit import MIN_RATE
from papayalock.messages import ServerLoad
from papayalock.ports import Random
from papayalock.result import Code

MS_PER_S = 1000
DEFAULT_SERVICE_S = 0.1  # service time assumed until a server reports one
LOAD_DECAY_S = 1.0  # age at which reported calls of other nodes count as zero
LOAD_FRESH_S = 0.25  # age up to which a report of full slots rules a server out
SAME_ZONE_HOP_S = 0.001  # cost of a hop within the availability zone
OTHER_ZONE_HOP_S = 0.05  # cost of a hop to another zone, headers included
OTHER_ZONE_S_PER_KB = 0.06  # per KB of response; such traffic is billed
BYTES_PER_KB = 1024
SIZE_SMOOTHING = 0.05  # weight of the newest response size in its average
IDLE_HOP_S = 0.01  # longest hop while no link or VM on the path is busy
HOP_SMOOTHING = 0.2  # weight of the newest hop time in its average
HOP_DECAY_S = 2.0  # time constant with which a hop time fades out
TIE_RATIO = 1.1  # costs within this ratio of the lowest count as equal
BUSY_WEIGHT = 0.2  # relative slowdown of a server whose slots are all in use
FAILING_WEIGHT = 6.0  # relative cost added per share of failed calls
BASE_BACKOFF_S = 0.4  # first backoff; doubled on each further failure
MAX_DOUBLINGS = 4
FAILURES_TO_BACK_OFF = 2
REFUSAL_BACKOFF_S = 0.3  # backoff after a refusal; never doubled
MAX_LIMIT_BACKOFF_S = 2.0  # after refusals of a server with a rate limit
MIN_SLOTS = 0.05  # of a server with a very low rate limit, in cost estimates
NONE_TRIED: frozenset[str] = frozenset()
UNRESPONSIVE = frozenset((Code.NOT_CONNECTED, Code.UNKNOWN_TIMEOUT))


class Placement(Directory):
    """The known backend servers, and the choice of one for each call."""

    def __init__(self, zone: str, own_address: str, rng: Random) -> None:
        """Starts without servers.

        :param own_address: where this node accepts calls for its own server
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
        cohort: Cohort | None = None,
    ) -> KnownServer | None:
        """Returns the server for a call, or None when there is none to try.

        When every server is backed off from, returns the one whose backoff
        ends first.

        :param avoid: servers that this call has already tried
        :param route: route of the call, to estimate the response size
        :param cohort: the servers that the call may go to; None for all
        """
        ready = self._untried(service, avoid, cohort)
        usable = [server for server in ready if server.backoff_until <= now]
        if not usable:
            return self._first_out_of_backoff(ready, now)
        return self._best(usable, route, now)

    def choose_free(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = NONE_TRIED,
        route: str = '',
        cohort: Cohort | None = None,
    ) -> KnownServer | None:
        """Returns a server that may have a free slot, or None.

        Skips servers whose newest report shows full slots: under overload,
        probing them would cost a message for each call and server.
        """
        free = [
            server
            for server in self._untried(service, avoid, cohort)
            if server.backoff_until <= now and _may_have_free_slot(server, now)
        ]
        return self._best(free, route, now) if free else None

    def shortest_wait_s(
        self, service: str, now: float, cohort: Cohort | None = None
    ) -> float:
        """Returns the shortest wait for a slot, if every slot is in use.

        That is the mean time until a slot of a server comes free, and the
        calls that are known to queue there.
        """
        waits = [
            _slot_wait_s(server, server.load, now)
            for server in self._members(service, cohort)
            if server.load is not None and server.backoff_until <= now
        ]
        return min(waits, default=float('inf'))

    def has_untried(
        self,
        service: str,
        avoid: frozenset[str],
        cohort: Cohort | None = None,
    ) -> bool:
        """Returns whether a service has a ready server not in ``avoid``."""
        return bool(self._untried(service, avoid, cohort))

    def is_reachable(
        self, service: str, now: float, cohort: Cohort | None = None
    ) -> bool:
        """Returns whether a service has a server that may take a call.

        One that only refuses calls, since it is full, can be reached.
        """
        return any(
            server.backoff_until <= now or not server.failures
            for server in self._members(service, cohort)
        )

    def _members(
        self, service: str, cohort: Cohort | None
    ) -> list[KnownServer]:
        ready = self.ready(service)
        return ready if cohort is None else cohort.select(ready)

    def _untried(
        self, service: str, avoid: frozenset[str], cohort: Cohort | None
    ) -> list[KnownServer]:
        return [
            server
            for server in self._members(service, cohort)
            if server.endpoint.server not in avoid
        ]

    def _best(
        self, usable: list[KnownServer], route: str, now: float
    ) -> KnownServer:
        typical = self._typical_service_s(usable)
        costs = [
            (
                self._cost(server, typical, now)
                + self._network_cost(server, route, now),
                server,
            )
            for server in usable
        ]
        best = min(cost for cost, _ in costs)
        tied = [server for cost, server in costs if cost <= best * TIE_RATIO]
        return tied[self._rng.randrange(len(tied))]

    def call_started(self, server: KnownServer) -> None:
        """Counts a call that is being sent to a server."""
        server.in_flight += 1

    def call_finished(
        self, server: KnownServer, code: Code, now: float
    ) -> None:
        """Records the end of a call, and backs off from a server that failed.

        :param code: DONE for any response of the server
        """
        server.in_flight -= 1
        if code == Code.DONE:
            server.failures = 0
            server.limit_refusals = 0
            server.backoff_until = float('-inf')
        elif code in {Code.NO_SERVER, Code.DRAINING, Code.OTHER_SERVER}:
            server.backoff_until = now + REFUSAL_BACKOFF_S
        elif code == Code.SHED:
            self._record_shed(server, now)
        elif code in UNRESPONSIVE or code.may_have_run:
            self._record_failure(server, code, now)

    def record_unresponsive(self, server: KnownServer, now: float) -> None:
        """Backs off from a server that stopped responding during a call."""
        self._record_failure(server, Code.UNKNOWN_TIMEOUT, now)

    def record_response_size(self, route: str, size: int) -> None:
        """Updates the average response size of a route, in bytes."""
        average = self._sizes.get(route, size)
        self._sizes[route] = average + SIZE_SMOOTHING * (size - average)

    def record_load(
        self, server: KnownServer, load: ServerLoad, now: float
    ) -> None:
        """Records the load that a response carried.

        The call that carried the load has left the server, but ``in_flight``
        still counts it; the other jobs there are calls of other nodes.
        """
        server.load = load
        server.load_at = now
        server.others_in_flight = max(0, load.jobs - server.in_flight + 1)

    def record_hop(self, server: KnownServer, hop_s: float, now: float) -> None:
        """Updates the time that calls to a server spend outside its node.

        Full links and slow VMs show in it, which the load does not tell.

        :param hop_s: of a call that has just ended: its whole time less that
            at the server's node
        """
        current = _current_hop_s(server, now)
        server.hop_s = current + HOP_SMOOTHING * (hop_s - current)
        server.hop_at = now

    def _first_out_of_backoff(
        self, ready: list[KnownServer], now: float
    ) -> KnownServer | None:
        """Returns the server to probe when all are backed off from.

        A server that only refused has a shorter backoff than an unresponsive
        one and is usually probed first.
        """
        return min(ready, key=lambda server: server.backoff_until, default=None)

    def _record_failure(
        self, server: KnownServer, code: Code, now: float
    ) -> None:
        server.failures += 1
        doublings = server.failures - FAILURES_TO_BACK_OFF
        if code in UNRESPONSIVE:
            doublings = server.failures - 1
        if doublings >= 0:
            doubled = 2 ** min(doublings, MAX_DOUBLINGS)
            server.backoff_until = now + BASE_BACKOFF_S * doubled

    def _record_shed(self, server: KnownServer, now: float) -> None:
        """Backs off from a server whose rate limit has let no call in.

        Many nodes share the limit, so consecutive refusals double the backoff.
        """
        limit = self.notices.find(server.endpoint).limit
        if limit is None:
            return
        doubled = 2 ** min(server.limit_refusals, MAX_DOUBLINGS)
        server.limit_refusals += 1
        server.backoff_until = now + min(
            MAX_LIMIT_BACKOFF_S, doubled / max(limit, MIN_RATE)
        )

    def _typical_service_s(self, servers: list[KnownServer]) -> float:
        reported = sorted(
            server.load.pace_ms for server in servers if server.load
        )
        return (
            reported[len(reported) // 2] / MS_PER_S
            if reported
            else DEFAULT_SERVICE_S
        )

    def _cost(self, server: KnownServer, typical: float, now: float) -> float:
        """Returns the seconds until a new call is expected to complete."""
        service_s = typical
        failing = 0.0
        if server.load is not None:
            service_s = server.load.pace_ms / MS_PER_S
            failing = server.load.failing
        slots = self._usable_slots(server, service_s, now)
        jobs = _estimated_jobs(server, now)
        wait = max(0.0, jobs + 1 - slots) / slots * service_s
        run = service_s * (1 + BUSY_WEIGHT * min(1.0, jobs / slots))
        return (wait + run) * (1 + FAILING_WEIGHT * failing)

    def _usable_slots(
        self, server: KnownServer, service_s: float, now: float
    ) -> float:
        """Returns the slots that a server can keep busy at its rate limit."""
        limit = self.notices.recent_limit(server.endpoint, now)
        if limit is None:
            return _slots(server)
        return max(MIN_SLOTS, min(_slots(server), limit * service_s))

    def _network_cost(
        self, server: KnownServer, route: str, now: float
    ) -> float:
        """Returns the cost of the network path to a server, in seconds."""
        if server.endpoint.address == self._own:
            return 0.0
        delay_s = _hop_delay_s(server, now)
        if server.endpoint.zone == self._zone:
            return delay_s + SAME_ZONE_HOP_S
        return (
            delay_s
            + OTHER_ZONE_HOP_S
            + OTHER_ZONE_S_PER_KB * self._sizes.get(route, 0.0) / BYTES_PER_KB
        )


def _estimated_jobs(server: KnownServer, now: float) -> float:
    """Returns the calls in progress at a server.

    The reported calls of other nodes fade out as the report ages.
    """
    age = now - server.load_at
    return server.in_flight + server.others_in_flight * max(
        0.0, 1 - age / LOAD_DECAY_S
    )


def _current_hop_s(server: KnownServer, now: float) -> float:
    """Returns the time outside a server's node; old measurements fade out."""
    return server.hop_s * math.exp((server.hop_at - now) / HOP_DECAY_S)


def _hop_delay_s(server: KnownServer, now: float) -> float:
    """Returns by how much the path to a server is slower than an idle one."""
    return max(0.0, _current_hop_s(server, now) - IDLE_HOP_S)


def _slot_wait_s(server: KnownServer, load: ServerLoad, now: float) -> float:
    """Returns the time until a new call gets a slot of a full server."""
    slots = _slots(server)
    ahead = max(1.0, _estimated_jobs(server, now) + 1 - slots)
    return ahead / slots * load.pace_ms / MS_PER_S


def _may_have_free_slot(server: KnownServer, now: float) -> bool:
    """Returns whether a server isn't known to have all slots in use."""
    if server.load is None or now - server.load_at > LOAD_FRESH_S:
        return True
    return _estimated_jobs(server, now) < _slots(server)


def _slots(server: KnownServer) -> int:
    reported = server.load.slots if server.load else 0
    return max(1, server.endpoint.slots or reported)
