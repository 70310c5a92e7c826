"""Durable storage of one Raft replica: hard state, log and snapshot."""

from collections.abc import Iterable

import msgspec

from papayalock.control.frames import decode_frames, encode_frame
from papayalock.core.raft import Effects, HardState, RestoredState
from papayalock.messages import Entry, Member, Snapshot
from papayalock.ports import Disk
from papayalock.result import Code, StorageError


class Batch(msgspec.Struct, omit_defaults=True):
    """A log record: the hard state, a truncation and new entries.

    Each record is written and synced at once, so it is durable as a whole.
    """

    term: int = -1
    vote: str = ''
    commit: int = 0
    truncate_from: int = 0
    entries: list[Entry] = msgspec.field(default_factory=list)


_BATCH = msgspec.json.Decoder(Batch)
_SNAPSHOT = msgspec.json.Decoder(Snapshot)


class GroupStorage:
    """The log and snapshot files of one group.

    Every save is durable when it returns.
    """

    def __init__(self, disk: Disk, group: str) -> None:
        """Names the files after the group."""
        self._disk = disk
        self._log = f'{group}.log'
        self._snapshot = f'{group}.snapshot'
        self._size = 0
        self._hard = HardState()

    def load(self, members: list[Member]) -> RestoredState:
        """Returns the stored state, after truncating a torn write.

        :param members: the initial members, for a group without a snapshot
        :raises StorageError: when a file is damaged
        """
        snapshot = self._load_snapshot(members)
        log = self._disk.read(self._log) or b''
        frames = decode_frames(self._log, log)
        if frames.size < len(log):
            self._disk.truncate(self._log, frames.size)
        self._size = frames.size
        batches = (_decode(self._log, payload) for payload in frames.payloads)
        entries = self._replay(batches, snapshot)
        return RestoredState(self._hard, snapshot, entries)

    def save(self, effects: Effects) -> None:
        """Makes the effects durable.

        :raises OSError: when the disk refuses the write; the caller may retry
        """
        if effects.hard_state is not None:
            self._hard = effects.hard_state
        if effects.installed_snapshot is not None:
            self.save_snapshot(effects.installed_snapshot, effects.entries)
            return
        batch = self._batch(effects.entries)
        batch.truncate_from = effects.truncate_from
        frame = encode_frame(msgspec.json.encode(batch))
        try:
            self._disk.append(self._log, frame)
        except OSError:
            self._truncate_partial_write()
            raise
        self._size += len(frame)

    def save_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Replaces the log by a snapshot and the entries after it.

        The snapshot is written first. After a crash between the two writes,
        the old log still holds the entries after the snapshot.
        """
        self._disk.replace(
            self._snapshot, encode_frame(msgspec.json.encode(snapshot))
        )
        frame = encode_frame(msgspec.json.encode(self._batch(entries)))
        self._disk.replace(self._log, frame)
        self._size = len(frame)

    def _batch(self, entries: list[Entry]) -> Batch:
        hard = self._hard
        return Batch(
            term=hard.term, vote=hard.vote, commit=hard.commit, entries=entries
        )

    def _truncate_partial_write(self) -> None:
        try:
            self._disk.truncate(self._log, self._size)
        except OSError:
            return

    def _load_snapshot(self, members: list[Member]) -> Snapshot:
        data = self._disk.read(self._snapshot)
        if data is None:
            return Snapshot(index=0, term=0, members=members, state='')
        frames = decode_frames(self._snapshot, data)
        if len(frames.payloads) != 1:
            raise StorageError(
                Code.DATA_DAMAGED,
                f'{self._snapshot}: file is not one complete snapshot',
            )
        try:
            return _SNAPSHOT.decode(frames.payloads[0])
        except msgspec.MsgspecError as exc:
            raise StorageError(
                Code.DATA_FORMAT, f'{self._snapshot}: {exc}'
            ) from exc

    def _replay(
        self, batches: Iterable[Batch], snapshot: Snapshot
    ) -> list[Entry]:
        entries: dict[int, Entry] = {}
        for batch in batches:
            self._hard = HardState(batch.term, batch.vote, batch.commit)
            if batch.truncate_from:
                entries = {
                    index: entry
                    for index, entry in entries.items()
                    if index < batch.truncate_from
                }
            entries.update(
                (entry.index, entry)
                for entry in batch.entries
                if entry.index > snapshot.index
            )
        log_tail = [entries[index] for index in sorted(entries)]
        for expected, entry in enumerate(log_tail, start=snapshot.index + 1):
            if entry.index != expected:
                raise StorageError(
                    Code.DATA_DAMAGED,
                    f'{self._log}: entry {expected} is missing',
                )
        return log_tail


def _decode(name: str, payload: memoryview) -> Batch:
    try:
        return _BATCH.decode(payload)
    except msgspec.MsgspecError as exc:
        raise StorageError(Code.DATA_FORMAT, f'{name}: {exc}') from exc
