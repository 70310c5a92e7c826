"""Peers that send bytes without end, in a head or a body."""

import asyncio
import random
import tracemalloc

import pytest
import uvicorn
from uvicorn.server import ServerState

from papayalock.control.httpprotocol import (
    HEAD_TIMEOUT_S,
    MAX_HEAD_BYTES,
    LimitedHttpProtocol,
)
from papayalock.core.admission import Job, ServerGate
from papayalock.core.buffers import BufferPool
from papayalock.core.exposure import Exposure
from papayalock.core.framing import FramingLimit
from papayalock.core.heartbeats import BackendMonitor
from papayalock.httpclient import Request, TransportError
from papayalock.native import NativeCalls
from papayalock.node.crashreports import CrashReports
from papayalock.node.http import Call
from papayalock.node.inbound import InboundProxy
from papayalock.node.lag import LoopLag
from papayalock.node.listener import HEADER_TIMEOUT_S
from papayalock.node.outcome import NoResponse, ServerResponse
from papayalock.node.runstats import RunStats
from papayalock.node.slotqueue import SlotQueue
from papayalock.pool import Pool
from papayalock.result import Code
from papayalock.turns import SLICE_BYTES
from test.test_heartbeats import beat
from test.test_inbound import OK, order
from test.wires import (
    FakeTransport,
    FastLoop,
    LoopClock,
    ServerSide,
    client,
    server,
)

GET = Request(b'GET', b'/', [(b'host', b'x')])
HEAD = b'HTTP/1.1 200 OK\r\npapayalock-call: c\r\n'
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
PIECE = b'x' * 4096
CHUNK = b'1000\r\n' + PIECE + b'\r\n'
BUFFER_BYTES = 4_194_304
ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', PIECE),
    'header': (HEAD + b'x: ', PIECE),
    'headers': (HEAD, b'x: y\r\n' * 500),
    'trailer': (CHUNKED + b'0\r\nx: ', PIECE),
    'chunk line': (CHUNKED + b'1;', PIECE),
    'body': (CHUNKED, CHUNK),
    'body until the connection ends': (HEAD + b'\r\n', PIECE),
}


async def exchange(conn, timeout_ms: int = 10_000, **options) -> bytes:
    response = await conn.call(GET, timeout_ms, **options)
    return await response.read_all(1_000_000)


