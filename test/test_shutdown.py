"""The stop of a node: what it tells, waits for and closes."""

import asyncio

from papayalock.config import make_settings
from papayalock.core.closing import Closing
from papayalock.dialect import NodeDialects
from papayalock.native import NativeAnnouncements, NativeCalls
from papayalock.node.hostsmain import HostNode
from papayalock.node.http import Call, Reply
from papayalock.node.shutdown import Shutdown
from test.test_pipelining import get
from test.test_placing import endpoint
from test.wires import FastLoop, LoopClock, ServerSide, server

GRACE_S = 6.0


class FakeAgent:
    """Notes what the stop tells the control VMs."""

    def __init__(self) -> None:
        self.stopping = False
        self.pokes = 0
        self.left = False
        self.leave_s = 0.0

    def poke(self) -> None:
        self.pokes += 1

    async def leave(self) -> None:
        await asyncio.sleep(self.leave_s)
        self.left = True


class FakeOutbound:
    busy = False


class Node:
    """The parts of a node that its stop touches."""

    def __init__(self) -> None:
        self.agent = FakeAgent()
        self.outbound = FakeOutbound()
        self.closing = Closing()
        self.run_s = 0.0
        self.callers, self.caller = server(self._handle)
        self.hops, self.hop = server(self._handle)
        self.shutdown = Shutdown(
            self.agent,
            self.outbound,
            self.callers,
            self.hops,
            self.closing,
            LoopClock(),
        )

    async def stop(self) -> tuple[bool, float]:
        """Returns whether all calls ended, and the seconds that it took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        clean = await self.shutdown.run(GRACE_S, [], [])
        return clean, round(loop.time() - began, 3)

    def call_at(self, after_s: float, side: ServerSide, run_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(after_s, self._call, side, run_s)

    def _call(self, side: ServerSide, run_s: float) -> None:
        self.run_s = run_s
        side.conn.data_received(get('/x'))

    async def _handle(self, call: Call, reply: Reply) -> None:
        await asyncio.sleep(self.run_s)
        reply.whole(200, [], b'ok')


def fast(play):
    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(play())


class TestShutdown:
    def test_others_are_told_at_once(self):
        async def play():
            node = Node()
            task = asyncio.create_task(node.stop())
            await asyncio.sleep(0)
            told = (node.agent.stopping, node.agent.pokes, node.agent.left)
            await task
            return told, node.callers.stopping, node.agent.left

        assert fast(play) == ((True, 1, False), True, True)

    def test_a_quiet_node_ends_after_the_notice(self):
        async def play():
            return await Node().stop()

        clean, took = fast(play)
        assert clean
        assert 2.6 <= took < 2.7

    def test_a_call_under_way_is_waited_for(self):
        async def play():
            node = Node()
            node.call_at(2.5, node.caller, 1.0)
            return await node.stop(), node.caller.transport

        (clean, took), transport = fast(play)
        assert clean
        assert 3.5 <= took < 3.6
        assert transport.written.endswith(b'ok')

    def test_a_call_of_another_node_is_waited_for(self):
        async def play():
            node = Node()
            node.call_at(2.5, node.hop, 1.0)
            return await node.stop(), node.hop.transport

        (clean, _), transport = fast(play)
        assert clean
        assert transport.written.endswith(b'ok')

    def test_a_call_whose_caller_left_is_waited_for(self):
        async def play():
            node = Node()
            node.outbound.busy = True
            loop = asyncio.get_running_loop()
            loop.call_later(4.0, setattr, node.outbound, 'busy', False)
            return await node.stop()

        clean, took = fast(play)
        assert clean
        assert 4.0 <= took < 4.1

    def test_the_node_ends_within_its_grace_time(self):
        async def play():
            node = Node()
            node.call_at(0.0, node.caller, 9.0)
            node.agent.leave_s = 9.0
            return await node.stop(), node.caller.transport.aborted

        (clean, took), aborted = fast(play)
        assert not clean
        assert aborted
        assert took < GRACE_S

    def test_what_runs_beside_the_calls_is_cancelled(self):
        async def play():
            node = Node()
            task = asyncio.create_task(asyncio.sleep(99))
            await node.shutdown.run(GRACE_S, [], [task])
            return task.cancelled()

        assert fast(play)


class TestReadiness:
    def test_a_node_that_stops_is_not_ready_at_once(self):
        async def play():
            settings = make_settings(
                {'role': 'node', 'control': {'addresses': ['10.0.0.9:1']}}
            )
            dialects = NodeDialects(NativeCalls(), NativeAnnouncements())
            node = HostNode(settings, dialects)
            node.agent.configuration.version = 1
            node.placement.upsert(endpoint('n1'), 0)
            before = node.ready
            task = asyncio.create_task(node.shutdown.run(GRACE_S, [], []))
            await asyncio.sleep(0)
            task.cancel()
            return before, node.ready

        assert asyncio.run(play()) == (True, False)
