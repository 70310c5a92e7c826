"""The stop of a node: what it tells, waits for and closes."""

import asyncio

from papayalock.config import make_settings
from papayalock.core.closing import Closing
from papayalock.dialect import NodeDialects
from papayalock.native import REMAINING_HEADER, NativeAnnouncements, NativeCalls
from papayalock.node.hostsmain import HostNode
from papayalock.node.http import Call, Reply
from papayalock.node.shutdown import Shutdown
from test.test_outbound import GOOD, KEEPALIVE, Caller, FarNodes
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
        reply.send(200, [], b'ok')


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

    def test_an_answer_is_sent_to_its_end(self):
        async def play():
            node = Node()
            transport = node.hop.transport
            transport.unsent = 70000
            loop = asyncio.get_running_loop()
            loop.call_later(3.0, setattr, transport, 'unsent', 0)
            return await node.stop(), transport.aborted

        (clean, took), aborted = fast(play)
        assert clean
        assert not aborted
        assert took >= 3.0

    def test_connections_without_a_call_are_closed_in_order(self):
        async def play():
            node = Node()
            await node.stop()
            return node.caller.transport, node.hop.transport

        for transport in fast(play):
            assert transport.closed
            assert not transport.aborted

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


async def hold(call: Call, reply: Reply) -> None:
    await asyncio.sleep(9)


class StoppingNode:
    """A node that stops and whose calls run elsewhere."""

    def __init__(self, run_s: float) -> None:
        signs = [(0.1 * step, KEEPALIVE) for step in range(1, int(run_s * 10))]
        self.far = FarNodes([*signs, (run_s, GOOD)])
        self.at = Caller(self.far, window_floor=0, timeout_ms=60000)
        self.callers, self.caller = server(self.at.outbound.handle)
        hops, self.hop = server(hold)
        self.agent = FakeAgent()
        self.shutdown = Shutdown(
            self.agent,
            self.at.outbound,
            self.callers,
            hops,
            self.at.closing,
            LoopClock(),
        )

    async def call(self, at_s: float, deadline_ms: int) -> bytes:
        """Returns what a caller reads whose call comes at a time of the stop."""
        stop = asyncio.create_task(self.shutdown.run(GRACE_S, [], []))
        head = b'POST /r/x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 0\r\n'
        remaining = b'%b: %d\r\n\r\n' % (REMAINING_HEADER, deadline_ms)
        await asyncio.sleep(at_s)
        self.caller.conn.data_received(head + remaining)
        await stop
        return self.caller.transport.written


def answer(at_s: float, deadline_ms: int = 3000, run_s: float = 0.2):
    """Returns the status line and the result code of a call's answer."""

    async def play():
        node = StoppingNode(run_s)
        node.hop.conn.data_received(get('/held'))
        return await node.call(at_s, deadline_ms)

    return fast(play)


class TestCalls:
    def test_a_call_that_would_be_cut_is_refused_at_once(self):
        assert b'105 DRAINING' in answer(4.3, run_s=1.5)

    def test_so_is_one_right_after_the_notice(self):
        assert b'105 DRAINING' in answer(2.7, run_s=2.95)

    def test_a_refused_caller_is_told_when_to_come_back(self):
        assert b'retry-after' in answer(4.3)

    def test_a_call_that_ends_before_the_node_is_served(self):
        assert answer(2.7, 2800, run_s=2.5).startswith(b'HTTP/1.1 200')
        assert answer(4.3, 1200, run_s=1.0).startswith(b'HTTP/1.1 200')

    def test_callers_who_cannot_know_yet_are_served(self):
        assert answer(2.5, 9000).startswith(b'HTTP/1.1 200')
        assert answer(2.5, 9000, run_s=3.0).startswith(b'HTTP/1.1 200')

    def test_shortly_before_the_end_none_is_taken(self):
        assert b'105 DRAINING' in answer(4.5, 500)

    def test_once_the_node_was_quiet_none_is_taken(self):
        async def play():
            node = StoppingNode(run_s=0.5)
            node.agent.leave_s = 0.1
            return await node.call(2.65, 1000)

        assert b'105 DRAINING' in fast(play)


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
