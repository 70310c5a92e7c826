"""The graceful stop of a node: its reports, waits and closed connections."""

import asyncio
import re
from collections.abc import Callable

import pytest

from papayalock.config import make_settings
from papayalock.core.shutdowntimes import ShutdownTimes
from papayalock.dialect import NodeDialects
from papayalock.native import REMAINING_HEADER, NativeAnnouncements, NativeCalls
from papayalock.node.hostmain import HostNode
from papayalock.node.http import Call, Reply
from papayalock.node.shutdown import Shutdown
from test.test_outbound import GOOD, KEEPALIVE, Caller, FarNodes
from test.test_pipelining import get
from test.test_placement import endpoint
from test.wires import FastLoop, LoopClock, ServerSide, server

GRACE_S = 6.0


class FakeAgent:
    """Records what the shutdown reports to control VMs."""

    def __init__(self) -> None:
        self.stopping = False
        self.wakes = 0
        self.departed = False
        self.departure_s = 0.0
        self.on_departure: Callable[[], None] = lambda: None

    def wake(self) -> None:
        self.wakes += 1

    async def report_departure(self) -> None:
        await asyncio.sleep(self.departure_s)
        self.departed = True
        self.on_departure()


class FakeQuotas:
    async def leave(self) -> None:
        """Has no owner to tell."""


class FakeOutbound:
    busy = False
    quotas = FakeQuotas()


class Node:
    """The parts of a node that its shutdown uses."""

    def __init__(self) -> None:
        self.agent = FakeAgent()
        self.outbound = FakeOutbound()
        self.shutdown_times = ShutdownTimes()
        self.run_s = 0.0
        self.callers, self.caller = server(self._handle)
        self.hops, self.hop = server(self._handle)
        self.shutdown = Shutdown(
            self.agent,
            self.outbound,
            self.callers,
            self.hops,
            self.shutdown_times,
            LoopClock(),
        )

    async def stop(self) -> tuple[bool, float]:
        """Stops; returns whether all calls ended, and the seconds it took."""
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


def run_on_fast_loop(scenario):
    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(scenario())


class TestShutdown:
    def test_the_stop_is_reported_at_once(self):
        async def scenario():
            node = Node()
            task = asyncio.create_task(node.stop())
            await asyncio.sleep(0)
            at_once = (
                node.agent.stopping,
                node.agent.wakes,
                node.agent.departed,
            )
            await task
            return at_once, node.callers.stopping, node.agent.departed

        assert run_on_fast_loop(scenario) == ((True, 1, False), True, True)

    def test_an_idle_node_ends_after_the_notice_time(self):
        async def scenario():
            return await Node().stop()

        clean, took = run_on_fast_loop(scenario)
        assert clean
        assert 2.6 <= took < 2.7

    def test_a_running_call_is_waited_for(self):
        async def scenario():
            node = Node()
            node.call_at(2.5, node.caller, 1.0)
            return await node.stop(), node.caller.transport

        (clean, took), transport = run_on_fast_loop(scenario)
        assert clean
        assert 3.5 <= took < 3.6
        assert transport.written.endswith(b'ok')

    def test_a_hop_from_another_node_is_waited_for(self):
        async def scenario():
            node = Node()
            node.call_at(2.5, node.hop, 1.0)
            return await node.stop(), node.hop.transport

        (clean, _), transport = run_on_fast_loop(scenario)
        assert clean
        assert transport.written.endswith(b'ok')

    def test_a_response_is_sent_completely(self):
        async def scenario():
            node = Node()
            transport = node.hop.transport
            transport.unsent = 70000
            loop = asyncio.get_running_loop()
            loop.call_later(3.0, setattr, transport, 'unsent', 0)
            return await node.stop(), transport.aborted

        (clean, took), aborted = run_on_fast_loop(scenario)
        assert clean
        assert not aborted
        assert took >= 3.0

    def test_idle_connections_are_closed_without_abort(self):
        async def scenario():
            node = Node()
            await node.stop()
            return node.caller.transport, node.hop.transport

        for transport in run_on_fast_loop(scenario):
            assert transport.closed
            assert not transport.aborted

    def test_a_call_without_its_caller_is_waited_for(self):
        async def scenario():
            node = Node()
            node.outbound.busy = True
            loop = asyncio.get_running_loop()
            loop.call_later(4.0, setattr, node.outbound, 'busy', False)
            return await node.stop()

        clean, took = run_on_fast_loop(scenario)
        assert clean
        assert 4.0 <= took < 4.1

    def test_the_node_ends_within_its_grace_time(self):
        async def scenario():
            node = Node()
            node.call_at(0.0, node.caller, 9.0)
            node.agent.departure_s = 9.0
            return await node.stop(), node.caller.transport

        (clean, took), transport = run_on_fast_loop(scenario)
        assert not clean
        assert is_whole_reply(transport.written)
        assert transport.written.startswith(b'HTTP/1.1 504 ')
        assert transport.closed
        assert took < GRACE_S

    @pytest.mark.parametrize('name', ['caller', 'hop'])
    def test_a_call_read_just_before_the_end_is_answered(self, name):
        async def scenario():
            node = Node()
            side = getattr(node, name)
            node.agent.on_departure = lambda: node._call(side, 0.0)
            await node.stop()
            return side.transport

        transport = run_on_fast_loop(scenario)
        assert transport.written.endswith(b'ok')
        assert not transport.aborted

    def test_background_tasks_are_cancelled(self):
        async def scenario():
            node = Node()
            task = asyncio.create_task(asyncio.sleep(99))
            await node.shutdown.run(GRACE_S, [], [task])
            return task.cancelled()

        assert run_on_fast_loop(scenario)


