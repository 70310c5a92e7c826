"""Joins the config group and, as leader, maintains its member set."""

import asyncio
import logging

import msgspec

from papayalock.control.coordinator import Coordinator
from papayalock.core.memberpolicy import MemberPolicy, MemberProgress
from papayalock.httpclient import TransportError
from papayalock.messages import JoinReq, JoinRes, Member
from papayalock.pool import Pool, json_request
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

OK = 200
TICK_S = 0.1
JOIN_INTERVAL_S = 0.3  # between join requests while no leader is known
JOIN_REQUEST_TTL_S = 2.0  # age from which the leader ignores a join request
JOIN_TIMEOUT_MS = 500
MAX_RESPONSE_BYTES = 65536
_JOIN_RES = msgspec.json.Decoder(JoinRes)


class MemberManager:
    """Maintains the member set of the config group without an operator.

    A control VM that knows no leader asks the others to add it. The leader
    collects these join requests, and proposes one member change at a time as
    its :class:`MemberPolicy` decides.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        join_req: JoinReq,
        seeds: list[str],
        policy: MemberPolicy,
        pool: Pool,
    ) -> None:
        """Stores the parts; :meth:`run` does the work.

        :param join_req: the join request of this VM
        :param seeds: addresses of control VMs to ask, besides known members
        """
        self.seeds = seeds
        self._coordinator = coordinator
        self._join_req = join_req
        self._policy = policy
        self._pool = pool
        self._joiners: dict[str, tuple[JoinReq, float]] = {}
        self._next_join = 0.0
        self._join_count = 0

    async def run(self) -> None:
        """Maintains the members or joins, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._coordinator.config_group.replica.is_leader:
                await self._maintain_members()
            else:
                self._joiners.clear()
                await self._join()

    async def handle_join(self, req: JoinReq, *, forwarded: bool) -> JoinRes:
        """Records a join request, here or through the leader.

        :returns: the current members, which may not include the VM yet
        :raises PapayalockError: when no leader responded
        """
        coordinator = self._coordinator
        if coordinator.config_group.replica.is_leader:
            self._joiners[req.member] = (req, coordinator.now())
            return JoinRes(members=coordinator.config_group.replica.log.members)
        res = await coordinator.send_to_leader(
            '/v1/join', req, forwarded=forwarded
        )
        return msgspec.convert(res, JoinRes)

    async def _maintain_members(self) -> None:
        replica = self._coordinator.config_group.replica
        now = self._coordinator.now()
        joiners = [
            req
            for req, at in self._joiners.values()
            if now - at < JOIN_REQUEST_TTL_S
        ]
        change = self._policy.next_change(
            replica.cfg.name, replica.log.members, self._standings(now), joiners
        )
        if change is None or not replica.can_change_members():
            return
        log.warning(
            'control VMs change',
            extra={'action': change.action, 'member': change.member.member},
        )
        try:
            await self._coordinator.config_group.propose(change)
        except PapayalockError as exc:
            log.warning(
                'member change not committed',
                extra={'code': exc.code, 'reason': str(exc)},
            )

    def _standings(self, now: float) -> dict[str, MemberProgress]:
        replica = self._coordinator.config_group.replica
        last = replica.log.last_index
        return {
            name: MemberProgress(
                unresponsive_s=now
                - max(progress.acked_sent_at, replica.elected_at),
                lag_entries=last - progress.match_index,
            )
            for name, progress in replica.peers.items()
        }

    async def _join(self) -> None:
        """Asks one of the other VMs in turn to join, while no leader is known."""
        replica = self._coordinator.config_group.replica
        now = self._coordinator.now()
        if replica.leader or now < self._next_join:
            return
        self._next_join = now + JOIN_INTERVAL_S
        targets = self._targets(replica.log.members)
        if not targets:
            return
        self._join_count += 1
        address = targets[self._join_count % len(targets)]
        body = msgspec.json.encode(self._join_req)
        req = json_request(b'POST', '/v1/join', address, body)
        try:
            status, res = await self._pool.exchange(
                address, req, JOIN_TIMEOUT_MS, MAX_RESPONSE_BYTES
            )
        except TransportError as exc:
            log.info(
                'join request failed',
                extra={'address': address, 'code': Code.UNREACHABLE}
                | {'reason': str(exc)},
            )
            return
        if status == OK:
            self._coordinator.update_addresses(_JOIN_RES.decode(res).members)

    def _targets(self, members: list[Member]) -> list[str]:
        addresses = {*self.seeds, *(member.address for member in members)}
        return sorted(addresses - {self._join_req.address})
