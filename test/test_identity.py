"""Identities of control VMs: initial members, later ones and lost disks."""

import pytest

from papayalock.control.identity import IDENTITY_FILE, load_or_create_identity
from papayalock.result import Code, StorageError
from test.cluster import MemoryDisk

SEEDS = ['10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7']


class TestIdentity:
    def test_initial_members_agree_on_the_member_set(self):
        first = load_or_create_identity(
            MemoryDisk(), SEEDS[0], SEEDS, founding=True
        )
        second = load_or_create_identity(
            MemoryDisk(), SEEDS[1], SEEDS, founding=True
        )
        assert first.first == second.first
        assert first.member == first.first[0].member
        assert second.member == second.first[1].member

    def test_a_vm_that_is_not_a_seed_has_no_initial_members(self):
        known = load_or_create_identity(
            MemoryDisk(), '10.0.0.4:7', SEEDS, founding=True
        )
        assert not known.first

    def test_a_restart_keeps_the_name_and_the_initial_members(self):
        disk = MemoryDisk()
        before = load_or_create_identity(disk, SEEDS[0], SEEDS, founding=True)
        after = load_or_create_identity(
            disk, SEEDS[0], ['10.0.0.9:7'], founding=False
        )
        assert after == before

    def test_a_vm_that_lost_its_disk_gets_a_new_name(self):
        before = load_or_create_identity(
            MemoryDisk(), SEEDS[0], SEEDS, founding=True
        )
        after = load_or_create_identity(
            MemoryDisk(), SEEDS[0], SEEDS, founding=False
        )
        again = load_or_create_identity(
            MemoryDisk(), SEEDS[0], SEEDS, founding=False
        )
        assert len({before.member, after.member, again.member}) == 3
        assert not after.first

    def test_a_damaged_file_is_refused(self):
        disk = MemoryDisk()
        disk.files[IDENTITY_FILE] = b'{"member":'
        with pytest.raises(StorageError) as caught:
            load_or_create_identity(disk, SEEDS[0], SEEDS, founding=False)
        assert caught.value.code == Code.DATA_FORMAT
