"""Runs single tries of routed calls, at the local server or another node."""

import asyncio
import logging

from papayalock.core.directory import KnownServer
from papayalock.core.placement import Placement
from papayalock.core.servernotices import NOTHING
from papayalock.httpclient import (
    OnUnresponsive,
    Request,
    Response,
    TransportError,
)
from papayalock.messages import HopOrder, NodeNotice
from papayalock.node.accesslog import RoutedCall, TryRecord
from papayalock.node.backendnotices import (
    NOTICE_HEADER,
    decode_notice,
    notice_headers,
)
from papayalock.node.crashreports import REPORT_HEADER, CrashReports
from papayalock.node.hopheaders import LOADS, ORDERS, HeaderError
from papayalock.node.http import OUTCOME_HEADER
from papayalock.node.hopreplies import (
    ARRIVED_HEADER,
    CALLEE_FAILED_HEADER,
    TOOK_HEADER,
)
from papayalock.node.inbound import (
    MAX_RESPONSE_BYTES,
    NOT_FORWARDED,
    ORDER_HEADER,
    InboundProxy,
)
from papayalock.node.outcome import (
    NoResponse,
    Outcome,
    ServerResponse,
    read_code,
)
from papayalock.node.relayedcall import LOAD_HEADER
from papayalock.pool import Pool
from papayalock.ports import Clock
from papayalock.result import Code
from papayalock.settings import Settings

log = logging.getLogger(__name__)

MS_PER_S = 1000
# Taken off the deadline of a hop, so that its response can return in time.
RESPONSE_MARGIN_S = 0.002


