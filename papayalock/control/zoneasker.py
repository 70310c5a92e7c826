"""Asks the other control VMs of an availability zone what they released."""

import asyncio

import msgspec

from papayalock.control.group import Group
from papayalock.core.zones import serves
from papayalock.messages import ZoneReport
from papayalock.pool import Pool
from papayalock.httpclient import Request, TransportError

ASK_TIMEOUT_MS = 500
MAX_ANSWER_BYTES = 1_048_576


class ZoneAsker:
    """Asks the other control VMs of a zone what they released."""

    def __init__(self, own: str, pool: Pool) -> None:
        """Starts without a group; the composition root sets it."""
        self.group: Group | None = None
        self._own = own
        self._pool = pool

    async def __call__(self, zone: str) -> list[ZoneReport]:
        """Returns the reports of the control VMs that answered."""
        if self.group is None:
            return []
        replica = self.group.replica
        members = replica.log.view_at(replica.durable_commit).members
        peers = [
            one
            for one in members
            if one.member != self._own and serves(one, zone)
        ]
        answers = await asyncio.gather(
            *(self._ask(one.address, zone) for one in peers)
        )
        return [answer for answer in answers if answer is not None]

    async def _ask(self, address: str, zone: str) -> ZoneReport | None:
        req = Request(
            b'GET',
            f'/v1/zone-report?zone={zone}'.encode(),
            [(b'host', address.encode())],
        )
        try:
            _, body = await self._pool.exchange(
                address, req, ASK_TIMEOUT_MS, MAX_ANSWER_BYTES
            )
            return msgspec.json.decode(body, type=ZoneReport)
        except (TransportError, msgspec.MsgspecError):
            return None
