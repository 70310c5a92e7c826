"""The waiting side of the gate: calls that hold or wait for a slot."""

import asyncio

from papayalock.core.disciplines import Job
from papayalock.core.limits import Gate, Queued, Shed
from papayalock.messages import Part
from papayalock.ports import Clock
from papayalock.result import Code


class Refused(Exception):
    """A call that did not get a slot and was not run."""

    def __init__(self, code: Code, retry_after_ms: int = 0) -> None:
        """Keeps why, and when there may be room."""
        super().__init__(code.name)
        self.code = code
        self.retry_after_ms = retry_after_ms


class Slot:
    """Holds a slot of a :class:`GateQueue` while its body runs."""

    __slots__ = ('_job', '_queue')

    def __init__(self, queue: 'GateQueue', job: Job) -> None:
        """Binds the job to its queue."""
        self._queue = queue
        self._job = job

    async def __aenter__(self) -> None:
        """Waits for the slot.

        :raises Refused: when there is none
        """
        await self._queue.enter(self._job)

    async def __aexit__(self, *exc_info: object) -> None:
        """Frees the slot."""
        self._queue.leave(self._job)


class GateQueue:
    """Gives slots of a :class:`Gate` to calls and refuses the rest at once."""

    def __init__(self, gate: Gate, clock: Clock) -> None:
        """Starts without calls."""
        self.gate = gate
        self._clock = clock
        self._waiting: dict[Job, asyncio.Future[None]] = {}

    def resize(self, part: Part | None) -> None:
        """Takes the slots and connections of the configuration in force."""
        self.gate.slots = part.slots if part else 0
        self.gate.connections = part.connections if part else 0
        self._start_ready()

    def drain(self) -> None:
        """Refuses new calls, and those that still wait, at once."""
        self.gate.draining = True
        for job, fut in list(self._waiting.items()):
            self.gate.finish(job, self._clock.monotonic())
            if not fut.done():
                fut.set_exception(Refused(Code.DRAINING))
        self._waiting.clear()

    def slot(self, priority: str, deadline: float) -> 'Slot':
        """Returns what holds a slot for the body of a ``with`` statement.

        :param deadline: monotonic seconds by which the call must have started
        """
        return Slot(self, Job(priority, deadline, self._clock.monotonic()))

    async def enter(self, job: Job) -> None:
        """Waits until a job has its slot.

        :raises Refused: when it gets none
        """
        admittance = self.gate.submit(job, job.arrived)
        if isinstance(admittance, Shed):
            raise Refused(admittance.code, admittance.retry_after_ms)
        if isinstance(admittance, Queued):
            await self._wait(job)

    def leave(self, job: Job) -> None:
        """Frees the slot of a job, or its place in the queue."""
        self.gate.finish(job, self._clock.monotonic())
        if self._waiting:
            self._start_ready()

    async def _wait(self, job: Job) -> None:
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        self._waiting[job] = fut
        left = self.gate.too_late_at(job) - self._clock.monotonic()
        timer = loop.call_later(max(0.0, left), self.expire, job)
        try:
            await fut
        except BaseException:
            self.leave(job)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(job, None)

    def expire(self, job: Job) -> None:
        """Refuses a waiting job that can no longer end in time."""
        self.gate.finish(job, self._clock.monotonic())
        self._refuse(job)

    def _start_ready(self) -> None:
        """Refuses what is too late, then starts what there are slots for."""
        now = self._clock.monotonic()
        for late in self.gate.overdue(now):
            self._refuse(late)
        for job in self.gate.startable(now):
            fut = self._waiting.get(job)
            if fut is not None and not fut.done():
                fut.set_result(None)

    def _refuse(self, job: Job) -> None:
        fut = self._waiting.pop(job, None)
        if fut is not None and not fut.done():
            retry_ms = self.gate.retry_after_ms()
            fut.set_exception(Refused(Code.DEADLINE_BEFORE_RUN, retry_ms))
