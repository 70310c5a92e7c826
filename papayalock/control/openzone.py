"""Distribution to nodes that may poll any control VM.

A running node never goes back, since it ignores what is older than what it
holds. A restarted node is offered what this VM holds once a quorum has proved
that nothing newer was accepted before the question. While no quorum is in
reach, a node that found no other control VM either may take what is held
here: its availability zone then goes on serving with the newest version known
in it.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from papayalock.control.zone import Reply, Zone
from papayalock.messages import ControlPeer, SyncReq, VersionInfo
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

ReadIndexFunc = Callable[[], Awaitable[int]]
PROOF_WAIT_S = 1.0  # longest wait for a proof before the node is told


class OpenZone(Zone):
    """Serves the nodes of every availability zone."""

    read_index: ReadIndexFunc | None = None

    def released(self, zone: str) -> VersionInfo | None:
        """Returns the newest version that is committed here."""
        return self._ledger.version_at(self._group.replica.applied)

    def _in_charge(self, zone: str) -> bool:
        return True

    def _offered(self, req: SyncReq) -> VersionInfo | None:
        return self._visible if req.version else self.released(req.zone)

    def _peers(self) -> list[ControlPeer]:
        members = self._group.replica.log.members
        return [
            ControlPeer(address=one.address, zone=one.zone) for one in members
        ]

    async def _fresh_allowed(self, req: SyncReq) -> bool:
        if req.unproven:
            log.warning(
                'restarted node offered an unproved version',
                extra={'node': req.node, 'code': Code.NOT_PROVABLY_NEWEST},
            )
            return True
        if self.read_index is None:
            return False
        try:
            async with asyncio.timeout(PROOF_WAIT_S):
                await self._group.reach(await self.read_index())
        except (PapayalockError, TimeoutError) as exc:
            log.debug(
                'restarted node refused',
                extra={'node': req.node, 'reason': str(exc)},
            )
            return False
        return True

    async def _answer_fresh(self, req: SyncReq) -> Reply:
        return Reply(
            Code.NOT_PROVABLY_NEWEST,
            retry_after_ms=self._admission.retry_after_ms(),
            zone=self._zone,
            peers=self._peers(),
        )
