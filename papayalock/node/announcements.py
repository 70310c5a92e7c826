"""Handles the announcements of the backend server beside this node."""

import logging

from papayalock.core.heartbeats import (
    BackendMonitor,
    DropReason,
    HeartbeatEffect,
)
from papayalock.dialect import AnnouncementDialect, Departure
from papayalock.messages import Announcement
from papayalock.node.hostagent import HostAgent
from papayalock.node.http import Call, Reply
from papayalock.ports import Clock
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

DRAIN_REPORT_TIMEOUT_S = 0.7  # until a control VM has answered the report
DROPPED_LOG_INTERVAL_S = 10.0
OK = 200


class AnnouncementHandler:
    """Validates announcements and updates the server's state from them.

    An invalid one, or one of another server, is refused and changes nothing.
    """

    def __init__(
        self,
        dialect: AnnouncementDialect,
        monitor: BackendMonitor,
        agent: HostAgent,
        clock: Clock,
        backend_address: str,
        service: str,
    ) -> None:
        """Binds the parts.

        :param backend_address: the only address that may be announced
        :param service: service of the backend server
        """
        self._dialect = dialect
        self._monitor = monitor
        self._agent = agent
        self._clock = clock
        self.backend_address = backend_address
        self.service = service
        self._dropped_logged_at = float('-inf')

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answers one announcement."""
        try:
            effect = self._apply(self._dialect.read(call))
        except PapayalockError as exc:
            log.warning(
                'announcement refused',
                extra={'code': exc.code, 'reason': str(exc)},
            )
            reply.refuse(Code.BAD_REQUEST, str(exc))
            return
        if effect is HeartbeatEffect.CHANGED:
            await self._publish_change()
        elif effect is HeartbeatEffect.STALE:
            self._log_dropped(call.target.decode('latin-1'))
        reply.send(OK, [(b'content-type', b'application/json')], b'{}')

    def _apply(self, message: Announcement | Departure) -> HeartbeatEffect:
        now = self._clock.monotonic()
        if isinstance(message, Departure):
            return self._monitor.record_departure(message.server, now)
        if message.address != self.backend_address:
            raise PapayalockError(
                Code.BAD_MESSAGE,
                f'address {message.address} is not that of the backend server here',
            )
        if message.service != self.service:
            raise PapayalockError(
                Code.BAD_MESSAGE,
                f'service {message.service} is not that of the backend server here',
            )
        return self._monitor.record_heartbeat(message, now)

    def _log_dropped(self, target: str) -> None:
        """Logs that a message changed nothing, with the counts of reasons."""
        now = self._clock.monotonic()
        if now - self._dropped_logged_at < DROPPED_LOG_INTERVAL_S:
            return
        self._dropped_logged_at = now
        current = self._monitor.announcement
        log.info(
            'heartbeat dropped',
            extra={
                'target': target,
                'current': current.server if current else '',
                **_drop_counts(self._monitor),
            },
        )

    async def _publish_change(self) -> None:
        """Notifies the node's parts and a control VM of a change.

        A drain is acknowledged only once a control VM knows of it, or after
        the timeout.
        """
        current = self._monitor.announcement
        log.info(
            'backend server changed',
            extra={
                'server': current.server if current else '',
                'leaving': self._monitor.is_draining(),
            },
        )
        self._agent.backend_changed()
        if (
            self._monitor.is_draining()
            and not await self._agent.wait_until_reported(
                DRAIN_REPORT_TIMEOUT_S
            )
        ):
            log.warning('drain not yet confirmed by a control VM')


def _drop_counts(monitor: BackendMonitor) -> dict[str, int]:
    return {reason.value: monitor.dropped[reason] for reason in DropReason}
