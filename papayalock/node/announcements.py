"""Handles the announcements of the backend server beside this node."""

import logging

from papayalock.core.heartbeats import BackendWatch, Heard
from papayalock.dialect import AnnouncementDialect, Departure
from papayalock.messages import Announcement
from papayalock.node.hostagent import HostAgent
from papayalock.node.http import Call, Reply
from papayalock.ports import Clock
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

DRAIN_REPORT_TIMEOUT_S = 0.7  # until a control VM has answered the report
OK = 200


class AnnouncementHandler:
    """Validates announcements and updates the server's state from them.

    An invalid one, or one of another server, is refused and changes nothing.
    """

    def __init__(
        self,
        dialect: AnnouncementDialect,
        watch: BackendWatch,
        agent: HostAgent,
        clock: Clock,
        backend_address: str,
        service: str,
    ) -> None:
        """Binds the parts.

        :param backend_address: address of the only server that may announce itself
        :param service: service of that server
        """
        self._dialect = dialect
        self._watch = watch
        self._agent = agent
        self._clock = clock
        self.backend_address = backend_address
        self.service = service

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
        if effect is Heard.NEWS:
            await self._publish_change()
        reply.whole(OK, [(b'content-type', b'application/json')], b'{}')

    def _apply(self, message: Announcement | Departure) -> Heard:
        now = self._clock.monotonic()
        if isinstance(message, Departure):
            return self._watch.depart(message.server, now)
        if message.address != self.backend_address:
            raise PapayalockError(
                Code.BAD_MESSAGE,
                f'{message.address} is not the address of this backend server',
            )
        if message.service != self.service:
            raise PapayalockError(
                Code.BAD_MESSAGE,
                f'{message.service} is not the service of this backend server',
            )
        return self._watch.hear(message, now)

    async def _publish_change(self) -> None:
        """Notifies the node's parts and a control VM of a change.

        A drain is acknowledged only once a control VM knows of it, or after
        the timeout.
        """
        announcement = self._watch.announcement
        log.info(
            'backend server changed',
            extra={
                'server': announcement.server if announcement else '',
                'leaving': self._watch.leaving(),
            },
        )
        self._agent.backend_changed()
        if self._watch.leaving() and not await self._agent.wait_until_reported(
            DRAIN_REPORT_TIMEOUT_S
        ):
            log.warning('drain not yet confirmed by a control VM')
