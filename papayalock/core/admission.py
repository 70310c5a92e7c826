"""Admission control in front of one backend server, for host-routed calls.

Under overload more calls arrive than the slots can serve in time. Calls queue
here instead of in the server, so that urgent ones can go first. A call that
cannot end in time is refused on arrival, while its caller still has time to
act on the refusal.
"""

import functools
import itertools
import math
from dataclasses import dataclass

from papayalock.core.crashes import CrashStatus
from papayalock.core.gate import AdmissionResult, Queued, Shed, Started
from papayalock.core.linkload import LinkLoad
from papayalock.core.ratelimit import RateLimit
from papayalock.core.routecallers import RouteCallers
from papayalock.core.shutdowntimes import ShutdownTimes
from papayalock.messages import HopOrder, ServerLoad
from papayalock.result import Code

MS_PER_S = 1000
SERVICE_SMOOTHING = 0.08  # weight of the newest service time in its average
FAILURE_SMOOTHING = 0.15  # weight of the newest outcome in the failing share
DEFAULT_SERVICE_S = 0.1  # service time assumed until the first call ends
MIN_RETRY_AFTER_MS = 20
MAX_QUEUED = 512
MIN_SLOT_SHARE = 0.2  # of the slot time, that each priority is assumed to get
USAGE_DECAY_S = 1.0  # time constant of the decay of recorded slot time
LONG_CALL_RATIO = 3.0  # a call this much longer than more urgent ones is long
RESERVED_RATIO = 1.5  # slots reserved for short, urgent calls per slot they use
SHORT_WAIT_RATIO = 0.5  # of the service time; no reason to refuse a call
LINK_WAIT_SHARE = 0.7  # of the time left, that least urgent calls may take
SERVICE_MARGIN = 0.5  # allowance for calls slower than the mean, in means


@dataclass(slots=True, eq=False)
class Job:
    """A call that needs a slot of the server.

    Times are monotonic seconds. A lower ``priority`` is more urgent.
    """

    route: str
    priority: int
    arrived: float
    target_at: float  # arrival plus what is left of the latency objective
    deadline_at: float
    returning: bool = False  # whether its caller was refused before
    caller: str = ''  # service of the VM where it began
    may_wait: bool = True  # whether it may queue
    request: str = ''  # digest of its content
    crash_status: CrashStatus = CrashStatus.CLEAR  # of the request
    started: float = 0.0
    sequence: int = 0  # order of arrival
    served: bool = False  # whether the server answered without an error


def job_from_order(order: HopOrder, now: float) -> Job:
    """Returns the job for a hop order that arrives now."""
    return Job(
        route=order.route,
        priority=order.rank,
        arrived=now,
        target_at=now + order.target_ms / MS_PER_S,
        deadline_at=now + order.remaining_ms / MS_PER_S,
        returning=order.returning,
        caller=order.caller,
        may_wait=order.may_wait,
        request=order.request,
        crash_status=CrashStatus(
            min(order.crash_status, CrashStatus.QUARANTINED)
        ),
    )


class ServiceTimes:
    """Smoothed service times of one server, per route and overall."""

    __slots__ = ('_by_route', 'overall')

    def __init__(self) -> None:
        """Starts with the default."""
        self._by_route: dict[str, float] = {}
        self.overall = DEFAULT_SERVICE_S

    def record(self, route: str, service_s: float) -> None:
        """Updates the averages with a service time in seconds."""
        average = self._by_route.get(route)
        if average is None:
            if not self._by_route:
                self.overall = service_s
            self._by_route[route] = service_s
        else:
            self._by_route[route] = average + SERVICE_SMOOTHING * (
                service_s - average
            )
        self.overall += SERVICE_SMOOTHING * (service_s - self.overall)

    def expected(self, route: str) -> float:
        """Returns the expected service time of a call of a route."""
        return self._by_route.get(route, self.overall)


