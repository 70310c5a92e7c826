"""One control VM: its groups, its zone and what only a leader does."""

import asyncio
import logging
from typing import Any

import msgspec

from papayalock.commands import Command, Publication
from papayalock.control.exchange import Exchange
from papayalock.control.group import Group
from papayalock.control.zone import Zone
from papayalock.core.claims import Claims, shard_of
from papayalock.core.ledger import Ledger
from papayalock.core.membership import ExistenceTracker
from papayalock.core.zones import serves
from papayalock.messages import (
    Claim,
    ClaimRes,
    Finish,
    Member,
    PublishRes,
    ReadIndex,
    RouteSet,
    SetExistence,
    SetMember,
    Submit,
    SubmitRes,
)
from papayalock.pool import Pool, json_request
from papayalock.ports import Clock
from papayalock.result import Code, PapayalockError
from papayalock.httpclient import TransportError

log = logging.getLogger(__name__)

CONFIG_GROUP = 'config'
OK = 200
CATCH_UP_ENTRIES = 64  # entries that a promoted VM may still lack
BEAT_S = 0.1
FORWARD_TIMEOUT_MS = 5000
MAX_ANSWER_BYTES = 1_048_576
MS = 1000  # milliseconds in a second
FENCE_POLL_S = 0.05
LEADER_POLL_S = 0.05
Exchanged = tuple[int, bytes]


def claims_group(shard: int) -> str:
    """Returns the name of the group that holds a claims shard."""
    return f'claims-{shard}'


