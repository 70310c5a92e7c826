"""The polls of a node with host routing that has just started."""

import asyncio
import random

import msgspec

from papayalock.core.controlselector import ControlSelector
from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.placement import Placement
from papayalock.messages import SyncReq, SyncRes
from papayalock.node.hostagent import MIN_REFUSED_POLLS, HostAgent
from papayalock.result import Code
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
