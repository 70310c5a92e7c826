"""Backend servers that state in their responses that they leave."""

import pytest

from papayalock.core.heartbeats import HeartbeatEffect
from papayalock.core.servernotices import ServerNotices
from papayalock.messages import ServerNotice
from papayalock.native import LEAVING_HEADER
from papayalock.node.outcome import ServerResponse
from test.hostmesh import HostMesh, play
from test.test_heartbeats import beat, make_monitor
from test.test_placement import endpoint, placement

DRAIN_S = 2.0


async def play_leaving(*, size: int = 3, per_s: float = 120) -> HostMesh:
    """Plays a load during which one server begins to leave."""
    mesh = HostMesh(size)
    await mesh.load(per_s, 1)
    mesh.servers[0].notice = [(LEAVING_HEADER, b'1')]
    await mesh.load(per_s, DRAIN_S)
    mesh.outcomes.clear()
    mesh.servers[0].arrivals.clear()
    return mesh


class TestStatedLeaving:
    def test_a_server_that_stated_that_it_leaves_gets_no_call_after_the_drain_time(
        self,
    ):
        async def scene():
            mesh = await play_leaving()
            await mesh.load(120, 3)
            return mesh

        mesh = play(scene())
        assert mesh.servers[0].arrivals == []
        assert all(isinstance(one, ServerResponse) for one in mesh.outcomes)

    def test_its_gate_refuses_nodes_that_have_not_heard_it(self):
        async def scene():
            mesh = await play_leaving()
            for node in mesh.nodes:
                node.agent.placement.notices = ServerNotices()
            await mesh.load(120, 3)
            return mesh

        mesh = play(scene())
        assert mesh.servers[0].arrivals == []
        assert all(isinstance(one, ServerResponse) for one in mesh.outcomes)

    def test_a_restarted_gate_gets_no_call_from_nodes_that_have_heard_it(self):
        async def scene():
            mesh = await play_leaving()
            mesh.restart(0)
            await mesh.load(120, 3, at=[1, 2])
            return mesh

        assert play(scene()).servers[0].arrivals == []

    def test_it_is_reported_to_control_vms(self):
        async def scene():
            mesh = HostMesh(1)
            reports = []
            notices = mesh.nodes[0].inbound.notices
            notices.on_leaving.append(lambda: reports.append(1))
            mesh.servers[0].notice = [(LEAVING_HEADER, b'1')]
            await mesh.load(20, 1)
            return mesh.nodes[0].monitor.is_draining(), reports

        assert play(scene()) == (True, [1])


class TestNoticeOfAnotherStart:
    """A node may tell of another start than the one that it was asked for."""

    def mesh_with_old_start(self) -> HostMesh:
        """Returns a mesh in which a node has only heard an old heartbeat."""
        mesh = HostMesh(2)
        stale = beat(9, server='i-0', born=500, draining=True)
        mesh.nodes[0].monitor.announcement = None
        mesh.nodes[0].monitor.record_heartbeat(stale, 0)
        return mesh

    def test_a_refusal_for_an_earlier_start_says_nothing_of_the_next(self):
        async def scene():
            mesh = self.mesh_with_old_start()
            await mesh.load(60, 1, at=[1])
            mesh.nodes[0].announce()
            await mesh.load(60, 3, at=[1])
            return mesh.servers[0].arrivals

        assert play(scene())

    def test_an_older_start_does_not_replace_a_newer_one(self):
        notices = ServerNotices()
        notices.record('x', 2, ServerNotice(limit=2), 0)
        notices.record('x', 1, ServerNotice(leaving=True), 0)
        assert notices.find(endpoint('x', born_ms=2)) == ServerNotice(limit=2)


class TestMonitor:
    def test_leaving_is_final_for_one_start(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1), 0)
        effect = monitor.record_leaving(beat(1), 1)
        assert effect is HeartbeatEffect.CHANGED
        monitor.record_heartbeat(beat(2), 2)
        assert monitor.is_closed(2.2)
        monitor.record_heartbeat(beat(1, born=2000), 3)
        assert not monitor.is_draining()

    def test_a_response_of_an_earlier_start_says_nothing_of_the_next(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1, born=2000), 0)
        effect = monitor.record_leaving(beat(9, born=1000), 1)
        assert effect is HeartbeatEffect.STALE
        assert not monitor.is_draining()


class TestChoice:
    @pytest.mark.parametrize('later', [ServerNotice(), ServerNotice(limit=2)])
    def test_a_server_that_leaves_is_not_chosen_until_its_next_start(
        self, later
    ):
        selector = placement(endpoint('x', born_ms=1))
        selector.notices.record('x', 1, ServerNotice(leaving=True), 0)
        selector.notices.record('x', 1, later, 0)
        selector.upsert(endpoint('x', born_ms=1, incarnation=2), 1)
        assert selector.choose('floor', 1) is None
        selector.upsert(endpoint('x', born_ms=2, incarnation=2), 2)
        assert selector.choose('floor', 2) is not None
