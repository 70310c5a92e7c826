"""A plain baseline: any server by lot, first come, first served."""

import random

from papayalock.core.admission import Job, ServerGate
from papayalock.core.directory import KnownServer
from papayalock.core.gate import AdmissionResult, Queued, Shed, Started
from papayalock.core.placement import NONE_TRIED, Placement
from papayalock.result import Code

MOST_WAITING = 24
RETRY_MS = 100


class LotPlacement(Placement):
    """Chooses by lot."""

    rng = random.Random(0)

    def choose(
        self,
        service: str,
        now: float,
        avoid: frozenset[str] = NONE_TRIED,
        route: str = '',
    ) -> KnownServer | None:
        """Returns any server that was not tried."""
        able = [
            one
            for one in self.ready(service)
            if one.endpoint.server not in avoid
        ]
        return self.rng.choice(able) if able else None

    choose_free = choose


class FifoGate(ServerGate):
    """A short queue in the order of arrival."""

    def submit(self, job: Job, now: float) -> AdmissionResult:
        """Starts, queues or refuses a call."""
        if len(self.running) < self.slots and not self._waiting:
            self._start(job, now)
            return Started()
        if len(self._waiting) >= MOST_WAITING:
            return Shed(Code.SHED, RETRY_MS)
        self._waiting.append(job)
        return Queued()

    def start_queued(self, now: float) -> list[Job]:
        """Starts the oldest calls."""
        started = []
        while self._waiting and len(self.running) < self.slots:
            job = self._waiting.pop(0)
            self._start(job, now)
            started.append(job)
        return started

    def drop_overdue(self, now: float) -> list[Job]:
        """Refuses nothing that waits."""
        return []
