"""Joins the group and, while leading, keeps its members up."""

import asyncio
import logging

import msgspec

from papayalock.control.control import Control
from papayalock.core.roster import Roster, Standing
from papayalock.messages import JoinReq, JoinRes, Member
from papayalock.pool import Pool, json_request
from papayalock.result import Code, PapayalockError
from papayalock.httpclient import TransportError

log = logging.getLogger(__name__)

OK = 200
STEP_S = 0.1
JOIN_S = 0.3  # interval of join requests while no leader is heard
JOINER_LASTS_S = 2.0  # age at which a join request no longer counts
JOIN_TIMEOUT_MS = 500
MAX_ANSWER_BYTES = 65536
_JOIN_RES = msgspec.json.Decoder(JoinRes)


class Members:
    """The membership duties of one control VM."""

    def __init__(
        self,
        control: Control,
        own: JoinReq,
        seeds: list[str],
        roster: Roster,
        pool: Pool,
    ) -> None:
        """Binds the parts; :meth:`run` does the work.

        :param own: this VM as it asks to join
        """
        self.seeds = seeds
        self._control = control
        self._own = own
        self._roster = roster
        self._pool = pool
        self._joiners: dict[str, tuple[JoinReq, float]] = {}
        self._next_join = 0.0
        self._turn = 0

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            if self._control.config.replica.is_leader:
                await self._keep_up()
            else:
                self._joiners.clear()
                await self._join()

    async def accept(self, req: JoinReq, *, forwarded: bool) -> JoinRes:
        """Notes that a control VM wants to take part.

        :raises PapayalockError: when no leader answered
        """
        control = self._control
        if control.config.replica.is_leader:
            self._joiners[req.member] = (req, control.now())
            return JoinRes(members=control.config.replica.log.members)
        answer = await control.ask_leader('/v1/join', req, forwarded=forwarded)
        return msgspec.convert(answer, JoinRes)

    async def _keep_up(self) -> None:
        replica = self._control.config.replica
        now = self._control.now()
        joiners = [
            req
            for req, at in self._joiners.values()
            if now - at < JOINER_LASTS_S
        ]
        change = self._roster.next_change(
            replica.cfg.name, replica.log.members, self._standings(now), joiners
        )
        if change is None or not replica.change_allowed():
            return
        log.warning(
            'control VMs change',
            extra={'action': change.action, 'member': change.member.member},
        )
        try:
            await self._control.config.propose(change)
        except PapayalockError as exc:
            log.warning(
                'member change not made',
                extra={'code': exc.code, 'reason': str(exc)},
            )

    def _standings(self, now: float) -> dict[str, Standing]:
        replica = self._control.config.replica
        last = replica.log.last_index
        return {
            name: Standing(
                silent_s=now - max(progress.heard_at, replica.elected_at),
                behind=last - progress.match,
            )
            for name, progress in replica.peers.items()
        }

    async def _join(self) -> None:
        """Asks to join while no leader speaks to this VM."""
        replica = self._control.config.replica
        now = self._control.now()
        if replica.leader or now < self._next_join:
            return
        self._next_join = now + JOIN_S
        targets = self._targets(replica.log.members)
        if not targets:
            return
        self._turn += 1
        address = targets[self._turn % len(targets)]
        body = msgspec.json.encode(self._own)
        req = json_request(b'POST', '/v1/join', address, body)
        try:
            status, answer = await self._pool.exchange(
                address, req, JOIN_TIMEOUT_MS, MAX_ANSWER_BYTES
            )
        except TransportError as exc:
            log.info(
                'cannot join',
                extra={'address': address, 'code': Code.UNREACHABLE}
                | {'reason': str(exc)},
            )
            return
        if status == OK:
            self._control.learn_members(_JOIN_RES.decode(answer).members)

    def _targets(self, members: list[Member]) -> list[str]:
        known = {*self.seeds, *(one.address for one in members)}
        return sorted(known - {self._own.address})
