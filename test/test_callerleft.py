"""Calls whose caller disconnects before a server has got them."""

import asyncio

import pytest

from test.hostmesh import SERVICE_S, SLOTS, HostMesh, play
from test.wires import LoopClock


async def arrivals_after_leaving(path: bytes) -> int:
    """Returns how many queued calls reach a server though their caller left."""
    mesh = HostMesh(1)
    running = [asyncio.ensure_future(mesh.call(0)) for _ in range(SLOTS)]
    await asyncio.sleep(SERVICE_S / 4)
    queued = asyncio.ensure_future(mesh.call(0, path))
    await asyncio.sleep(SERVICE_S / 4)
    queued.cancel()
    await asyncio.gather(*running, queued, return_exceptions=True)
    await asyncio.sleep(SERVICE_S)
    return len(mesh.servers[0].arrivals) - SLOTS


async def completed_after_leaving(path: bytes) -> tuple[bool, int]:
    """Returns whether a node is busy, and the completed calls of its server.

    A caller at another node has left while the server ran its call.
    """
    mesh = HostMesh(2)
    mesh.nodes[0].agent.placement.remove('i-0', LoopClock().monotonic())
    running = asyncio.ensure_future(mesh.call(0, path))
    await asyncio.sleep(SERVICE_S / 2)
    running.cancel()
    busy = mesh.nodes[1].inbound.busy
    await asyncio.sleep(SERVICE_S)
    assert not mesh.nodes[1].gate.running
    return busy, mesh.servers[1].completed


class TestRunningCall:
    def test_one_that_is_not_idempotent_continues_without_its_caller(self):
        assert play(completed_after_leaving(b'/once/x')) == (True, 1)

    def test_an_idempotent_one_is_interrupted(self):
        assert play(completed_after_leaving(b'/r/x')) == (False, 0)


class TestQueuedCall:
    @pytest.mark.parametrize('path', [b'/r/x', b'/once/x'])
    def test_a_queued_call_whose_caller_left_reaches_no_server(self, path):
        assert play(arrivals_after_leaving(path)) == 0