class TestResponseHead:
    """How much a client connection takes that is no body."""

    MOST = 2 * 65536  # bytes sent until the connection has to be closed

    @pytest.mark.parametrize(
        'kind',
        sorted(ENDLESS.keys() - {'body', 'body until the connection ends'}),
    )
    def test_it_closes_at_its_limit(self, kind):
        start, piece = ENDLESS[kind]

        async def run() -> tuple[int, Code]:
            conn, transport = client()
            task = asyncio.create_task(exchange(conn))
            await asyncio.sleep(0)
            conn.data_received(start)
            sent = 0
            while not transport.closed and sent < 10 * self.MOST:
                conn.data_received(piece)
                sent += len(piece)
                await asyncio.sleep(0)
            with pytest.raises(TransportError) as caught:
                await task
            return sent, caught.value.code

        sent, code = asyncio.run(run())
        assert sent <= self.MOST
        assert code == Code.INCOMPLETE_ANSWER

    def test_responses_of_other_calls_are_discarded_up_to_a_limit(self):
        async def run() -> tuple[int, Code]:
            conn, transport = client()
            task = asyncio.create_task(
                conn.call(GET, 10_000, matches_call=lambda _: False)
            )
            await asyncio.sleep(0)
            conn.data_received(CHUNKED)
            sent = 0
            while not transport.closed and sent < 10_000_000:
                conn.data_received(CHUNK)
                sent += len(CHUNK)
            with pytest.raises(TransportError) as caught:
                await task
            return sent, caught.value.code

        sent, code = asyncio.run(run())
        assert sent < 2_000_000
        assert code == Code.INCOMPLETE_ANSWER

    def test_a_body_in_chunks_of_one_byte_is_complete(self):
        async def run() -> int:
            conn, _ = client()
            task = asyncio.create_task(exchange(conn))
            await asyncio.sleep(0)
            conn.data_received(CHUNKED)
            for _ in range(50_000):
                conn.data_received(b'1\r\nx\r\n')
                if conn.transport.paused:
                    await asyncio.sleep(0)
            conn.data_received(b'0\r\n\r\n')
            return len(await task)

        assert asyncio.run(run()) == 50_000

    def test_keepalives_of_a_long_call_do_not_count(self):
        async def run() -> bytes:
            conn, _ = client()
            task = asyncio.create_task(exchange(conn))
            await asyncio.sleep(0)
            for _ in range(5_000):
                await asyncio.sleep(0.1)
                conn.data_received(b'HTTP/1.1 102 Processing\r\n\r\n')
            conn.data_received(OK)
            return await task

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            assert runner.run(run()) == b'hi'

    def test_keepalives_that_were_held_up_do_not_count(self):
        async def run() -> bytes:
            conn, _ = client()
            task = asyncio.create_task(exchange(conn))
            await asyncio.sleep(8.0)
            conn.data_received(b'HTTP/1.1 102 Processing\r\n\r\n' * 800)
            await asyncio.sleep(1.0)
            conn.data_received(OK)
            return await task

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            assert runner.run(run()) == b'hi'

    # Each interim response started the limit on heads anew.
    def test_interim_responses_without_end_are_cut_off(self):
        async def run() -> tuple[int, Code]:
            conn, transport = client()
            task = asyncio.create_task(exchange(conn))
            await asyncio.sleep(0)
            sent = 0
            while not transport.closed and sent < 10 * self.MOST:
                conn.data_received(b'HTTP/1.1 102 Processing\r\n\r\n')
                sent += 27
            with pytest.raises(TransportError) as caught:
                await task
            return sent, caught.value.code

        sent, code = asyncio.run(run())
        assert sent <= self.MOST
        assert code == Code.INCOMPLETE_ANSWER


TINY_CHUNKS = b'2\r\nxy\r\n' * 40_000


class TestTinyChunks:
    """Bodies in chunks of two bytes, as costly in memory and time as can be."""

    def peak_bytes(self, work) -> int:
        tracemalloc.start()
        asyncio.run(work())
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return peak - len(TINY_CHUNKS)

    # A bytes object for each chunk took twenty times the memory counted.
    def test_a_response_takes_the_memory_that_is_counted(self):
        async def work() -> None:
            conn, _ = client()
            task = asyncio.create_task(exchange(conn))
            await asyncio.sleep(0)
            conn.data_received(CHUNKED)
            for start in range(0, len(TINY_CHUNKS), 28):
                conn.data_received(TINY_CHUNKS[start : start + 28])
                await asyncio.sleep(0)
            conn.data_received(b'0\r\n\r\n')
            assert len(await task) == 80_000

        assert self.peak_bytes(work) < 4 * 80_000

    def test_a_request_takes_the_memory_that_is_counted(self):
        async def work() -> None:
            taken = []

            async def handler(call: Call, reply) -> None:
                taken.append(len(call.body))

            _, side = server(handler, body_bytes=1_000_000)
            side.conn.data_received(TestCallerHead.CHUNKED)
            for start in range(0, len(TINY_CHUNKS), 28):
                side.conn.data_received(TINY_CHUNKS[start : start + 28])
            side.conn.data_received(b'0\r\n\r\n')
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert taken == [80_000]

        assert self.peak_bytes(work) < 4 * 80_000

    # Sixty such connections kept the event loop busy for seconds.
    def test_many_connections_share_the_loop_with_others(self):
        async def run() -> tuple[int, list[int]]:
            conns = []
            listening = None
            for _ in range(60):
                if listening is None:
                    listening, side = server(
                        None, body_bytes=1_000_000, connections=100
                    )
                else:
                    side = ServerSide(listening)
                side.conn.data_received(TestCallerHead.CHUNKED)
                conns.append(side.conn)

            def taken() -> int:
                return listening.bodies.used

            for conn in conns:
                conn.data_received(TINY_CHUNKS[: 7 * 5_000])
            first = taken()
            steps = []
            for _ in range(400):
                before = taken()
                await asyncio.sleep(0.001)
                steps.append(taken() - before)
            return first, steps

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            first, steps = runner.run(run())
        slice_bytes = SLICE_BYTES // 7 * 2 + 2
        assert first <= 60 * slice_bytes
        assert sum(steps) > 0
        assert max(steps) <= 2 * slice_bytes

    def test_a_costly_body_is_complete_in_the_end(self):
        async def run() -> tuple[int, bool]:
            conn, transport = client()
            task = asyncio.create_task(exchange(conn))
            await asyncio.sleep(0)
            conn.data_received(CHUNKED + TINY_CHUNKS + b'0\r\n\r\n')
            paused = transport.paused
            return len(await task), paused

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            assert runner.run(run()) == (80_000, True)

    def test_a_call_whose_bytes_wait_for_their_turn_is_not_silent(self):
        async def run() -> tuple[int, int]:
            conn, _ = client()
            silent = []
            task = asyncio.create_task(
                exchange(conn, 20, on_unresponsive=lambda: silent.append(1))
            )
            await asyncio.sleep(0)
            conn.data_received(CHUNKED + TINY_CHUNKS + b'0\r\n\r\n')
            return len(await task), len(silent)

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            assert runner.run(run()) == (80_000, 0)

    def test_a_large_plain_body_is_taken_at_once(self):
        async def run() -> int:
            conn, _ = client()
            task = asyncio.create_task(exchange(conn))
            await asyncio.sleep(0)
            body = b'x' * 200_000
            head = HEAD + b'content-length: 200000\r\n\r\n'
            conn.data_received(head + body)
            assert conn.reusable is False
            await asyncio.sleep(0)
            return len(await task)

        assert asyncio.run(run()) == 200_000


