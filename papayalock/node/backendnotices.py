"""What the backend server beside a node states about itself.

It states this in its responses; a node that has just started also adopts what
other nodes have heard.
"""

import logging
from collections.abc import Callable

import msgspec

from papayalock.core.heartbeats import BackendMonitor, HeartbeatEffect
from papayalock.core.servernotices import NOTHING
from papayalock.dialect import CallDialect
from papayalock.httpclient import Headers, Response
from papayalock.messages import Announcement, NodeNotice, ServerNotice
from papayalock.node.http import Call
from papayalock.ports import Clock
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

NOTICE_HEADER = b'papayalock-notice'
# Responses with these codes may come from another server or another call.
NOT_OF_SERVER = frozenset((Code.OTHER_SERVER, Code.FOREIGN_ANSWER))
_NOTICE = msgspec.json.Decoder(NodeNotice)


def notice_headers(told: NodeNotice) -> Headers:
    """Returns the header that tells another node of a notice, if any."""
    if told.notice == NOTHING:
        return []
    return [(NOTICE_HEADER, msgspec.json.encode(told))]


def decode_notice(header: bytes) -> NodeNotice | None:
    """Decodes the header of another node; returns None without a header.

    :raises msgspec.MsgspecError: if it is malformed
    """
    return _NOTICE.decode(header) if header else None


class BackendNotices:
    """Updates the monitor of the local server from its notices."""

    def __init__(
        self, monitor: BackendMonitor, dialect: CallDialect, clock: Clock
    ) -> None:
        """Binds the parts; the owner adds the callbacks."""
        self._monitor = monitor
        self._dialect = dialect
        self._clock = clock
        self.on_limit_changed: list[Callable[[], None]] = []
        self.on_leaving: list[Callable[[], None]] = []

    @property
    def current(self) -> NodeNotice:
        """What the server states now, and which start of which server it is."""
        serving = self._monitor.announcement
        notice = ServerNotice(
            limit=self._monitor.limit, leaving=self._monitor.is_draining()
        )
        if serving is None:
            return NodeNotice('', 0, notice)
        return NodeNotice(serving.server, serving.born_ms, notice)

    def record_response(
        self, serving: Announcement, response: Response, sent_at: float
    ) -> None:
        """Records what the server states in a response to a call.

        A rejection may lack the limit, so only other responses lift it.

        :param serving: the start of the server that got the call
        :param sent_at: time at which the call was sent
        """
        fault = self._dialect.classify_response(
            response.status, response.headers
        )
        if fault not in NOT_OF_SERVER:
            may_lift = fault == Code.DONE
            self._record(serving, response, sent_at, may_lift=may_lift)

    def record_health_check(
        self, serving: Announcement, response: Response, sent_at: float
    ) -> None:
        """Records what the server states in a response to a health check."""
        self._record(serving, response, sent_at, may_lift=False)

    def _record(
        self,
        serving: Announcement,
        response: Response,
        sent_at: float,
        *,
        may_lift: bool,
    ) -> None:
        try:
            notice = self._dialect.read_notice(response.headers)
        except PapayalockError as exc:
            _log_invalid(serving.server, exc.code, exc)
            return
        now = self._clock.monotonic()
        states_limit = notice.limit is not None or may_lift
        if states_limit and self._monitor.record_notice(
            serving, notice, sent_at, now
        ):
            self._publish_limit(serving.server)
        if notice.leaving:
            self._record_leaving(serving, now)

    def adopt(self, call: Call) -> None:
        """Adopts a limit that the calling node has heard, see the monitor."""
        try:
            told = decode_notice(call.header(NOTICE_HEADER))
        except msgspec.MsgspecError as exc:
            _log_invalid('', Code.BAD_MESSAGE, exc)
            return
        if told is not None and self._monitor.adopt_limit(
            told, self._clock.monotonic()
        ):
            self._publish_limit(told.server)

    def _publish_limit(self, server: str) -> None:
        log.info(
            'backend server changed its limit',
            extra={'server': server, 'limit': self._monitor.limit},
        )
        for notify in self.on_limit_changed:
            notify()

    def _record_leaving(self, serving: Announcement, now: float) -> None:
        effect = self._monitor.record_leaving(serving, now)
        if effect is HeartbeatEffect.CHANGED:
            log.info('backend server leaves', extra={'server': serving.server})
            for notify in self.on_leaving:
                notify()


def _log_invalid(server: str, code: Code, exc: Exception) -> None:
    log.warning(
        'notice of a backend server is not valid',
        extra={'server': server, 'code': code, 'reason': str(exc)},
    )
