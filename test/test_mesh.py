"""The small meshes of the bench: ports that no other run has."""

import random

import pytest

from bench import mesh


class ScriptedRandom(random.Random):
    """Draws what the test says."""

    def __init__(self, *ports: int) -> None:
        super().__init__()
        self.ports = list(ports)

    def randrange(self, *bounds: int) -> int:
        return self.ports.pop(0)


class TestFreePort:
    @pytest.fixture(autouse=True)
    def locks(self, tmp_path, monkeypatch):
        monkeypatch.setattr(mesh, 'PORT_LOCKS', tmp_path / 'ports')
        monkeypatch.setattr(mesh, '_reserved', [])

    def test_a_port_that_another_run_has_chosen_is_not_chosen(
        self, monkeypatch
    ):
        first, second = mesh.free_port(), mesh.free_port()
        for held in mesh._reserved[1:]:
            held.close()
        monkeypatch.setattr(mesh, '_RNG', ScriptedRandom(first, second))
        assert mesh.free_port() == second