class TestRequestBodies:
    """The bodies that callers send share the memory of a process."""

    HEAD = b'POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: 90000\r\n\r\n'

    async def play(self):
        done = asyncio.Event()

        async def handler(call: Call, reply) -> None:
            await done.wait()
            reply.send(200, [], b'')

        listening, side = server(handler, body_bytes=100_000, connections=9)
        listening.bodies = BufferPool(300_000)
        sides = [ServerSide(listening) for _ in range(6)]
        for at, other in enumerate(sides):
            await other.feed(self.HEAD % at + b'x' * 90_000)
        kept = listening.bodies.used
        done.set()
        for other in sides:
            await other.feed(b'')
        written = [other.transport.written[:12] for other in sides]
        return kept, listening.bodies.used, written

    # Six bodies of 32 MiB took a node over its memory.
    def test_those_without_room_are_refused_as_not_run(self):
        kept, left, written = asyncio.run(self.play())
        assert kept <= 300_000
        assert left == 0
        assert written.count(b'HTTP/1.1 200') == 2
        assert written.count(b'HTTP/1.1 429') == 4

    # Each open connection kept its last body, which nothing counted.
    def test_an_open_connection_keeps_no_body_that_was_answered(self):
        async def run() -> int:
            async def handler(call: Call, reply) -> None:
                reply.send(200, [], b'')

            _, side = server(handler, body_bytes=2_000_000)
            head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
            tracemalloc.start()
            await side.feed(head % 1_000_000 + b'x' * 1_000_000)
            held, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert side.transport.written.startswith(b'HTTP/1.1 200')
            return held

        assert asyncio.run(run()) < 500_000

    def test_a_caller_who_leaves_gives_its_memory_back(self):
        async def run() -> tuple[int, int]:
            listening, side = server(None, body_bytes=100_000)
            await side.feed(self.HEAD % 1 + b'x' * 50_000)
            held = listening.bodies.used
            side.conn.connection_lost(None)
            return held, listening.bodies.used

        assert asyncio.run(run()) == (50_000, 0)


class EndlessServer:
    """Backend servers on loopback that go on sending until they are closed."""

    def __init__(self, start: bytes, piece: bytes) -> None:
        self.closed = 0
        self._start = start
        self._piece = piece

    async def serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._start)
            while not writer.is_closing():
                writer.write(self._piece)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        finally:
            self.closed += 1
            writer.close()


