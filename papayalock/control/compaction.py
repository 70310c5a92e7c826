"""Replaces the applied part of a log by a compressed snapshot."""

import asyncio
import logging

from papayalock.control.statemachine import StateMachine
from papayalock.control.statepack import pack_state
from papayalock.control.storage import GroupStorage
from papayalock.core.raft import Replica
from papayalock.messages import Entry

log = logging.getLogger(__name__)

ENTRY_BYTES = 256  # memory of a log entry beside its payload


class Compaction:
    """A snapshot that is being compressed.

    ``index`` is the newest log entry in it, ``size`` its size in bytes before
    the compression.
    """

    __slots__ = ('index', 'packed', 'size')

    def __init__(
        self, index: int, size: int, packed: 'asyncio.Task[str]'
    ) -> None:
        """Sets the state's position in the log, its size and its text."""
        self.index = index
        self.size = size
        self.packed = packed


class Compactor:
    """Compacts the log of one group when its applied entries are many.

    ``applied_bytes`` is the memory of the entries applied since the last
    compaction.
    """

    __slots__ = (
        '_compaction',
        '_log_bytes',
        '_machine',
        '_replica',
        '_snapshot_entries',
        '_storage',
        'applied_bytes',
    )

    def __init__(
        self,
        replica: Replica,
        storage: GroupStorage,
        machine: StateMachine,
        snapshot_entries: int,
        log_bytes: int,
    ) -> None:
        """Starts idle.

        :param snapshot_entries: applied entries after which the log is
            compacted
        :param log_bytes: memory of applied entries after which it is, too
        """
        self.applied_bytes = 0
        self._replica = replica
        self._storage = storage
        self._machine = machine
        self._snapshot_entries = snapshot_entries
        self._log_bytes = log_bytes
        self._compaction: Compaction | None = None

    def count(self, entry: Entry) -> None:
        """Counts an entry that is applied."""
        self.applied_bytes += len(entry.payload) + ENTRY_BYTES

    def start_anew(self) -> None:
        """Counts from zero, as an installed snapshot replaced the entries."""
        self.applied_bytes = 0

    async def run(self) -> None:
        """Begins a compaction that is due, or ends one that is compressed.

        Compressing the state takes long, so a thread does it while the group
        goes on. Entries that are applied meanwhile stay in the log.

        :raises OSError: if the disk refuses the snapshot
        """
        if self._compaction is None:
            if self._is_due():
                self._start()
            return
        if not self._compaction.packed.done():
            return
        compaction = self._compaction
        self._compaction = None
        if compaction.index > self._replica.log.snapshot.index:
            await self._write(compaction)

    def _is_due(self) -> bool:
        entries = self._replica.applied - self._replica.log.snapshot.index
        large = self.applied_bytes >= self._log_bytes
        return entries >= self._snapshot_entries or (large and entries > 0)

    def _start(self) -> None:
        self.applied_bytes = 0
        state = self._machine.dump()
        packing = asyncio.to_thread(pack_state, state)
        self._compaction = Compaction(
            self._replica.applied, len(state), asyncio.create_task(packing)
        )

    async def _write(self, compaction: Compaction) -> None:
        replica = self._replica
        packed = compaction.packed.result()
        entries = compaction.index - replica.log.snapshot.index
        snapshot = replica.compact(packed, compaction.index)
        rest = replica.log.entries_between(
            snapshot.index + 1, replica.log.last_index, replica.log.last_index
        )
        await asyncio.to_thread(self._storage.save_snapshot, snapshot, rest)
        log.info(
            'log compacted',
            extra={
                'group': replica.cfg.group,
                'entries': entries,
                'state_bytes': compaction.size,
                'packed_bytes': len(packed),
            },
        )