class PriorityUsage:
    """Recent slot time and calls of each priority, with exponential decay."""

    __slots__ = ('_at', '_calls', '_used')

    def __init__(self) -> None:
        """Starts without usage."""
        self._used: dict[int, float] = {}
        self._calls: dict[int, float] = {}
        self._at = 0.0

    def record(self, priority: int, service_s: float, now: float) -> None:
        """Adds the slot time of a finished call."""
        decay = math.exp((self._at - now) / USAGE_DECAY_S)
        self._used = {other: used * decay for other, used in self._used.items()}
        self._calls = {
            other: calls * decay for other, calls in self._calls.items()
        }
        self._at = now
        self._used[priority] = self._used.get(priority, 0.0) + service_s
        self._calls[priority] = self._calls.get(priority, 0.0) + 1

    def share_left(self, priority: int) -> float:
        """Returns the share of the slot time not used by more urgent calls."""
        total = sum(self._used.values())
        if not total:
            return 1.0
        above = sum(
            used for other, used in self._used.items() if other < priority
        )
        return 1.0 - above / total

    def short_call_slots(
        self, priority: int, service_s: float, now: float
    ) -> float:
        """Returns the slots in use by much shorter, more urgent calls.

        :param service_s: service time of the calls that would delay them
        """
        decay = math.exp((self._at - now) / USAGE_DECAY_S) / USAGE_DECAY_S
        return decay * sum(
            used
            for other, used in self._used.items()
            if other < priority
            and used * LONG_CALL_RATIO < service_s * self._calls[other]
        )


