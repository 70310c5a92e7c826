"""Limits that backend servers state in their responses."""

import pytest

from papayalock.native import LIMIT_HEADER
from test.hostmesh import HostMesh, play

SPAN_S = 4.0
LEARN_S = 0.5  # from the statement on, until it is judged


def allowed(limit: float) -> float:
    """Returns the most calls that may reach a server within ``SPAN_S``."""
    return 1.5 * limit * SPAN_S + 5


async def play_limit(
    limit: bytes, *, size: int = 4, per_s: float = 160
) -> HostMesh:
    """Plays a load during which one server states a limit."""
    mesh = HostMesh(size)
    await mesh.load(per_s, 2)
    mesh.servers[0].notice = [(LIMIT_HEADER, limit)]
    await mesh.load(per_s, LEARN_S)
    mesh.outcomes.clear()
    mesh.servers[0].arrivals.clear()
    await mesh.load(per_s, 6)
    return mesh


class TestStatedLimit:
    @pytest.mark.parametrize('limit', [16.1, 7.1, 0.5, 0.0])
    def test_a_server_gets_no_more_calls_than_the_limit_that_it_stated(
        self, limit
    ):
        mesh = play(play_limit(b'%.1f' % limit))
        assert mesh.servers[0].most_in(SPAN_S, 0) <= allowed(limit)

    def test_a_limit_holds_when_no_other_server_has_room(self):
        mesh = play(play_limit(b'7.1', size=2, per_s=100))
        assert mesh.servers[0].most_in(SPAN_S, 0) <= allowed(7.1)
