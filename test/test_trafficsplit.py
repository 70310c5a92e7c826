"""Split routes on a mesh of nodes: shares, and services that go away."""

import asyncio

import pytest

from papayalock.messages import ServerNotice, Share
from papayalock.node.outcome import NoResponse, ServerResponse
from papayalock.result import Code
from test.hostmesh import SERVICE_S, HostMesh, play
from test.test_hostroutes import table
from test.test_routesets import route
from test.wires import LoopClock

HOP_S = 0.01


class SplitMesh(HostMesh):
    """A mesh whose first servers are of the service ``lots``."""

    def __init__(self, size: int, lots: int, weight: int, **changes) -> None:
        super().__init__(size)
        self.lots = self.nodes[:lots]
        self.lots_servers = self.servers[:lots]
        for node in self.lots:
            self.introduce(node, service='lots')
        shares = [Share('floor', 100 - weight), Share('lots', weight)]
        fields = {'tries': 2, 'timeout_ms': 1200, 'target_ms': 300, **changes}
        for node in self.nodes:
            node.agent.host_table = table(route('r', shares=shares, **fields))

    @property
    def lots_arrivals(self) -> int:
        return sum(len(server.arrivals) for server in self.lots_servers)

    @property
    def arrivals(self) -> int:
        return sum(len(server.arrivals) for server in self.servers)


def drain(mesh: SplitMesh) -> None:
    for node in mesh.lots:
        mesh.introduce(node, service='lots', state='draining')


def remove(mesh: SplitMesh) -> None:
    for node in mesh.nodes:
        for lost in mesh.lots:
            node.agent.placement.remove(lost.name, LoopClock().monotonic())


def state_leaving(mesh: SplitMesh) -> None:
    for node in mesh.nodes:
        notices = node.agent.placement.notices
        for lost in mesh.lots:
            known = node.agent.placement.servers[lost.name].endpoint
            notices.record(
                known.server, known.born_ms, ServerNotice(leaving=True), 0
            )


class TestShares:
    @pytest.mark.parametrize('weight', [10, 40])
    def test_they_hold_over_all_nodes_together(self, weight):
        async def scene():
            mesh = SplitMesh(20, 8, weight)
            await mesh.load(100, 2)
            return mesh.lots_arrivals / mesh.arrivals

        assert abs(play(scene()) - weight / 100) < 0.1

    def test_changed_weights_hold_at_once(self):
        async def scene():
            mesh = SplitMesh(20, 8, 10)
            await mesh.load(100, 1)
            before = mesh.lots_arrivals
            shares = [Share('floor', 20), Share('lots', 80)]
            for node in mesh.nodes:
                node.agent.host_table = table(
                    route('r', shares=shares, timeout_ms=1200, target_ms=300)
                )
            await mesh.load(100, 1)
            return mesh.lots_arrivals - before

        assert abs(play(scene()) - 80) <= 10


class TestMissingService:
    @pytest.mark.parametrize('go', [drain, remove, state_leaving])
    def test_its_share_goes_to_the_others_without_waiting(self, go):
        async def scene():
            mesh = SplitMesh(6, 2, 50)
            go(mesh)
            loop = asyncio.get_running_loop()
            times = []
            outcomes = []
            for number in range(12):
                began = loop.time()
                outcomes.append(await mesh.call(number % 6))
                times.append(loop.time() - began)
            return outcomes, times, mesh.lots_arrivals

        outcomes, times, lots_arrivals = play(scene())
        assert all(isinstance(outcome, ServerResponse) for outcome in outcomes)
        assert max(times) < SERVICE_S + HOP_S
        assert not lots_arrivals

    def test_a_service_that_cannot_be_connected_to_loses_its_share(self):
        async def scene():
            mesh = SplitMesh(6, 2, 50)
            for node in mesh.lots:
                mesh.gates.pop(node.address)
            caller = 5
            first = [await mesh.call(caller) for _ in range(4)]
            later = [await mesh.call(caller) for _ in range(3)]
            return first, later

        first, later = play(scene())
        refused = [one for one in first if isinstance(one, NoResponse)]
        assert all(one.code == Code.NOT_CONNECTED for one in refused)
        assert all(isinstance(one, ServerResponse) for one in later)

    def test_a_call_that_may_have_run_is_not_sent_to_the_other_service(self):
        async def scene():
            mesh = SplitMesh(6, 2, 100, repeatable=False)

            async def break_off(call, reply) -> None:
                reply.abort()

            for node in mesh.lots:
                mesh.backends[node.name].handler = break_off
            outcome = await mesh.call(5)
            return outcome, mesh.arrivals

        outcome, arrivals = play(scene())
        assert outcome.code.may_have_run
        assert not arrivals
