"""Simulated backend servers behind the admission gate of the product."""

import random
from collections.abc import Generator
from typing import Any

import simpy

from bench.loadmodel.links import Link
from bench.loadmodel.scenario import CallKind
from papayalock.core.admission import Job, ServerGate
from papayalock.core.gate import Queued, Shed
from papayalock.result import Code

SimProcess = Generator[Any, Any, Any]


class SimulatedServer:
    """A backend server and the gate of its node."""

    def __init__(
        self,
        env: simpy.Environment,
        name: str,
        service: str,
        zone: str,
        gate: ServerGate,
        speed: float,
        link_mbps: float,
    ) -> None:
        """Creates an idle server.

        :param speed: factor on the speed of the server's own work
        :param link_mbps: of the VM of the server and its node
        """
        self.link_in = Link(env, link_mbps)
        self.link_out = Link(env, link_mbps)
        self.name = name
        self.service = service
        self.zone = zone
        self.speed = speed
        self.slowdown = 1.0
        self.refused_share = 0.0  # of the calls that it would run
        self.gate = gate
        self.crashed = env.event()
        self._env = env
        self._waiting: dict[Job, simpy.Event] = {}

    @property
    def degraded(self) -> bool:
        """Whether a fault slows the server down."""
        return self.slowdown > 1

    def crash(self) -> None:
        """Ends the calls that run, and refuses those that wait."""
        self.gate.slots = 0
        self.crashed.succeed()
        self.crashed = self._env.event()
        for job in list(self._waiting):
            self._wake(job, Code.NO_SERVER)

    def acquire_slot(self, job: Job) -> SimProcess:
        """Waits for a slot; returns None, or the refusal if it gets none."""
        admission = self.gate.submit(job, self._env.now)
        if isinstance(admission, Shed):
            return admission
        if isinstance(admission, Queued):
            started = self._env.event()
            self._waiting[job] = started
            time_left = self.gate.latest_start(job) - self._env.now
            yield started | self._env.timeout(max(0.0, time_left))
            self._waiting.pop(job, None)
            if not started.triggered or started.value is not None:
                self.gate.finish(job, self._env.now)
                retry_ms = self.gate.retry_after_ms(self._env.now)
                return Shed(Code.DEADLINE_BEFORE_RUN, retry_ms)
        return None

    def release_slot(self, job: Job) -> None:
        """Frees a slot, drops overdue queued calls and starts others."""
        self.gate.finish(job, self._env.now)
        for overdue in self.gate.drop_overdue(self._env.now):
            self._wake(overdue, Code.DEADLINE_BEFORE_RUN)
        for queued in self.gate.start_queued(self._env.now):
            self._wake(queued, None)

    def random_work_s(self, kind: CallKind, rng: random.Random) -> float:
        """Returns a random time in seconds for the server's own work."""
        work_s = kind.work_ms / 1000
        if kind.spread:
            sigma = kind.spread
            work_s *= rng.lognormvariate(-sigma * sigma / 2, sigma)
        return work_s / self.speed * self.slowdown

    def _wake(self, job: Job, code: Code | None) -> None:
        started = self._waiting.get(job)
        if started is not None and not started.triggered:
            started.succeed(code)
