"""InboundProxy: admission to the local server and outcomes of its calls."""

import asyncio
import random

import msgspec

from papayalock.core.admission import Job, ServerGate
from papayalock.core.exposure import Exposure
from papayalock.core.heartbeats import BackendMonitor
from papayalock.messages import HopOrder
from papayalock.native import NativeCalls
from papayalock.node.crashreports import CrashReports
from papayalock.node.http import Call, Reply
from papayalock.node.inbound import InboundProxy
from papayalock.node.lag import LoopLag
from papayalock.node.outcome import NoResponse, ServerResponse
from papayalock.node.runstats import RunStats
from papayalock.node.slotqueue import SlotQueue
from papayalock.result import Code
from test.test_dispatch import FakePool, ScriptedConn, Writer
from test.test_heartbeats import beat
from test.wires import FakeClock

NAMED = b'papayalock-call: c'
OK = b'HTTP/1.1 200 OK\r\npapayalock-call: c\r\ncontent-length: 2\r\n\r\nhi'
FAILED = b'HTTP/1.1 500 X\r\npapayalock-call: c\r\ncontent-length: 0\r\n\r\n'
SHED = (
    b'HTTP/1.1 503 X\r\npapayalock-outcome: 103 SHED\r\n'
    b'content-length: 0\r\n\r\n'
)
OTHER = SHED.replace(b'103 SHED', b'114 OTHER_SERVER')


def order(**changes) -> HopOrder:
    fields = {
        'call': 'c',
        'service': 'floor',
        'server': 'i-1',
        'route': 'r',
        'repeatable': True,
        'rank': 1,
        'remaining_ms': 1000,
        'target_ms': 300,
        'caller': 'desk',
        **changes,
    }
    return HopOrder(**fields)


class Side:
    """An InboundProxy with a scripted local server."""

    def __init__(self, *script: bytes | None) -> None:
        self.clock = FakeClock()
        self.monitor = BackendMonitor(lease_ms=4000, drain_ms=2000)
        self.monitor.record_heartbeat(beat(1), self.clock.now)
        self.gate = ServerGate()
        self.lag = LoopLag(0.25)
        self.pool = FakePool(list(script))
        self.exposure = Exposure(random.Random(1))
        self.inbound = InboundProxy(
            self.monitor,
            SlotQueue[Job](self.gate, self.clock),
            self.gate,
            self.pool,
            NativeCalls(),
            self.clock,
            60,
            self.lag,
            CrashReports(self.clock),
            RunStats(self.exposure, self.monitor, 'a', 7),
        )
        self.inbound.update_slots()

    async def run(self, **changes):
        call = Call(b'GET', b'/x', [(b'host', b'a'), (b'te', b'x')])
        return await self.inbound.run(order(**changes), call)


def run(*script: bytes | None, **changes):
    async def play():
        side = Side(*script)
        return await side.run(**changes), side

    return asyncio.run(play())


def limited(response: bytes, limit: bytes) -> bytes:
    return response.replace(
        b'\r\ncontent', b'\r\npapayalock-limit: %s\r\ncontent' % limit
    )


class KeptConn:
    """A pool with one kept connection; servers answer OK on fresh ones."""

    def __init__(self, conn: ScriptedConn) -> None:
        self.conn = conn

    async def acquire(self, address: str, *, fresh: bool = False):
        if fresh or self.conn.closed:
            return ScriptedConn([OK], used=False)
        return self.conn

    def release(self, address: str, conn) -> None:
        """Keeps the connection."""


class TestSecondCopy:
    """A server may send a second copy of a response late."""

    def stays_open(self, response: bytes) -> bool:
        """Returns whether the connection is used again after a response."""
        _, side = run(response)
        return not side.pool.conn.closed

    def test_a_connection_is_reused_after_a_response_that_names_its_call(self):
        assert self.stays_open(OK)
        assert self.stays_open(FAILED)

    def test_a_copy_of_a_rejection_without_an_id_cannot_answer_the_next_call(
        self,
    ):
        assert not self.stays_open(SHED)

    def test_a_copy_of_a_refusal_does_not_answer_the_same_call_sent_again(
        self,
    ):
        refusal = SHED.replace(b'\r\ncontent', b'\r\n%b\r\ncontent' % NAMED)

        async def play():
            side = Side(refusal, refusal + OK)
            side.inbound._pool = KeptConn(side.pool.conn)
            return await side.run(), await side.run()

        first, second = asyncio.run(play())
        assert first.code == Code.SHED
        assert isinstance(second, ServerResponse)


