"""The gate in front of a backend server: slots, connections and their queue."""

import itertools
from collections import deque
from dataclasses import dataclass

from papayalock.core.disciplines import PRIORITIES, Discipline, Job
from papayalock.result import Code

MS = 1000  # milliseconds in a second
PERCENT = 100
SMOOTHING = 0.1  # weight of the newest service time in its average
SAFETY = 1.5  # estimated service time against its average
LEAST_SHARE = 0.05  # keeps the estimate finite when shares sum up to all
FIRST_GUESS_S = 0.005  # service time assumed before the first is seen


@dataclass(slots=True, frozen=True)
class Started:
    """The job has its slot."""


@dataclass(slots=True, frozen=True)
class Queued:
    """The job waits for a slot."""


@dataclass(slots=True, frozen=True)
class Shed:
    """The job is refused at once and was not run."""

    code: Code
    retry_after_ms: int


AdmissionResult = Started | Queued | Shed


class Gate:
    """Admits calls to one backend server within its slots and connections."""

    def __init__(self, discipline: Discipline, queue: int) -> None:
        """Starts closed: without slots until a server announces itself.

        :param queue: jobs of one class that may wait
        """
        self.slots = 0
        self.connections = 0
        self.draining = False
        self.running: list[Job] = []
        self.service_times = [FIRST_GUESS_S for _ in PRIORITIES]
        self._waiting: list[deque[Job]] = [deque() for _ in PRIORITIES]
        self._discipline = discipline
        self._queue = queue
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Jobs that wait for a slot."""
        return sum(len(queue) for queue in self._waiting)

    @property
    def has_free_slot(self) -> bool:
        """Whether a job would start at once."""
        return not self.draining and self._free > 0 and not self.waiting

    @property
    def load_percent(self) -> int:
        """Jobs running and waiting, in percent of the slots."""
        jobs = len(self.running) + self.waiting
        return PERCENT * jobs // max(1, self.slots)

    def submit(self, job: Job, now: float) -> AdmissionResult:
        """Admits, queues or refuses a job."""
        job.number = next(self._numbers)
        if self.draining:
            return Shed(Code.DRAINING, 0)
        if not self.slots:
            return Shed(Code.NO_SERVER, 0)
        if job.deadline <= now:
            return Shed(Code.DEADLINE_BEFORE_RUN, 0)
        if self._free > 0 and not self.waiting and self._allowed(job):
            self._start(job, now)
            return Started()
        return self._enqueue(job, now)

    def finish(self, job: Job, now: float) -> None:
        """Frees a job's slot, or takes it out of the queue."""
        if job in self.running:
            self.running.remove(job)
            taken = now - job.started
            known = self.service_times[job.priority]
            self.service_times[job.priority] += SMOOTHING * (taken - known)
            self._discipline.record_finished(job, now)
            return
        queue = self._waiting[job.priority]
        if job in queue:
            queue.remove(job)

    def start_queued(self, now: float) -> list[Job]:
        """Starts and returns the queued jobs that now have a slot."""
        started: list[Job] = []
        while self._free > 0:
            job = self._next()
            if job is None:
                break
            self._waiting[job.priority].popleft()
            self._start(job, now)
            started.append(job)
        return started

    def drop_overdue(self, now: float) -> list[Job]:
        """Removes and returns the next jobs that cannot end in time."""
        late: list[Job] = []
        for queue in self._waiting:
            while queue and self.latest_start(queue[0]) <= now:
                late.append(queue.popleft())
        return late

    def latest_start(self, job: Job) -> float:
        """Returns the time from which a job is not worth starting.

        The estimate of its service time counts for at most half of the time
        that it was given, so that a wrong one cannot refuse a fresh job.
        """
        given = job.deadline - job.arrived
        expected = SAFETY * self.service_times[job.priority]
        return job.deadline - min(expected, given / 2)

    def retry_after_ms(self) -> int:
        """Returns when a refused caller may expect room."""
        pairs = zip(self._waiting, self.service_times, strict=True)
        ahead = sum(len(queue) * each for queue, each in pairs)
        wait = ahead + max(self.service_times)
        return max(1, int(MS * wait / max(1, self.slots)))

    @property
    def _free(self) -> int:
        return min(self.slots, self.connections) - len(self.running)

    def _allowed(self, job: Job) -> bool:
        return self._discipline.may_start(job, self.running, self.slots)

    def _start(self, job: Job, now: float) -> None:
        job.started = now
        self.running.append(job)

    def _next(self) -> Job | None:
        heads = [queue[0] for queue in self._waiting if queue]
        ready = [job for job in heads if self._allowed(job)]
        return min(ready, key=self._order, default=None)

    def _order(self, job: Job) -> tuple[float, ...]:
        has_precedence = self._discipline.has_precedence(
            job, self.running, self.slots
        )
        return (not has_precedence, *self._discipline.sort_key(job))

    def _enqueue(self, job: Job, now: float) -> AdmissionResult:
        queue = self._waiting[job.priority]
        in_time = now + self._expected_wait(job) < self.latest_start(job)
        if len(queue) >= self._queue or not in_time:
            return Shed(Code.SHED, self.retry_after_ms())
        queue.append(job)
        return Queued()

    def _expected_wait(self, job: Job) -> float:
        """Returns the seconds until a new job would get a slot."""
        counts = [len(queue) for queue in self._waiting]
        work = self.service_times[job.priority]
        for other, count in enumerate(counts):
            if self._discipline.goes_ahead(job.priority, other):
                work += count * self.service_times[other]
        share = self._discipline.available_share(job.priority, counts)
        return work / self.slots / max(share, LEAST_SHARE)