class TryRunner:
    """Runs single tries; :class:`HedgedCall` decides which ones."""

    def __init__(
        self,
        settings: Settings,
        placement: Placement,
        inbound: InboundProxy,
        pool: Pool,
        clock: Clock,
        crash_reports: CrashReports,
    ) -> None:
        """Starts without tries."""
        self._crash_reports = crash_reports
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
        on_unresponsive: OnUnresponsive,
        *,
        may_wait: bool,
    ) -> Outcome:
        """Runs one try of a call at one server until the try ends.

        :param on_unresponsive: called when no byte arrived from the other node for
            ``silence_ms``; the try continues
        :param may_wait: whether the call may join a queue at the server
        """
        if self._crash_reports.is_quarantined(routed.request):
            return self._crash_reports.refusal(routed.request)
        server = record.server
        self._placement.call_started(server)
        code = Code.UNKNOWN_BROKEN
        try:
            if server.endpoint.address == self._own_address:
                order = self._hop_order(routed, server, may_wait=may_wait)
                outcome = await self._inbound.run(order, routed.call)
                self._record_notice(
                    server, outcome, self._inbound.notices.current
                )
            else:
                outcome = await self._forward(
                    routed, server, on_unresponsive, may_wait
                )
            code = self._server_code(routed, record, outcome)
        except asyncio.CancelledError:
            code = Code.DEADLINE_BEFORE_RUN
            raise
        finally:
            self._placement.call_finished(server, code, self._clock.monotonic())
        return outcome

    def _server_code(
        self, routed: RoutedCall, record: TryRecord, outcome: Outcome
    ) -> Code:
        """Returns the code to record for the server of a try that ended.

        The failure of an unresponsive server was recorded when it became
        unresponsive, so it is not counted a second time.
        """
        if isinstance(outcome, ServerResponse):
            self._crash_reports.record_answer(routed.request)
            self._placement.record_response_size(
                routed.route.name, len(outcome.body)
            )
            return Code.DONE
        if outcome.code.may_have_run and record.unresponsive_at is not None:
            return Code.DEADLINE_BEFORE_RUN
        return outcome.code

    def mark_unresponsive(self, server: KnownServer, now: float) -> None:
        """Backs off from a server and drops the idle connections to it."""
        self._placement.record_unresponsive(server, now)
        self._pool.close_idle(server.endpoint.address)

    def _hop_order(
        self, routed: RoutedCall, server: KnownServer, *, may_wait: bool
    ) -> HopOrder:
        now = self._clock.monotonic()
        route = routed.route
        return HopOrder(
            call=routed.metadata.call,
            service=routed.service,
            server=server.endpoint.server,
            route=route.name,
            repeatable=route.repeatable,
            rank=routed.rank,
            remaining_ms=max(
                1,
                int((routed.deadline_at - RESPONSE_MARGIN_S - now) * MS_PER_S),
            ),
            target_ms=int((routed.target_at - now) * MS_PER_S),
            caller=self.own_service,
            customer=routed.customer.name if routed.customer else '',
            key=routed.key if routed.customer else '',
            returning=routed.returning,
            may_wait=may_wait,
            request=routed.request,
            crash_status=self._crash_reports.status(routed.request),
        )

    async def _forward(
        self,
        routed: RoutedCall,
        server: KnownServer,
        on_unresponsive: OnUnresponsive,
        may_wait: bool,
    ) -> Outcome:
        """Forwards a call to another node.

        A call that is not idempotent must not be sent on a stale connection.
        Its body is held back until the node answers 100 Continue; without a
        body there is nothing to hold back, so it gets a fresh connection.
        """
        at_most_once = not routed.route.repeatable
        address = server.endpoint.address
        began = self._clock.monotonic()
        try:
            conn = await self._pool.acquire(
                address, fresh=at_most_once and not routed.call.body
            )
        except TransportError as exc:
            return NoResponse(exc.code, str(exc))
        complete = False
        try:
            response = await conn.call(
                self._request(routed, server, may_wait=may_wait),
                self._silence_ms,
                expect_continue=at_most_once,
                on_unresponsive=on_unresponsive,
            )
            body = await response.read_all(MAX_RESPONSE_BYTES)
            complete = True
        except TransportError as exc:
            self._pool.close_idle(address)
            return NoResponse(exc.code, str(exc), arrived=exc.sent)
        finally:
            if complete:
                self._pool.release(address, conn)
            else:
                conn.close()
        took_s = self._clock.monotonic() - began
        self._record_hop(server, response.header(TOOK_HEADER), took_s)
        return self._read_outcome(server, response, body)

    def _request(
        self, routed: RoutedCall, server: KnownServer, *, may_wait: bool
    ) -> Request:
        call = routed.call
        order = self._hop_order(routed, server, may_wait=may_wait)
        headers = [
            pair for pair in call.headers if pair[0] not in NOT_FORWARDED
        ]
        content = ORDERS.encode(order, short=server.reads_short)
        headers.append((ORDER_HEADER, content))
        endpoint = server.endpoint
        notice = self._placement.notices.find(endpoint)
        headers += notice_headers(
            NodeNotice(endpoint.server, endpoint.born_ms, notice)
        )
        return Request(call.method, call.target, headers, call.body)

    def _read_outcome(
        self, server: KnownServer, response: Response, body: bytes
    ) -> Outcome:
        self._record_load(server, response.header(LOAD_HEADER))
        outcome = self._decode_outcome(response, body)
        try:
            self._crash_reports.merge_header(response.header(REPORT_HEADER))
        except HeaderError as exc:
            self._log_bad_header(server, 'crash report', exc)
        try:
            told = decode_notice(response.header(NOTICE_HEADER))
        except HeaderError as exc:
            self._log_bad_header(server, 'notice', exc)
        else:
            self._record_notice(server, outcome, told)
        return outcome

    def _decode_outcome(self, response: Response, body: bytes) -> Outcome:
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

    def _record_notice(
        self,
        server: KnownServer,
        outcome: Outcome,
        told: NodeNotice | None,
    ) -> None:
        """Records what a server states, as its node says.

        A node that has had no response of the server may not know it yet, and
        one may tell of another server than the one that was asked for.
        """
        notices = self._placement.notices
        arrived = isinstance(outcome, ServerResponse) or outcome.arrived
        now = self._clock.monotonic()
        if told is not None:
            notices.record(told.server, told.born_ms, told.notice, now)
        elif arrived:
            endpoint = server.endpoint
            notices.record(endpoint.server, endpoint.born_ms, NOTHING, now)

    def _log_bad_header(
        self, server: KnownServer, name: str, exc: Exception
    ) -> None:
        log.warning(
            'header of another node is not valid',
            extra={
                'server': server.endpoint.server,
                'header': name,
                'code': Code.BAD_MESSAGE,
                'reason': str(exc),
            },
        )

    def _record_hop(
        self, server: KnownServer, header: bytes, took_s: float
    ) -> None:
        """Records the time that a call spent outside the server's node.

        A node that tells the time there also reads the short form of headers.
        """
        server.reads_short = header.isdigit()
        if server.reads_short:
            hop_s = max(0.0, took_s - int(header) / MS_PER_S)
            now = self._clock.monotonic()
            self._placement.record_hop(server, hop_s, now)

    def _record_load(self, server: KnownServer, header: bytes) -> None:
        try:
            load = LOADS.decode(header)
        except HeaderError as exc:
            self._log_bad_header(server, 'load', exc)
            return
        self._placement.record_load(server, load, self._clock.monotonic())
