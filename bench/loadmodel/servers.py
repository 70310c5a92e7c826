"""Simulated backend servers behind the real gate."""

import random
from collections.abc import Generator
from typing import Any

import simpy

from bench.loadmodel.scenario import Kind
from papayalock.core.admission import Job, ServerGate
from papayalock.core.gate import Queued, Shed
from papayalock.result import Code

Process = Generator[Any, Any, Any]


class Server:
    """One backend server, its speed, and the gate of its node."""

    def __init__(
        self,
        env: simpy.Environment,
        name: str,
        service: str,
        zone: str,
        gate: ServerGate,
        speed: float,
    ) -> None:
        """Starts idle."""
        self.name = name
        self.service = service
        self.zone = zone
        self.speed = speed
        self.slower = 1.0
        self.gate = gate
        self._env = env
        self._waiting: dict[Job, simpy.Event] = {}

    @property
    def disturbed(self) -> bool:
        """Whether the server is slower than usual, or gone."""
        return self.slower > 1

    def enter(self, job: Job) -> Process:
        """Waits for a slot; returns the refusal, or None once there is one."""
        answer = self.gate.submit(job, self._env.now)
        if isinstance(answer, Shed):
            return answer
        if isinstance(answer, Queued):
            ready = self._env.event()
            self._waiting[job] = ready
            left = self.gate.latest_start(job) - self._env.now
            yield ready | self._env.timeout(max(0.0, left))
            self._waiting.pop(job, None)
            if not ready.triggered or ready.value is not None:
                self.gate.finish(job, self._env.now)
                retry_ms = self.gate.retry_after_ms()
                return Shed(Code.DEADLINE_BEFORE_RUN, retry_ms)
        return None

    def leave(self, job: Job) -> None:
        """Frees a slot and starts what waits."""
        self.gate.finish(job, self._env.now)
        for late in self.gate.drop_overdue(self._env.now):
            self._wake(late, Code.DEADLINE_BEFORE_RUN)
        for one in self.gate.start_queued(self._env.now):
            self._wake(one, None)

    def taken(self, kind: Kind, rng: random.Random) -> float:
        """Draws the seconds of a run's own work."""
        work = kind.work_ms / 1000
        if kind.spread:
            sigma = kind.spread
            work *= rng.lognormvariate(-sigma * sigma / 2, sigma)
        return work / self.speed * self.slower

    def _wake(self, job: Job, code: Code | None) -> None:
        ready = self._waiting.get(job)
        if ready is not None and not ready.triggered:
            ready.succeed(code)
