"""Takes in the calls that begin on this VM and finds each a backend server."""

import asyncio
import functools

from papayalock.core.again import (
    ASK_SHARE,
    Course,
    Step,
    next_server,
    next_step,
)
from papayalock.core.budget import SharedBudget
from papayalock.core.closing import RETRY_MS, Closing
from papayalock.core.hosts import Splitter
from papayalock.core.placing import Placement
from papayalock.dialect import CallDialect
from papayalock.messages import HostRoute
from papayalock.node.calljournal import CallJournal, Plan, Trail
from papayalock.node.hostagent import HostAgent
from papayalock.node.hostmetrics import HostMetrics
from papayalock.node.http import Call, Reply
from papayalock.node.inbound import Inbound
from papayalock.node.lag import LoopLag
from papayalock.node.outcome import (
    Answered,
    NoAnswer,
    Outcome,
    final_outcome,
)
from papayalock.node.race import Race
from papayalock.node.tries import Tries
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import Settings

MS = 1000  # milliseconds in a second
NOT_READY_RETRY_MS = 300  # wait before a node is asked again
NO_ROUTES_RETRY_MS = 800  # the same for one that has just started
RETURNING_SHARE = 0.95  # of the usual deadline; with less a caller came back


class Outbound:
    """Handles every call of the callers on this VM."""

    def __init__(
        self,
        settings: Settings,
        agent: HostAgent,
        inbound: Inbound,
        pool: Pool,
        dialect: CallDialect,
        clock: Clock,
        metrics: HostMetrics,
        lag: LoopLag,
        closing: Closing,
    ) -> None:
        """Binds the parts."""
        self._settings = settings
        self._closing = closing
        self._agent = agent
        self._placement: Placement = agent.placement
        self._inbound = inbound
        self.tries = Tries(settings, agent.placement, inbound, pool, clock)
        self._dialect = dialect
        self._clock = clock
        self._splitter = Splitter()
        self._budgets: dict[str, SharedBudget] = {}
        self._usual_deadline: dict[str, int] = {}
        self._background: set[asyncio.Task[Outcome]] = set()
        self._journal = CallJournal(
            agent, clock, metrics, lag, settings.log.sample
        )

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answers one call."""
        outcome = await self._outcome(call)
        if isinstance(outcome, Answered):
            reply.whole(outcome.status, outcome.headers, outcome.body)
            return
        refusal = self._dialect.refusal(outcome.code, outcome.retry_after_ms)
        reply.whole(refusal.status, refusal.headers, b'')

    @property
    def busy(self) -> bool:
        """Whether a call goes on, perhaps without its caller."""
        return bool(self._background)

    # From the call to a plan.

    async def _outcome(self, call: Call) -> Outcome:
        plan = self._plan(call)
        if isinstance(plan, NoAnswer):
            self._journal.unplanned(self._dialect.terms(call).call, plan)
            return plan
        budget = self._budget(plan.service)
        budget.called(self._clock.monotonic())
        outcome = await self._bounded(plan, budget)
        self._journal.ended(plan, outcome, budget)
        if isinstance(outcome, NoAnswer) or outcome.failed:
            self._inbound.callee_failures += 1
        return outcome

    def _plan(self, call: Call) -> Plan | NoAnswer:
        if not self._agent.configuration.version:
            return NoAnswer(
                Code.NOT_CONFIGURED, 'no routes yet', NO_ROUTES_RETRY_MS
            )
        host = call.header(b'host').decode('latin-1').lower()
        path = call.target.split(b'?', 1)[0].decode('latin-1')
        route = self._agent.hosts.match(host.split(':')[0], path)
        if route is None:
            return NoAnswer(Code.NO_ROUTE, f'no route for {host}{path}')
        plan = self._plan_route(call, route)
        if self._closing.refuses_caller(plan.deadline_at, plan.arrived):
            return NoAnswer(Code.DRAINING, 'the node stops', RETRY_MS)
        return plan

    def _plan_route(self, call: Call, route: HostRoute) -> Plan:
        now = self._clock.monotonic()
        terms = self._dialect.terms(call)
        usual = self._usual_deadline.get(route.name, 0)
        given = terms.deadline_ms or route.timeout_ms
        self._usual_deadline[route.name] = max(usual, given)
        spent = max(0, usual - given)
        left_ms = min(given, route.timeout_ms)
        return Plan(
            call=call,
            terms=terms,
            arrived=now,
            route=route,
            service=self._splitter.choose(route),
            deadline_at=now + left_ms / MS,
            target_at=now + (route.target_ms - spent) / MS,
            returning=given < usual * RETURNING_SHARE,
        )

    async def _bounded(self, plan: Plan, budget: SharedBudget) -> Outcome:
        """Runs a call until its deadline.

        One that may not be repeated goes on when its caller leaves, so that
        its server is not stopped in the middle of it.
        """
        task = asyncio.ensure_future(self._until_deadline(plan, budget))
        if plan.route.repeatable:
            return await task
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return await asyncio.shield(task)

    async def _until_deadline(
        self, plan: Plan, budget: SharedBudget
    ) -> Outcome:
        left = plan.deadline_at - self._clock.monotonic()
        course = Course(
            repeatable=plan.route.repeatable,
            most_runs=plan.route.tries,
            most_asked=self._settings.hosts.candidates,
            deadline_at=plan.deadline_at,
            ask_until=plan.arrived + ASK_SHARE * plan.route.target_ms / MS,
        )
        try:
            async with asyncio.timeout(left):
                return await self._run(plan, course, budget)
        except TimeoutError:
            return NoAnswer(Code.UNKNOWN_TIMEOUT, 'the deadline has passed')

    async def _run(
        self, plan: Plan, course: Course, budget: SharedBudget
    ) -> Outcome:
        race = Race()
        try:
            return await self._follow(race, plan, course, budget)
        finally:
            race.cancel()

    async def _follow(
        self, race: Race, plan: Plan, course: Course, budget: SharedBudget
    ) -> Outcome:
        """Starts tries until one has an answer, or all have ended without.

        A node that falls silent may be slow; its try goes on beside the next.
        """
        kept: Outcome | None = None
        self._start(race, plan, course)
        while not race.over:
            trail, outcome = await race.next()
            if outcome is None:
                step = self._after_silence(trail, plan, course, budget)
            else:
                trail.end(outcome, self._clock.monotonic())
                kept = final_outcome(kept, outcome)
                step = self._step(trail, plan, course, budget, outcome)
                if step is Step.GIVE_UP and isinstance(outcome, Answered):
                    return kept
            if step is not Step.GIVE_UP:
                self._start(race, plan, course)
        return kept or NoAnswer(
            Code.NO_SERVER,
            f'no backend server of {plan.service}',
            NOT_READY_RETRY_MS,
        )

    def _start(self, race: Race, plan: Plan, course: Course) -> None:
        """Starts the next try, if there is a server to ask."""
        now = self._clock.monotonic()
        peer = next_server(
            self._placement,
            course,
            plan.service,
            plan.route.name,
            frozenset(one.peer.endpoint.server for one in plan.trail),
            now,
        )
        if peer is None:
            return
        trail = Trail(peer, now)
        plan.trail.append(trail)
        attempt = self.tries.run(
            plan,
            peer,
            functools.partial(race.silent, trail),
            may_wait=course.waited,
        )
        race.start(trail, attempt)

    def _after_silence(
        self, trail: Trail, plan: Plan, course: Course, budget: SharedBudget
    ) -> Step:
        now = self._clock.monotonic()
        trail.silent_at = now
        self.tries.suspect(trail.peer, now)
        course.runs += 1
        return self._next_step(
            plan, course, budget, Code.UNKNOWN_TIMEOUT, arrived=True
        )

    def _step(
        self,
        trail: Trail,
        plan: Plan,
        course: Course,
        budget: SharedBudget,
        outcome: Outcome,
    ) -> Step:
        counted = trail.silent_at is not None
        if isinstance(outcome, Answered):
            course.runs += not counted
            worth_it = outcome.failed and not outcome.callee_failed
            if not (worth_it and course.repeatable):
                return Step.GIVE_UP
            code = Code.UNKNOWN_BROKEN
            arrived = True
        else:
            code = outcome.code
            arrived = outcome.arrived
            course.runs += not (code.not_run or counted)
            course.asked += code.not_run and not arrived
        return self._next_step(plan, course, budget, code, arrived=arrived)

    def _next_step(
        self,
        plan: Plan,
        course: Course,
        budget: SharedBudget,
        code: Code,
        *,
        arrived: bool,
    ) -> Step:
        step = next_step(
            course,
            code,
            arrived=arrived,
            now=self._clock.monotonic(),
            pace_s=plan.route.target_ms / MS / 2,
            budget=budget,
            nodes=self._placement.nodes,
        )
        course.waited = course.waited or step is Step.WAIT
        return step

    def _budget(self, service: str) -> SharedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            retry = self._settings.retry
            budget = SharedBudget(
                retry.window_ms, retry.window_share, retry.window_floor
            )
            self._budgets[service] = budget
        return budget
