"""The outbound proxy of a node with host routing: runs the calls of its VM."""

from papayalock.core.budget import ServiceBudgets, SharedBudget
from papayalock.core.crashes import request_digest
from papayalock.core.hedging import (
    FREE_SLOT_SEARCH_SHARE,
    CallProgress,
    SlotSearch,
)
from papayalock.core.hostroutes import TrafficSplitter
from papayalock.core.refusals import RefusedCall, RefusedCalls
from papayalock.core.shutdowntimes import RETRY_AFTER_MS, ShutdownTimes
from papayalock.dialect import CallDialect
from papayalock.messages import HostRoute
from papayalock.node.accesslog import AccessLog, RoutedCall
from papayalock.node.callchecks import CallChecks
from papayalock.node.crashreports import CrashReports
from papayalock.node.hedge import HedgedCall
from papayalock.node.hostagent import HostAgent
from papayalock.node.hostmetrics import HostMetrics
from papayalock.node.http import Call, Reply
from papayalock.node.inbound import InboundProxy
from papayalock.node.lag import LoopLag
from papayalock.node.outcome import NoResponse, Outcome, ServerResponse
from papayalock.node.quotaclient import QuotaClient
from papayalock.node.tryrunner import TryRunner
from papayalock.pool import Pool
from papayalock.ports import Clock, Random
from papayalock.result import Code
from papayalock.settings import Settings

MS_PER_S = 1000


class OutboundProxy:
    """Routes the calls that services on this VM make, and answers them."""

    def __init__(
        self,
        settings: Settings,
        agent: HostAgent,
        inbound: InboundProxy,
        pool: Pool,
        dialect: CallDialect,
        clock: Clock,
        metrics: HostMetrics,
        lag: LoopLag,
        shutdown_times: ShutdownTimes,
        rng: Random,
        crash_reports: CrashReports,
        *,
        started_at: float,
    ) -> None:
        """Starts without calls.

        :param started_at: when the node started, in monotonic seconds
        """
        self._settings = settings
        self._shutdown_times = shutdown_times
        self._agent = agent
        self._placement = agent.placement
        self._inbound = inbound
        self.try_runner = TryRunner(
            settings, agent.placement, inbound, pool, clock, crash_reports
        )
        self.checks = CallChecks(settings, agent, dialect, clock)
        self.quotas = QuotaClient(
            settings,
            agent.control_selector,
            agent.pool,
            clock,
            agent.incarnation,
        )
        self._digest_key = settings.hosts.digest_key.encode()
        self._dialect = dialect
        self._clock = clock
        self._exposure = agent.exposure
        self._splitter = TrafficSplitter(rng, self._is_reachable)
        self._budgets = ServiceBudgets(
            settings.retry.window_ms,
            settings.retry.window_share,
            settings.retry.window_floor,
            started_at=started_at,
        )
        self._searches: dict[str, SlotSearch] = {}
        self._refused_calls = RefusedCalls()
        self._access_log = AccessLog(
            agent, clock, metrics, lag, settings.log.sample, started_at
        )

    async def handle(self, call: Call, reply: Reply) -> None:
        """Runs a call and sends its response, or the reason for having none."""
        outcome = await self._run(call)
        if isinstance(outcome, ServerResponse):
            reply.send(outcome.status, outcome.headers, outcome.body)
            return
        refusal = self._dialect.error_response(
            outcome.code, outcome.retry_after_ms
        )
        reply.send(refusal.status, refusal.headers, b'')

    @property
    def busy(self) -> bool:
        """Whether a call that is not idempotent runs at the local server."""
        return self._inbound.busy

    async def _run(self, call: Call) -> Outcome:
        routed = self._route_call(call)
        if isinstance(routed, NoResponse):
            self._access_log.log_unrouted(
                self._dialect.read_metadata(call).call, routed
            )
            return routed
        budget = self._budgets.find(routed.service)
        outcome = await self.quotas.run_call(
            routed.customer, lambda: self._run_routed(routed, budget)
        )
        self._access_log.log_ended(routed, outcome, budget)
        if isinstance(outcome, NoResponse) or outcome.failed:
            self._inbound.callee_failures += 1
            self._refused_calls.remember(
                RefusedCall(
                    routed.request,
                    routed.first_arrived_at,
                    routed.caller_deadline_at,
                )
            )
        return outcome

    async def _run_routed(
        self, routed: RoutedCall, budget: SharedBudget
    ) -> Outcome:
        budget.record_call(self._clock.monotonic())
        return await self._run_to_deadline(routed, budget)

    def _route_call(self, call: Call) -> RoutedCall | NoResponse:
        unconfigured = self.checks.refuse_unconfigured()
        if unconfigured is not None:
            return unconfigured
        host = call.header(b'host').decode('latin-1').lower()
        path = call.target.split(b'?', 1)[0].decode('latin-1')
        route = self._agent.host_table.match(host.split(':')[0], path)
        if route is None:
            return self.checks.refuse_unrouted(f'{host}{path}')
        routed = self._apply_route(call, route)
        refusal = self.checks.identify_customer(routed)
        if refusal is not None:
            return refusal
        if self._shutdown_times.refuses_local(
            routed.deadline_at, routed.arrived_at
        ):
            return NoResponse(Code.DRAINING, 'the node stops', RETRY_AFTER_MS)
        return routed

    def _apply_route(self, call: Call, route: HostRoute) -> RoutedCall:
        now = self._clock.monotonic()
        metadata = self._dialect.read_metadata(call)
        request = request_digest(
            call.method,
            call.header(b'host'),
            call.target,
            call.body,
            self._digest_key,
        )
        caller_deadline_ms = metadata.deadline_ms or route.timeout_ms
        caller_deadline_at = now + caller_deadline_ms / MS_PER_S
        refused_at = self._refused_calls.find_first_arrival(
            request, caller_deadline_at, now
        )
        return RoutedCall(
            call=call,
            metadata=metadata,
            arrived_at=now,
            first_arrived_at=now if refused_at is None else refused_at,
            route=route,
            service=self._splitter.choose(route, now),
            caller_deadline_at=caller_deadline_at,
            request=request,
        )

    async def _run_to_deadline(
        self, routed: RoutedCall, budget: SharedBudget
    ) -> Outcome:
        """Runs a call until its deadline.

        When the caller disconnects, the node of the server decides whether
        the call has to continue.
        """
        hedged = HedgedCall(
            routed,
            self._new_progress(routed),
            budget,
            self._placement,
            self.try_runner,
            self._clock,
            self._access_log.log_retry,
        )
        return await hedged.run()

    def _new_progress(self, routed: RoutedCall) -> CallProgress:
        candidates = self._settings.hosts.candidates
        search = self._searches.setdefault(
            routed.service, SlotSearch(candidates)
        )
        return CallProgress(
            repeatable=routed.route.repeatable,
            max_runs=routed.route.tries,
            max_refusals=candidates,
            deadline_at=routed.deadline_at,
            search=search,
            queue_after=routed.arrived_at
            + FREE_SLOT_SEARCH_SHARE * routed.route.target_ms / MS_PER_S,
            first_cohort=self._exposure.choose(
                routed.service, routed.arrived_at
            ),
            cohort=self._exposure.repeat(routed.service),
        )

    def _is_reachable(self, service: str, now: float) -> bool:
        cohort = self._exposure.repeat(service)
        return self._placement.is_reachable(service, now, cohort)
