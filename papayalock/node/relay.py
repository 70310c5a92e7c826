"""Takes in calls, routes them and decides on further tries."""

import asyncio
import logging
from collections.abc import Coroutine
from functools import partial
from typing import Any

from papayalock.core.limits import Gate
from papayalock.core.retry import (
    Again,
    Attempted,
    RetryBudget,
    RetryDecision,
    RetryPolicy,
)
from papayalock.core.routing import Balancer, Server
from papayalock.node.admin import ADMIN_PREFIX, Admin
from papayalock.node.agent import Agent
from papayalock.node.alive import SignsOfLife
from papayalock.node.counters import Counters
from papayalock.node.dispatch import Dispatcher
from papayalock.node.http import Call, Reply
from papayalock.node.once import OnceRunner
from papayalock.node.trip import (
    ATTEMPT_HEADER,
    HOP_HEADER,
    MAX_DEPTH,
    Delivered,
    Failed,
    Trip,
    TryOutcome,
    final_failure,
    parse_attempt,
)
from papayalock.ports import Clock
from papayalock.result import Code

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
SUBSCRIBE_S = 1.0  # longest wait for a service that is not yet in scope


class Relay:
    """Handles every call that a node receives."""

    def __init__(
        self,
        agent: Agent,
        balancer: Balancer,
        gate: Gate,
        dispatcher: Dispatcher,
        once: OnceRunner,
        policy: RetryPolicy,
        admin: Admin,
        counters: Counters,
        clock: Clock,
        *,
        alive_ms: int,
        budget_percent: int,
        budget_floor: int,
    ) -> None:
        """Binds the parts."""
        self._agent = agent
        self._balancer = balancer
        self._gate = gate
        self._dispatcher = dispatcher
        self._once = once
        self._policy = policy
        self._admin = admin
        self._counters = counters
        self._clock = clock
        self._alive_ms = alive_ms
        self._budget_percent = budget_percent
        self._budget_floor = budget_floor
        self._budgets: dict[str, RetryBudget] = {}
        self._background: set[asyncio.Task[TryOutcome]] = set()

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answers one call."""
        path = call.target.split(b'?', 1)[0].decode('latin-1')
        if path.startswith(ADMIN_PREFIX):
            await self._admin.handle(call, reply, path)
            return
        service = call.header(b'host').decode('latin-1').split(':')[0]
        trip = Trip(call, reply, service, path)
        outcome = await self._route(trip)
        self._counters.count(
            outcome.code if isinstance(outcome, Failed) else Code.DONE
        )
        if isinstance(outcome, Failed) and not reply.started:
            reply.refuse(outcome.code, outcome.reason, outcome.retry_after_ms)

    async def idle(self) -> None:
        """Waits until no request that may not be repeated is under way."""
        while self._background:
            await asyncio.wait(set(self._background))

    async def _route(self, trip: Trip) -> TryOutcome:
        failed = await self._bind(trip)
        if failed is not None:
            return failed
        if trip.call.header(HOP_HEADER):
            with SignsOfLife(trip.reply, self._alive_ms) as signs:
                trip.gives_up = partial(_show_silence, signs)
                return await self._receive(trip)
        if trip.route.repeatable:
            return await self._run_repeatable(trip)
        own = self._own_serves(trip) and self._gate.has_room
        return await self._uncancelled(self._once.run(trip, prefer_own=own))

    async def _bind(self, trip: Trip) -> Failed | None:
        if _is_ambiguous(trip.path) or trip.depth > MAX_DEPTH:
            return Failed(
                Code.BAD_REQUEST, 'ambiguous path or calls nested too deep'
            )
        routes = self._agent.routes
        if trip.service not in routes.parts:
            if not await self._agent.subscribe(trip.service, SUBSCRIBE_S):
                return Failed(Code.NO_ROUTE, f'no service {trip.service}')
            routes = self._agent.routes
        self._agent.touch(trip.service)
        part = routes.parts[trip.service]
        if not part.routes:
            return Failed(
                Code.NO_SERVER, f'{trip.service} has had no backend server'
            )
        route = routes.match(
            trip.service, trip.call.method.decode('latin-1'), trip.path
        )
        if route is None:
            return Failed(
                Code.NO_ROUTE, f'no operation of {trip.service} matches'
            )
        if not routes.allowed(route, trip.caller):
            return Failed(
                Code.DENIED, f'{trip.caller} may not call {route.operation}'
            )
        trip.bind(part, route, self._clock.monotonic())
        return None

    async def _receive(self, trip: Trip) -> TryOutcome:
        """Handles a call that another node sent to this gate."""
        if trip.route.repeatable:
            return await self._dispatcher.through_gate(trip)
        trip.attempt = parse_attempt(trip.call.header(ATTEMPT_HEADER))
        if trip.attempt is None:
            return Failed(Code.STALE_ATTEMPT, 'no attempt is named')
        return await self._uncancelled(self._dispatcher.through_gate(trip))

    async def _uncancelled(
        self, run: Coroutine[Any, Any, TryOutcome]
    ) -> TryOutcome:
        """Lets a request that may not be repeated go on when its caller leaves."""
        task = asyncio.ensure_future(run)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return await asyncio.shield(task)

    async def _run_repeatable(self, trip: Trip) -> TryOutcome:
        budget = self._budget(trip.service)
        budget.called()
        avoid: frozenset[str] = frozenset()
        kept: Failed | None = None
        while True:
            server = self._choose(trip, avoid)
            avoid = avoid | self._tried(server)
            trip.tries += 1
            trip.again = None
            trip.gives_up = partial(self._gives_up, trip, avoid, budget)
            outcome = await self._try(trip, server)
            if isinstance(outcome, Delivered):
                return outcome
            kept = final_failure(kept, outcome)
            decision = trip.again or self._decide(trip, outcome.code, budget)
            if not isinstance(decision, Again):
                return kept
            self._counters.count_retry()
            await asyncio.sleep(decision.delay_ms / MS)

    def _gives_up(
        self, trip: Trip, avoid: frozenset[str], budget: RetryBudget
    ) -> bool:
        """Whether a silent try is given up, since another is granted."""
        other = self._balancer.choose(
            trip.part, self._clock.monotonic(), avoid=avoid, retrying=True
        )
        if other is None:
            return False
        decision = self._decide(trip, Code.UNKNOWN_TIMEOUT, budget)
        if isinstance(decision, Again):
            trip.again = decision
        return trip.again is not None

    async def _try(self, trip: Trip, server: Server | None) -> TryOutcome:
        if server is not None and not self._is_own(server):
            return await self._dispatcher.to_server(trip, server)
        if self._own_serves(trip):
            return await self._dispatcher.through_gate(trip)
        return Failed(
            Code.NO_SERVER, f'no backend server of {trip.service} can be used'
        )

    def _choose(self, trip: Trip, avoid: frozenset[str]) -> Server | None:
        """Returns the server to try; None means this node's own gate."""
        if not avoid and self._own_serves(trip) and self._gate.has_room:
            return None
        return self._balancer.choose(
            trip.part,
            self._clock.monotonic(),
            avoid=avoid,
            retrying=bool(avoid),
        )

    def _tried(self, server: Server | None) -> frozenset[str]:
        """Returns the name of the server of a try; None is this node's own."""
        if server is not None:
            return frozenset((server.endpoint.server,))
        own = self._agent.backend.serving
        return frozenset((own.server,)) if own is not None else frozenset()

    def _decide(
        self, trip: Trip, code: Code, budget: RetryBudget
    ) -> RetryDecision:
        now = self._clock.monotonic()
        attempted = Attempted(
            code=code,
            tries=trip.tries,
            repeatable=trip.route.repeatable,
            outermost=trip.outermost,
            remaining_ms=trip.deadline.remaining_ms(now),
        )
        return self._policy.decide(attempted, budget, now)

    def _own_serves(self, trip: Trip) -> bool:
        known = self._agent.backend.serving
        if known is None or self._gate.draining:
            return False
        return known.service == trip.service

    def _is_own(self, server: Server) -> bool:
        known = self._agent.backend.serving
        return known is not None and known.server == server.endpoint.server

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            now = self._clock.monotonic()
            budget = RetryBudget(self._budget_percent, self._budget_floor, now)
            self._budgets[service] = budget
        return budget


def _show_silence(signs: SignsOfLife) -> bool:
    """Lets the calling node see that the server is silent; the try goes on."""
    signs.stop()
    return False


def _is_ambiguous(path: str) -> bool:
    lowered = path.lower()
    return (
        '/../' in f'{lowered}/'
        or '%2f' in lowered
        or '%2e' in lowered
        or '//' in lowered
    )
