"""HttpServer: bad input, limits, graceful stop and keepalives."""

import asyncio

import pytest

from papayalock.node.keepalive import KeepaliveSender
from test.wires import FastLoop, ServerSide, server

HEAD = b'GET / HTTP/1.1\r\nhost: x\r\n'


async def echo(call, reply) -> None:
    reply.send(200, [], call.body or call.target)


def exchange(
    data: bytes, handler=echo, **limits: int
) -> tuple[bytes, ServerSide]:
    async def run() -> tuple[bytes, ServerSide]:
        _, side = server(handler, **limits)
        return await side.feed(data), side

    return asyncio.run(run())


class TestBadInput:
    @pytest.mark.parametrize(
        'data',
        [
            b'nonsense\r\n\r\n',
            b'GET / HTTP/1.1\r\n\r\n',
            HEAD + b'host: y\r\n\r\n',
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd',
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
            b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n',
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1x\r\n\r\n',
            b'GET / HTTP/1.1\r\nhost: x\r\n folded: y\r\n\r\n',
            b'GET / HTTP/1.1\r\nhost : x\r\n\r\n',
        ],
    )
    def test_malformed_and_ambiguous_requests_are_refused(self, data):
        written, side = exchange(data)
        assert b'400 Bad Request' in written
        assert b'107 BAD_REQUEST' in written
        assert side.transport.closed

    def test_a_large_head_is_refused(self):
        written, _ = exchange(HEAD + b'x: ' + b'y' * 4000 + b'\r\n\r\n')
        assert b'108 TOO_LARGE' in written

    def test_a_large_body_is_refused_before_it_is_read(self):
        written, _ = exchange(
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9999\r\n\r\n'
        )
        assert b'108 TOO_LARGE' in written

    def test_a_large_chunked_body_is_refused(self):
        data = (
            b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
        )
        written, _ = exchange(
            data + b'1388\r\n' + b'z' * 5000 + b'\r\n0\r\n\r\n'
        )
        assert b'108 TOO_LARGE' in written

    def test_a_truncated_request_gets_no_response(self):
        written, side = exchange(
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc'
        )
        assert written == b''
        side.conn.connection_lost(None)

    def test_a_failing_handler_cuts_the_connection(self):
        async def fail(call, reply) -> None:
            raise RuntimeError('fault')

        _, side = exchange(HEAD + b'\r\n', fail)
        assert side.transport.aborted


class TestOrder:
    def test_pipelined_calls_are_answered_in_order(self):
        calls = [
            b'GET /call-%d HTTP/1.1\r\nhost: x\r\n\r\n' % number
            for number in range(3)
        ]
        written, _ = exchange(b''.join(calls))
        places = [written.index(b'/call-%d' % number) for number in range(3)]
        assert places == sorted(places)
        assert written.count(b'200 OK') == 3

    def test_connections_beyond_the_limit_are_refused(self):
        async def run() -> bytes:
            listening, _ = server(echo, connections=1)
            return ServerSide(listening).transport.written

        assert b'103 SHED' in asyncio.run(run())


class TestStop:
    def test_a_stop_waits_for_the_call_in_flight(self):
        async def run() -> tuple[bytes, bool]:
            gate = asyncio.Event()

            async def slow(call, reply) -> None:
                await gate.wait()
                reply.send(200, [], b'done')

            listening, side = server(slow)
            await side.feed(HEAD + b'\r\n')
            stopping = asyncio.create_task(listening.stop(5))
            await asyncio.sleep(0)
            assert not side.transport.closed
            gate.set()
            for _ in range(5):
                await asyncio.sleep(0)
            side.conn.connection_lost(None)
            return side.transport.written, await stopping

        written, clean = asyncio.run(run())
        assert written.endswith(b'done')
        assert clean

    def test_an_idle_connection_is_closed_at_once(self):
        async def run() -> bool:
            listening, side = server(echo)
            await side.feed(HEAD + b'\r\n')
            stopping = asyncio.create_task(listening.stop(5))
            await asyncio.sleep(0)
            side.conn.connection_lost(None)
            await stopping
            return side.transport.closed

        assert asyncio.run(run())

    def test_a_disconnect_cancels_the_call(self):
        async def run() -> bool:
            cancelled = asyncio.Event()

            async def slow(call, reply) -> None:
                try:
                    await asyncio.sleep(100)
                except asyncio.CancelledError:
                    cancelled.set()
                    raise

            _, side = server(slow)
            await side.feed(HEAD + b'\r\n')
            side.conn.connection_lost(None)
            await asyncio.sleep(0)
            return cancelled.is_set()

        assert asyncio.run(run())


class TestKeepalives:
    def test_a_long_call_sends_keepalives_until_its_response(self):
        async def slow(call, reply) -> None:
            with KeepaliveSender(reply, 100) as _:
                await asyncio.sleep(0.35)
            reply.send(200, [], b'done')

        async def work() -> bytes:
            _, side = server(slow)
            await side.feed(HEAD + b'\r\n')
            await asyncio.sleep(1)
            return side.transport.written

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            written = runner.run(work())
        assert written.count(b'102 Processing') == 3
        assert written.endswith(b'done')
