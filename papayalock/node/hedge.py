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

MS_PER_S = 1000
NO_SERVER_RETRY_AFTER_MS = (
    300  # wait before a service without servers is asked for
)

Event = tuple[TryRecord, 'asyncio.Task[Outcome] | None']


class HedgedCall:
    """Runs one call until it has a good answer, no server left or no time."""

    __slots__ = (
        '_budget',
        '_clock',
        '_progress',
        '_events',
        '_outcome',
        '_placement',
        '_plan',
        '_running',
        '_try_runner',
    )

    def __init__(
        self,
        routed: RoutedCall,
        progress: Course,
        budget: SharedBudget,
        placement: Placement,
        try_runner: TryRunner,
        clock: Clock,
    ) -> None:
        """Binds the parts; nothing is asked yet."""
        self._plan = routed
        self._progress = progress
        self._budget = budget
        self._placement = placement
        self._try_runner = try_runner
        self._clock = clock
        self._running: set[asyncio.Task[Outcome]] = set()
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._outcome: Outcome | None = None

    async def run(self) -> Outcome:
        """Returns how the call ends, at the latest at its deadline."""
        left = self._plan.deadline_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(left):
                await self._run_tries()
        except TimeoutError:
            timed_out = NoResponse(
                Code.UNKNOWN_TIMEOUT, 'the deadline has passed'
            )
            self._outcome = final_outcome(self._outcome, timed_out)
        finally:
            for task in self._running:
                task.cancel()
        return self._outcome or NoResponse(
            Code.NO_SERVER,
            f'no backend server of {self._plan.service}',
            NO_SERVER_RETRY_AFTER_MS,
        )

    async def _run_tries(self) -> None:
        self._start_try()
        while self._running or not self._events.empty():
            record, task = await self._events.get()
            if task is None:
                step = self._on_unresponsive(record)
            else:
                step = self._on_try_ended(record, task.result())
            if self._has_good_response():
                return
            if step is not Step.GIVE_UP:
                self._start_try()

    def _has_good_response(self) -> bool:
        outcome = self._outcome
        return isinstance(outcome, ServerResponse) and not outcome.failed

    def _start_try(self) -> None:
        """Starts a try at the next server, if there is one."""
        routed = self._plan
        now = self._clock.monotonic()
        peer = next_server(
            self._placement,
            self._progress,
            routed.service,
            routed.route.name,
            routed.tried_servers,
            now,
        )
        if peer is None:
            return
        record = TryRecord(peer, now)
        routed.tries.append(record)
        self._progress.started()
        silent = functools.partial(self._events.put_nowait, (record, None))
        task = asyncio.ensure_future(
            self._try_runner.run(
                routed, record, silent, may_wait=self._progress.waited
            )
        )
        self._running.add(task)
        task.add_done_callback(functools.partial(self._on_task_done, record))

    def _on_task_done(
        self, record: TryRecord, task: 'asyncio.Task[Outcome]'
    ) -> None:
        self._running.discard(task)
        if not task.cancelled():
            self._events.put_nowait((record, task))

    def _on_unresponsive(self, record: TryRecord) -> Step:
        if record.ended_at is not None:
            return Step.GIVE_UP
        record.unresponsive_at = self._clock.monotonic()
        self._try_runner.mark_unresponsive(record.peer, record.unresponsive_at)
        self._progress.fell_silent()
        return self._next_step(Code.UNKNOWN_TIMEOUT, arrived=True)

    def _on_try_ended(self, record: TryRecord, outcome: Outcome) -> Step:
        record.finish(outcome, self._clock.monotonic())
        self._outcome = final_outcome(self._outcome, outcome)
        code = Code.UNKNOWN_BROKEN
        arrived = True
        if isinstance(outcome, NoResponse):
            code = outcome.code
            arrived = outcome.arrived
        silent = record.unresponsive_at is not None
        self._progress.ended(code, arrived=arrived, silent=silent)
        if isinstance(outcome, ServerResponse) and outcome.callee_failed:
            return Step.GIVE_UP
        if self._has_good_response():
            return Step.GIVE_UP
        return self._next_step(code, arrived=arrived)

    def _next_step(self, code: Code, *, arrived: bool) -> Step:
        routed = self._plan
        now = self._clock.monotonic()
        step = next_step(
            self._progress,
            code,
            arrived=arrived,
            another=self._placement.has_other(
                routed.service, routed.tried_servers
            ),
            now=now,
            pace_s=routed.route.target_ms / MS_PER_S / 2,
            budget=self._budget,
            nodes=self._placement.nodes,
        )
        self._progress.waited = self._progress.waited or step is Step.WAIT
        return step