class Gate:
    """An InboundProxy in front of one server on loopback."""

    def __init__(self, address: str, buffers: BufferPool) -> None:
        clock = LoopClock()
        self.monitor = BackendMonitor(lease_ms=10**9, drain_ms=2000)
        announcement = beat(1, address=address, slots=1)
        self.monitor.record_heartbeat(announcement, clock.monotonic())
        self.gate = ServerGate()
        exposure = Exposure(random.Random(1))
        self.inbound = InboundProxy(
            self.monitor,
            SlotQueue[Job](self.gate, clock),
            self.gate,
            Pool(5000, 8000, 4, buffers),
            NativeCalls(),
            clock,
            60,
            LoopLag(0.25),
            CrashReports(clock),
            RunStats(exposure, self.monitor, 'a', 7),
        )
        self.inbound.update_slots()

    async def call(self, **changes):
        call = Call(b'GET', b'/x', [(b'host', b'a')])
        return await self.inbound.run(order(**changes), call)


class TestManyEndlessServers:
    """Fifty servers at once share the buffers of one process."""

    SERVERS = 50

    @pytest.mark.parametrize('kind', sorted(ENDLESS))
    def test_each_call_ends_and_memory_stays_within_its_budget(self, kind):
        async def run():
            buffers = BufferPool(BUFFER_BYTES)
            endless = EndlessServer(*ENDLESS[kind])
            most = 0

            async def watch() -> None:
                nonlocal most
                while True:
                    most = max(most, buffers.used)
                    await asyncio.sleep(0)

            async with await asyncio.start_server(
                endless.serve, '127.0.0.1', 0
            ) as listener:
                host, port = listener.sockets[0].getsockname()
                gates = [
                    Gate(f'{host}:{port}', buffers) for _ in range(self.SERVERS)
                ]
                watcher = asyncio.create_task(watch())
                outcomes = await asyncio.gather(
                    *(gate.call(remaining_ms=60_000) for gate in gates)
                )
                watcher.cancel()
                while endless.closed < self.SERVERS:
                    await asyncio.sleep(0.001)
            return outcomes, gates, buffers, most

        outcomes, gates, buffers, most = asyncio.run(run())
        assert all(isinstance(outcome, NoResponse) for outcome in outcomes)
        assert all(not outcome.code.not_run for outcome in outcomes)
        assert all(outcome.arrived for outcome in outcomes)
        assert most <= BUFFER_BYTES
        assert buffers.used == 0
        assert not any(gate.gate.running for gate in gates)
        assert all(gate.gate.failing > 0 for gate in gates)


class TestSlowEndlessServer:
    """A server that sends a byte now and then, so that it is never silent."""

    @pytest.mark.parametrize('repeatable', [True, False])
    @pytest.mark.parametrize('start', [HEAD + b'x: ', CHUNKED])
    def test_its_slot_is_free_soon_after_the_deadline(self, start, repeatable):
        piece = b'1\r\nx\r\n' if start is CHUNKED else b'x'

        async def run():
            conn, transport = client()

            class OnePool:
                async def acquire(self, address):
                    return conn

                def release(self, address, conn):
                    """Keeps nothing."""

            gate = Gate('s:1', BufferPool(BUFFER_BYTES))
            gate.inbound._pool = OnePool()
            call = asyncio.create_task(
                gate.call(remaining_ms=1000, repeatable=repeatable)
            )
            await asyncio.sleep(0.01)
            conn.data_received(start)
            for _ in range(20):
                await asyncio.sleep(0.1)
                if not transport.closed:
                    conn.data_received(piece)
            return await call, gate, transport

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            outcome, gate, transport = runner.run(run())
        assert outcome.code == Code.UNKNOWN_TIMEOUT
        assert transport.aborted
        assert not gate.gate.running


class TestBufferPool:
    def test_an_ordinary_body_finds_room_beside_endless_ones(self):
        rng = random.Random(1)
        pool = BufferPool(4 * BUFFER_BYTES)
        endless = [0] * 50
        for _ in range(10_000):
            number = rng.randrange(50)
            size = rng.randrange(1, 65_536)
            if pool.grow(endless[number], size):
                endless[number] += size
            assert pool.used <= 4 * BUFFER_BYTES
        assert pool.grow(0, 30_000)

    def test_released_room_is_used_again(self):
        pool = BufferPool(100)
        assert pool.grow(0, 60)
        assert not pool.grow(0, 60)
        pool.release(60)
        assert pool.grow(0, 60)


