"""Routes commands to the leader of a Raft group and does the leader's duties."""

import asyncio
import logging
from typing import Any

import msgspec

from papayalock.commands import Command, Publication
from papayalock.control.distributor import Distributor
from papayalock.control.endpointsync import EndpointSync
from papayalock.control.group import CONFIG_GROUP, RaftGroup
from papayalock.core.claims import Claims, shard_of
from papayalock.core.endpoints import ExistenceTracker
from papayalock.core.ledger import Ledger
from papayalock.core.zones import serves
from papayalock.httpclient import TransportError
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

log = logging.getLogger(__name__)

OK = 200
MAX_PROMOTE_LAG_ENTRIES = 64  # largest replication lag of a promoted VM
TICK_S = 0.1
FORWARD_TIMEOUT_MS = 5000
MAX_RESPONSE_BYTES = 1_048_576
MS_PER_S = 1000
FENCE_POLL_S = 0.05
LEADER_POLL_S = 0.05
HttpResult = tuple[int, bytes]  # status and body


def claims_group_name(shard: int) -> str:
    """Returns the name of the Raft group that stores a shard of the claims."""
    return f'claims-{shard}'


class Coordinator:
    """Accepts commands on any control VM and commits them in their group.

    A command that arrives at a follower is forwarded to the leader. While this
    VM leads the config group, it also checks member changes and records which
    services exist.
    """

    def __init__(
        self,
        name: str,
        groups: dict[str, RaftGroup],
        ledger: Ledger,
        claims: dict[str, Claims],
        distributor: Distributor,
        endpoint_sync: EndpointSync,
        existence: ExistenceTracker,
        pool: Pool,
        clock: Clock,
        addresses: dict[str, str],
    ) -> None:
        """Stores the parts; :meth:`run` does the periodic work.

        :param groups: Raft groups of this control VM by name
        :param claims: state of the claims shards by group name
        :param addresses: IP and port of each control VM by name, shared with
            the peer transport and updated in place
        """
        self.name = name
        self.groups = groups
        self.ledger = ledger
        self.claims = claims
        self.distributor = distributor
        self._endpoint_sync = endpoint_sync
        self._existence = existence
        self._pool = pool
        self._clock = clock
        self._addresses = addresses

    @property
    def config_group(self) -> RaftGroup:
        """The Raft group that stores versions and members."""
        return self.groups[CONFIG_GROUP]

    def now(self) -> float:
        """Returns the monotonic time of this VM in seconds."""
        return self._clock.monotonic()

    async def run(self) -> None:
        """Does the periodic work until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._apply_members()
            self.distributor.expire_leases()
            self._endpoint_sync.drop_orphans()
            await self._update_existence()

    async def submit(
        self, command: Submit, *, forwarded: bool = False
    ) -> SubmitRes:
        """Commits a submission, here or through the leader.

        :param forwarded: whether another control VM forwarded it; it is then
            not forwarded again, since two VMs may each consider the other one
            the leader
        :raises PapayalockError: when no leader responded; the submission may
            have been accepted, so the sender retries it with the same request
            id
        """
        res = await self._commit(
            CONFIG_GROUP, command, '/v1/submit', forwarded=forwarded
        )
        return msgspec.convert(res, SubmitRes)

    async def change_member(
        self, command: SetMember, *, forwarded: bool = False
    ) -> SubmitRes:
        """Commits a change of the member set.

        :raises PapayalockError: when no leader responded, or it rejected the
            change
        """
        res = await self._commit(
            CONFIG_GROUP, command, '/v1/member', forwarded=forwarded
        )
        return msgspec.convert(res, SubmitRes)

    async def publish(
        self, command: Publication, *, forwarded: bool = False
    ) -> PublishRes:
        """Commits a route set, here or through the leader.

        :raises PapayalockError: when no leader responded; the set may have
            been accepted, so the sender retries it unchanged
        """
        res = await self._commit(
            CONFIG_GROUP, command, f'/v1/{command.kind}', forwarded=forwarded
        )
        return msgspec.convert(res, PublishRes)

    async def commit(
        self, command: Command, path: str, *, forwarded: bool
    ) -> Any:
        """Commits a command of the config group, here or through the leader.

        :param path: where the leader takes the command
        :raises PapayalockError: when no leader responded; the command may
            have been committed
        """
        return await self._commit(
            CONFIG_GROUP, command, path, forwarded=forwarded
        )

    async def catch_up(self) -> None:
        """Waits until this VM has applied all that was committed before.

        :raises PapayalockError: when :meth:`read_index` fails, or it took too
            long
        """
        await self.config_group.wait_applied(await self.read_index())

    async def read_index(self, *, forwarded: bool = False) -> int:
        """Returns a log index that covers every commit before the call.

        :raises PapayalockError: when no leader responded, or no quorum
            confirmed that it still leads
        """
        if self.config_group.replica.is_leader:
            return await self.config_group.read_index()
        res = await self.send_to_leader(
            '/v1/read-index', None, forwarded=forwarded
        )
        return msgspec.convert(res, ReadIndex).index

    async def newest_routes(self) -> RouteSet | None:
        """Returns the newest accepted route set, by a linearizable read.

        :raises PapayalockError: when :meth:`read_index` fails, or this VM did
            not apply the log up to that index in time
        """
        await self.catch_up()
        return self.ledger.route_sets.current

    async def send_to_leader(
        self, path: str, message: object, *, forwarded: bool
    ) -> Any:
        """Sends a message to the leader of the config group.

        :returns: the decoded response body
        :raises PapayalockError: when no leader responded
        """
        if forwarded:
            raise PapayalockError(Code.NO_LEADER, f'{self.name} does not lead')
        return await self._forward(self.config_group, message, f'{path}?hop=1')

    def update_addresses(self, members: list[Member]) -> None:
        """Updates the known addresses of the control VMs."""
        for member in members:
            self._addresses[member.member] = member.address

    async def claim(
        self, command: Claim | Finish, *, forwarded: bool = False
    ) -> ClaimRes:
        """Commits the claim of an idempotency key, or the outcome of its call.

        :raises PapayalockError: when no leader of the key's shard responded
        """
        group = claims_group_name(shard_of(command.key, len(self.claims)))
        path = '/v1/claim' if isinstance(command, Claim) else '/v1/finish'
        res = await self._commit(group, command, path, forwarded=forwarded)
        return msgspec.convert(res, ClaimRes)

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

    async def _forward(
        self, group: RaftGroup, command: object, path: str
    ) -> Any:
        leader = group.replica.leader
        address = self._addresses.get(leader)
        if address is None or leader == self.name:
            raise PapayalockError(
                Code.NO_LEADER, 'no other control VM is known to lead the group'
            )
        req = json_request(b'POST', path, address, msgspec.json.encode(command))
        exchange = asyncio.create_task(
            self._pool.exchange(
                address, req, FORWARD_TIMEOUT_MS, MAX_RESPONSE_BYTES
            )
        )
        try:
            status, body = await self._wait_while_leading(
                group, leader, exchange
            )
        except TransportError as exc:
            raise PapayalockError(
                Code.NO_LEADER, f'request to leader {leader} failed: {exc}'
            ) from exc
        res = msgspec.json.decode(body)
        if status != OK:
            raise PapayalockError(Code(res['code']), res['message'])
        return res

    async def _wait_while_leading(
        self,
        group: RaftGroup,
        leader: str,
        exchange: 'asyncio.Task[HttpResult]',
    ) -> HttpResult:
        """Waits for a leader's response; gives up when it loses leadership."""
        try:
            while not exchange.done():
                await asyncio.wait({exchange}, timeout=LEADER_POLL_S)
                if group.replica.leader != leader and not exchange.done():
                    raise PapayalockError(
                        Code.NO_LEADER, f'{leader} lost leadership'
                    )
        finally:
            exchange.cancel()
        return await exchange

    async def _change_member(self, command: SetMember) -> Any:
        """Proposes a member change, as leader.

        Before a VM is fenced or removed, its serving lease must have run out,
        so that it no longer offers versions to restarted nodes.
        """
        replica = self.config_group.replica
        name = command.member.member
        self._validate_member_change(command)
        if command.action not in {'fence', 'remove'}:
            return await self.config_group.propose(command)
        replica.stop_leases(name)
        try:
            while self._clock.monotonic() < replica.fence_allowed_at(name):
                await asyncio.sleep(FENCE_POLL_S)
            return await self.config_group.propose(command)
        finally:
            replica.resume_leases(name)

    def _validate_member_change(self, command: SetMember) -> None:
        replica = self.config_group.replica
        name = command.member.member
        members = replica.log.members
        if command.action != 'add' and all(
            member.member != name for member in members
        ):
            raise PapayalockError(Code.UNKNOWN_MEMBER, name)
        if not replica.can_change_members():
            raise PapayalockError(
                Code.CHANGE_PENDING, 'another member change is in progress'
            )
        if command.action == 'promote':
            self._validate_caught_up(name)
        for zone in command.member.adopts if command.action == 'adopt' else ():
            serving = [
                member.member for member in members if serves(member, zone)
            ]
            if serving:
                raise PapayalockError(
                    Code.LEASE_RUNNING,
                    f'{zone} is served by {", ".join(serving)}',
                )

    def _validate_caught_up(self, name: str) -> None:
        replica = self.config_group.replica
        progress = replica.peers.get(name)
        match_index = progress.match_index if progress else 0
        if replica.log.last_index - match_index > MAX_PROMOTE_LAG_ENTRIES:
            raise PapayalockError(
                Code.CHANGE_PENDING, f'{name} has not caught up with the log'
            )

    def _apply_members(self) -> None:
        members = self.config_group.replica.log.members
        self.update_addresses(members)
        self._endpoint_sync.update_peers(
            {member.member: member.address for member in members}
        )

    async def _update_existence(self) -> None:
        """Commits, as leader, which services exist according to endpoints."""
        group = self.config_group
        if not group.replica.is_leader:
            self._existence.reset()
            return
        announced = {
            endpoint.service for endpoint in self.distributor.table.endpoints()
        }
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
                'set of existing services not recorded',
                extra={'code': exc.code, 'reason': str(exc)},
            )
