"""The orders in which calls that wait at a gate get slots."""

import math
from collections.abc import Mapping, Sequence
from typing import Protocol

MS = 1000  # milliseconds in a second
PERCENT = 100
PRIORITIES = {'urgent': 0, 'normal': 1, 'bulk': 2}
BULK = PRIORITIES['bulk']
MEMORY_S = 1.0  # time constant in which used slot time is forgotten


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
    """The order in which queued jobs get slots.

    Within a class, jobs go in the order of their arrival.
    """

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Returns the sort key of a job; the lowest goes first."""
        ...

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Whether a job may take a free slot beside the running ones."""
        ...

    def has_precedence(self, job: Job, running: list[Job], slots: int) -> bool:
        """Whether a job goes before all that are not entitled."""
        ...

    def record_finished(self, job: Job, now: float) -> None:
        """Notes that a job freed its slot."""
        ...

    def goes_ahead(self, priority: int, other: int) -> bool:
        """Whether waiting jobs of class ``other`` go before a new one."""
        ...

    def available_share(self, priority: int, waiting: Sequence[int]) -> float:
        """Returns the share of the slot time that a class can count on.

        :param waiting: number of waiting jobs by class
        """
        ...


class Fifo:
    """First come, first served."""

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Orders by arrival."""
        return (job.number,)

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Allows every job."""
        return True

    def has_precedence(self, job: Job, running: list[Job], slots: int) -> bool:
        """Entitles none."""
        return False

    def record_finished(self, job: Job, now: float) -> None:
        """Needs no record."""

    def goes_ahead(self, priority: int, other: int) -> bool:
        """Puts all that wait before a new job."""
        return True

    def available_share(self, priority: int, waiting: Sequence[int]) -> float:
        """Counts on all of it."""
        return 1.0


class StrictPriority(Fifo):
    """Urgent before normal before bulk, whatever the wait."""

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Orders by class, then by arrival."""
        return (job.priority, job.number)

    def goes_ahead(self, priority: int, other: int) -> bool:
        """Puts the same class and those above it before a new job."""
        return other <= priority


class Aging(Fifo):
    """Each class waits one aging time longer than the one above it."""

    def __init__(self, aging_ms: int) -> None:
        """Keeps the head start that each class has over the next."""
        self._aging = aging_ms / MS

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Orders by arrival plus the handicap of the class."""
        return (job.arrived + job.priority * self._aging, job.number)

    def goes_ahead(self, priority: int, other: int) -> bool:
        """Puts the same class and those above it before a new job."""
        return other <= priority


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
        return _within_reserve(job, running, slots, self._reserved)


class GuaranteedShare(StrictPriority):
    """Strict priority, with a share of the slot time kept for each lower class.

    A class that has used less than its share and has a job waiting goes first;
    all else is strict. So closing bids get what is left of the slots, and
    history goes on. Bulk jobs are also kept out of a share of the slots.
    """

    def __init__(
        self, shares: Mapping[str, int], reserved_percent: int
    ) -> None:
        """Keeps the shares.

        :param shares: percent of the slot time by class
        :param reserved_percent: share of the slots that bulk jobs leave free
        """
        self._shares = [shares.get(name, 0) / PERCENT for name in PRIORITIES]
        self._reserved = reserved_percent / PERCENT
        self._used = [0.0 for _ in PRIORITIES]
        self._at = 0.0

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Holds bulk jobs to the unreserved slots, of which there is one at least."""
        return _within_reserve(job, running, slots, self._reserved)

    def has_precedence(self, job: Job, running: list[Job], slots: int) -> bool:
        """Entitles a class that is below its share, and not yet running at it."""
        share = self._shares[job.priority]
        beside = sum(one.priority == job.priority for one in running)
        below = self._used[job.priority] < share * sum(self._used)
        return share > 0 and below and beside <= share * slots

    def available_share(self, priority: int, waiting: Sequence[int]) -> float:
        """Counts on what the guarantees of lower, waiting classes leave."""
        lower = range(priority + 1, len(self._shares))
        return 1.0 - sum(self._shares[one] for one in lower if waiting[one])

    def record_finished(self, job: Job, now: float) -> None:
        """Adds the slot time of a job; older time counts less."""
        kept = math.exp((self._at - now) / MEMORY_S)
        self._used = [used * kept for used in self._used]
        self._at = now
        self._used[job.priority] += now - job.started


def _within_reserve(
    job: Job, running: list[Job], slots: int, reserved: float
) -> bool:
    if job.priority < BULK:
        return True
    allowed = max(1, slots - math.ceil(slots * reserved))
    return sum(one.priority == BULK for one in running) < allowed
