"""One call as tries at several servers, of which some may run side by side.

A node that falls silent may only be slow, so its try goes on while another
server is asked; the first good answer wins, and the other tries are taken back.
"""

import asyncio
import functools

from papayalock.core.again import Course, Step, next_server, next_step
from papayalock.core.budget import SharedBudget
from papayalock.core.placing import Placement
from papayalock.node.accesslog import RoutedCall, TryRecord
from papayalock.node.outcome import (
    ServerResponse,
    NoResponse,
    Outcome,
    final_outcome,
)
from papayalock.node.tryrunner import TryRunner
from papayalock.ports import Clock
from papayalock.result import Code

MS = 1000  # milliseconds in a second
NO_SERVER_RETRY_MS = 300  # wait before a service without servers is asked for

Event = tuple[TryRecord, 'asyncio.Task[Outcome] | None']


class HedgedCall:
    """Runs one call until it has a good answer, no server left or no time."""

    __slots__ = (
        '_budget',
        '_clock',
        '_course',
        '_events',
        '_outcome',
        '_placement',
        '_plan',
        '_running',
        '_tries',
    )

    def __init__(
        self,
        plan: RoutedCall,
        course: Course,
        budget: SharedBudget,
        placement: Placement,
        tries: TryRunner,
        clock: Clock,
    ) -> None:
        """Binds the parts; nothing is asked yet."""
        self._plan = plan
        self._course = course
        self._budget = budget
        self._placement = placement
        self._tries = tries
        self._clock = clock
        self._running: set[asyncio.Task[Outcome]] = set()
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._outcome: Outcome | None = None

    async def run(self) -> Outcome:
        """Returns how the call ends, at the latest at its deadline."""
        left = self._plan.deadline_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(left):
                await self._until_answered()
        except TimeoutError:
            late = NoResponse(Code.UNKNOWN_TIMEOUT, 'the deadline has passed')
            self._outcome = final_outcome(self._outcome, late)
        finally:
            for task in self._running:
                task.cancel()
        return self._outcome or NoResponse(
            Code.NO_SERVER,
            f'no backend server of {self._plan.service}',
            NO_SERVER_RETRY_MS,
        )

    async def _until_answered(self) -> None:
        self._ask()
        while self._running or not self._events.empty():
            trail, task = await self._events.get()
            if task is None:
                step = self._after_silence(trail)
            else:
                step = self._after_end(trail, task.result())
            if self._answered_well():
                return
            if step is not Step.GIVE_UP:
                self._ask()

    def _answered_well(self) -> bool:
        outcome = self._outcome
        return isinstance(outcome, ServerResponse) and not outcome.failed

    def _ask(self) -> None:
        """Starts a try at the next server, if there is one."""
        plan = self._plan
        now = self._clock.monotonic()
        peer = next_server(
            self._placement,
            self._course,
            plan.service,
            plan.route.name,
            plan.servers,
            now,
        )
        if peer is None:
            return
        trail = TryRecord(peer, now)
        plan.trail.append(trail)
        self._course.started()
        silent = functools.partial(self._events.put_nowait, (trail, None))
        task = asyncio.ensure_future(
            self._tries.run(plan, trail, silent, may_wait=self._course.waited)
        )
        self._running.add(task)
        task.add_done_callback(functools.partial(self._ended, trail))

    def _ended(self, trail: TryRecord, task: 'asyncio.Task[Outcome]') -> None:
        self._running.discard(task)
        if not task.cancelled():
            self._events.put_nowait((trail, task))

    def _after_silence(self, trail: TryRecord) -> Step:
        if trail.ended is not None:
            return Step.GIVE_UP
        trail.silent_at = self._clock.monotonic()
        self._tries.suspect(trail.peer, trail.silent_at)
        self._course.fell_silent()
        return self._next_step(Code.UNKNOWN_TIMEOUT, arrived=True)

    def _after_end(self, trail: TryRecord, outcome: Outcome) -> Step:
        trail.end(outcome, self._clock.monotonic())
        self._outcome = final_outcome(self._outcome, outcome)
        code = Code.UNKNOWN_BROKEN
        arrived = True
        if isinstance(outcome, NoResponse):
            code = outcome.code
            arrived = outcome.arrived
        silent = trail.silent_at is not None
        self._course.ended(code, arrived=arrived, silent=silent)
        if isinstance(outcome, ServerResponse) and outcome.callee_failed:
            return Step.GIVE_UP
        if self._answered_well():
            return Step.GIVE_UP
        return self._next_step(code, arrived=arrived)

    def _next_step(self, code: Code, *, arrived: bool) -> Step:
        plan = self._plan
        now = self._clock.monotonic()
        step = next_step(
            self._course,
            code,
            arrived=arrived,
            another=self._placement.has_other(plan.service, plan.servers),
            now=now,
            pace_s=plan.route.target_ms / MS / 2,
            budget=self._budget,
            nodes=self._placement.nodes,
        )
        self._course.waited = self._course.waited or step is Step.WAIT
        return step
