"""Fetches zone reports from the other control VMs of an availability zone."""

import asyncio

import msgspec

from papayalock.control.group import RaftGroup
from papayalock.core.zones import serves
from papayalock.httpclient import Request, TransportError
from papayalock.messages import ZoneReport
from papayalock.pool import Pool

FETCH_TIMEOUT_MS = 500
MAX_RESPONSE_BYTES = 1_048_576


class ZoneReportClient:
    """Fetches what the other control VMs of a zone released.

    Satisfies ``distributor.FetchZoneReports``.
    """

    def __init__(self, own_name: str, pool: Pool) -> None:
        """Starts without the config group, which the composition root sets.

        :param own_name: name of this control VM
        """
        self.group: RaftGroup | None = None
        self._own_name = own_name
        self._pool = pool

    async def __call__(self, zone: str) -> list[ZoneReport]:
        """Returns the reports of the control VMs that responded in time."""
        if self.group is None:
            return []
        replica = self.group.replica
        members = replica.log.member_set_at(replica.durable_commit).members
        peers = [
            member
            for member in members
            if member.member != self._own_name and serves(member, zone)
        ]
        reports = await asyncio.gather(
            *(self._fetch(peer.address, zone) for peer in peers)
        )
        return [report for report in reports if report is not None]

    async def _fetch(self, address: str, zone: str) -> ZoneReport | None:
        req = Request(
            b'GET',
            f'/v1/zone-report?zone={zone}'.encode(),
            [(b'host', address.encode())],
        )
        try:
            _, body = await self._pool.exchange(
                address, req, FETCH_TIMEOUT_MS, MAX_RESPONSE_BYTES
            )
            return msgspec.json.decode(body, type=ZoneReport)
        except (TransportError, msgspec.MsgspecError):
            return None
