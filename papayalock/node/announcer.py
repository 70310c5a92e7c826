"""Takes in the announcements of the backend server beside this node."""

import logging

from papayalock.core.heartbeats import BackendMonitor, HeartbeatEffect
from papayalock.dialect import AnnouncementDialect, Departure
from papayalock.messages import Announcement
from papayalock.node.hostagent import HostAgent
from papayalock.node.http import Call, Reply
from papayalock.ports import Clock
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

REPORT_S = 0.7  # longest wait until a control VM knows of a drain
OK = 200


class Announcer:
    """Answers announcements; one that cannot be trusted changes nothing."""

    def __init__(
        self,
        dialect: AnnouncementDialect,
        watch: BackendMonitor,
        agent: HostAgent,
        clock: Clock,
        backend: str,
        service: str,
    ) -> None:
        """Binds the parts.

        :param backend: address of the only server that may announce itself
        :param service: service of that server
        """
        self._dialect = dialect
        self._watch = watch
        self._agent = agent
        self._clock = clock
        self.backend = backend
        self.service = service

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answers one announcement."""
        try:
            heard = self._hear(self._dialect.read(call))
        except PapayalockError as exc:
            log.warning(
                'announcement refused',
                extra={'code': exc.code, 'reason': str(exc)},
            )
            reply.refuse(Code.BAD_REQUEST, str(exc))
            return
        if heard is HeartbeatEffect.CHANGED:
            await self._spread()
        reply.whole(OK, [(b'content-type', b'application/json')], b'{}')

    def _hear(self, message: Announcement | Departure) -> HeartbeatEffect:
        now = self._clock.monotonic()
        if isinstance(message, Departure):
            return self._watch.record_departure(message.server, now)
        if message.address != self.backend:
            raise PapayalockError(
                Code.BAD_MESSAGE, f'{message.address} is not beside this node'
            )
        if message.service != self.service:
            raise PapayalockError(
                Code.BAD_MESSAGE, f'service {message.service} is not here'
            )
        return self._watch.record_heartbeat(message, now)

    async def _spread(self) -> None:
        """Makes a change known; a drain is acknowledged once it is."""
        known = self._watch.announcement
        log.info(
            'backend server changed',
            extra={
                'server': known.server if known else '',
                'leaving': self._watch.is_draining(),
            },
        )
        self._agent.changed()
        if self._watch.is_draining() and not await self._agent.report(REPORT_S):
            log.warning('drain not known to a control VM yet')
