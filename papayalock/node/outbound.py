"""Takes in the calls that begin on this VM and finds each a backend server."""

import asyncio

from papayalock.core.again import ASK_SHARE, Course
from papayalock.core.budget import SharedBudget
from papayalock.core.closing import RETRY_MS, Closing
from papayalock.core.hosts import Splitter
from papayalock.core.placing import Placement
from papayalock.dialect import CallDialect
from papayalock.messages import HostRoute
from papayalock.node.calljournal import CallJournal, Plan
from papayalock.node.hostagent import HostAgent
from papayalock.node.hostmetrics import HostMetrics
from papayalock.node.hedge import HedgedCall
from papayalock.node.http import Call, Reply
from papayalock.node.inbound import Inbound
from papayalock.node.lag import LoopLag
from papayalock.node.outcome import Answered, NoAnswer, Outcome
from papayalock.node.tries import Tries
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import Settings

MS = 1000  # milliseconds in a second
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
        refusal = self._dialect.error_response(
            outcome.code, outcome.retry_after_ms
        )
        reply.whole(refusal.status, refusal.headers, b'')

    @property
    def busy(self) -> bool:
        """Whether a call goes on, perhaps without its caller."""
        return bool(self._background)

    # From the call to a plan.

    async def _outcome(self, call: Call) -> Outcome:
        plan = self._plan(call)
        if isinstance(plan, NoAnswer):
            self._journal.unplanned(
                self._dialect.read_metadata(call).call, plan
            )
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
        route = self._agent.host_table.match(host.split(':')[0], path)
        if route is None:
            return NoAnswer(Code.NO_ROUTE, f'no route for {host}{path}')
        plan = self._plan_route(call, route)
        if self._closing.refuses_caller(plan.deadline_at, plan.arrived):
            return NoAnswer(Code.DRAINING, 'the node stops', RETRY_MS)
        return plan

    def _plan_route(self, call: Call, route: HostRoute) -> Plan:
        now = self._clock.monotonic()
        terms = self._dialect.read_metadata(call)
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
        call = HedgedCall(
            plan,
            self._course(plan),
            budget,
            self._placement,
            self.tries,
            self._clock,
        )
        task = asyncio.ensure_future(call.run())
        if plan.route.repeatable:
            return await task
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return await asyncio.shield(task)

    def _course(self, plan: Plan) -> Course:
        return Course(
            repeatable=plan.route.repeatable,
            most_runs=plan.route.tries,
            most_asked=self._settings.hosts.candidates,
            deadline_at=plan.deadline_at,
            ask_until=plan.arrived + ASK_SHARE * plan.route.target_ms / MS,
        )

    def _budget(self, service: str) -> SharedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            retry = self._settings.retry
            budget = SharedBudget(
                retry.window_ms, retry.window_share, retry.window_floor
            )
            self._budgets[service] = budget
        return budget