class TestCallerHead:
    """What a node takes from a caller that is no body."""

    START = b'POST / HTTP/1.1\r\nhost: x\r\n'
    CHUNKED = START + b'transfer-encoding: chunked\r\n\r\n'

    @pytest.mark.parametrize(
        'start',
        [
            START + b'x: ',
            b'GET /',
            CHUNKED + b'1;',
            CHUNKED + b'0\r\nx: ',
        ],
    )
    def test_it_is_refused_at_the_limit(self, start):
        async def run() -> tuple[int, bytes]:
            _, side = server(None, header_bytes=2048, body_bytes=4096)
            await side.feed(start)
            sent = 0
            while not side.transport.closed and sent < 1_000_000:
                await side.feed(b'y' * 512)
                sent += 512
            return sent, side.transport.written

        sent, written = asyncio.run(run())
        assert sent <= 4096
        assert b'108 TOO_LARGE' in written

    def test_a_slow_head_is_refused_before_any_configuration(self):
        async def run() -> bytes:
            http_server, side = server(None)
            await side.feed(self.START)
            now = asyncio.get_running_loop().time()
            http_server.close_expired(now + HEADER_TIMEOUT_S)
            return side.transport.written

        assert b'107 BAD_REQUEST' in asyncio.run(run())


class TestControlHead:
    """What a control VM takes from any peer that is no body."""

    def make_conn(self) -> tuple[LimitedHttpProtocol, FakeTransport]:
        cfg = uvicorn.Config(self.app, log_config=None, ws='none')
        cfg.load()
        conn = LimitedHttpProtocol(cfg, ServerState(), {})
        transport = FakeTransport()
        conn.connection_made(transport)
        return conn, transport

    async def app(self, scope, receive, send) -> None:
        """Never answers."""
        await asyncio.Event().wait()

    @pytest.mark.parametrize(
        'start',
        [
            TestCallerHead.START + b'x: ',
            b'GET /',
            TestCallerHead.CHUNKED + b'0\r\nx: ',
        ],
    )
    def test_its_connection_is_closed_at_the_limit(self, start):
        async def run() -> int:
            conn, transport = self.make_conn()
            conn.data_received(start)
            sent = 0
            while not transport.aborted and sent < 10 * MAX_HEAD_BYTES:
                conn.data_received(PIECE)
                sent += len(PIECE)
            conn.connection_lost(None)
            return sent

        assert asyncio.run(run()) <= 2 * MAX_HEAD_BYTES

    @pytest.mark.parametrize(
        'seconds', [HEAD_TIMEOUT_S - 1, HEAD_TIMEOUT_S + 1]
    )
    def test_its_connection_is_closed_when_the_head_takes_too_long(
        self, seconds
    ):
        async def run() -> bool:
            conn, transport = self.make_conn()
            conn.data_received(TestCallerHead.START)
            await asyncio.sleep(seconds)
            conn.connection_lost(None)
            return transport.aborted

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            assert runner.run(run()) == (seconds > HEAD_TIMEOUT_S)


class TestFramingLimit:
    def test_a_body_of_any_size_is_no_framing(self):
        limit = FramingLimit(100)
        limit.record_received(10_000)
        limit.record_body(9_950)
        assert not limit.exceeded

    def test_bytes_beyond_the_head_limit_exceed_it(self):
        limit = FramingLimit(100)
        limit.record_received(101)
        assert limit.exceeded
        limit.restart()
        assert not limit.exceeded


def test_a_complete_response_still_arrives_through_the_pool_limits():
    async def run():
        async def serve(reader, writer) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(OK)
            await writer.drain()
            writer.close()

        async with await asyncio.start_server(
            serve, '127.0.0.1', 0
        ) as listener:
            host, port = listener.sockets[0].getsockname()
            gate = Gate(f'{host}:{port}', BufferPool(BUFFER_BYTES))
            return await gate.call(remaining_ms=60_000)

    assert isinstance(asyncio.run(run()), ServerResponse)
