"""Runs one replica of a Raft group: input queue, storage, state machine."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from papayalock.commands import Command, decode_command, encode_command
from papayalock.control.compaction import Compactor
from papayalock.control.preparation import LARGE_PAYLOAD_CHARS, Preparer
from papayalock.control.statemachine import StateMachine
from papayalock.control.statepack import unpack_state
from papayalock.control.storage import GroupStorage
from papayalock.core.raft import Effects, Replica
from papayalock.messages import Entry, PeerMessage
from papayalock.ports import Clock, Network
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

CONFIG_GROUP = 'config'
MS_PER_S = 1000
DISK_RETRY_S = 0.5
READ_TIMEOUT_S = 0.8  # longest wait for a quorum to confirm a read
READ_POLL_S = 0.005
MAX_BATCH_INPUTS = 1024


class Proposal:
    """A command whose caller waits for the state machine's result.

    ``term`` is the term in which the command was appended to the log.
    """

    __slots__ = ('command', 'fut', 'term')

    def __init__(self, command: Command, fut: 'asyncio.Future[Any]') -> None:
        """Starts in no term, since the command is not in the log yet."""
        self.command = command
        self.fut = fut
        self.term = 0


class Wakeup:
    """An input that only ends the wait for inputs."""


Input = PeerMessage | Proposal | Wakeup


class RaftGroup:
    """Drives this VM's replica of one Raft group.

    Messages and proposals are queued, and the task of :meth:`run` alone
    changes the replica, its files and the state machine.
    """

    def __init__(
        self,
        replica: Replica,
        storage: GroupStorage,
        machine: StateMachine,
        network: Network,
        clock: Clock,
        snapshot_entries: int,
        log_bytes: int,
    ) -> None:
        """Loads the state machine from the replica's snapshot.

        :param snapshot_entries: applied entries after which the log is
            compacted
        :param log_bytes: memory of applied entries after which it is, too
        """
        self.replica = replica
        self.machine = machine
        self.disk_full = False
        self.listeners: list[Callable[[], None]] = []
        self._storage = storage
        self._network = network
        self._clock = clock
        self._inbox: asyncio.Queue[Input] = asyncio.Queue()
        self._pending: dict[int, Proposal] = {}
        self._was_leader = False
        self._logged_leader = ''
        self.compactor = Compactor(
            replica, storage, machine, snapshot_entries, log_bytes
        )
        self._preparer = Preparer(machine, self._wake)
        machine.load(unpack_state(replica.log.snapshot.state))

    # Methods for other tasks.

    def deliver(self, message: PeerMessage) -> None:
        """Queues a message from a peer."""
        self._inbox.put_nowait(message)

    async def propose(self, command: Command) -> Any:
        """Commits a command and returns the state machine's result.

        :raises PapayalockError: ``BAD_MESSAGE`` when the command does not
            survive encoding and decoding, so that other replicas could not
            apply it; ``NO_LEADER`` when this replica is not the leader or lost
            leadership, in which case the command may still commit;
            ``DISK_FULL`` when the disk refused the last write
        """
        if self.disk_full:
            raise PapayalockError(Code.DISK_FULL, 'the disk takes no more')
        await _check_decodable(command)
        fut = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(Proposal(command, fut))
        return await fut

    async def read_index(self) -> int:
        """Returns a log index that covers every commit before the call.

        A quorum must confirm after the call that this replica still leads, as
        in Raft's read-index protocol.

        :raises PapayalockError: ``NO_LEADER`` when no quorum confirmed it
            within ``READ_TIMEOUT_S``
        """
        started = self._clock.monotonic()
        deadline = started + READ_TIMEOUT_S
        self.replica.expedite_heartbeat(started)
        while self._clock.monotonic() < deadline:
            index = self.replica.read_index(started)
            if index is not None:
                return index
            if not self.replica.is_leader:
                break
            await asyncio.sleep(READ_POLL_S)
        raise PapayalockError(
            Code.NO_LEADER, 'no quorum confirmed that this control VM leads'
        )

    async def wait_applied(self, index: int) -> None:
        """Waits until this replica has applied the log up to an index.

        :raises PapayalockError: ``NO_LEADER`` when that takes longer than
            ``READ_TIMEOUT_S``
        """
        deadline = self._clock.monotonic() + READ_TIMEOUT_S
        while self.replica.applied < index:
            if self._clock.monotonic() >= deadline:
                raise PapayalockError(
                    Code.NO_LEADER, f'entry {index} was not applied in time'
                )
            await asyncio.sleep(READ_POLL_S)

    def transfer_lead(self, name: str) -> bool:
        """Asks another control VM to take over the lead; returns whether."""
        asked = self.replica.transfer_lead(name)
        self._wake()
        return asked

    # The task of run().

    async def run(self) -> None:
        """Drives the replica until cancelled."""
        await self._process_effects()
        while True:
            await self._handle_inputs()
            self.replica.tick(self._clock.monotonic())
            await self._process_effects()
            self._finish_round()
            await self._compact_log()

    async def _handle_inputs(self) -> None:
        """Handles the queued inputs, or none if half a tick passes first."""
        half_tick_s = self.replica.cfg.tick_ms / MS_PER_S / 2
        try:
            async with asyncio.timeout(half_tick_s):
                first = await self._inbox.get()
        except TimeoutError:
            return
        inputs = [first]
        while not self._inbox.empty() and len(inputs) < MAX_BATCH_INPUTS:
            inputs.append(self._inbox.get_nowait())
        self._pass_to_replica(inputs)

    def _pass_to_replica(self, inputs: list[Input]) -> None:
        now = self._clock.monotonic()
        proposals: list[Proposal] = []
        for item in inputs:
            if isinstance(item, Proposal):
                proposals.append(item)
            elif isinstance(item, PeerMessage):
                self.replica.receive(item, now)
        if proposals:
            self._append_proposals(proposals, now)

    def _append_proposals(self, proposals: list[Proposal], now: float) -> None:
        wall_ms = self._clock.wall_ms()
        for proposal in proposals:
            if hasattr(proposal.command, 'at_ms'):
                proposal.command.at_ms = wall_ms
        payloads = [encode_command(proposal.command) for proposal in proposals]
        first = self.replica.propose(payloads, now)
        for offset, proposal in enumerate(proposals):
            if first:
                proposal.term = self.replica.term
                self._pending[first + offset] = proposal
            elif not proposal.fut.done():
                proposal.fut.set_exception(
                    PapayalockError(
                        Code.NO_LEADER, 'this control VM does not lead'
                    )
                )

    async def _process_effects(self) -> None:
        """Sends, applies and persists until the replica has no more effects.

        Committed entries are durable on a quorum, so they are applied and
        their proposers notified before they are on this VM's own disk.
        """
        while True:
            effects = self.replica.take_effects(
                self._preparer.apply_limit(self.replica)
            )
            self._send(effects.before_persist)
            self._apply(effects)
            if effects.needs_persist:
                await self._persist(effects)
            self._send(effects.after_persist)
            if (
                not effects.needs_persist
                and not effects.messages
                and not effects.committed
            ):
                return
            self.replica.mark_persisted(self._clock.monotonic())

    def _send(self, messages: list[PeerMessage]) -> None:
        for message in messages:
            self._network.send(message)

    async def _persist(self, effects: Effects) -> None:
        while True:
            try:
                await asyncio.to_thread(self._storage.save, effects)
            except OSError as exc:
                log.error(
                    'disk refuses writes',
                    extra={'code': Code.DISK_FULL, 'reason': str(exc)},
                )
                self.disk_full = True
                self._fail_pending(Code.DISK_FULL, 'the disk takes no more')
                await asyncio.sleep(DISK_RETRY_S)
            else:
                self.disk_full = False
                return

    def _apply(self, effects: Effects) -> None:
        if effects.installed_snapshot is not None:
            state = effects.installed_snapshot.state
            self.machine.load(unpack_state(state))
            self.compactor.start_anew()
        for entry in effects.committed:
            self.compactor.count(entry)
            command = self._preparer.command_of(entry)
            result = self.machine.apply(entry.index, command)
            self._resolve_proposal(entry, result)

    def _wake(self) -> None:
        self._inbox.put_nowait(Wakeup())

    def _resolve_proposal(self, entry: Entry, result: Any) -> None:
        proposal = self._pending.pop(entry.index, None)
        if proposal is None or proposal.fut.done():
            return
        if proposal.term == entry.term:
            proposal.fut.set_result(result)
        else:
            proposal.fut.set_exception(
                PapayalockError(Code.NO_LEADER, 'another leader took over')
            )

    def _finish_round(self) -> None:
        if self._was_leader and not self.replica.is_leader:
            self._fail_pending(
                Code.NO_LEADER, 'this control VM stopped leading'
            )
        self._was_leader = self.replica.is_leader
        self._log_leader_change()
        for listener in self.listeners:
            listener()

    def _log_leader_change(self) -> None:
        leader = self.replica.leader
        if leader == self._logged_leader:
            return
        self._logged_leader = leader
        log.info(
            'leader changed',
            extra={
                'group': self.replica.cfg.group,
                'leader': leader,
                'term': self.replica.term,
                'commit': self.replica.commit,
            },
        )

    def _fail_pending(self, code: Code, message: str) -> None:
        for proposal in self._pending.values():
            if not proposal.fut.done():
                proposal.fut.set_exception(PapayalockError(code, message))
        self._pending.clear()

    async def _compact_log(self) -> None:
        try:
            await self.compactor.run()
        except OSError as exc:
            self.disk_full = True
            log.error(
                'snapshot not written',
                extra={'code': Code.DISK_FULL, 'reason': str(exc)},
            )


async def _check_decodable(command: Command) -> None:
    payload = encode_command(command)
    if len(payload) < LARGE_PAYLOAD_CHARS:
        decode_command(payload)
    else:
        await asyncio.to_thread(decode_command, payload)
