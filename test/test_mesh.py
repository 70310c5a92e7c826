"""Tests the choice of ports for the meshes of the bench."""

import random

import pytest

from bench import mesh


class ScriptedRandom(random.Random):
    """Returns given ports instead of random ones."""

    def __init__(self, *ports: int) -> None:
        super().__init__()
        self.ports = list(ports)

    def randrange(self, *bounds: int) -> int:
        return self.ports.pop(0)


class TestFreePort:
    @pytest.fixture(autouse=True)
    def temporary_locks(self, tmp_path, monkeypatch):
        monkeypatch.setattr(mesh, 'PORT_LOCK_DIR', tmp_path / 'ports')
        monkeypatch.setattr(mesh, '_lock_files', [])

    def test_port_reserved_by_another_run_is_skipped(self, monkeypatch):
        first, second = mesh.free_port(), mesh.free_port()
        for lock_file in mesh._lock_files[1:]:
            lock_file.close()
        monkeypatch.setattr(mesh, '_RNG', ScriptedRandom(first, second))
        assert mesh.free_port() == second
