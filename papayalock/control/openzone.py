"""Distribution to nodes that may poll any control VM.

A running node never goes back, since it ignores what is older than what it
holds. A restarted node is offered what this VM holds once a quorum has proved
that nothing newer was accepted before the question. While no quorum is in
reach, a node that found no other control VM either may take what is held
here: its availability zone then goes on serving with the newest version known
in it.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from papayalock.control.zone import Reply, Zone
from papayalock.messages import ControlPeer, SyncReq, VersionInfo
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

ReadIndexFunc = Callable[[], Awaitable[int]]
PROOF_WAIT_S = 1.0  # longest wait for a proof before the node is told
YOUNG_S = 3.0  # age up to which a control VM may still expect a first leader
STEP_S = 0.05


class OpenZone(Zone):
    """Serves the nodes of every availability zone."""

    read_index: ReadIndexFunc | None = None

    def __init__(self, *parts: Any) -> None:
        """Binds the parts; see :class:`Zone`."""
        super().__init__(*parts)
        self._started = self._clock.monotonic()

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
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PROOF_WAIT_S):
                return await self._prove(req)
        return False

    async def _prove(self, req: SyncReq) -> bool:
        """Proves that nothing newer was accepted; waits for a first leader."""
        while not await self._proved(req):
            if not self._awaits_leader():
                return False
            await asyncio.sleep(STEP_S)
        return True

    async def _proved(self, req: SyncReq) -> bool:
        """Whether all that was accepted before the question has arrived here."""
        if self.read_index is None:
            return False
        try:
            await self._group.reach(await self.read_index())
        except PapayalockError as exc:
            log.debug(
                'restarted node refused',
                extra={'node': req.node, 'reason': str(exc)},
            )
            return False
        return True

    def _awaits_leader(self) -> bool:
        """Whether all control VMs may have started, and will elect one soon.

        One that is no member yet sends its nodes elsewhere at once.
        """
        age = self._clock.monotonic() - self._started
        return age < YOUNG_S and self._group.replica.own_member is not None

    async def _answer_fresh(self, req: SyncReq) -> Reply:
        return Reply(
            Code.NOT_PROVABLY_NEWEST,
            retry_after_ms=self._admission.retry_after_ms(),
            zone=self._zone,
            peers=self._peers(),
        )
