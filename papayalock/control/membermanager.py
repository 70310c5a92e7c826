"""Joins the config group and, as leader, maintains its member set."""

import asyncio
import logging

import msgspec

from papayalock.control.coordinator import Coordinator
from papayalock.core.memberpolicy import (
    MemberPolicy,
    MemberProgress,
    MemberView,
)
from papayalock.core.raft import Replica
from papayalock.httpclient import TransportError
from papayalock.messages import (
    JoinReq,
    JoinRes,
    LeaveReq,
    LeaveRes,
    Member,
)
from papayalock.pool import Pool, json_request
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

OK = 200
TICK_S = 0.1
JOIN_INTERVAL_S = 0.3  # between join requests while no leader is known
JOIN_REQUEST_TTL_S = 2.0  # age from which the leader ignores a join request
LEAVE_REQUEST_TTL_S = 3.0  # longer than a VM that stopped looks responsive
JOIN_TIMEOUT_MS = 500
MAX_RESPONSE_BYTES = 65536
_JOIN_RES = msgspec.json.Decoder(JoinRes)


class MemberManager:
    """Maintains the member set of the config group without an operator.

    A control VM that has just started, that no leader contacts, or whose
    availability zone is not recorded, asks the others to add it. The leader
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
        self.policy = policy
        self._coordinator = coordinator
        self._join_req = join_req
        self._pool = pool
        self._joiners: dict[str, tuple[JoinReq, float]] = {}
        self._leavers: dict[str, float] = {}
        self._next_join = 0.0
        self._join_count = 0
        self._announced = False
        self._logged_shortfall = 0

    @property
    def _replica(self) -> Replica:
        return self._coordinator.config_group.replica

    @property
    def shortfall(self) -> int:
        """Voters that a majority lacks after tolerated losses; 0 if unknown.

        Only the leader knows which voters respond.
        """
        if not self._replica.is_leader:
            return 0
        return self.policy.shortfall(self._view(self._coordinator.now()))

    async def run(self) -> None:
        """Maintains the members or joins, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._replica.is_leader:
                await self._maintain_members()
            else:
                self._joiners.clear()
                self._leavers.clear()
                await self._join()

    async def handle_join(self, req: JoinReq, *, forwarded: bool) -> JoinRes:
        """Records a join request, here or through the leader.

        :returns: the current members, which may not include the VM yet
        :raises PapayalockError: when no leader responded
        """
        coordinator = self._coordinator
        if coordinator.config_group.replica.is_leader:
            self._joiners[req.member] = (req, coordinator.now())
            self._leavers.pop(req.member, None)
            return JoinRes(members=coordinator.config_group.replica.log.members)
        res = await coordinator.send_to_leader(
            '/v1/join', req, forwarded=forwarded
        )
        return msgspec.convert(res, JoinRes)

    async def handle_leave(self, req: LeaveReq, *, forwarded: bool) -> LeaveRes:
        """Records that a VM is about to stop, here or through the leader.

        The VM repeats its request until it may stop.

        :raises PapayalockError: when no leader responded
        """
        if not self._replica.is_leader:
            res = await self._coordinator.send_to_leader(
                '/v1/leave', req, forwarded=forwarded
            )
            return msgspec.convert(res, LeaveRes)
        now = self._coordinator.now()
        self._leavers[req.member] = now
        settled = self._replica.can_change_members()
        may_stop = self.policy.may_stop(self._view(now), req.member)
        return LeaveRes(done=settled and may_stop)

    def hand_over_lead(self, *, waits: bool) -> bool:
        """Takes a step towards another leader, as this VM is about to stop.

        :param waits: whether to go on leading until a learner has its vote
        :returns: whether this VM may stop as the leader
        """
        now = self._coordinator.now()
        self._leavers[self._replica.cfg.name] = now
        view = self._view(now)
        if waits and self.policy.awaits_successor(view):
            return False
        successor = self.policy.next_leader(view)
        if successor:
            self._coordinator.config_group.transfer_lead(successor)
        return not successor

    async def _maintain_members(self) -> None:
        replica = self._replica
        now = self._coordinator.now()
        joiners = [
            req
            for req, at in self._joiners.values()
            if now - at < JOIN_REQUEST_TTL_S
        ]
        self._log_shortfall()
        change = self.policy.next_change(
            self._view(now), [self._join_req, *joiners]
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

    def _log_shortfall(self) -> None:
        shortfall = self.shortfall
        if shortfall == self._logged_shortfall:
            return
        self._logged_shortfall = shortfall
        voters = [
            f'{vm.member} in {vm.zone or "an unknown zone"}'
            for vm in self._replica.log.members
            if vm.voter
        ]
        log.warning(
            'voters would not survive the tolerated losses'
            if shortfall
            else 'voters survive the tolerated losses',
            extra={'missing': shortfall, 'voters': voters},
        )

    def _view(self, now: float) -> MemberView:
        """Returns the members as this VM sees them as leader."""
        replica = self._replica
        last = replica.log.last_index
        progress = {
            name: MemberProgress(
                unresponsive_s=now
                - max(progress.acked_sent_at, replica.elected_at),
                lag_entries=last - progress.match_index
                if progress.match_index
                else float('inf'),
            )
            for name, progress in replica.peers.items()
        }
        leaving = frozenset(
            name
            for name, at in self._leavers.items()
            if now - at < LEAVE_REQUEST_TTL_S
        )
        return MemberView(
            replica.cfg.name, replica.log.members, progress, leaving
        )

    async def _join(self) -> None:
        """Asks one of the other VMs in turn to join, unless that is done."""
        now = self._coordinator.now()
        if now < self._next_join or not self._must_join(now):
            return
        self._next_join = now + JOIN_INTERVAL_S
        targets = self._targets(self._replica.log.members)
        if targets:
            self._join_count += 1
            await self._ask(targets[self._join_count % len(targets)])

    def _must_join(self, now: float) -> bool:
        own = self._replica.own_member
        recorded = own is not None and own.zone == self._join_req.zone
        known = recorded and self._replica.hears_leader(now)
        return not (known and self._announced)

    async def _ask(self, address: str) -> None:
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
            self._announced = True
            self._coordinator.update_addresses(_JOIN_RES.decode(res).members)

    def _targets(self, members: list[Member]) -> list[str]:
        addresses = {*self.seeds, *(member.address for member in members)}
        return sorted(addresses - {self._join_req.address})
