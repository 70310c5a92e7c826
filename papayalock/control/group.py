"""The task that owns one replica: its log, its files and its waiting callers."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

from papayalock.commands import Command, decode_command, encode_command
from papayalock.control.storage import GroupStorage
from papayalock.core.raft import Effects, Replica
from papayalock.messages import Entry, PeerMessage
from papayalock.ports import Clock, Network
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
DISK_RETRY_S = 0.5
READ_WAIT_S = 0.8  # longest wait for a proof that a read is current
READ_STEP_S = 0.005
MAX_BATCH = 1024
SNAPSHOT_BYTES = 67_108_864  # applied commands after which the log is compacted


class Machine(Protocol):
    """State that the committed commands of a group build up."""

    def apply(self, index: int, command: Command) -> Any:
        """Applies one command and returns its answer."""
        ...

    def dump(self) -> str:
        """Returns the state as JSON text."""
        ...

    def load(self, text: str) -> None:
        """Replaces the state by a dumped one."""
        ...


class Proposal:
    """A command and the caller that waits for its answer."""

    __slots__ = ('command', 'fut', 'term')

    def __init__(self, command: Command, fut: 'asyncio.Future[Any]') -> None:
        """Binds the two together."""
        self.command = command
        self.fut = fut
        self.term = 0


class Group:
    """Drives one replica; inputs arrive as messages in one queue."""

    def __init__(
        self,
        replica: Replica,
        storage: GroupStorage,
        machine: Machine,
        network: Network,
        clock: Clock,
        snapshot_entries: int,
    ) -> None:
        """Binds the parts; :meth:`run` does the work."""
        self.replica = replica
        self.machine = machine
        self.disk_full = False
        self.listeners: list[Callable[[], None]] = []
        self._storage = storage
        self._network = network
        self._clock = clock
        self._snapshot_entries = snapshot_entries
        self._inbox: asyncio.Queue[PeerMessage | Proposal] = asyncio.Queue()
        self._waiting: dict[int, Proposal] = {}
        self._was_leader = False
        self._known_leader = ''
        self._applied_bytes = 0
        machine.load(replica.log.snapshot.state)

    # Called by other tasks.

    def deliver(self, message: PeerMessage) -> None:
        """Hands in a message of a peer."""
        self._inbox.put_nowait(message)

    async def propose(self, command: Command) -> Any:
        """Commits a command and returns the machine's answer.

        :raises PapayalockError: ``BAD_MESSAGE`` when the command is not one
            that every replica can read; ``NO_LEADER`` when this replica does
            not lead or stopped leading, in which case the command may still commit;
            ``DISK_FULL`` when the disk takes no more
        """
        if self.disk_full:
            raise PapayalockError(Code.DISK_FULL, 'the disk takes no more')
        decode_command(encode_command(command))
        fut = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(Proposal(command, fut))
        return await fut

    async def read_index(self) -> int:
        """Returns an index that covers all that was committed before the call.

        A quorum must confirm, after the call, that this replica still leads.

        :raises PapayalockError: ``NO_LEADER`` when it does not, in time
        """
        asked = self._clock.monotonic()
        give_up = asked + READ_WAIT_S
        self.replica.expedite_heartbeat(asked)
        while self._clock.monotonic() < give_up:
            index = self.replica.read_index(asked)
            if index is not None:
                return index
            if not self.replica.is_leader:
                break
            await asyncio.sleep(READ_STEP_S)
        raise PapayalockError(
            Code.NO_LEADER, 'no quorum confirms that this control VM leads'
        )

    async def reach(self, index: int) -> None:
        """Waits until the entries up to an index are applied here.

        :raises PapayalockError: ``NO_LEADER`` when that takes too long
        """
        give_up = self._clock.monotonic() + READ_WAIT_S
        while self.replica.applied < index:
            if self._clock.monotonic() >= give_up:
                raise PapayalockError(
                    Code.NO_LEADER, f'entry {index} has not arrived'
                )
            await asyncio.sleep(READ_STEP_S)

    # The task.

    async def run(self) -> None:
        """Runs until cancelled."""
        await self._settle()
        while True:
            await self._next_inputs()
            self.replica.tick(self._clock.monotonic())
            await self._settle()
            self._after()

    async def _next_inputs(self) -> None:
        tick = self.replica.cfg.tick_ms / MS / 2
        try:
            async with asyncio.timeout(tick):
                first = await self._inbox.get()
        except TimeoutError:
            return
        inputs = [first]
        while not self._inbox.empty() and len(inputs) < MAX_BATCH:
            inputs.append(self._inbox.get_nowait())
        self._feed(inputs)

    def _feed(self, inputs: list[PeerMessage | Proposal]) -> None:
        now = self._clock.monotonic()
        proposals: list[Proposal] = []
        for one in inputs:
            if isinstance(one, Proposal):
                proposals.append(one)
            else:
                self.replica.receive(one, now)
        if proposals:
            self._propose(proposals, now)

    def _propose(self, proposals: list[Proposal], now: float) -> None:
        wall_ms = self._clock.wall_ms()
        for proposal in proposals:
            if hasattr(proposal.command, 'at_ms'):
                proposal.command.at_ms = wall_ms
        payloads = [encode_command(one.command) for one in proposals]
        first = self.replica.propose(payloads, now)
        for offset, proposal in enumerate(proposals):
            if first:
                proposal.term = self.replica.term
                self._waiting[first + offset] = proposal
            elif not proposal.fut.done():
                proposal.fut.set_exception(
                    PapayalockError(
                        Code.NO_LEADER, 'this control VM does not lead'
                    )
                )

    async def _settle(self) -> None:
        """Sends, applies and persists until nothing is left to do.

        Committed entries are durable on a quorum, so they are applied, and
        their proposers answered, before this VM's own disk has them.
        """
        while True:
            effects = self.replica.take_effects()
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
                self._fail_waiting(Code.DISK_FULL, 'the disk takes no more')
                await asyncio.sleep(DISK_RETRY_S)
            else:
                self.disk_full = False
                return

    def _apply(self, effects: Effects) -> None:
        if effects.installed_snapshot is not None:
            self.machine.load(effects.installed_snapshot.state)
        for entry in effects.committed:
            self._applied_bytes += len(entry.payload)
            answer = self.machine.apply(
                entry.index, decode_command(entry.payload)
            )
            self._answer(entry, answer)

    def _answer(self, entry: Entry, answer: Any) -> None:
        proposal = self._waiting.pop(entry.index, None)
        if proposal is None or proposal.fut.done():
            return
        if proposal.term == entry.term:
            proposal.fut.set_result(answer)
        else:
            proposal.fut.set_exception(
                PapayalockError(Code.NO_LEADER, 'another leader took over')
            )

    def _after(self) -> None:
        if self._was_leader and not self.replica.is_leader:
            self._fail_waiting(
                Code.NO_LEADER, 'this control VM stopped leading'
            )
        self._was_leader = self.replica.is_leader
        self._note_leader()
        self._compact()
        for listener in self.listeners:
            listener()

    def _note_leader(self) -> None:
        leader = self.replica.leader
        if leader == self._known_leader:
            return
        self._known_leader = leader
        log.info(
            'leader changed',
            extra={
                'group': self.replica.cfg.group,
                'leader': leader,
                'term': self.replica.term,
                'commit': self.replica.commit,
            },
        )

    def _fail_waiting(self, code: Code, message: str) -> None:
        for proposal in self._waiting.values():
            if not proposal.fut.done():
                proposal.fut.set_exception(PapayalockError(code, message))
        self._waiting.clear()

    def _compact(self) -> None:
        replica = self.replica
        entries = replica.applied - replica.log.snapshot.index
        large = self._applied_bytes >= SNAPSHOT_BYTES
        if entries < self._snapshot_entries and not (large and entries):
            return
        self._applied_bytes = 0
        snapshot = replica.compact(self.machine.dump(), replica.applied)
        rest = replica.log.entries_between(
            snapshot.index + 1, replica.log.last_index, replica.log.last_index
        )
        try:
            self._storage.save_snapshot(snapshot, rest)
        except OSError as exc:
            self.disk_full = True
            log.error(
                'snapshot not written',
                extra={'code': Code.DISK_FULL, 'reason': str(exc)},
            )