class ServerGate:
    """The slots of one backend server and the queue of calls for them."""

    def __init__(self, link_mbps: float = 0.0) -> None:
        """Starts without slots; the announcement of a server sets them.

        :param link_mbps: rate of the VM's own link; 0 if it is not known
        """
        self.link = LinkLoad(link_mbps)
        self.slots = 0
        self.rate_limit = RateLimit()
        self.shutdown_times = ShutdownTimes()
        self.service_times = ServiceTimes()
        self.failing = 0.0  # smoothed share of failed calls
        self.usage = PriorityUsage()
        self.route_callers = RouteCallers()
        self._least_urgent = 0  # of the calls seen so far
        self.started = 0  # number of calls that have got a slot
        self.running: set[Job] = set()
        self._waiting: list[Job] = []
        self._sequence = itertools.count()

    @property
    def jobs(self) -> int:
        """Number of calls running and queued."""
        return len(self.running) + len(self._waiting)

    def load(self) -> ServerLoad:
        """Returns the load that is reported to other nodes."""
        return ServerLoad(
            jobs=self.jobs,
            slots=self.slots,
            pace_ms=round(self.service_times.overall * MS_PER_S, 1),
            failing=round(self.failing, 3),
        )

    def submit(self, job: Job, now: float) -> AdmissionResult:
        """Starts, queues or refuses a call that arrives now."""
        job.sequence = next(self._sequence)
        self.route_callers.record(job.route, job.caller)
        self._least_urgent = max(self._least_urgent, job.priority)
        if not self.slots:
            return Shed(Code.NO_SERVER, MIN_RETRY_AFTER_MS)
        if job.deadline_at <= now:
            return Shed(Code.DEADLINE_BEFORE_RUN, 0)
        link_is_full = self._link_is_too_full(job, now)
        may_start = self._may_start(job, now) and not self._behind_isolated(
            [job], now
        )
        if may_start and not link_is_full and not self._ready_jobs(now):
            self._start(job, now)
            return Started()
        if link_is_full or not self._may_queue(job, now):
            return Shed(Code.SHED, self.retry_after_ms(now))
        self._waiting.append(job)
        return Queued()

    def finish(self, job: Job, now: float) -> None:
        """Frees the slot of a call, or removes it from the queue."""
        if job in self.running:
            self.running.discard(job)
            self.link.call_ended(job)
            self.usage.record(job.priority, now - job.started, now)
            if job.served:
                self.service_times.record(job.route, now - job.started)
        elif job in self._waiting:
            self._waiting.remove(job)

    def record_outcome(self, *, failed: bool) -> None:
        """Updates the share of calls that fail at the server."""
        self.failing += FAILURE_SMOOTHING * (float(failed) - self.failing)

    def start_queued(self, now: float) -> list[Job]:
        """Starts queued calls while slots are free, and returns them."""
        started: list[Job] = []
        sort_key = functools.partial(self._sort_key, now=now)
        while candidates := self._ready_jobs(now):
            job = min(candidates, key=sort_key)
            self._waiting.remove(job)
            self._start(job, now)
            started.append(job)
        return started

    def drop_overdue(self, now: float) -> list[Job]:
        """Removes and returns the queued calls that cannot end in time.

        When more calls queue than there are slots, this includes the least
        urgent calls that can no longer meet their latency objective.
        """
        overdue = [
            job for job in self._waiting if self.latest_start(job) <= now
        ]
        overdue += self._beyond_rate_limit(now, overdue)
        if len(self._waiting) - len(overdue) > self.slots:
            overdue += [
                job for job in self._waiting if self._will_miss_target(job, now)
            ]
        self._waiting = [job for job in self._waiting if job not in overdue]
        return overdue

    def latest_start(self, job: Job) -> float:
        """Returns the time at which a queued call must have started.

        The expected service time counts for at most half of the time from the
        call's arrival to its deadline, so that a wrong estimate cannot refuse
        a new call.
        """
        time_allowed = job.deadline_at - job.arrived
        run_s = min(self.service_times.expected(job.route), time_allowed / 2)
        return self.shutdown_times.start_deadline(job.deadline_at, run_s)

    def retry_after_ms(self, now: float) -> int:
        """Returns the retry-after delay of a refused caller."""
        ahead = sum(
            self.service_times.expected(queued.route)
            for queued in self._waiting
        )
        wait = (ahead + self.service_times.overall) / max(1, self.slots)
        rate_wait = self.rate_limit.wait_s(len(self._waiting), now)
        return max(MIN_RETRY_AFTER_MS, int(MS_PER_S * max(wait, rate_wait)))

    def next_start_s(self, now: float) -> float:
        """Returns the seconds until the rate limit lets a queued call start.

        Infinity means that the queue is empty or waits for slots only.
        """
        wait_s = self.rate_limit.wait_s(0, now) if self._waiting else 0.0
        return wait_s or float('inf')

    def _beyond_rate_limit(self, now: float, overdue: list[Job]) -> list[Job]:
        """Returns the queued calls that the rate limit lets start too late."""
        if not self.rate_limit.is_set:
            return []
        queued = [job for job in self._waiting if job not in overdue]
        queued.sort(key=functools.partial(self._sort_key, now=now))
        beyond: list[Job] = []
        for position, job in enumerate(queued):
            ahead = position - len(beyond)
            start_at = now + self.rate_limit.wait_s(ahead, now)
            if start_at > self.latest_start(job):
                beyond.append(job)
        return beyond

    def _link_is_too_full(self, job: Job, now: float) -> bool:
        """Returns whether the response of a call would be sent too late.

        Behind other large responses it has to meet the latency objective: the
        link sends no more of them if all wait until their deadline. The least
        urgent calls leave a share of the time before it to more urgent ones.
        """
        response_s = self.link.response_s(job.route)
        if not response_s:
            return False
        backlog_s = self.link.backlog_s(now)
        run_s = self.service_times.expected(job.route)
        end = now + max(backlog_s, run_s) + response_s
        if backlog_s <= response_s:
            return end > job.deadline_at
        share = 1.0 if job.priority < self._least_urgent else LINK_WAIT_SHARE
        return end > now + share * (job.target_at - now)

    def _will_miss_target(self, job: Job, now: float) -> bool:
        """Returns whether a least urgent call can only miss its objective.

        Such a call sorts behind those that can still meet theirs.
        """
        if self.latest_start(job) <= now or job.priority < self._least_urgent:
            return False
        return job.target_at - now < self.service_times.expected(job.route)

    def _ready_jobs(self, now: float) -> list[Job]:
        if len(self.running) >= self.slots:
            return []
        ready = [job for job in self._waiting if self._may_start(job, now)]
        behind = self._behind_isolated(ready, now)
        return [job for job in ready if job not in behind]

    def _behind_isolated(self, jobs: list[Job], now: float) -> list[Job]:
        """Returns the calls that an isolated call in the queue goes before.

        It waits until the running calls have ended, so none may start first.
        """
        isolated = [
            self._sort_key(queued, now)
            for queued in self._waiting
            if queued.crash_status >= CrashStatus.ISOLATED
        ]
        if not isolated:
            return []
        first = min(isolated)
        return [job for job in jobs if first < self._sort_key(job, now)]

    def _may_start(self, job: Job, now: float) -> bool:
        """Returns whether the slots and the rate limit let a call start."""
        return self._has_slot(job, now) and self.rate_limit.allows(now)

    def _has_slot(self, job: Job, now: float) -> bool:
        """Returns whether a slot is free and not reserved for urgent calls.

        A long call would delay many short, more urgent ones, which often come
        from a server that holds a slot of its own while it waits. Long calls
        therefore leave slots free, in proportion to those that the short calls
        have used lately. One long call may always run.
        """
        if len(self.running) >= self.slots or self._must_run_apart(job):
            return False
        service = self.service_times.expected(job.route)
        reserved = RESERVED_RATIO * self.usage.short_call_slots(
            job.priority, service, now
        )
        equal_or_below = sum(
            other.priority >= job.priority for other in self.running
        )
        return not equal_or_below or equal_or_below < self.slots - reserved

    def _must_run_apart(self, job: Job) -> bool:
        """Returns whether a call may not run beside those that run now.

        The server may end under a suspect. Different suspects do not run
        together, so that the end of the server tells which one it was. One
        under which servers have ended repeatedly runs beside no other request,
        as its end would break off all others; a first suspicion mostly falls
        on harmless calls, and is not worth emptying the server.
        """
        return any(
            max(job.crash_status, other.crash_status) >= CrashStatus.ISOLATED
            or (job.crash_status and other.crash_status)
            for other in self.running
            if other.request != job.request
        )

    def expected_wait_s(self, job: Job) -> float:
        """Returns the seconds until a new call is expected to get a slot.

        More urgent calls that arrive meanwhile go first, so the estimate uses
        only the share of the slot time that these have left lately.
        """
        now = job.arrived
        position = self._sort_key(job, now)
        ahead = [
            self.service_times.expected(queued.route)
            for queued in self._waiting
            if self._sort_key(queued, now) < position
        ]
        free = self._has_slot(job, now)
        next_slot = 0.0 if free else self.service_times.overall
        share = self.usage.share_left(job.priority)
        slot_wait = (
            (sum(ahead) + next_slot)
            / max(1, self.slots)
            / max(MIN_SLOT_SHARE, share)
        )
        return max(slot_wait, self.rate_limit.wait_s(len(ahead), now))

    def _may_queue(self, job: Job, now: float) -> bool:
        if not job.may_wait or len(self._waiting) >= MAX_QUEUED:
            return False
        return self._should_queue(job, now, self.expected_wait_s(job))

    def _should_queue(self, job: Job, now: float, wait: float) -> bool:
        """Returns whether a call should queue for an expected wait.

        A least urgent call has to meet its latency objective with a margin, or
        only its deadline if the wait is short, since refusing it would gain
        nothing. A more urgent call delays only less urgent ones, so it may end
        up to halfway between its objective and its deadline.

        :param wait: seconds
        """
        service = self.service_times.expected(job.route)
        end = now + wait + service
        if job.priority < self._least_urgent:
            return end <= (job.target_at + job.deadline_at) / 2
        if wait <= SHORT_WAIT_RATIO * service:
            return end <= job.deadline_at
        return end + SERVICE_MARGIN * service <= job.target_at

    def _sort_key(self, job: Job, now: float) -> tuple[float, ...]:
        """Returns the sort key of a queued call; the lowest goes first.

        The order is by priority, then calls that servers make while they run
        others, then by whether the call can still meet its latency objective,
        then callers that were refused before, then age.
        """
        misses_target = job.target_at - now < self.service_times.expected(
            job.route
        )
        return (
            job.priority,
            not self.route_callers.is_nested(job.route),
            misses_target,
            not job.returning,
            job.sequence,
        )

    def _start(self, job: Job, now: float) -> None:
        job.started = now
        self.started += 1
        self.rate_limit.take(now)
        self.running.add(job)
        self.link.call_started(job, job.route)
