"""Nodes that may poll any control VM: proofs, and what a cut-off zone gets."""

import asyncio
import random

from papayalock.control.openzone import OpenZone
from papayalock.core.distribute import SnapshotLimiter
from papayalock.core.endpoints import EndpointTable
from papayalock.messages import Endpoint, Publish, SyncReq
from papayalock.result import Code, PapayalockError
from test.cluster import MemoryDisk
from test.test_group import leading, make, run, stop
from test.test_routebook import route, route_set
from test.wires import LoopClock


class NoJournal:
    """Takes what nodes held and forgets it."""

    def __init__(self) -> None:
        self.held = self

    def record_applied(self, *_facts) -> None:
        return

    def record_release(self, *_facts) -> None:
        return


class AgeingClock(LoopClock):
    """A clock that a test sets forward."""

    ahead = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.ahead


class Served:
    """An open zone on a group of one."""

    def __init__(self) -> None:
        self.group = make(MemoryDisk())
        self.clock = AgeingClock()
        self.proofs = 0
        self.quorum = True
        self.zone = OpenZone(
            'z1',
            self.group,
            self.group.machine,
            EndpointTable('e', 'a', 6000),
            NoJournal(),
            SnapshotLimiter(100, 50, random.Random(1), 0),
            self.clock,
            0,
            None,
        )
        self.zone.read_index = self.read_index

    async def read_index(self) -> int:
        self.proofs += 1
        if not self.quorum:
            raise PapayalockError(Code.NO_LEADER, 'cut off')
        return self.group.replica.commit

    async def sync(self, **changes):
        fields = {
            'node': 'n',
            'zone': 'z9',
            'service': '',
            'incarnation': 1,
            **changes,
        }
        return await self.zone.sync(SyncReq(**fields))


def play(work):
    async def whole():
        served = Served()
        task = await leading(served.group)
        await served.group.propose(Publish(route_set=route_set(3, 0)))
        await asyncio.sleep(0.1)
        answer = await work(served)
        await stop(task)
        return answer

    return run(whole())


class TestRestartedNodes:
    def test_a_node_of_any_zone_gets_the_newest_version_after_a_proof(self):
        async def work(served):
            reply = await served.sync()
            return reply.code, bool(reply.delta), served.proofs

        assert play(work) == (Code.DONE, True, 1)

    def test_without_a_proof_it_is_told_to_ask_again(self):
        async def work(served):
            served.quorum = False
            served.clock.ahead = 10.0
            reply = await served.sync()
            return reply.code, reply.delta, reply.peers[0].address

        assert play(work) == (Code.NOT_PROVABLY_NEWEST, None, 'a')

    def test_control_vms_that_just_started_wait_for_their_first_leader(self):
        async def work(served):
            served.quorum = False
            poll = asyncio.create_task(served.sync())
            await asyncio.sleep(0.2)
            waiting = not poll.done()
            served.quorum = True
            reply = await poll
            return waiting, reply.code

        assert play(work) == (True, Code.DONE)

    def test_one_that_is_no_member_yet_refuses_at_once(self):
        async def work(served):
            served.quorum = False
            served.group.replica.cfg.name = 'stranger'
            reply = await served.sync()
            return reply.code, served.proofs

        assert play(work) == (Code.NOT_PROVABLY_NEWEST, 1)

    def test_a_node_that_found_no_proof_anywhere_gets_what_is_held(self):
        async def work(served):
            served.quorum = False
            reply = await served.sync(unproven=True)
            return reply.code, bool(reply.delta)

        assert play(work) == (Code.DONE, True)


class TestRunningNodes:
    def test_a_running_node_needs_no_proof(self):
        async def work(served):
            await served.sync(version=1, digest='', wait_ms=0)
            return served.proofs

        assert play(work) == 0

    def test_a_change_wakes_the_poll_that_waits(self):
        async def work(served):
            info = served.group.machine.versions[-1]
            scope = served.zone._source.scope(info, '', ())
            poll = asyncio.create_task(
                served.sync(
                    version=1, digest=scope.digest, epoch='e', wait_ms=5000
                )
            )
            await asyncio.sleep(0.05)
            waiting = not poll.done()
            change = Publish(route_set=route_set(4, 3, route('new')))
            await served.group.propose(change)
            reply = await poll
            return waiting, b'"version":2' in bytes(reply.delta)

        assert play(work) == (True, True)

    def test_endpoints_of_every_routed_service_are_sent(self):
        async def work(served):
            for service in ('floor', 'unrouted'):
                served.zone.table.attach(
                    Endpoint(
                        server=f'i-{service}',
                        service=service,
                        zone='z1',
                        address='n:1',
                        incarnation=1,
                    ),
                    0,
                )
            reply = await served.sync()
            return [one.server for one in reply.endpoints.endpoints]

        assert play(work) == ['i-floor']
