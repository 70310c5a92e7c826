"""Admits calls to the slots of one backend server, in the order of their worth.

Answers the load of a busy day: more calls than the slots can serve in time.
The queue stays in front of the server, so its order can still be chosen, and a
call that cannot end in time is refused when it arrives, while its caller can
still do something else.
"""

import functools
import itertools
import math
from dataclasses import dataclass

from papayalock.core.gate import AdmissionResult, Queued, Shed, Started
from papayalock.core.shutdowntimes import ShutdownTimes
from papayalock.messages import HopOrder, ServerLoad
from papayalock.result import Code

MS = 1000  # milliseconds in a second
SMOOTHING = 0.08  # weight of the newest service time in its average
FAILURE_SMOOTHING = 0.15  # weight of the newest outcome in the failing share
FIRST_GUESS_S = 0.1  # service time assumed before the first is seen
LEAST_WAIT_MS = 20  # shortest time after which a refused caller may come back
MOST_WAITING = 512
LEAST_SHARE = 0.2  # of the slot time, that a priority counts on at least
USAGE_S = 1.0  # time constant in which used slot time is forgotten
LONG_CALL = 3.0  # times the service time of a higher priority, that holds it up
RESERVE = 1.5  # slots kept for a higher priority's short calls, to those in use
SHORT_WAIT = 0.5  # of the service time, that is no reason to refuse
SPREAD = 0.5  # service times above the mean for which room is left, in means


@dataclass(slots=True, eq=False)
class Job:
    """One call that wants a slot; times in monotonic seconds."""

    route: str
    priority: int
    arrived: float
    target_at: float
    deadline_at: float
    returning: bool = False
    may_wait: bool = True
    started: float = 0.0
    number: int = 0
    served: bool = False


def job_from_order(order: HopOrder, now: float) -> Job:
    """Returns the job that an order asks for."""
    return Job(
        route=order.route,
        priority=order.rank,
        arrived=now,
        target_at=now + order.target_ms / MS,
        deadline_at=now + order.remaining_ms / MS,
        returning=order.returning,
        may_wait=order.may_wait,
    )


class ServiceTimes:
    """Smoothed service times of one server, by route and over all."""

    __slots__ = ('_by_route', 'overall')

    def __init__(self) -> None:
        """Starts with a guess."""
        self._by_route: dict[str, float] = {}
        self.overall = FIRST_GUESS_S

    def record(self, route: str, taken: float) -> None:
        """Takes in one service time in seconds."""
        known = self._by_route.get(route)
        if known is None:
            if not self._by_route:
                self.overall = taken
            self._by_route[route] = taken
        else:
            self._by_route[route] = known + SMOOTHING * (taken - known)
        self.overall += SMOOTHING * (taken - self.overall)

    def expected(self, route: str) -> float:
        """Returns the expected service time of a call of a route."""
        return self._by_route.get(route, self.overall)


class PriorityUsage:
    """Slots and calls of each priority of late; older ones count less."""

    __slots__ = ('_at', '_calls', '_used')

    def __init__(self) -> None:
        """Starts without any."""
        self._used: dict[int, float] = {}
        self._calls: dict[int, float] = {}
        self._at = 0.0

    def record(self, priority: int, taken: float, now: float) -> None:
        """Adds the slot time of a call."""
        kept = math.exp((self._at - now) / USAGE_S)
        self._used = {one: used * kept for one, used in self._used.items()}
        self._calls = {one: calls * kept for one, calls in self._calls.items()}
        self._at = now
        self._used[priority] = self._used.get(priority, 0.0) + taken
        self._calls[priority] = self._calls.get(priority, 0.0) + 1

    def share_left(self, priority: int) -> float:
        """Returns the share of the slot time not used by higher ranks."""
        total = sum(self._used.values())
        if not total:
            return 1.0
        above = sum(used for one, used in self._used.items() if one < priority)
        return 1.0 - above / total

    def short_call_slots(
        self, priority: int, service_s: float, now: float
    ) -> float:
        """Returns the slots that higher ranks use by calls far shorter.

        :param service_s: service time of the calls that would hold them up
        """
        kept = math.exp((self._at - now) / USAGE_S) / USAGE_S
        return kept * sum(
            used
            for one, used in self._used.items()
            if one < priority
            and used * LONG_CALL < service_s * self._calls[one]
        )


