"""Single tries of host-routed calls: at the own server, or over another node."""

import asyncio
import logging

import msgspec

from papayalock.core.directory import Peer
from papayalock.core.placing import Placement
from papayalock.messages import HopOrder, ServerLoad
from papayalock.node.calljournal import Plan, Trail
from papayalock.node.http import OUTCOME_HEADER
from papayalock.node.inbound import (
    ANSWER_BYTES,
    ARRIVED_HEADER,
    CALLEE_HEADER,
    NOT_PASSED_ON,
    ORDER_HEADER,
    Inbound,
)
from papayalock.node.outcome import Answered, NoAnswer, Outcome, read_code
from papayalock.node.trip import LOAD_HEADER
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import Settings
from papayalock.httpclient import (
    OnUnresponsive,
    Request,
    Response,
    TransportError,
)

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
MARGIN_S = 0.002  # left for the way back of an answer
_LOAD = msgspec.json.Decoder(ServerLoad)


class Tries:
    """Runs tries; it decides nothing about further ones."""

    def __init__(
        self,
        settings: Settings,
        placement: Placement,
        inbound: Inbound,
        pool: Pool,
        clock: Clock,
    ) -> None:
        """Binds the parts."""
        self.own_service = settings.hosts.service
        self._silence_ms = settings.hosts.silence_ms
        self._own_address = settings.advertise or settings.listen
        self._placement = placement
        self._inbound = inbound
        self._pool = pool
        self._clock = clock

    async def run(
        self,
        plan: Plan,
        trail: Trail,
        on_unresponsive: OnUnresponsive,
        *,
        may_wait: bool,
    ) -> Outcome:
        """Runs one try of a call at one server, however long it takes.

        :param on_unresponsive: called when the other node gives no sign of life
        """
        peer = trail.peer
        self._placement.started(peer)
        code = Code.UNKNOWN_BROKEN
        try:
            if peer.endpoint.address == self._own_address:
                order = self._order(plan, peer, may_wait=may_wait)
                outcome = await self._inbound.run(order, plan.call)
            else:
                outcome = await self._through_node(
                    plan, peer, on_unresponsive, may_wait
                )
            code = self._judged(plan, trail, outcome)
        except asyncio.CancelledError:
            code = Code.DEADLINE_BEFORE_RUN
            raise
        finally:
            self._placement.finished(peer, code, self._clock.monotonic())
        return outcome

    def _judged(self, plan: Plan, trail: Trail, outcome: Outcome) -> Code:
        """Returns what a try's end says of its server; silence was told before."""
        if isinstance(outcome, Answered):
            self._placement.answered(plan.route.name, len(outcome.body))
            return Code.DONE
        if outcome.code.may_have_run and trail.silent_at is not None:
            return Code.DEADLINE_BEFORE_RUN
        return outcome.code

    def suspect(self, peer: Peer, now: float) -> None:
        """Passes over a server that fell silent, and its idle connections."""
        self._placement.silent(peer, now)
        self._pool.close_idle(peer.endpoint.address)

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

    async def _through_node(
        self,
        plan: Plan,
        peer: Peer,
        on_unresponsive: OnUnresponsive,
        may_wait: bool,
    ) -> Outcome:
        """Sends a call to another node.

        Without a body there is nothing to hold back until the node has shown
        itself, so a call that may run once then gets a connection of its own.
        """
        once = not plan.route.repeatable
        address = peer.endpoint.address
        try:
            conn = await self._pool.acquire(
                address, fresh=once and not plan.call.body
            )
        except TransportError as exc:
            return NoAnswer(exc.code, str(exc))
        whole = False
        try:
            response = await conn.call(
                self._request(plan, peer, may_wait=may_wait),
                self._silence_ms,
                expect_continue=once,
                on_unresponsive=on_unresponsive,
            )
            body = await response.read_all(ANSWER_BYTES)
            whole = True
        except TransportError as exc:
            self._pool.close_idle(address)
            return NoAnswer(exc.code, str(exc), arrived=exc.sent)
        finally:
            if whole:
                self._pool.release(address, conn)
            else:
                conn.close()
        return self._read_hop(peer, response, body)

    def _request(self, plan: Plan, peer: Peer, *, may_wait: bool) -> Request:
        call = plan.call
        order = self._order(plan, peer, may_wait=may_wait)
        headers = [
            pair for pair in call.headers if pair[0] not in NOT_PASSED_ON
        ]
        headers.append((ORDER_HEADER, msgspec.json.encode(order)))
        return Request(call.method, call.target, headers, call.body)

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
