"""Takes in the calls that begin on this VM and finds each a backend server."""

import asyncio
import logging

import msgspec

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
from papayalock.core.directory import Peer
from papayalock.core.placing import Placement
from papayalock.dialect import CallDialect
from papayalock.messages import HopOrder, HostRoute, ServerLoad
from papayalock.node.calljournal import CallJournal, Plan, Trail
from papayalock.node.hostagent import HostAgent
from papayalock.node.hostmetrics import HostMetrics
from papayalock.node.http import OUTCOME_HEADER, Call, Reply
from papayalock.node.inbound import (
    ANSWER_BYTES,
    ARRIVED_HEADER,
    CALLEE_HEADER,
    NOT_PASSED_ON,
    ORDER_HEADER,
    Inbound,
)
from papayalock.node.lag import LoopLag
from papayalock.node.outcome import (
    Answered,
    NoAnswer,
    Outcome,
    final_outcome,
    read_code,
)
from papayalock.node.trip import LOAD_HEADER
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import Settings
from papayalock.wire import Request, Response, WireError

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
NOT_READY_RETRY_MS = 300  # wait before a node is asked again
NO_ROUTES_RETRY_MS = 800  # the same for one that has just started
RETURNING_SHARE = 0.95  # of the usual deadline; with less a caller came back
MARGIN_S = 0.002  # left for the way back of an answer
_LOAD = msgspec.json.Decoder(ServerLoad)


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
        self.own_service = settings.hosts.service
        self._closing = closing
        self._own_address = settings.advertise or settings.listen
        self._agent = agent
        self._placement: Placement = agent.placement
        self._inbound = inbound
        self._pool = pool
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
        tried: frozenset[str] = frozenset()
        kept: Outcome | None = None
        step = Step.ASK_ANOTHER
        while step is not Step.GIVE_UP:
            peer = next_server(
                self._placement,
                course,
                plan.service,
                plan.route.name,
                tried,
                self._clock.monotonic(),
            )
            if peer is None:
                break
            tried = tried | {peer.endpoint.server}
            plan.trail.append(Trail(peer, self._clock.monotonic()))
            outcome = await self._try(plan, peer, may_wait=course.waited)
            plan.trail[-1].end(outcome, self._clock.monotonic())
            kept = final_outcome(kept, outcome)
            step = self._step(plan, course, budget, outcome)
        return kept or NoAnswer(
            Code.NO_SERVER,
            f'no backend server of {plan.service}',
            NOT_READY_RETRY_MS,
        )

    def _step(
        self,
        plan: Plan,
        course: Course,
        budget: SharedBudget,
        outcome: Outcome,
    ) -> Step:
        if isinstance(outcome, Answered):
            course.runs += 1
            worth_it = outcome.failed and not outcome.callee_failed
            if not (worth_it and course.repeatable):
                return Step.GIVE_UP
            code = Code.UNKNOWN_BROKEN
            arrived = True
        else:
            code = outcome.code
            arrived = outcome.arrived
            course.runs += not code.not_run
            course.asked += code.not_run and not arrived
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

    # One try.

    async def _try(self, plan: Plan, peer: Peer, *, may_wait: bool) -> Outcome:
        order = self._order(plan, peer, may_wait=may_wait)
        self._placement.started(peer)
        code = Code.UNKNOWN_BROKEN
        try:
            if peer.endpoint.address == self._own_address:
                outcome = await self._inbound.run(order, plan.call)
            else:
                outcome = await self._hop(plan, peer, order)
            code = Code.DONE
            if isinstance(outcome, NoAnswer):
                code = outcome.code
            else:
                size = len(outcome.body)
                self._placement.answered(plan.route.name, size)
        except asyncio.CancelledError:
            code = Code.DEADLINE_BEFORE_RUN
            raise
        finally:
            self._placement.finished(peer, code, self._clock.monotonic())
        return outcome

    def _order(self, plan: Plan, peer: Peer, *, may_wait: bool) -> HopOrder:
        now = self._clock.monotonic()
        route = plan.route
        return HopOrder(
            call=plan.terms.call,
            service=plan.service,
            server=peer.endpoint.server,
            route=route.name,
            repeatable=route.repeatable,
            rank=route.rank,
            remaining_ms=max(1, int((plan.deadline_at - MARGIN_S - now) * MS)),
            target_ms=int((plan.target_at - now) * MS),
            caller=self.own_service,
            returning=plan.returning,
            may_wait=may_wait,
        )

    async def _hop(self, plan: Plan, peer: Peer, order: HopOrder) -> Outcome:
        call = plan.call
        headers = [
            pair for pair in call.headers if pair[0] not in NOT_PASSED_ON
        ]
        headers.append((ORDER_HEADER, msgspec.json.encode(order)))
        req = Request(call.method, call.target, headers, call.body)
        address = peer.endpoint.address
        try:
            conn = await self._pool.take(address)
        except WireError as exc:
            return NoAnswer(exc.code, str(exc))
        whole = False
        try:
            response = await conn.call(
                req,
                self._settings.hosts.silence_ms,
                expect=not order.repeatable,
            )
            body = await response.read_all(ANSWER_BYTES)
            whole = True
        except WireError as exc:
            self._pool.drop(address)
            return NoAnswer(exc.code, str(exc), arrived=exc.sent)
        finally:
            if whole:
                self._pool.give(address, conn)
            else:
                conn.close()
        return self._read_hop(peer, response, body)

    def _read_hop(self, peer: Peer, response: Response, body: bytes) -> Outcome:
        self._note_load(peer, response.header(LOAD_HEADER))
        code = read_code(response.header(OUTCOME_HEADER))
        if code is None:
            return NoAnswer(Code.INCOMPLETE_ANSWER, 'no outcome', arrived=True)
        if code == Code.DONE:
            headers = [
                pair
                for pair in response.headers
                if pair[0] not in NOT_PASSED_ON
            ]
            callee_failed = response.header(CALLEE_HEADER) == b'1'
            return Answered(response.status, headers, body, callee_failed)
        retry_after = response.header(b'retry-after')
        return NoAnswer(
            code,
            body.decode('latin-1'),
            int(retry_after) if retry_after.isdigit() else 0,
            arrived=response.header(ARRIVED_HEADER) == b'1',
        )

    def _note_load(self, peer: Peer, header: bytes) -> None:
        try:
            load = _LOAD.decode(header)
        except msgspec.MsgspecError as exc:
            log.warning(
                'load not read',
                extra={
                    'server': peer.endpoint.server,
                    'code': Code.BAD_MESSAGE,
                    'reason': str(exc),
                },
            )
            return
        self._placement.reported(peer, load, self._clock.monotonic())

    def _budget(self, service: str) -> SharedBudget:
        budget = self._budgets.get(service)
        if budget is None:
            retry = self._settings.retry
            budget = SharedBudget(
                retry.window_ms, retry.window_share, retry.window_floor
            )
            self._budgets[service] = budget
        return budget
