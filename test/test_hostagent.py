"""The polls of a node with host routing that has just started."""

import asyncio
import random

import msgspec
import pytest

from papayalock.core.controlselector import ControlSelector
from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.placement import Placement
from papayalock.messages import EndpointDelta, SyncReq, SyncRes
from papayalock.node.hostagent import MIN_REFUSED_POLLS, HostAgent
from papayalock.result import Code
from test.test_heartbeats import beat
from test.test_placement import endpoint
from test.wires import FakeClock

ADDRESSES = [f'10.0.0.{number}:1' for number in range(3)]


class ScriptedControl:
    """A pool whose control VMs answer polls with scripted codes."""

    def __init__(self, codes: list[Code]) -> None:
        self.codes = list(codes)
        self.requests: list[SyncReq] = []

    async def exchange(self, address, req, timeout_ms, limit, *, total_ms=None):
        self.requests.append(msgspec.json.decode(req.body, type=SyncReq))
        return 200, msgspec.json.encode(SyncRes(code=self.codes.pop(0)))


def unproven_after(*codes: Code) -> bool:
    """Returns whether a poll takes an unproven version after some answers."""
    control = ScriptedControl([*codes, Code.DONE])
    rng = random.Random(1)
    agent = HostAgent(
        'n',
        'a',
        '10.0.0.9:1',
        ControlSelector('a', ADDRESSES, rng),
        BackendMonitor(lease_ms=4000, drain_ms=2000),
        Placement('a', '10.0.0.9:1', rng),
        control,
        FakeClock(),
        rng,
        poll_ms=800,
        margin_ms=400,
    )

    async def play():
        for _ in (*codes, Code.DONE):
            await agent._poll(wait_ms=0)

    asyncio.run(play())
    return control.requests[-1].unproven


class TestUnprovenVersion:
    """A restarted node may go back only while no quorum can be reached."""

    def test_it_is_taken_once_every_control_vm_has_refused_a_proof(self):
        refused = [Code.NOT_PROVABLY_NEWEST] * MIN_REFUSED_POLLS
        assert unproven_after(*refused)
        assert not unproven_after(*refused[1:])

    def test_busy_control_vms_do_not_make_a_node_take_one(self):
        assert not unproven_after(*[Code.BUSY] * 9)

    def test_refusals_before_a_proof_was_given_do_not_count(self):
        refused = [Code.NOT_PROVABLY_NEWEST] * (MIN_REFUSED_POLLS - 1)
        assert not unproven_after(*refused, Code.DONE, *refused)


class Restarted:
    """A node's agent, and the server beside it that leaves."""

    def __init__(self) -> None:
        rng = random.Random(1)
        self.clock = FakeClock()
        self.control = ScriptedControl([Code.DONE] * 9)
        self.monitor = BackendMonitor(lease_ms=4000, drain_ms=2000)
        self.agent = HostAgent(
            'n',
            'a',
            '10.0.0.9:1',
            ControlSelector('a', ADDRESSES, rng),
            self.monitor,
            Placement('a', '10.0.0.9:1', rng),
            self.control,
            self.clock,
            rng,
            poll_ms=800,
            margin_ms=400,
        )

    def hear(self, sequence: int, *, draining: bool = False) -> None:
        heartbeat = beat(sequence, draining=draining)
        self.monitor.record_heartbeat(heartbeat, self.clock.now)

    def depart(self) -> str:
        """Returns the state of the server that the last poll reports."""
        self.agent.stopping = True
        asyncio.run(self.agent.report_departure())
        return self.control.requests[-1].endpoint.state


class TestServerLeavesAtAStoppingNode:
    """A server whose node restarts after it acknowledged that it leaves."""

    def test_a_stopping_node_does_not_forget_that_its_server_leaves(self):
        node = Restarted()
        node.hear(4)
        node.hear(5, draining=True)
        assert node.depart() == 'draining'

    def test_a_stopping_node_whose_server_stays_reports_it_as_left(self):
        node = Restarted()
        node.hear(4)
        assert node.depart() == 'left'

    @pytest.mark.parametrize('heard_first', [True, False])
    def test_the_next_process_forwards_no_call_to_it(self, heard_first):
        node = Restarted()
        listed = endpoint(
            'i-1', state='draining', born_ms=1000, heartbeat=5, address='o'
        )
        table = EndpointDelta(
            epoch='e', cursor=1, endpoints=[listed], full=True
        )
        if heard_first:
            node.hear(4)
        node.agent._apply_endpoints(table)
        if not heard_first:
            node.hear(4)
            node.agent.backend_changed()
        assert node.monitor.is_draining()
        assert node.monitor.serving(node.clock.now) is None

    def test_a_newer_start_of_the_server_gets_calls(self):
        node = Restarted()
        listed = endpoint(
            'i-1', state='draining', born_ms=1000, heartbeat=5, address='o'
        )
        table = EndpointDelta(
            epoch='e', cursor=1, endpoints=[listed], full=True
        )
        node.agent._apply_endpoints(table)
        newer = beat(1, born=9000)
        node.monitor.record_heartbeat(newer, node.clock.now)
        node.agent.backend_changed()
        assert node.monitor.serving(node.clock.now) is not None
