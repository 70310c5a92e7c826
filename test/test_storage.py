"""Storage of a replica: torn writes, damaged files and a full disk."""

import pytest

from papayalock.control.frames import decode_frames, encode_frame
from papayalock.control.storage import GroupStorage
from papayalock.core.raft import Effects, HardState
from papayalock.messages import Entry, Member, Snapshot
from papayalock.result import Code, StorageError
from test.cluster import MemoryDisk

MEMBERS = [Member(member='a', zone='z', address='a', voter=True)]


def entry(index: int, term: int = 1) -> Entry:
    return Entry(term=term, index=index, payload='{"kind":"noop"}')


def save_entries(disk: MemoryDisk, *indices: int) -> GroupStorage:
    storage = GroupStorage(disk, 'g')
    storage.load(MEMBERS)
    for index in indices:
        effects = Effects()
        effects.hard_state = HardState(1, 'a', index)
        effects.entries = [entry(index)]
        storage.save(effects)
    return storage


class TestRecovery:
    def test_saved_entries_and_hard_state_are_restored(self):
        disk = MemoryDisk()
        save_entries(disk, 1, 2, 3)
        restored = GroupStorage(disk, 'g').load(MEMBERS)
        assert [entry.index for entry in restored.entries] == [1, 2, 3]
        assert (
            restored.hard_state.term,
            restored.hard_state.vote,
            restored.hard_state.commit,
        ) == (1, 'a', 3)

    def test_a_write_torn_at_any_byte_is_truncated(self):
        disk = MemoryDisk()
        save_entries(disk, 1, 2)
        intact_size = len(disk.files['g.log'])
        save_entries(disk, 3)
        complete_log = disk.files['g.log']
        for size in range(intact_size, len(complete_log)):
            disk.files['g.log'] = complete_log[:size]
            restored = GroupStorage(disk, 'g').load(MEMBERS)
            assert [entry.index for entry in restored.entries] == [1, 2]
            assert len(disk.files['g.log']) == intact_size

    def test_damage_before_an_intact_frame_is_refused_at_every_byte(self):
        disk = MemoryDisk()
        save_entries(disk, 1, 2, 3)
        complete_log = disk.files['g.log']
        first = len(
            encode_frame(decode_frames('g.log', complete_log).payloads[0])
        )
        for position in range(first):
            damaged = bytearray(complete_log)
            damaged[position] ^= 0x55
            disk.files['g.log'] = bytes(damaged)
            with pytest.raises(StorageError) as caught:
                GroupStorage(disk, 'g').load(MEMBERS)
            assert caught.value.code == Code.DATA_DAMAGED

    def test_a_truncation_is_replayed(self):
        disk = MemoryDisk()
        storage = save_entries(disk, 1, 2, 3)
        effects = Effects()
        effects.truncate_from = 2
        effects.entries = [entry(2, term=4)]
        storage.save(effects)
        restored = GroupStorage(disk, 'g').load(MEMBERS)
        assert [(entry.index, entry.term) for entry in restored.entries] == [
            (1, 1),
            (2, 4),
        ]

    def test_a_crash_between_snapshot_and_log_write_keeps_entries(self):
        disk = MemoryDisk()
        save_entries(disk, 1, 2, 3)
        old_log = disk.files['g.log']
        storage = GroupStorage(disk, 'g')
        storage.load(MEMBERS)
        snapshot = Snapshot(index=2, term=1, members=MEMBERS, state='{}')
        storage.save_snapshot(snapshot, [entry(3)])
        disk.files['g.log'] = old_log
        restored = GroupStorage(disk, 'g').load(MEMBERS)
        assert restored.snapshot.index == 2
        assert [entry.index for entry in restored.entries] == [3]

    @pytest.mark.parametrize('text', [b'not a frame', b'PLK1', b''])
    def test_a_damaged_snapshot_is_refused(self, text):
        disk = MemoryDisk()
        disk.files['g.snapshot'] = text
        with pytest.raises(StorageError):
            GroupStorage(disk, 'g').load(MEMBERS)

    def test_an_unknown_record_format_is_refused(self):
        disk = MemoryDisk()
        disk.files['g.log'] = encode_frame(b'{"term": "high"}')
        with pytest.raises(StorageError) as caught:
            GroupStorage(disk, 'g').load(MEMBERS)
        assert caught.value.code == Code.DATA_FORMAT


class TestFullDisk:
    def test_a_failed_write_is_truncated_and_can_be_retried(self):
        disk = MemoryDisk()
        storage = save_entries(disk, 1)
        effects = Effects()
        effects.entries = [entry(2)]
        disk.full = True
        with pytest.raises(OSError, match='space'):
            storage.save(effects)
        disk.full = False
        storage.save(effects)
        restored = GroupStorage(disk, 'g').load(MEMBERS)
        assert [entry.index for entry in restored.entries] == [1, 2]
