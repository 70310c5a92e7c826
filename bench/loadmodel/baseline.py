"""Baselines: random choice of a server, and a first-in, first-out queue."""

import random

from papayalock.core.admission import Job, ServerGate
from papayalock.core.directory import KnownServer
from papayalock.core.exposure import Cohort
from papayalock.core.gate import AdmissionResult, Queued, Shed, Started
from papayalock.core.placement import NONE_TRIED, Placement
from papayalock.result import Code

MAX_QUEUED = 24
RETRY_AFTER_MS = 100


class RandomPlacement(Placement):
    """Chooses a ready server at random."""

    rng = random.Random(0)

    def choose(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = NONE_TRIED,
        route: str = '',
        cohort: Cohort | None = None,
    ) -> KnownServer | None:
        """Returns a random ready server outside ``avoid``, or None."""
        candidates = self._untried(service, avoid, cohort)
        return self.rng.choice(candidates) if candidates else None

    choose_free = choose


class FifoGate(ServerGate):
    """A bounded first-in, first-out queue for the slots of a server."""

    def submit(self, job: Job, now: float) -> AdmissionResult:
        """Starts or queues a call, or sheds it if the queue is full."""
        if len(self.running) < self.slots and not self._waiting:
            self._start(job, now)
            return Started()
        if len(self._waiting) >= MAX_QUEUED:
            return Shed(Code.SHED, RETRY_AFTER_MS)
        self._waiting.append(job)
        return Queued()

    def start_queued(self, now: float) -> list[Job]:
        """Starts queued calls in order of arrival and returns them."""
        started = []
        while self._waiting and len(self.running) < self.slots:
            job = self._waiting.pop(0)
            self._start(job, now)
            started.append(job)
        return started

    def drop_overdue(self, now: float) -> list[Job]:
        """Drops no queued call."""
        return []