class TestNotices:
    def test_any_response_of_the_server_may_state_a_limit(self):
        assert run(limited(OK, b'7.5'))[1].monitor.limit == 7.5
        assert run(limited(FAILED, b'7.5'))[1].monitor.limit == 7.5
        assert run(limited(SHED, b'7.5'))[1].monitor.limit == 7.5
        assert run(OK)[1].monitor.limit is None

    def test_a_response_of_another_server_states_nothing(self):
        assert run(limited(OTHER, b'7.5'))[1].monitor.limit is None

    def test_a_rejection_without_a_limit_does_not_lift_it(self):
        async def play(second):
            side = Side(limited(OK, b'7.5'), second, OK)
            await side.run()
            side.clock.now += 1
            await side.run()
            return side.monitor.limit

        assert asyncio.run(play(SHED)) == 7.5
        assert asyncio.run(play(OK)) is None

    def test_a_limit_that_cannot_be_read_changes_nothing(self):
        async def play():
            side = Side(limited(OK, b'7.5'), limited(OK, b'x'))
            await side.run()
            await side.run()
            return side.monitor.limit

        assert asyncio.run(play()) == 7.5


class TestInbound:
    def test_a_complete_response_is_forwarded_and_frees_the_slot(self):
        outcome, side = run(OK)
        assert (outcome.status, outcome.body) == (200, b'hi')
        assert not side.gate.running
        assert b'papayalock-server: i-1' in side.pool.conn.sent
        assert b'papayalock-caller: desk' in side.pool.conn.sent
        assert b'\r\nte:' not in side.pool.conn.sent

    def test_a_call_that_the_server_shed_was_not_run(self):
        outcome, _ = run(SHED)
        assert (outcome.code, outcome.arrived) == (Code.SHED, True)

    def test_a_lost_connection_may_have_run(self):
        outcome, _ = run(None)
        assert isinstance(outcome, NoResponse)
        assert outcome.code.may_have_run
        assert outcome.arrived

    def test_a_server_that_cannot_be_reached_got_nothing(self):
        async def play():
            side = Side()
            side.pool.refuse = True
            return await side.run()

        outcome = asyncio.run(play())
        assert (outcome.code, outcome.arrived) == (Code.NOT_CONNECTED, False)

    def test_an_address_of_another_server_gets_nothing_until_the_next_heartbeat(
        self,
    ):
        async def play():
            side = Side(OTHER, OK)
            first = await side.run()
            second = await side.run()
            side.monitor.record_heartbeat(beat(2), side.clock.now)
            return first.code, second.code, await side.run()

        first, second, third = asyncio.run(play())
        assert (first, second) == (Code.OTHER_SERVER, Code.NO_SERVER)
        assert isinstance(third, ServerResponse)

    def test_a_call_for_another_start_of_the_server_is_not_run(self):
        outcome, side = run(OK, server='i-0')
        assert outcome.code == Code.OTHER_SERVER
        assert side.pool.conn.sent == b''

    def test_a_draining_server_gets_nothing_after_its_time(self):
        async def play():
            side = Side(OK)
            side.monitor.record_heartbeat(
                beat(2, draining=True), side.clock.now
            )
            side.clock.now += 1.3
            return await side.run(), side.pool.conn.sent

        outcome, sent = asyncio.run(play())
        assert outcome.code == Code.DRAINING
        assert sent == b''

    def test_a_failure_of_a_callee_is_distinguished_from_the_servers_own(self):
        async def play():
            side = Side(FAILED, FAILED)
            own = await side.run()
            task = asyncio.create_task(side.run())
            await asyncio.sleep(0)
            side.inbound.callee_failures += 1
            return own, await task, side.gate.failing

        own, below, failing = asyncio.run(play())
        assert (own.callee_failed, below.callee_failed) == (False, True)
        assert 0 < failing < 0.2

    def test_a_cancelled_call_is_logged(self, caplog):
        async def play():
            side = Side()
            task = asyncio.create_task(side.run())
            await asyncio.sleep(0)
            side.clock.now += 0.2
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return side

        with caplog.at_level('INFO'):
            side = asyncio.run(play())
        line = caplog.records[-1]
        assert line.message == 'call abandoned'
        assert (line.call, line.waited_ms, line.ran_ms) == ('c', 0, 200)
        assert not side.gate.running

    def test_an_unreadable_order_is_refused(self):
        class Refusals:
            def __init__(self) -> None:
                self.codes = []

            def refuse(self, code, message) -> None:
                self.codes.append(code)

        async def play(header: bytes):
            reply = Refusals()
            headers = [(b'papayalock-order', header)]
            await Side().inbound.handle(Call(b'GET', b'/', headers), reply)
            return reply.codes

        for header in (b'', b'{', b'[]', msgspec.json.encode({'call': 1})):
            assert asyncio.run(play(header)) == [Code.BAD_REQUEST]


