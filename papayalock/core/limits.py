"""The gate in front of a backend server: slots, connections and their queue."""

import itertools
import math
from dataclasses import dataclass
from typing import Protocol

from papayalock.result import Code

MS = 1000  # milliseconds in a second
PRIORITIES = {'urgent': 0, 'normal': 1, 'bulk': 2}
BULK = PRIORITIES['bulk']
SMOOTHING = 0.1  # weight of the newest service time in its average
FIRST_GUESS_S = 0.005  # service time assumed before the first is seen
PERCENT = 100


class Job:
    """One call that wants a slot."""

    __slots__ = ('arrived', 'deadline', 'number', 'priority', 'started')

    def __init__(self, priority: str, deadline: float, now: float) -> None:
        """Keeps the class of the call and when it must be answered.

        :param deadline: monotonic seconds
        """
        self.priority = PRIORITIES[priority]
        self.deadline = deadline
        self.arrived = now
        self.started = now
        self.number = 0


class Discipline(Protocol):
    """The order in which queued jobs get slots."""

    def rank(self, job: Job) -> tuple[float, ...]:
        """Returns the sort key of a job; the lowest goes first."""
        ...

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Whether a job may take a free slot beside the running ones."""
        ...


class Fifo:
    """First come, first served."""

    def rank(self, job: Job) -> tuple[float, ...]:
        """Orders by arrival."""
        return (job.number,)

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Allows every job."""
        return True


class StrictPriority(Fifo):
    """Urgent before normal before bulk, whatever the wait."""

    def rank(self, job: Job) -> tuple[float, ...]:
        """Orders by class, then by deadline."""
        return (job.priority, job.deadline, job.number)


class Aging(Fifo):
    """Each class waits one aging time longer than the one above it."""

    def __init__(self, aging_ms: int) -> None:
        """Keeps the head start that each class has over the next."""
        self._aging = aging_ms / MS

    def rank(self, job: Job) -> tuple[float, ...]:
        """Orders by arrival plus the handicap of the class."""
        return (job.arrived + job.priority * self._aging, job.number)


class ReservedSlots(Aging):
    """Aging, with bulk jobs kept out of a share of the slots.

    A running job is never stopped, so long bulk jobs in every slot would make
    an urgent job wait for one of them to end.
    """

    def __init__(self, aging_ms: int, reserved_percent: int) -> None:
        """Keeps the share of slots that bulk jobs leave free."""
        super().__init__(aging_ms)
        self._reserved = reserved_percent / PERCENT

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Holds bulk jobs to the unreserved slots, of which there is one at least."""
        if job.priority < BULK:
            return True
        allowed = max(1, slots - math.ceil(slots * self._reserved))
        return sum(one.priority == BULK for one in running) < allowed


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


Admittance = Started | Queued | Shed


class Gate:
    """Admits calls to one backend server within its slots and connections."""

    def __init__(self, discipline: Discipline, queue: int) -> None:
        """Starts closed: without slots until a server announces itself.

        :param queue: jobs that may wait
        """
        self.slots = 0
        self.connections = 0
        self.draining = False
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.service_time = FIRST_GUESS_S
        self._discipline = discipline
        self._queue = queue
        self._numbers = itertools.count()

    @property
    def has_room(self) -> bool:
        """Whether a job would start at once."""
        return not self.draining and not self.waiting and self._free > 0

    @property
    def load(self) -> int:
        """Jobs running and waiting, in percent of the slots."""
        return (
            PERCENT
            * (len(self.running) + len(self.waiting))
            // max(1, self.slots)
        )

    def submit(self, job: Job, now: float) -> Admittance:
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

    def finish(self, job: Job, now: float, *, measured: bool = True) -> None:
        """Frees a job's slot, or takes it out of the queue."""
        if job in self.running:
            self.running.remove(job)
            if measured:
                taken = now - job.started
                self.service_time += SMOOTHING * (taken - self.service_time)
        elif job in self.waiting:
            self.waiting.remove(job)

    def startable(self, now: float) -> list[Job]:
        """Starts and returns the queued jobs that now have a slot."""
        started: list[Job] = []
        while self.waiting and self._free > 0:
            job = self._next()
            if job is None:
                break
            self.waiting.remove(job)
            self._start(job, now)
            started.append(job)
        return started

    def overdue(self, now: float) -> list[Job]:
        """Removes and returns the queued jobs whose deadline has passed."""
        late = [job for job in self.waiting if job.deadline <= now]
        self.waiting = [job for job in self.waiting if job.deadline > now]
        return late

    def retry_after_ms(self) -> int:
        """Returns when a refused caller may expect room."""
        jobs = len(self.waiting) + 1
        return max(1, int(MS * self.service_time * jobs / max(1, self.slots)))

    @property
    def _free(self) -> int:
        return min(self.slots, self.connections) - len(self.running)

    def _allowed(self, job: Job) -> bool:
        return self._discipline.may_start(job, self.running, self.slots)

    def _start(self, job: Job, now: float) -> None:
        job.started = now
        self.running.append(job)

    def _next(self) -> Job | None:
        ready = (job for job in self.waiting if self._allowed(job))
        return min(ready, key=self._discipline.rank, default=None)

    def _enqueue(self, job: Job, now: float) -> Admittance:
        rank = self._discipline.rank(job)
        ahead = sum(self._discipline.rank(one) < rank for one in self.waiting)
        wait = self.service_time * (ahead + 1) / self.slots
        if len(self.waiting) >= self._queue or now + wait >= job.deadline:
            return Shed(Code.SHED, self.retry_after_ms())
        self.waiting.append(job)
        return Queued()