class Control:
    """Accepts commands on any control VM and carries out the leader's duties."""

    def __init__(
        self,
        name: str,
        groups: dict[str, Group],
        ledger: Ledger,
        claims: dict[str, Claims],
        zone: Zone,
        exchange: Exchange,
        existence: ExistenceTracker,
        pool: Pool,
        clock: Clock,
        addresses: dict[str, str],
    ) -> None:
        """Binds the parts; :meth:`run` does the periodic work."""
        self.name = name
        self.groups = groups
        self.ledger = ledger
        self.claims = claims
        self.zone = zone
        self._exchange = exchange
        self._existence = existence
        self._pool = pool
        self._clock = clock
        self._addresses = addresses

    @property
    def config(self) -> Group:
        """The group that holds versions and members."""
        return self.groups[CONFIG_GROUP]

    def now(self) -> float:
        """Returns monotonic seconds of this VM's clock."""
        return self._clock.monotonic()

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await asyncio.sleep(BEAT_S)
            self._follow_members()
            self.zone.expire()
            self._exchange.drop_orphans()
            await self._decide_existence()

    async def submit(
        self, command: Submit, *, forwarded: bool = False
    ) -> SubmitRes:
        """Commits a submission, wherever the leader is.

        :param forwarded: whether another control VM sent it on; it is then
            not sent on again, since two VMs may each take the other to lead

        :raises PapayalockError: when no leader answered; the submission may
            have been accepted, so the sender repeats it with its request id
        """
        answer = await self._commit(
            CONFIG_GROUP, command, '/v1/submit', forwarded=forwarded
        )
        return msgspec.convert(answer, SubmitRes)

    async def change_member(
        self, command: SetMember, *, forwarded: bool = False
    ) -> SubmitRes:
        """Commits a change of the control VMs.

        :raises PapayalockError: when no leader answered, or it refused
        """
        answer = await self._commit(
            CONFIG_GROUP, command, '/v1/member', forwarded=forwarded
        )
        return msgspec.convert(answer, SubmitRes)

    async def publish(
        self, command: Publication, *, forwarded: bool = False
    ) -> PublishRes:
        """Commits a route set, wherever the leader is.

        :raises PapayalockError: when no leader answered; the set may have
            been accepted, so the sender repeats it unchanged
        """
        answer = await self._commit(
            CONFIG_GROUP, command, f'/v1/{command.kind}', forwarded=forwarded
        )
        return msgspec.convert(answer, PublishRes)

    async def read_index(self, *, forwarded: bool = False) -> int:
        """Returns a log index that covers all that was accepted before.

        :raises PapayalockError: when no leader proved that it leads
        """
        if self.config.replica.is_leader:
            return await self.config.read_index()
        answer = await self.ask_leader(
            '/v1/read-index', None, forwarded=forwarded
        )
        return msgspec.convert(answer, ReadIndex).index

    async def newest_routes(self) -> RouteSet | None:
        """Returns the newest accepted route set, proved to be the newest.

        :raises PapayalockError: when no leader proved that it leads
        """
        await self.config.reach(await self.read_index())
        return self.ledger.book.current

    async def ask_leader(
        self, path: str, message: object, *, forwarded: bool
    ) -> Any:
        """Sends a message to the leader of the config group.

        :raises PapayalockError: when no leader answered
        """
        if forwarded:
            raise PapayalockError(Code.NO_LEADER, f'{self.name} does not lead')
        return await self._forward(self.config, message, f'{path}?hop=1')

    def learn_members(self, members: list[Member]) -> None:
        """Takes in the addresses of other control VMs."""
        for one in members:
            self._addresses[one.member] = one.address

    async def claim(
        self, command: Claim | Finish, *, forwarded: bool = False
    ) -> ClaimRes:
        """Commits a claim or an outcome in the shard of its key.

        :raises PapayalockError: when no leader of the shard answered
        """
        group = claims_group(shard_of(command.key, len(self.claims)))
        path = '/v1/claim' if isinstance(command, Claim) else '/v1/finish'
        answer = await self._commit(group, command, path, forwarded=forwarded)
        return msgspec.convert(answer, ClaimRes)

    async def _commit(
        self, name: str, command: Command, path: str, *, forwarded: bool
    ) -> Any:
        group = self.groups[name]
        if group.replica.is_leader:
            if isinstance(command, SetMember):
                return await self._change_member(command)
            return await group.propose(command)
        if forwarded:
            raise PapayalockError(Code.NO_LEADER, f'{self.name} does not lead')
        return await self._forward(group, command, f'{path}?hop=1')

    async def _forward(self, group: Group, command: object, path: str) -> Any:
        leader = group.replica.leader
        address = self._addresses.get(leader)
        if address is None or leader == self.name:
            raise PapayalockError(Code.NO_LEADER, 'no leader is known')
        req = json_request(b'POST', path, address, msgspec.json.encode(command))
        exchange = asyncio.create_task(
            self._pool.exchange(
                address, req, FORWARD_TIMEOUT_MS, MAX_ANSWER_BYTES
            )
        )
        try:
            status, body = await self._while_leading(group, leader, exchange)
        except TransportError as exc:
            raise PapayalockError(
                Code.NO_LEADER, f'leader {leader} does not answer: {exc}'
            ) from exc
        answer = msgspec.json.decode(body)
        if status != OK:
            raise PapayalockError(Code(answer['code']), answer['message'])
        return answer

    async def _while_leading(
        self, group: Group, leader: str, exchange: 'asyncio.Task[Exchanged]'
    ) -> Exchanged:
        """Waits for a leader's answer for as long as it leads."""
        try:
            while not exchange.done():
                await asyncio.wait({exchange}, timeout=LEADER_POLL_S)
                if group.replica.leader != leader and not exchange.done():
                    raise PapayalockError(
                        Code.NO_LEADER, f'{leader} stopped leading'
                    )
        finally:
            exchange.cancel()
        return await exchange

    async def _change_member(self, command: SetMember) -> Any:
        """Proposes a change once it is allowed and no lease speaks against it."""
        replica = self.config.replica
        name = command.member.member
        self._check_member_change(command)
        if command.action not in {'fence', 'remove'}:
            return await self.config.propose(command)
        replica.stop_leases(name)
        try:
            while self._clock.monotonic() < replica.fence_allowed_at(name):
                await asyncio.sleep(FENCE_POLL_S)
            return await self.config.propose(command)
        finally:
            replica.resume_leases(name)

    def _check_member_change(self, command: SetMember) -> None:
        replica = self.config.replica
        name = command.member.member
        members = replica.log.members
        if command.action != 'add' and all(
            one.member != name for one in members
        ):
            raise PapayalockError(Code.UNKNOWN_MEMBER, name)
        if not replica.change_allowed():
            raise PapayalockError(
                Code.CHANGE_PENDING, 'another member change is under way'
            )
        if command.action == 'promote':
            self._check_caught_up(name)
        for zone in command.member.adopts if command.action == 'adopt' else ():
            serving = [one.member for one in members if serves(one, zone)]
            if serving:
                raise PapayalockError(
                    Code.LEASE_RUNNING,
                    f'{zone} is served by {", ".join(serving)}',
                )

    def _check_caught_up(self, member: str) -> None:
        replica = self.config.replica
        progress = replica.peers.get(member)
        known = progress.match if progress else 0
        if replica.log.last_index - known > CATCH_UP_ENTRIES:
            raise PapayalockError(
                Code.CHANGE_PENDING, f'{member} has not caught up'
            )

    def _follow_members(self) -> None:
        members = self.config.replica.log.members
        self.learn_members(members)
        self._exchange.follow({one.member: one.address for one in members})

    async def _decide_existence(self) -> None:
        group = self.config
        if not group.replica.is_leader:
            self._existence.reset()
            return
        announced = {one.service for one in self.zone.table.endpoints()}
        now = self._clock.monotonic()
        services = self._existence.decide(self.ledger.existing, announced, now)
        if services == self.ledger.existing:
            return
        try:
            await group.propose(
                SetExistence(kind='existence', services=services)
            )
        except PapayalockError as exc:
            log.warning(
                'existence not recorded',
                extra={'code': exc.code, 'reason': str(exc)},
            )
