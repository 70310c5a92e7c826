"""The replies of a node to the calls that other nodes forward to it."""

from papayalock.core.admission import ServerGate
from papayalock.httpclient import Headers
from papayalock.messages import HopOrder
from papayalock.node.backendnotices import BackendNotices, notice_headers
from papayalock.node.crashreports import CrashReports
from papayalock.node.hopheaders import LOADS
from papayalock.node.http import OUTCOME_HEADER, Reply
from papayalock.node.keepalive import KeepaliveSender
from papayalock.node.outcome import NoResponse, Outcome, ServerResponse
from papayalock.node.relayedcall import LOAD_HEADER
from papayalock.node.responsepacer import ResponsePacer
from papayalock.ports import Clock

ARRIVED_HEADER = b'papayalock-arrived'
TOOK_HEADER = b'papayalock-took'
CALLEE_FAILED_HEADER = b'papayalock-callee-failed'
MS_PER_S = 1000
SERVICE_UNAVAILABLE = 503


class HopReplies:
    """Sends outcomes, with the state of the server that they tell."""

    def __init__(
        self,
        gate: ServerGate,
        notices: BackendNotices,
        crash_reports: CrashReports,
        clock: Clock,
        alive_ms: int,
    ) -> None:
        """Binds the parts whose state replies tell.

        :param alive_ms: interval of keepalives to the calling node
        """
        self._alive_ms = alive_ms
        self._gate = gate
        self._notices = notices
        self._crash_reports = crash_reports
        self._clock = clock
        self._pacer = ResponsePacer(gate.link, clock)

    def keepalives(self, reply: Reply) -> KeepaliveSender:
        """Returns what sends keepalives until the reply begins."""
        return KeepaliveSender(reply, self._alive_ms)

    async def send(
        self,
        order: HopOrder,
        outcome: Outcome,
        began: float,
        reply: Reply,
        *,
        short: bool,
    ) -> None:
        """Sends the outcome of a call.

        :param began: when the call arrived, in monotonic seconds
        :param short: whether the calling node reads the short form of headers
        """
        took_ms = (self._clock.monotonic() - began) * MS_PER_S
        state = self._state_headers(order, short=short)
        state.append((TOOK_HEADER, b'%d' % took_ms))
        if isinstance(outcome, NoResponse):
            _send_no_response(outcome, state, reply)
            return
        self._gate.link.record_size(order.route, len(outcome.body))
        headers = [*outcome.headers, *state, (OUTCOME_HEADER, b'0 DONE')]
        if outcome.callee_failed:
            headers.append((CALLEE_FAILED_HEADER, b'1'))
        response = ServerResponse(outcome.status, headers, outcome.body)
        await self._pacer.send(reply, response)

    def _state_headers(self, order: HopOrder, *, short: bool) -> Headers:
        """Returns the headers that tell other nodes the server's state."""
        load = (LOAD_HEADER, LOADS.encode(self._gate.load(), short=short))
        notice = notice_headers(self._notices.current)
        return [load, *notice, *self._crash_reports.headers(order.request)]


def _send_no_response(
    outcome: NoResponse, state: Headers, reply: Reply
) -> None:
    code = outcome.code
    headers = [
        *state,
        (OUTCOME_HEADER, b'%d %s' % (code.value, code.name.encode())),
        (ARRIVED_HEADER, b'%d' % outcome.arrived),
        (b'retry-after', b'%d' % outcome.retry_after_ms),
    ]
    reply.send(SERVICE_UNAVAILABLE, headers, outcome.reason.encode())