class TestStopping:
    def test_a_call_that_may_outlast_the_node_is_not_run(self):
        outcome, sent = stopping(3.0, remaining_ms=2700)
        assert (outcome.code, outcome.arrived) == (Code.DRAINING, False)
        assert sent == b''

    def test_calls_are_run_until_other_nodes_know_of_the_stop(self):
        outcome, _ = stopping(2.5, remaining_ms=9000)
        assert isinstance(outcome, ServerResponse)

    def test_a_call_that_ends_before_the_node_stops_is_run(self):
        outcome, _ = stopping(5.0, remaining_ms=500)
        assert isinstance(outcome, ServerResponse)

    def test_a_queued_call_that_would_be_cut_is_not_run(self):
        outcome = queued(4.5, remaining_ms=9000)
        assert (outcome.code, outcome.arrived) == (Code.DRAINING, False)

    def test_a_queued_call_waits_while_it_can_still_end(self):
        assert queued(4.3, remaining_ms=9000) is None
        assert queued(4.5, remaining_ms=5500) is None

    def test_a_slot_that_is_freed_too_late_is_not_used(self):
        async def play():
            side = Side(OK, OK)
            first, waiting = await fill(side, remaining_ms=9000)
            side.clock.now += 4.5
            first.cancel()
            return await waiting, side.gate.running

        outcome, running = asyncio.run(play())
        assert outcome.code == Code.DRAINING
        assert not running


async def fill(side: Side, **changes):
    """Returns the tasks of a running and a queued call at a stopping node.

    The running call holds the only slot.
    """
    side.monitor.record_heartbeat(beat(2, slots=1), side.clock.now)
    side.inbound.update_slots()
    side.gate.shutdown_times.begin(side.clock.now, 6.0)
    wants = {'target_ms': 5000, **changes}
    tasks = [asyncio.create_task(side.run(**wants)) for _ in range(2)]
    await asyncio.sleep(0)
    return tasks


def queued(after_s: float, **changes):
    """Returns the outcome of a queued call some time into the stop.

    None if the call is still queued.
    """

    async def play():
        side = Side()
        tasks = await fill(side, **changes)
        assert side.gate.jobs == 2
        side.clock.now += after_s
        side.monitor.record_heartbeat(beat(3, slots=1), side.clock.now)
        side.inbound.update_slots()
        await asyncio.sleep(0)
        _, waiting = tasks
        outcome = waiting.result() if waiting.done() else None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return outcome

    return asyncio.run(play())


def stopping(after_s: float, **changes):
    """Returns the outcome of a call that arrives some time into the stop.

    Also returns what was sent to the server.
    """

    async def play():
        side = Side(OK)
        side.gate.shutdown_times.begin(side.clock.now, 6.0)
        side.clock.now += after_s
        side.monitor.record_heartbeat(beat(2), side.clock.now)
        return await side.run(**changes), side.pool.conn.sent

    return asyncio.run(play())


class TestLoopStall:
    def test_a_call_cancelled_during_a_stall_is_not_run(self):
        async def play(stall_s: float):
            side = Side(OK)
            side.lag.record_run(side.clock.now - 0.25 - stall_s)
            headers = [(b'papayalock-order', msgspec.json.encode(order()))]
            call = Call(b'GET', b'/x', headers)
            task = asyncio.create_task(
                side.inbound.handle(call, Reply(Writer(), keep_alive=True))
            )
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return side.pool.conn.sent

        assert asyncio.run(play(stall_s=0.5)) == b''
        assert asyncio.run(play(stall_s=0.0)) != b''


class TestRestartedServer:
    def test_a_queued_call_for_the_earlier_start_does_not_affect_the_new_one(
        self,
    ):
        async def play():
            side = Side(OK, OTHER)
            side.monitor.record_heartbeat(beat(2, slots=1), side.clock.now)
            side.inbound.update_slots()
            tasks = [
                asyncio.create_task(side.run(target_ms=5000)) for _ in range(2)
            ]
            await asyncio.sleep(0)
            fresh = beat(1, born=2000, server='i-2', slots=1)
            side.monitor.record_heartbeat(fresh, side.clock.now)
            side.inbound.update_slots()
            await asyncio.gather(*tasks)
            return side.monitor.serving(side.clock.now)

        assert asyncio.run(play()) is not None
