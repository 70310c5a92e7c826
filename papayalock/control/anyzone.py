"""Distribution to nodes that may poll any control VM.

A running node never rolls back, since it ignores versions older than its own.
A restarted node lost its version, so it is offered this VM's newest one only
after a read index, confirmed by a quorum, shows that nothing newer had been
accepted when the node asked. While no quorum is reachable, a node that got no
proof from any control VM may apply an unproven version: its availability zone
then goes on serving with the newest version known there.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from papayalock.control.distributor import Distributor, SyncReply
from papayalock.messages import ControlPeer, SyncReq, VersionInfo
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

ReadIndexFunc = Callable[[], Awaitable[int]]
PROOF_TIMEOUT_S = 1.0  # longest wait for a proof before the node is refused
STARTUP_S = 3.0  # time from start in which a first leader may still be elected
POLL_S = 0.05


class AnyZoneDistributor(Distributor):
    """Answers the long polls of nodes of every availability zone.

    :cvar read_index: returns a log index that a quorum confirmed; set by the
        composition root
    """

    read_index: ReadIndexFunc | None = None

    def __init__(self, *parts: Any) -> None:
        """Accepts the arguments of :class:`Distributor`."""
        super().__init__(*parts)
        self._started = self._clock.monotonic()

    def released_version(self, zone: str) -> VersionInfo | None:
        """Returns the newest version that this VM has applied."""
        return self._ledger.version_at(self._group.replica.applied)

    def _serves_zone(self, zone: str) -> bool:
        return True

    def _version_to_offer(self, req: SyncReq) -> VersionInfo | None:
        return (
            self._notified() if req.version else self.released_version(req.zone)
        )

    def _peers(self) -> list[ControlPeer]:
        members = self._group.replica.log.members
        return [
            ControlPeer(address=member.address, zone=member.zone)
            for member in members
        ]

    async def _may_offer_release(self, req: SyncReq) -> bool:
        if req.unproven:
            log.warning(
                'restarted node offered an unproved version',
                extra={'node': req.node, 'code': Code.NOT_PROVABLY_NEWEST},
            )
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PROOF_TIMEOUT_S):
                return await self._wait_for_proof(req)
        return False

    async def _wait_for_proof(self, req: SyncReq) -> bool:
        """Retries the proof while a first leader may still be elected."""
        while not await self._has_proof(req):
            if not self._expects_first_leader():
                return False
            await asyncio.sleep(POLL_S)
        return True

    async def _has_proof(self, req: SyncReq) -> bool:
        """Returns whether this VM applied all that was accepted before now."""
        if self.read_index is None:
            return False
        try:
            await self._group.wait_applied(await self.read_index())
        except PapayalockError as exc:
            log.debug(
                'restarted node refused',
                extra={'node': req.node, 'reason': str(exc)},
            )
            return False
        return True

    def _expects_first_leader(self) -> bool:
        """Returns whether this VM may have started together with all others.

        They elect a leader soon then. A VM that is not a member yet refuses at
        once, so that its nodes ask another one.
        """
        age = self._clock.monotonic() - self._started
        return age < STARTUP_S and self._group.replica.own_member is not None

    async def _reply_unproven(self, req: SyncReq) -> SyncReply:
        return SyncReply(
            Code.NOT_PROVABLY_NEWEST,
            retry_after_ms=self._snapshot_limiter.retry_after_ms(),
            zone=self._zone,
            peers=self._peers(),
        )
