"""Admission control in front of one backend server, for declared operations.

A gate limits the running calls to the slots and connections of the server. The
rest queue by priority class, in the order that a queueing discipline sets.
"""

import itertools
from collections import deque
from dataclasses import dataclass

from papayalock.core.disciplines import PRIORITIES, Discipline, Job
from papayalock.result import Code

MS_PER_S = 1000
PERCENT = 100
SERVICE_SMOOTHING = 0.1  # weight of the newest service time in its average
ESTIMATE_MARGIN = 1.5  # ratio of the estimated to the average service time
MIN_SLOT_SHARE = 0.05  # keeps estimates finite when guarantees add up to 1
DEFAULT_SERVICE_S = 0.005  # service time assumed until the first job ends


@dataclass(slots=True, frozen=True)
class Started:
    """The job holds a slot and may run."""


@dataclass(slots=True, frozen=True)
class Queued:
    """The job waits in the queue for a slot."""


@dataclass(slots=True, frozen=True)
class Shed:
    """The job is refused and was not run."""

    code: Code
    retry_after_ms: int


AdmissionResult = Started | Queued | Shed


class Gate:
    """Admits calls to one backend server within its slots and connections."""

    def __init__(self, discipline: Discipline, queue: int) -> None:
        """Starts without slots; the caller sets them for its server.

        :param queue: maximum number of waiting jobs per priority class
        """
        self.slots = 0
        self.connections = 0
        self.draining = False
        self.running: list[Job] = []
        self.service_times = [DEFAULT_SERVICE_S for _ in PRIORITIES]
        self._waiting: list[deque[Job]] = [deque() for _ in PRIORITIES]
        self._discipline = discipline
        self._queue = queue
        self._sequence = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of jobs that wait for a slot."""
        return sum(len(queue) for queue in self._waiting)

    @property
    def has_free_slot(self) -> bool:
        """Whether a new job would start at once."""
        return not self.draining and self._free_slots > 0 and not self.waiting

    @property
    def load_percent(self) -> int:
        """Running and waiting jobs, in percent of the slots."""
        jobs = len(self.running) + self.waiting
        return PERCENT * jobs // max(1, self.slots)

    def submit(self, job: Job, now: float) -> AdmissionResult:
        """Starts, queues or refuses a job that arrives now."""
        job.sequence = next(self._sequence)
        if self.draining:
            return Shed(Code.DRAINING, 0)
        if not self.slots:
            return Shed(Code.NO_SERVER, 0)
        if job.deadline <= now:
            return Shed(Code.DEADLINE_BEFORE_RUN, 0)
        if self._free_slots > 0 and not self.waiting and self._allowed(job):
            self._start(job, now)
            return Started()
        return self._enqueue(job, now)

    def finish(self, job: Job, now: float) -> None:
        """Frees the slot of a job, or removes it from the queue."""
        if job in self.running:
            self.running.remove(job)
            service_s = now - job.started
            average = self.service_times[job.priority]
            self.service_times[job.priority] += SERVICE_SMOOTHING * (
                service_s - average
            )
            self._discipline.record_finished(job, now)
            return
        queue = self._waiting[job.priority]
        if job in queue:
            queue.remove(job)

    def start_queued(self, now: float) -> list[Job]:
        """Starts queued jobs while slots are free, and returns them."""
        started: list[Job] = []
        while self._free_slots > 0:
            job = self._next_job()
            if job is None:
                break
            self._waiting[job.priority].popleft()
            self._start(job, now)
            started.append(job)
        return started

    def drop_overdue(self, now: float) -> list[Job]:
        """Removes and returns the overdue jobs at the head of each queue."""
        overdue: list[Job] = []
        for queue in self._waiting:
            while queue and self.latest_start(queue[0]) <= now:
                overdue.append(queue.popleft())
        return overdue

    def latest_start(self, job: Job) -> float:
        """Returns the time at which a queued job must have started.

        The estimated service time counts for at most half of the time from
        the job's arrival to its deadline, so that a wrong estimate cannot
        refuse a new job.
        """
        time_allowed = job.deadline - job.arrived
        expected = ESTIMATE_MARGIN * self.service_times[job.priority]
        return job.deadline - min(expected, time_allowed / 2)

    def next_start_s(self, now: float) -> float:
        """Returns infinity: queued jobs start only when others finish."""
        return float('inf')

    def retry_after_ms(self, now: float) -> int:
        """Returns the retry-after delay of a refused caller."""
        pairs = zip(self._waiting, self.service_times, strict=True)
        ahead = sum(len(queue) * service_s for queue, service_s in pairs)
        wait = ahead + max(self.service_times)
        return max(1, int(MS_PER_S * wait / max(1, self.slots)))

    @property
    def _free_slots(self) -> int:
        return min(self.slots, self.connections) - len(self.running)

    def _allowed(self, job: Job) -> bool:
        return self._discipline.may_start(job, self.running, self.slots)

    def _start(self, job: Job, now: float) -> None:
        job.started = now
        self.running.append(job)

    def _next_job(self) -> Job | None:
        heads = [queue[0] for queue in self._waiting if queue]
        ready = [job for job in heads if self._allowed(job)]
        return min(ready, key=self._sort_key, default=None)

    def _sort_key(self, job: Job) -> tuple[float, ...]:
        has_precedence = self._discipline.has_precedence(
            job, self.running, self.slots
        )
        return (not has_precedence, *self._discipline.sort_key(job))

    def _enqueue(self, job: Job, now: float) -> AdmissionResult:
        queue = self._waiting[job.priority]
        in_time = now + self._expected_wait(job) < self.latest_start(job)
        if len(queue) >= self._queue or not in_time:
            return Shed(Code.SHED, self.retry_after_ms(now))
        queue.append(job)
        return Queued()

    def _expected_wait(self, job: Job) -> float:
        """Returns the seconds until a new job is expected to get a slot."""
        counts = [len(queue) for queue in self._waiting]
        work = self.service_times[job.priority]
        for other, count in enumerate(counts):
            if self._discipline.goes_ahead(job.priority, other):
                work += count * self.service_times[other]
        share = self._discipline.available_share(job.priority, counts)
        return work / self.slots / max(share, MIN_SLOT_SHARE)
