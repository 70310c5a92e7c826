"""Routes and retries the calls that a node with register routing receives."""

import asyncio
import logging
from collections.abc import Coroutine
from functools import partial
from typing import Any

from papayalock.core.gate import Gate
from papayalock.core.retry import (
    FailedTry,
    Retry,
    RetryBudget,
    RetryDecision,
    RetryPolicy,
)
from papayalock.core.routing import Balancer, Server
from papayalock.node.admin import ADMIN_PREFIX, Admin
from papayalock.node.agent import Agent
from papayalock.node.atmostonce import AtMostOnceRunner
from papayalock.node.counters import Counters
from papayalock.node.dispatch import Dispatcher
from papayalock.node.http import Call, Reply
from papayalock.node.keepalive import KeepaliveSender
from papayalock.node.relayedcall import (
    ATTEMPT_HEADER,
    HOP_HEADER,
    MAX_DEPTH,
    Delivered,
    Failed,
    RelayedCall,
    TryOutcome,
    final_failure,
    parse_attempt,
)
from papayalock.ports import Clock
from papayalock.result import Code

log = logging.getLogger(__name__)

MS_PER_S = 1000
SUBSCRIBE_TIMEOUT_S = 1.0  # for the routes of a service not yet subscribed


class Relay:
    """Routes calls, chooses their servers and decides on retries."""

    def __init__(
        self,
        agent: Agent,
        balancer: Balancer,
        gate: Gate,
        dispatcher: Dispatcher,
        at_most_once: AtMostOnceRunner,
        policy: RetryPolicy,
        admin: Admin,
        counters: Counters,
        clock: Clock,
        *,
        alive_ms: int,
        budget_percent: int,
        budget_floor: int,
    ) -> None:
        """Starts without calls.

        :param alive_ms: interval of keepalives to the calling node
        :param budget_percent: retries per hundred calls
        :param budget_floor: retries per second that are always allowed
        """
        self._agent = agent
        self._balancer = balancer
        self._gate = gate
        self._dispatcher = dispatcher
        self._at_most_once = at_most_once
        self._policy = policy
        self._admin = admin
        self._counters = counters
        self._clock = clock
        self._started_at = clock.monotonic()
        self._alive_ms = alive_ms
        self._budget_percent = budget_percent
        self._budget_floor = budget_floor
        self._budgets: dict[str, RetryBudget] = {}
        self._background: set[asyncio.Task[TryOutcome]] = set()

    async def handle(self, call: Call, reply: Reply) -> None:
        """Handles an admin request or a call, and sends the response."""
        path = call.target.split(b'?', 1)[0].decode('latin-1')
        if path.startswith(ADMIN_PREFIX):
            await self._admin.handle(call, reply, path)
            return
        service = call.header(b'host').decode('latin-1').split(':')[0]
        relayed = RelayedCall(call, reply, service, path)
        outcome = await self._handle_call(relayed)
        self._counters.count(
            outcome.code if isinstance(outcome, Failed) else Code.DONE
        )
        if isinstance(outcome, Failed) and not reply.started:
            reply.refuse(outcome.code, outcome.reason, outcome.retry_after_ms)

    async def idle(self) -> None:
        """Waits until no call that is not idempotent is running."""
        while self._background:
            await asyncio.wait(set(self._background))

    async def _handle_call(self, relayed: RelayedCall) -> TryOutcome:
        failed = await self._set_route(relayed)
        if failed is not None:
            return failed
        if relayed.call.header(HOP_HEADER):
            with KeepaliveSender(relayed.reply, self._alive_ms) as keepalives:
                relayed.should_give_up = partial(_stop_keepalives, keepalives)
                return await self._run_forwarded(relayed)
        if relayed.route.repeatable:
            return await self._run_with_retries(relayed)
        prefer_local = (
            self._is_served_locally(relayed) and self._gate.has_free_slot
        )
        return await self._run_uncancelled(
            self._at_most_once.run(relayed, prefer_local=prefer_local)
        )

    async def _set_route(self, relayed: RelayedCall) -> Failed | None:
        if _is_ambiguous(relayed.path) or relayed.depth > MAX_DEPTH:
            return Failed(
                Code.BAD_REQUEST, 'ambiguous path or calls nested too deep'
            )
        routes = self._agent.routes
        if relayed.service not in routes.parts:
            if not await self._agent.subscribe(
                relayed.service, SUBSCRIBE_TIMEOUT_S
            ):
                return Failed(Code.NO_ROUTE, f'no service {relayed.service}')
            routes = self._agent.routes
        self._agent.touch(relayed.service)
        part = routes.parts[relayed.service]
        if not part.routes:
            return Failed(
                Code.NO_SERVER, f'{relayed.service} has had no backend server'
            )
        route = routes.match(
            relayed.service, relayed.call.method.decode('latin-1'), relayed.path
        )
        if route is None:
            return Failed(
                Code.NO_ROUTE, f'no operation of {relayed.service} matches'
            )
        if not routes.allowed(route, relayed.caller):
            return Failed(
                Code.DENIED, f'{relayed.caller} may not call {route.operation}'
            )
        relayed.bind_route(part, route, self._clock.monotonic())
        return None

    async def _run_forwarded(self, relayed: RelayedCall) -> TryOutcome:
        """Runs a call that another node forwarded here."""
        if relayed.route.repeatable:
            return await self._dispatcher.run_locally(relayed)
        relayed.attempt = parse_attempt(relayed.call.header(ATTEMPT_HEADER))
        if relayed.attempt is None:
            return Failed(Code.STALE_ATTEMPT, 'no attempt is named')
        return await self._run_uncancelled(
            self._dispatcher.run_locally(relayed)
        )

    async def _run_uncancelled(
        self, run: Coroutine[Any, Any, TryOutcome]
    ) -> TryOutcome:
        """Runs a call to its end, even if its caller disconnects."""
        task = asyncio.ensure_future(run)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return await asyncio.shield(task)

    async def _run_with_retries(self, relayed: RelayedCall) -> TryOutcome:
        budget = self._budget(relayed.service)
        budget.record_call()
        avoid: frozenset[str] = frozenset()
        failure: Failed | None = None
        while True:
            server = self._choose(relayed, avoid)
            avoid = avoid | self._tried_server(server)
            relayed.tries += 1
            relayed.retry = None
            relayed.should_give_up = partial(
                self._should_give_up, relayed, avoid, budget
            )
            outcome = await self._run_try(relayed, server)
            if isinstance(outcome, Delivered):
                return outcome
            failure = final_failure(failure, outcome)
            decision = relayed.retry or self._decide_retry(
                relayed, outcome.code, budget
            )
            if not isinstance(decision, Retry):
                return failure
            self._counters.count_retry()
            await asyncio.sleep(decision.delay_ms / MS_PER_S)

    def _should_give_up(
        self, relayed: RelayedCall, avoid: frozenset[str], budget: RetryBudget
    ) -> bool:
        """Whether to cancel an unresponsive try, as another one follows."""
        other_server = self._balancer.choose(
            relayed.part, self._clock.monotonic(), avoid=avoid, retrying=True
        )
        if other_server is None:
            return False
        decision = self._decide_retry(relayed, Code.UNKNOWN_TIMEOUT, budget)
        if isinstance(decision, Retry):
            relayed.retry = decision
        return relayed.retry is not None

    async def _run_try(
        self, relayed: RelayedCall, server: Server | None
    ) -> TryOutcome:
        if server is not None and not self._is_local(server):
            return await self._dispatcher.forward_to_node(relayed, server)
        if self._is_served_locally(relayed):
            return await self._dispatcher.run_locally(relayed)
        return Failed(
            Code.NO_SERVER,
            f'no backend server of {relayed.service} can be used',
        )

    def _choose(
        self, relayed: RelayedCall, avoid: frozenset[str]
    ) -> Server | None:
        """Returns the server to try; None means the local one."""
        if (
            not avoid
            and self._is_served_locally(relayed)
            and self._gate.has_free_slot
        ):
            return None
        return self._balancer.choose(
            relayed.part,
            self._clock.monotonic(),
            avoid=avoid,
            retrying=bool(avoid),
        )

    def _tried_server(self, server: Server | None) -> frozenset[str]:
        """Returns the name of the server of a try; None is the local one."""
        if server is not None:
            return frozenset((server.endpoint.server,))
        own = self._agent.backend.serving
        return frozenset((own.server,)) if own is not None else frozenset()

    def _decide_retry(
        self, relayed: RelayedCall, code: Code, budget: RetryBudget
    ) -> RetryDecision:
        now = self._clock.monotonic()
        failed_try = FailedTry(
            code=code,
            tries=relayed.tries,
            repeatable=relayed.route.repeatable,
            outermost=relayed.outermost,
            remaining_ms=relayed.deadline.remaining_ms(now),
        )
        return self._policy.decide(failed_try, budget, now)

    def _is_served_locally(self, relayed: RelayedCall) -> bool:
        serving = self._agent.backend.serving
        if serving is None or self._gate.draining:
            return False
        return serving.service == relayed.service

    def _is_local(self, server: Server) -> bool:
        serving = self._agent.backend.serving
        return serving is not None and serving.server == server.endpoint.server

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._budget_percent, self._budget_floor, self._started_at
            )
            self._budgets[service] = budget
        return budget


def _stop_keepalives(keepalives: KeepaliveSender) -> bool:
    """Stops keepalives, so that the calling node sees an unresponsive server.

    The try itself continues.
    """
    keepalives.stop()
    return False


def _is_ambiguous(path: str) -> bool:
    lowered = path.lower()
    return (
        '/../' in f'{lowered}/'
        or '%2f' in lowered
        or '%2e' in lowered
        or '//' in lowered
    )
