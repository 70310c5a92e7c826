"""The queue of admission control: calls that hold or wait for a slot."""

import asyncio
from typing import Generic, Protocol, TypeVar

from papayalock.core.disciplines import Job
from papayalock.core.gate import AdmissionResult, Gate, Queued, Shed
from papayalock.messages import Part
from papayalock.ports import Clock
from papayalock.result import Code


MIN_TIMER_S = 0.001


class HasArrivalTime(Protocol):
    """A call with its time of arrival, in monotonic seconds."""

    arrived: float


AnyJob = TypeVar('AnyJob', bound=HasArrivalTime)


class AdmissionRefused(Exception):
    """Raised for a call that did not get a slot and was not run."""

    def __init__(self, code: Code, retry_after_ms: int = 0) -> None:
        """Keeps the reason and the retry-after delay."""
        super().__init__(code.name)
        self.code = code
        self.retry_after_ms = retry_after_ms


class Admission(Protocol[AnyJob]):
    """Decides which calls run.

    Implemented by ``gate.Gate`` and ``admission.ServerGate``.
    """

    def submit(self, job: AnyJob, now: float) -> AdmissionResult:
        """Starts, queues or refuses a call."""
        ...

    def finish(self, job: AnyJob, now: float) -> None:
        """Frees the slot of a call, or removes it from the queue."""
        ...

    def start_queued(self, now: float) -> list[AnyJob]:
        """Starts and returns the queued calls for which there is a slot."""
        ...

    def drop_overdue(self, now: float) -> list[AnyJob]:
        """Removes and returns queued calls that cannot meet their deadline."""
        ...

    def latest_start(self, job: AnyJob) -> float:
        """Returns the time from which on a call is not started any more."""
        ...

    def next_start_s(self, now: float) -> float:
        """Returns the seconds until a queued call may start by itself.

        Infinity means that it has to wait for a slot.
        """
        ...

    def retry_after_ms(self, now: float) -> int:
        """Returns the retry-after delay for a refused call."""
        ...


class Slot(Generic[AnyJob]):
    """Context manager that holds a slot of a :class:`SlotQueue`."""

    __slots__ = ('_job', '_queue')

    def __init__(self, queue: 'SlotQueue[AnyJob]', job: AnyJob) -> None:
        """Binds the job to its queue."""
        self._queue = queue
        self._job = job

    async def __aenter__(self) -> None:
        """Waits for the slot.

        :raises AdmissionRefused: if the call is not admitted
        """
        await self._queue.acquire(self._job)

    async def __aexit__(self, *exc_info: object) -> None:
        """Frees the slot."""
        self._queue.release(self._job)


class SlotQueue(Generic[AnyJob]):
    """Lets calls wait for the slots that an admission policy grants."""

    def __init__(self, admission: Admission[AnyJob], clock: Clock) -> None:
        """Starts without calls."""
        self._admission = admission
        self._clock = clock
        self._waiting: dict[AnyJob, asyncio.Future[None]] = {}
        self._start_timer: asyncio.TimerHandle | None = None

    def reject_waiting(self, code: Code) -> None:
        """Refuses all waiting calls with a code."""
        for job, fut in list(self._waiting.items()):
            self._admission.finish(job, self._clock.monotonic())
            if not fut.done():
                fut.set_exception(AdmissionRefused(code))
        self._waiting.clear()

    async def acquire(self, job: AnyJob) -> None:
        """Waits until a job has a slot.

        :raises AdmissionRefused: if the job is not admitted
        """
        admittance = self._admission.submit(job, job.arrived)
        if isinstance(admittance, Shed):
            raise AdmissionRefused(admittance.code, admittance.retry_after_ms)
        if isinstance(admittance, Queued):
            await self._wait(job)

    def release(self, job: AnyJob) -> None:
        """Frees the slot of a job, or its place in the queue."""
        self._admission.finish(job, self._clock.monotonic())
        if self._waiting:
            self.start_admitted()

    async def _wait(self, job: AnyJob) -> None:
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        self._waiting[job] = fut
        self._schedule_start()
        wait_s = self._admission.latest_start(job) - self._clock.monotonic()
        timer = loop.call_later(max(0.0, wait_s), self.expire, job)
        try:
            await fut
        except BaseException:
            self.release(job)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(job, None)

    def expire(self, job: AnyJob) -> None:
        """Refuses a waiting job that can no longer meet its deadline."""
        self._admission.finish(job, self._clock.monotonic())
        self._refuse(job)

    def start_admitted(self) -> None:
        """Refuses overdue jobs, then starts those for which there are slots."""
        now = self._clock.monotonic()
        for overdue_job in self._admission.drop_overdue(now):
            self._refuse(overdue_job)
        for job in self._admission.start_queued(now):
            fut = self._waiting.get(job)
            if fut is not None and not fut.done():
                fut.set_result(None)
        self._schedule_start()

    def _schedule_start(self) -> None:
        """Has queued calls started once a rate limit allows the next one."""
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        wait_s = self._admission.next_start_s(self._clock.monotonic())
        if wait_s < float('inf'):
            self._start_timer = asyncio.get_running_loop().call_later(
                max(MIN_TIMER_S, wait_s), self.start_admitted
            )

    def _refuse(self, job: AnyJob) -> None:
        fut = self._waiting.pop(job, None)
        if fut is not None and not fut.done():
            retry_ms = self._admission.retry_after_ms(self._clock.monotonic())
            fut.set_exception(
                AdmissionRefused(Code.DEADLINE_BEFORE_RUN, retry_ms)
            )


class GateQueue(SlotQueue[Job]):
    """The queue of a :class:`Gate`."""

    def __init__(self, gate: Gate, clock: Clock) -> None:
        """Starts without calls."""
        super().__init__(gate, clock)
        self.gate = gate

    def resize(self, part: Part | None) -> None:
        """Applies the slots and connections of the active configuration."""
        self.gate.slots = part.slots if part else 0
        self.gate.connections = part.connections if part else 0
        self.start_admitted()

    def drain(self) -> None:
        """Refuses new calls and those that are waiting."""
        self.gate.draining = True
        self.reject_waiting(Code.DRAINING)

    def slot(self, priority: str, deadline: float) -> Slot[Job]:
        """Returns a context manager that holds a slot for a new call.

        :param deadline: monotonic seconds by which the call must have started
        """
        return Slot(self, Job(priority, deadline, self._clock.monotonic()))
