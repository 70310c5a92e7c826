"""Durable storage: torn tails, damage and a full disk."""

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


def saved(disk: MemoryDisk, *indices: int) -> GroupStorage:
    storage = GroupStorage(disk, 'g')
    storage.load(MEMBERS)
    for index in indices:
        effects = Effects()
        effects.hard_state = HardState(1, 'a', index)
        effects.entries = [entry(index)]
        storage.save(effects)
    return storage


class TestRecovery:
    def test_what_was_saved_is_restored(self):
        disk = MemoryDisk()
        saved(disk, 1, 2, 3)
        restored = GroupStorage(disk, 'g').load(MEMBERS)
        assert [one.index for one in restored.entries] == [1, 2, 3]
        assert (
            restored.hard_state.term,
            restored.hard_state.vote,
            restored.hard_state.commit,
        ) == (1, 'a', 3)

    def test_a_torn_tail_is_cut_at_every_byte(self):
        disk = MemoryDisk()
        saved(disk, 1, 2)
        kept = len(disk.files['g.log'])
        saved(disk, 3)
        whole = disk.files['g.log']
        for size in range(kept, len(whole)):
            disk.files['g.log'] = whole[:size]
            restored = GroupStorage(disk, 'g').load(MEMBERS)
            assert [one.index for one in restored.entries] == [1, 2]
            assert len(disk.files['g.log']) == kept

    def test_a_damaged_middle_is_refused_at_every_byte(self):
        disk = MemoryDisk()
        saved(disk, 1, 2, 3)
        whole = disk.files['g.log']
        first = len(encode_frame(decode_frames('g.log', whole).payloads[0]))
        for position in range(first):
            damaged = bytearray(whole)
            damaged[position] ^= 0x55
            disk.files['g.log'] = bytes(damaged)
            with pytest.raises(StorageError) as caught:
                GroupStorage(disk, 'g').load(MEMBERS)
            assert caught.value.code == Code.DATA_DAMAGED

    def test_a_truncation_replaces_entries(self):
        disk = MemoryDisk()
        storage = saved(disk, 1, 2, 3)
        effects = Effects()
        effects.truncate_from = 2
        effects.entries = [entry(2, term=4)]
        storage.save(effects)
        restored = GroupStorage(disk, 'g').load(MEMBERS)
        assert [(one.index, one.term) for one in restored.entries] == [
            (1, 1),
            (2, 4),
        ]

    def test_a_crash_between_snapshot_and_log_loses_nothing(self):
        disk = MemoryDisk()
        saved(disk, 1, 2, 3)
        old_log = disk.files['g.log']
        storage = GroupStorage(disk, 'g')
        storage.load(MEMBERS)
        snapshot = Snapshot(index=2, term=1, members=MEMBERS, state='{}')
        storage.save_snapshot(snapshot, [entry(3)])
        disk.files['g.log'] = old_log
        restored = GroupStorage(disk, 'g').load(MEMBERS)
        assert restored.snapshot.index == 2
        assert [one.index for one in restored.entries] == [3]

    @pytest.mark.parametrize('text', [b'not a frame', b'PLK1', b''])
    def test_a_broken_snapshot_is_refused(self, text):
        disk = MemoryDisk()
        disk.files['g.snapshot'] = text
        with pytest.raises(StorageError):
            GroupStorage(disk, 'g').load(MEMBERS)

    def test_an_unknown_format_is_refused_by_number(self):
        disk = MemoryDisk()
        disk.files['g.log'] = encode_frame(b'{"term": "high"}')
        with pytest.raises(StorageError) as caught:
            GroupStorage(disk, 'g').load(MEMBERS)
        assert caught.value.code == Code.DATA_FORMAT


class TestFullDisk:
    def test_a_refused_write_leaves_no_part_behind(self):
        disk = MemoryDisk()
        storage = saved(disk, 1)
        effects = Effects()
        effects.entries = [entry(2)]
        disk.full = True
        with pytest.raises(OSError, match='space'):
            storage.save(effects)
        disk.full = False
        storage.save(effects)
        restored = GroupStorage(disk, 'g').load(MEMBERS)
        assert [one.index for one in restored.entries] == [1, 2]
