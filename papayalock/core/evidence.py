"""Evidence on the versions of a service: what each server did with calls."""

import math
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from papayalock.messages import RunCounts, ServerEvidence

MS_PER_S = 1000
BUCKETS = 24
BUCKETS_PER_OCTAVE = 2
SHORTEST_MS = 4.0  # service times below it share a bucket
MAX_ROUTES = 64
StartKey = tuple[str, int, int]


def time_bucket(service_ms: float) -> int:
    """Returns the bucket of a service time, by half octaves."""
    octaves = math.log2(max(service_ms, SHORTEST_MS) / SHORTEST_MS)
    return min(BUCKETS - 1, int(octaves * BUCKETS_PER_OCTAVE))


def no_times() -> list[int]:
    """Returns an empty histogram of service times."""
    return [0 for _ in range(BUCKETS)]


class RunCounter:
    """Counts what one start of a server does during a roll-out."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        """Starts at zero."""
        self._routes: dict[str, RunCounts] = {}

    def record(self, route: str, service_s: float, *, failed: bool) -> None:
        """Counts a call that ended.

        :param failed: whether the server failed it, or did not answer
        """
        counts = self._routes.get(route)
        if counts is None:
            if len(self._routes) >= MAX_ROUTES:
                return
            counts = RunCounts(route, times=no_times())
            self._routes[route] = counts
        counts.ended += 1
        if failed:
            counts.failed += 1
        else:
            counts.times[time_bucket(service_s * MS_PER_S)] += 1

    @property
    def routes(self) -> list[RunCounts]:
        """A copy of the counts of each route."""
        return [
            msgspec.structs.replace(counts, times=list(counts.times))
            for counts in self._routes.values()
        ]


@dataclass(slots=True, frozen=True)
class Increment:
    """Calls of one route that ended at one server since its last report."""

    server: str
    zone: str
    version: str
    route: str
    failed: int
    times: list[int]

    @property
    def ended(self) -> int:
        """Number of calls."""
        return self.failed + sum(self.times)

    def bad(self, slow_from: int) -> int:
        """Calls that failed, or took a time in a bucket from this one on."""
        return self.failed + sum(self.times[slow_from:])


class EvidenceTable:
    """The newest report on each start of a server.

    Reports hold cumulative counts, so one that arrives twice, late or by two
    ways adds nothing.
    """

    def __init__(self) -> None:
        """Starts without reports."""
        self.reports: dict[StartKey, ServerEvidence] = {}
        self.received_at: dict[StartKey, float] = {}

    def merge(self, report: ServerEvidence, now: float) -> list[Increment]:
        """Stores a report; returns what it adds to the one before."""
        key = (report.server, report.born_ms, report.incarnation)
        before = self.reports.get(key)
        known = (
            {counts.route: counts for counts in before.routes} if before else {}
        )
        if any(
            counts.ended < known[counts.route].ended
            for counts in report.routes
            if counts.route in known
        ):
            return []
        self.reports[key] = report
        self.received_at[key] = now
        increments = [
            _increment(report, counts, known.get(counts.route))
            for counts in report.routes
        ]
        return [added for added in increments if added.ended]

    def running(self, servers: Collection[str], since: float) -> int | None:
        """Returns the calls that run at some servers.

        :param since: reports received before count as unknown
        :returns: None if a server's report is missing
        """
        newest = {
            report.server: report.running
            for key, report in self.reports.items()
            if self.received_at[key] >= since
        }
        if any(server not in newest for server in servers):
            return None
        return sum(newest[server] for server in servers)


def _increment(
    report: ServerEvidence, counts: RunCounts, before: RunCounts | None
) -> Increment:
    former = before or RunCounts(counts.route, times=no_times())
    times = [
        count - earlier
        for count, earlier in zip(
            _padded(counts.times), _padded(former.times), strict=True
        )
    ]
    return Increment(
        server=f'{report.server}/{report.born_ms}',
        zone=report.zone,
        version=report.version,
        route=counts.route,
        failed=counts.failed - former.failed,
        times=times,
    )


def _padded(times: list[int]) -> list[int]:
    return [*times, *no_times()][:BUCKETS]
