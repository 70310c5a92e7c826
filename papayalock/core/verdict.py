"""Judges a new version of a service against the old one, call by call.

The load that it answers: a few calls a second at each of a few new servers,
whose speeds differ, beside faults that hit servers of both versions.

Each server of the new version has a CUSUM of Wald's log likelihood ratio for
each route, so a version that turns bad late is noticed as fast as one that
was bad at once. One faulty server does not condemn a version.
"""

import math
from collections import defaultdict
from dataclasses import dataclass

from papayalock.core.evidence import BUCKETS, Increment, no_times

MIN_BAD_SHARE = 0.03  # of the calls of a sound version
BAD_SHARE_STEP = 0.2  # by which the share of a bad version is greater
MAX_BAD_SHARE = 0.9
MARGIN_SIGMAS = 2.0  # of the estimated share of bad calls
ALL_ROUTES = ''  # key of the sum over all routes
PRIOR_CALLS = 30  # weight of MIN_BAD_SHARE against the observed share
RECENT_CALLS = 300  # of the old version, that a new call is compared with
MIN_ZONE_CALLS = 30  # of the old version, to compare within the zone
SLOW_BUCKETS = 5  # half octaves above the median of the old version
SERVER_LIMIT = math.log(1000)  # one false alarm per 1,000 calls of a server
MISSED_SHARE = 0.01  # of the bad versions, which pass a stage
ACCEPT_LIMIT = math.log(MISSED_SHARE)
MIN_SERVER_CALLS = 4  # of a server that has a vote
MIN_BAD_SERVERS = 2  # if more than one server got calls
BUSY_ROUTE_SHARE = 0.1  # of the calls of a stage
MIN_ROUTE_CALLS = 8  # in a stage, of a busy route
MIN_MEDIAN_CALLS = 20  # of the old version, to know slow calls


@dataclass(slots=True)
class RouteBaseline:
    """What the old version's servers did with the calls of one route."""

    ended: float
    bad: float

    def record(self, ended: int, bad: int) -> None:
        """Adds calls; older ones count less the more there are."""
        weight = RECENT_CALLS / (RECENT_CALLS + ended)
        self.ended = self.ended * weight + ended
        self.bad = self.bad * weight + bad

    @property
    def bad_share(self) -> float:
        """Upper estimate of the share of bad calls.

        A CUSUM against too low a share gives false alarms.
        """
        calls = self.ended + PRIOR_CALLS
        share = (self.bad + PRIOR_CALLS * MIN_BAD_SHARE) / calls
        return share + MARGIN_SIGMAS * math.sqrt(share * (1 - share) / calls)


class Trial:
    """The evidence on one roll-out, as it comes in."""

    def __init__(self, target: str) -> None:
        """Starts without evidence.

        :param target: the new version
        """
        self.target_calls = 0
        self.bad_calls = 0
        self._target = target
        self._old_times: defaultdict[str, list[int]] = defaultdict(no_times)
        self._old: defaultdict[tuple[str, str], RouteBaseline] = defaultdict(
            lambda: RouteBaseline(0, 0)
        )
        self._alarm: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self._calls: defaultdict[str, int] = defaultdict(int)
        self._stage: defaultdict[str, float] = defaultdict(float)
        self._stage_calls: defaultdict[str, int] = defaultdict(int)

    def start_stage(self) -> None:
        """Asks for new evidence before :attr:`passed` holds again."""
        self._stage.clear()
        self._stage_calls.clear()

    def record(self, added: Increment) -> None:
        """Takes in calls that ended at a server of either version."""
        if added.version == self._target:
            self._record_target(added)
        else:
            self._record_old(added)

    @property
    def is_bad(self) -> bool:
        """Whether most servers of the new version serve worse than the old."""
        votes = [
            max(self._alarm[server].values(), default=0) >= SERVER_LIMIT
            for server, calls in self._calls.items()
            if calls >= MIN_SERVER_CALLS
        ]
        needed = max(
            len(votes) // 2 + 1, min(MIN_BAD_SERVERS, len(self._calls))
        )
        return bool(votes) and sum(votes) >= needed

    @property
    def passed(self) -> bool:
        """Whether this stage shows that the new version is as good.

        All calls together must show it, and no busy route may speak against
        it.
        """
        total = sum(self._stage_calls.values())
        busy = [
            route
            for route, calls in self._stage_calls.items()
            if calls >= total * BUSY_ROUTE_SHARE
        ]
        return sum(self._stage.values()) <= ACCEPT_LIMIT and all(
            self._stage_calls[route] >= MIN_ROUTE_CALLS
            and self._stage[route] < 0
            for route in busy
        )

    def describe(self) -> str:
        """Returns the evidence as a short text for logs and the audit."""
        alarmed = sorted(
            server
            for server, sums in self._alarm.items()
            if max(sums.values(), default=0) >= SERVER_LIMIT
        )
        return (
            f'{self.target_calls} calls, {self.bad_calls} bad, '
            f'{len(alarmed)} of {len(self._calls)} servers bad'
        )

    def _record_old(self, added: Increment) -> None:
        times = self._old_times[added.route]
        for bucket, count in enumerate(added.times):
            times[bucket] += count
        bad = added.bad(self._slow_from(added.route))
        for zone in ('', added.zone):
            baseline = self._old[added.route, zone]
            baseline.record(added.ended, bad)

    def _record_target(self, added: Increment) -> None:
        bad = added.bad(self._slow_from(added.route))
        self.target_calls += added.ended
        self.bad_calls += bad
        self._calls[added.server] += added.ended
        self._stage_calls[added.route] += added.ended
        ratio = self._log_ratio(added, bad)
        alarms = self._alarm[added.server]
        for route in (added.route, ALL_ROUTES):
            alarms[route] = max(0.0, alarms.get(route, 0.0) + ratio)
        self._stage[added.route] += ratio

    def _log_ratio(self, added: Increment, bad: int) -> float:
        """Returns the log likelihood ratio of bad to sound for some calls."""
        sound = self._old_bad_share(added.route, added.zone)
        faulty = min(MAX_BAD_SHARE, sound + BAD_SHARE_STEP)
        return bad * math.log(faulty / sound) + (added.ended - bad) * math.log(
            (1 - faulty) / (1 - sound)
        )

    def _old_bad_share(self, route: str, zone: str) -> float:
        """Returns the bad share of the old version, where it is highest."""
        everywhere = self._old[route, '']
        nearby = self._old[route, zone]
        if nearby.ended < MIN_ZONE_CALLS:
            nearby = everywhere
        share = max(everywhere.bad_share, nearby.bad_share)
        return min(MAX_BAD_SHARE - BAD_SHARE_STEP, share)

    def _slow_from(self, route: str) -> int:
        """Returns the first bucket of times that count as slow."""
        times = self._old_times[route]
        total = sum(times)
        if total < MIN_MEDIAN_CALLS:
            return BUCKETS
        seen = 0
        for bucket, count in enumerate(times):
            seen += count
            if 2 * seen >= total:
                return min(BUCKETS, bucket + SLOW_BUCKETS)
        return BUCKETS