async def handle_slowly(call: Call, reply: Reply) -> None:
    await asyncio.sleep(9)


class StoppingNode:
    """A stopping node that forwards its callers' calls to other nodes."""

    def __init__(self, run_s: float, calls: int = 1) -> None:
        keepalives = [
            (0.1 * step, KEEPALIVE) for step in range(1, int(run_s * 10))
        ]
        script = [*keepalives, (run_s, GOOD)]
        self.far_nodes = FarNodes(*[script] * calls)
        self.outbound_side = Caller(
            self.far_nodes, window_floor=0, timeout_ms=60000
        )
        self.callers, self.caller = server(
            self.outbound_side.outbound.handle, connections=calls + 4
        )
        hops, self.hop = server(handle_slowly)
        self.agent = FakeAgent()
        self.shutdown = Shutdown(
            self.agent,
            self.outbound_side.outbound,
            self.callers,
            hops,
            self.outbound_side.shutdown_times,
            LoopClock(),
        )

    async def call(self, at_s: float, deadline_ms: int) -> bytes:
        """Returns the response to a call made some seconds into the stop."""
        stop = asyncio.create_task(self.shutdown.run(GRACE_S, [], []))
        head = b'POST /r/x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 0\r\n'
        remaining = b'%b: %d\r\n\r\n' % (REMAINING_HEADER, deadline_ms)
        await asyncio.sleep(at_s)
        self.caller.conn.data_received(head + remaining)
        await stop
        return self.caller.transport.written


class HangingNode(StoppingNode):
    """A stopping node whose callees run each call without end."""

    def __init__(self) -> None:
        super().__init__(run_s=60.0, calls=200)

    async def accept_all(self, until_s: float) -> list[tuple[float, bytes]]:
        """Has a call arrive each 0.1 s of the stop, on its own connection.

        :returns: when each call was made, and what its caller received
        """
        stop = asyncio.create_task(self.shutdown.run(GRACE_S, [], []))
        head = b'POST /r/x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 0\r\n'
        remaining = b'%b: 60000\r\n\r\n' % REMAINING_HEADER
        sides = []
        for step in range(int(until_s * 10)):
            side = ServerSide(self.callers)
            side.conn.data_received(head + remaining)
            sides.append((step / 10, side.transport))
            await asyncio.sleep(0.1)
        await stop
        return [(at_s, transport.written) for at_s, transport in sides]


def is_whole_reply(received: bytes) -> bool:
    """Returns whether a caller received one complete final response."""
    head, separator, body = received.partition(b'\r\n\r\n')
    length = re.search(rb'content-length: (\d+)', head)
    return bool(separator and length) and len(body) == int(length[1])


class TestEndOfGrace:
    """No call is cut off without an answer when the grace time ends."""

    def replies(self) -> list[tuple[float, bytes]]:
        async def scenario():
            return await HangingNode().accept_all(GRACE_S - 0.5)

        return run_on_fast_loop(scenario)

    def test_every_call_that_was_read_gets_a_whole_reply(self):
        replies = self.replies()
        cut = [
            at_s for at_s, received in replies if not is_whole_reply(received)
        ]
        assert not cut

    def test_a_call_that_may_have_run_is_not_said_not_to_have_run(self):
        passed_on = [r for at_s, r in self.replies() if at_s < 2.5]
        assert passed_on
        assert all(b' 504 ' in received[:16] for received in passed_on)

    def test_calls_that_cannot_end_in_time_are_refused_once_callers_know(self):
        late = [r for at_s, r in self.replies() if at_s > 2.7]
        assert late
        assert all(b' 503 ' in received[:16] for received in late)


def response_to_call(at_s: float, deadline_ms: int = 3000, run_s: float = 0.2):
    """Returns the response to a call made some seconds into the stop.

    A hop from another node runs throughout, so that the node stays busy.
    """

    async def scenario():
        node = StoppingNode(run_s)
        node.hop.conn.data_received(get('/held'))
        return await node.call(at_s, deadline_ms)

    return run_on_fast_loop(scenario)


class TestCalls:
    def test_a_call_that_would_be_cut_off_is_refused(self):
        assert b'105 DRAINING' in response_to_call(4.3, run_s=1.5)

    def test_refusals_begin_right_after_the_notice_time(
        self,
    ):
        assert b'105 DRAINING' in response_to_call(2.7, run_s=2.95)

    def test_a_refusal_has_a_retry_after_header(self):
        assert b'retry-after' in response_to_call(4.3)

    def test_a_call_with_an_early_deadline_is_served(self):
        assert response_to_call(2.7, 2800, run_s=2.5).startswith(
            b'HTTP/1.1 200'
        )
        assert response_to_call(4.3, 1200, run_s=1.0).startswith(
            b'HTTP/1.1 200'
        )

    def test_calls_during_the_notice_time_are_served(self):
        assert response_to_call(2.5, 9000).startswith(b'HTTP/1.1 200')
        assert response_to_call(2.5, 9000, run_s=3.0).startswith(
            b'HTTP/1.1 200'
        )

    def test_calls_shortly_before_the_end_are_refused(self):
        assert b'105 DRAINING' in response_to_call(4.5, 500)

    def test_calls_after_the_node_was_idle_are_refused(self):
        async def scenario():
            node = StoppingNode(run_s=0.5)
            node.agent.departure_s = 0.1
            return await node.call(2.65, 1000)

        assert b'105 DRAINING' in run_on_fast_loop(scenario)


class TestReadiness:
    def test_a_stopping_node_is_unready_at_once(self):
        async def scenario():
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

        assert asyncio.run(scenario()) == (True, False)
