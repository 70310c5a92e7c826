"""Hedging: one call as tries at several servers, some of them concurrent.

A node that sends nothing for ``silence_ms`` may only be slow. Its try
continues while another server is tried; the first successful response wins
and the other tries are cancelled.
"""

import asyncio
import functools
from collections.abc import Callable

from papayalock.core.budget import SharedBudget
from papayalock.core.hedging import (
    CallProgress,
    NextAction,
    next_action,
    next_server,
)
from papayalock.core.placement import Placement
from papayalock.node.accesslog import RoutedCall, TryRecord
from papayalock.node.outcome import (
    NoResponse,
    Outcome,
    ServerResponse,
    final_outcome,
)
from papayalock.node.tryrunner import TryRunner
from papayalock.ports import Clock
from papayalock.result import Code

MS_PER_S = 1000
NO_SERVER_RETRY_AFTER_MS = 300  # of calls to a service without servers

# A try that ended, or with None one whose node became unresponsive.
Event = tuple[TryRecord, 'asyncio.Task[Outcome] | None']


class HedgedCall:
    """Runs one call until a try succeeds, no server is left or time is up."""

    __slots__ = (
        '_budget',
        '_clock',
        '_events',
        '_on_retry',
        '_outcome',
        '_placement',
        '_progress',
        '_routed',
        '_running',
        '_try_runner',
    )

    def __init__(
        self,
        routed: RoutedCall,
        progress: CallProgress,
        budget: SharedBudget,
        placement: Placement,
        try_runner: TryRunner,
        clock: Clock,
        on_retry: Callable[[RoutedCall, Code, SharedBudget], None],
    ) -> None:
        """Prepares the call; no try is started yet.

        :param routed: the call; its tries are recorded in it
        :param progress: counts of tries, which decide on further ones
        :param budget: retry budget of the service
        :param on_retry: called after each retry that the budget granted, with
            the outcome that led to it
        """
        self._on_retry = on_retry
        self._routed = routed
        self._progress = progress
        self._budget = budget
        self._placement = placement
        self._try_runner = try_runner
        self._clock = clock
        self._running: set[asyncio.Task[Outcome]] = set()
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._outcome: Outcome | None = None

    async def run(self) -> Outcome:
        """Returns the outcome of the call, at the latest at its deadline."""
        remaining_s = self._routed.deadline_at - self._clock.monotonic()
        try:
            async with asyncio.timeout(remaining_s):
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
            f'no backend server of {self._routed.service}',
            NO_SERVER_RETRY_AFTER_MS,
        )

    async def _run_tries(self) -> None:
        self._start_try()
        while self._running or not self._events.empty():
            record, task = await self._events.get()
            if task is None:
                action = self._on_unresponsive(record)
            else:
                action = self._on_try_ended(record, task.result())
            if self._has_good_response():
                return
            if action is not NextAction.GIVE_UP:
                self._start_try()

    def _has_good_response(self) -> bool:
        outcome = self._outcome
        return isinstance(outcome, ServerResponse) and not outcome.failed

    def _start_try(self) -> None:
        """Starts a try at the next server, if one is left."""
        routed = self._routed
        now = self._clock.monotonic()
        server = next_server(
            self._placement,
            self._progress,
            routed.service,
            routed.route.name,
            routed.tried_servers,
            now,
        )
        if server is None:
            return
        record = TryRecord(server, now)
        routed.tries.append(record)
        self._progress.try_started()
        on_unresponsive = functools.partial(
            self._events.put_nowait, (record, None)
        )
        task = asyncio.ensure_future(
            self._try_runner.run(
                routed,
                record,
                on_unresponsive,
                may_wait=self._progress.may_queue,
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

    def _on_unresponsive(self, record: TryRecord) -> NextAction:
        """Decides whether to hedge; the unresponsive try keeps running."""
        if record.ended_at is not None:
            return NextAction.GIVE_UP
        record.unresponsive_at = self._clock.monotonic()
        self._try_runner.mark_unresponsive(
            record.server, record.unresponsive_at
        )
        self._progress.try_unresponsive()
        return self._next_action(Code.UNKNOWN_TIMEOUT, arrived=True)

    def _on_try_ended(self, record: TryRecord, outcome: Outcome) -> NextAction:
        """Records the outcome of a try and decides what follows it."""
        now = self._clock.monotonic()
        record.finish(outcome, now)
        self._outcome = final_outcome(self._outcome, outcome)
        code = Code.UNKNOWN_BROKEN
        arrived = True
        if isinstance(outcome, NoResponse):
            code = outcome.code
            arrived = outcome.arrived
        unresponsive = record.unresponsive_at is not None
        self._progress.try_ended(
            code,
            arrived=arrived,
            unresponsive=unresponsive,
            took_s=now - record.started_at,
        )
        if isinstance(outcome, ServerResponse) and outcome.callee_failed:
            return NextAction.GIVE_UP
        if self._has_good_response():
            return NextAction.GIVE_UP
        return self._next_action(code, arrived=arrived)

    def _next_action(self, code: Code, *, arrived: bool) -> NextAction:
        routed = self._routed
        now = self._clock.monotonic()
        action = next_action(
            self._progress,
            code,
            arrived=arrived,
            has_untried=self._placement.has_untried(
                routed.service, routed.tried_servers, self._progress.cohort
            ),
            now=now,
            service_s=routed.route.target_ms / MS_PER_S / 2,
            budget=self._budget,
            nodes=self._placement.count_nodes(now),
        )
        self._progress.may_queue = (
            self._progress.may_queue or action is NextAction.WAIT
        )
        if action is NextAction.REPEAT:
            self._on_retry(routed, code, self._budget)
        return action
