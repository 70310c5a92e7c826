"""Single tries of host-routed calls: at the own server, or over another node."""

import asyncio
import logging

import msgspec

from papayalock.core.directory import Peer
from papayalock.core.placing import Placement
from papayalock.messages import HopOrder, ServerLoad
from papayalock.node.accesslog import RoutedCall, TryRecord
from papayalock.node.http import OUTCOME_HEADER
from papayalock.node.inbound import (
    MAX_RESPONSE_BYTES,
    ARRIVED_HEADER,
    CALLEE_FAILED_HEADER,
    NOT_FORWARDED,
    ORDER_HEADER,
    InboundProxy,
)
from papayalock.node.outcome import (
    ServerResponse,
    NoResponse,
    Outcome,
    read_code,
)
from papayalock.node.relayedcall import LOAD_HEADER
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import Settings
from papayalock.wire import OnSilent, Request, Response, WireError

log = logging.getLogger(__name__)

MS_PER_S = 1000
RESPONSE_MARGIN_S = 0.002  # left for the way back of an answer
_LOAD = msgspec.json.Decoder(ServerLoad)


class TryRunner:
    """Runs tries; it decides nothing about further ones."""

    def __init__(
        self,
        settings: Settings,
        placement: Placement,
        inbound: InboundProxy,
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
        routed: RoutedCall,
        record: TryRecord,
        on_silent: OnSilent,
        *,
        may_wait: bool,
    ) -> Outcome:
        """Runs one try of a call at one server, however long it takes.

        :param on_silent: called when the other node gives no sign of life
        """
        peer = record.peer
        self._placement.started(peer)
        code = Code.UNKNOWN_BROKEN
        try:
            if peer.endpoint.address == self._own_address:
                order = self._order(routed, peer, may_wait=may_wait)
                outcome = await self._inbound.run(order, routed.call)
            else:
                outcome = await self._forward(routed, peer, on_silent, may_wait)
            code = self._server_code(routed, record, outcome)
        except asyncio.CancelledError:
            code = Code.DEADLINE_BEFORE_RUN
            raise
        finally:
            self._placement.finished(peer, code, self._clock.monotonic())
        return outcome

    def _server_code(
        self, routed: RoutedCall, record: TryRecord, outcome: Outcome
    ) -> Code:
        """Returns what a try's end says of its server; silence was told before."""
        if isinstance(outcome, ServerResponse):
            self._placement.answered(routed.route.name, len(outcome.body))
            return Code.DONE
        if outcome.code.unknown and record.unresponsive_at is not None:
            return Code.DEADLINE_BEFORE_RUN
        return outcome.code

    def mark_unresponsive(self, peer: Peer, now: float) -> None:
        """Passes over a server that fell silent, and its idle connections."""
        self._placement.silent(peer, now)
        self._pool.drop(peer.endpoint.address)

    def _order(
        self, routed: RoutedCall, peer: Peer, *, may_wait: bool
    ) -> HopOrder:
        now = self._clock.monotonic()
        route = routed.route
        return HopOrder(
            call=routed.terms.call,
            service=routed.service,
            server=peer.endpoint.server,
            route=route.name,
            repeatable=route.repeatable,
            rank=route.rank,
            remaining_ms=max(
                1,
                int((routed.deadline_at - RESPONSE_MARGIN_S - now) * MS_PER_S),
            ),
            target_ms=int((routed.target_at - now) * MS_PER_S),
            caller=self.own_service,
            returning=routed.returning,
            may_wait=may_wait,
        )

    async def _forward(
        self,
        routed: RoutedCall,
        peer: Peer,
        on_silent: OnSilent,
        may_wait: bool,
    ) -> Outcome:
        """Sends a call to another node.

        Without a body there is nothing to hold back until the node has shown
        itself, so a call that may run once then gets a connection of its own.
        """
        once = not routed.route.repeatable
        address = peer.endpoint.address
        try:
            conn = await self._pool.take(
                address, fresh=once and not routed.call.body
            )
        except WireError as exc:
            return NoResponse(exc.code, str(exc))
        whole = False
        try:
            response = await conn.call(
                self._request(routed, peer, may_wait=may_wait),
                self._silence_ms,
                expect=once,
                on_silent=on_silent,
            )
            body = await response.read_all(MAX_RESPONSE_BYTES)
            whole = True
        except WireError as exc:
            self._pool.drop(address)
            return NoResponse(exc.code, str(exc), arrived=exc.sent)
        finally:
            if whole:
                self._pool.give(address, conn)
            else:
                conn.close()
        return self._read_outcome(peer, response, body)

    def _request(
        self, routed: RoutedCall, peer: Peer, *, may_wait: bool
    ) -> Request:
        call = routed.call
        order = self._order(routed, peer, may_wait=may_wait)
        headers = [
            pair for pair in call.headers if pair[0] not in NOT_FORWARDED
        ]
        headers.append((ORDER_HEADER, msgspec.json.encode(order)))
        return Request(call.method, call.target, headers, call.body)

    def _read_outcome(
        self, peer: Peer, response: Response, body: bytes
    ) -> Outcome:
        self._record_load(peer, response.header(LOAD_HEADER))
        code = read_code(response.header(OUTCOME_HEADER))
        if code is None:
            return NoResponse(
                Code.INCOMPLETE_ANSWER, 'no outcome', arrived=True
            )
        if code == Code.DONE:
            headers = [
                pair
                for pair in response.headers
                if pair[0] not in NOT_FORWARDED
            ]
            callee_failed = response.header(CALLEE_FAILED_HEADER) == b'1'
            return ServerResponse(response.status, headers, body, callee_failed)
        retry_after = response.header(b'retry-after')
        return NoResponse(
            code,
            body.decode('latin-1'),
            int(retry_after) if retry_after.isdigit() else 0,
            arrived=response.header(ARRIVED_HEADER) == b'1',
        )

    def _record_load(self, peer: Peer, header: bytes) -> None:
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
