"""Queueing disciplines: the orders in which queued calls get slots."""

import math
from collections.abc import Mapping, Sequence
from typing import Protocol

MS_PER_S = 1000
PERCENT = 100
PRIORITIES = {'urgent': 0, 'normal': 1, 'bulk': 2}
BULK = PRIORITIES['bulk']
USAGE_DECAY_S = 1.0  # time constant of the decay of recorded slot time


class Job:
    """A call that needs a slot of the server."""

    __slots__ = ('arrived', 'deadline', 'priority', 'sequence', 'started')

    def __init__(self, priority: str, deadline: float, now: float) -> None:
        """Creates a job that arrives now.

        :param priority: a key of ``PRIORITIES``
        :param deadline: monotonic seconds
        """
        self.priority = PRIORITIES[priority]
        self.deadline = deadline
        self.arrived = now
        self.started = now
        self.sequence = 0


class Discipline(Protocol):
    """The order in which queued jobs get slots.

    Jobs of one priority class always start in the order of arrival.
    """

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Returns the sort key of a job; the lowest goes first."""
        ...

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Returns whether a job may take one of the free slots."""
        ...

    def has_precedence(self, job: Job, running: list[Job], slots: int) -> bool:
        """Returns whether a job goes before all without precedence."""
        ...

    def record_finished(self, job: Job, now: float) -> None:
        """Records that a job freed its slot."""
        ...

    def goes_ahead(self, priority: int, other: int) -> bool:
        """Returns whether waiting jobs of class ``other`` go before a new one.

        :param priority: class of the new job
        """
        ...

    def available_share(self, priority: int, waiting: Sequence[int]) -> float:
        """Returns the share of the slot time that is available to a class.

        :param waiting: number of waiting jobs by class
        """
        ...


class Fifo:
    """First come, first served."""

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Orders by arrival."""
        return (job.sequence,)

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Returns True for every job."""
        return True

    def has_precedence(self, job: Job, running: list[Job], slots: int) -> bool:
        """Returns False; no job has precedence."""
        return False

    def record_finished(self, job: Job, now: float) -> None:
        """Does nothing."""

    def goes_ahead(self, priority: int, other: int) -> bool:
        """Returns True; all waiting jobs go before a new one."""
        return True

    def available_share(self, priority: int, waiting: Sequence[int]) -> float:
        """Returns the whole slot time."""
        return 1.0


class StrictPriority(Fifo):
    """Urgent before normal before bulk, however long jobs have waited."""

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Orders by class, then by arrival."""
        return (job.priority, job.sequence)

    def goes_ahead(self, priority: int, other: int) -> bool:
        """Returns True for the same class and more urgent ones."""
        return other <= priority


class Aging(Fifo):
    """Orders by arrival, with a handicap for less urgent classes.

    A waiting job thus overtakes more urgent jobs that arrive much later.
    """

    def __init__(self, aging_ms: int) -> None:
        """Sets the handicap.

        :param aging_ms: head start of a class over the next less urgent one
        """
        self._aging = aging_ms / MS_PER_S

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Orders by arrival plus the handicap of the class."""
        return (job.arrived + job.priority * self._aging, job.sequence)

    def goes_ahead(self, priority: int, other: int) -> bool:
        """Returns True for the same class and more urgent ones."""
        return other <= priority


class ReservedSlots(Aging):
    """Aging, with a share of the slots that bulk jobs may not use.

    Running jobs are not preempted, so long bulk jobs in every slot would make
    an urgent job wait until one of them ends.
    """

    def __init__(self, aging_ms: int, reserved_percent: int) -> None:
        """Sets the shares.

        :param aging_ms: see :class:`Aging`
        :param reserved_percent: share of the slots that bulk jobs may not use
        """
        super().__init__(aging_ms)
        self._reserved = reserved_percent / PERCENT

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Returns whether a slot is free for the class of a job."""
        return _within_reserve(job, running, slots, self._reserved)


class GuaranteedShare(StrictPriority):
    """Strict priority, with a guaranteed share of the slot time per class.

    A class that has used less than its share goes first; otherwise priority is
    strict. Less urgent classes thus make progress under a load of urgent jobs.
    Bulk jobs may not use a reserved share of the slots.
    """

    def __init__(
        self, shares: Mapping[str, int], reserved_percent: int
    ) -> None:
        """Sets the shares.

        :param shares: guaranteed percent of the slot time by class
        :param reserved_percent: share of the slots that bulk jobs may not use
        """
        self._shares = [shares.get(name, 0) / PERCENT for name in PRIORITIES]
        self._reserved = reserved_percent / PERCENT
        self._used = [0.0 for _ in PRIORITIES]
        self._updated_at = 0.0

    def may_start(self, job: Job, running: list[Job], slots: int) -> bool:
        """Returns whether a slot is free for the class of a job."""
        return _within_reserve(job, running, slots, self._reserved)

    def has_precedence(self, job: Job, running: list[Job], slots: int) -> bool:
        """Returns whether the class of a job is below its guaranteed share."""
        share = self._shares[job.priority]
        running_in_class = sum(
            other.priority == job.priority for other in running
        )
        below = self._used[job.priority] < share * sum(self._used)
        return share > 0 and below and running_in_class <= share * slots

    def available_share(self, priority: int, waiting: Sequence[int]) -> float:
        """Returns what the guarantees of waiting, less urgent classes leave."""
        lower = range(priority + 1, len(self._shares))
        return 1.0 - sum(
            self._shares[other] for other in lower if waiting[other]
        )

    def record_finished(self, job: Job, now: float) -> None:
        """Adds the slot time of a job to the decaying usage of its class."""
        decay = math.exp((self._updated_at - now) / USAGE_DECAY_S)
        self._used = [used * decay for used in self._used]
        self._updated_at = now
        self._used[job.priority] += now - job.started


def _within_reserve(
    job: Job, running: list[Job], slots: int, reserved: float
) -> bool:
    """Returns whether a job fits beside the reserved share of the slots.

    Only bulk jobs are held back; at least one slot is always open to them.
    """
    if job.priority < BULK:
        return True
    allowed = max(1, slots - math.ceil(slots * reserved))
    return sum(other.priority == BULK for other in running) < allowed