class ServerGate:
    """The slots of one backend server and the calls that wait for them."""

    def __init__(self) -> None:
        """Starts closed: without slots until a server announces itself."""
        self.slots = 0
        self.shutdown_times = ShutdownTimes()
        self.service_times = ServiceTimes()
        self.failing = 0.0
        self.usage = PriorityUsage()
        self._lowest_priority = 0
        self.running: set[Job] = set()
        self._waiting: list[Job] = []
        self._numbers = itertools.count()

    @property
    def jobs(self) -> int:
        """Calls running and waiting."""
        return len(self.running) + len(self._waiting)

    def load(self) -> ServerLoad:
        """Returns what callers are told."""
        return ServerLoad(
            jobs=self.jobs,
            slots=self.slots,
            pace_ms=round(self.service_times.overall * MS, 1),
            failing=round(self.failing, 3),
        )

    def submit(self, job: Job, now: float) -> AdmissionResult:
        """Starts, queues or refuses a call."""
        job.number = next(self._numbers)
        self._lowest_priority = max(self._lowest_priority, job.priority)
        if not self.slots:
            return Shed(Code.NO_SERVER, LEAST_WAIT_MS)
        if job.deadline_at <= now:
            return Shed(Code.DEADLINE_BEFORE_RUN, 0)
        if self._may_start(job, now) and not self._startable(now):
            self._start(job, now)
            return Started()
        if not job.may_wait or len(self._waiting) >= MOST_WAITING:
            return Shed(Code.SHED, self.retry_after_ms())
        if not self._in_time(job, now, self.expected_wait_s(job)):
            return Shed(Code.SHED, self.retry_after_ms())
        self._waiting.append(job)
        return Queued()

    def finish(self, job: Job, now: float) -> None:
        """Frees a call's slot, or takes it out of the queue."""
        if job in self.running:
            self.running.discard(job)
            self.usage.record(job.priority, now - job.started, now)
            if job.served:
                self.service_times.record(job.route, now - job.started)
        elif job in self._waiting:
            self._waiting.remove(job)

    def record_outcome(self, *, failed: bool) -> None:
        """Notes whether a call failed at the server."""
        self.failing += FAILURE_SMOOTHING * (float(failed) - self.failing)

    def start_queued(self, now: float) -> list[Job]:
        """Starts and returns the queued calls that now have a slot."""
        started: list[Job] = []
        order = functools.partial(self._order, now=now)
        while able := self._startable(now):
            job = min(able, key=order)
            self._waiting.remove(job)
            self._start(job, now)
            started.append(job)
        return started

    def drop_overdue(self, now: float) -> list[Job]:
        """Removes and returns the queued calls that cannot end in time."""
        late = [one for one in self._waiting if self.latest_start(one) <= now]
        if len(self._waiting) - len(late) > self.slots:
            late += [one for one in self._waiting if self._hopeless(one, now)]
        self._waiting = [one for one in self._waiting if one not in late]
        return late

    def latest_start(self, job: Job) -> float:
        """Returns the time from which a call is not worth starting."""
        given = job.deadline_at - job.arrived
        run_s = min(self.service_times.expected(job.route), given / 2)
        return self.shutdown_times.start_deadline(job.deadline_at, run_s)

    def retry_after_ms(self) -> int:
        """Returns when a refused caller may expect room."""
        ahead = sum(
            self.service_times.expected(one.route) for one in self._waiting
        )
        wait = (ahead + self.service_times.overall) / max(1, self.slots)
        return max(LEAST_WAIT_MS, int(MS * wait))

    def _hopeless(self, job: Job, now: float) -> bool:
        """Whether a queued call would go on waiting behind those in time."""
        if (
            self.latest_start(job) <= now
            or job.priority < self._lowest_priority
        ):
            return False
        return job.target_at - now < self.service_times.expected(job.route)

    def _startable(self, now: float) -> list[Job]:
        if len(self.running) >= self.slots:
            return []
        return [one for one in self._waiting if self._may_start(one, now)]

    def _may_start(self, job: Job, now: float) -> bool:
        """Whether a slot is free that is not kept for shorter, urgent calls.

        A long call of a low priority holds its slot for many short calls of a
        higher one, which are often calls of a server whose own slot waits.
        So it leaves free about as many slots as those have used of late.
        """
        if len(self.running) >= self.slots:
            return False
        service = self.service_times.expected(job.route)
        kept = RESERVE * self.usage.short_call_slots(job.priority, service, now)
        alike = sum(one.priority >= job.priority for one in self.running)
        return not alike or alike < self.slots - kept

    def expected_wait_s(self, job: Job) -> float:
        """Returns the seconds until a new call would get a slot.

        Calls of higher ranks that arrive meanwhile go first, so only the share
        of the slot time that they have left of late is counted on.
        """
        now = job.arrived
        own = self._order(job, now)
        ahead = sum(
            self.service_times.expected(one.route)
            for one in self._waiting
            if self._order(one, now) < own
        )
        free = self._may_start(job, now)
        first = 0.0 if free else self.service_times.overall
        share = self.usage.share_left(job.priority)
        return (ahead + first) / max(1, self.slots) / max(LEAST_SHARE, share)

    def _in_time(self, job: Job, now: float, wait: float) -> bool:
        """Whether a call would end within its objective, or was late before.

        A call above the lowest priority delays only less urgent ones, so it may
        pass its objective by half of what its deadline leaves. A call of the
        lowest priority waits for long only when it still meets its objective; for
        a slot that is free soon it may wait until its deadline, since nothing
        is won by sending it away.
        """
        service = self.service_times.expected(job.route)
        end = now + wait + service
        if job.priority < self._lowest_priority:
            return end <= (job.target_at + job.deadline_at) / 2
        if wait <= SHORT_WAIT * service:
            return end <= job.deadline_at
        return end + SPREAD * service <= job.target_at

    def _order(self, job: Job, now: float) -> tuple[float, ...]:
        """Returns the sort key of a call: priority, those that came back, age."""
        late = job.target_at - now < self.service_times.expected(job.route)
        return (job.priority, late, not job.returning, job.number)

    def _start(self, job: Job, now: float) -> None:
        job.started = now
        self.running.add(job)
