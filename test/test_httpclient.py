"""HTTP client connections: complete responses, timeouts and what was sent."""

import asyncio

import pytest

from papayalock.httpclient import Request, TransportError
from papayalock.pool import Pool
from papayalock.result import Code
from test.wires import FastLoop, client

GET = Request(b'GET', b'/', [(b'host', b'x')])
POST = Request(b'POST', b'/', [(b'host', b'x')], b'body')
HEAD = b'HTTP/1.1 200 OK\r\nx-server-stamp: 1\r\ncontent-length: 5\r\n\r\n'


async def start_call(conn, req=GET, *, expect_continue: bool = False):
    task = asyncio.create_task(
        conn.call(req, 10_000, expect_continue=expect_continue)
    )
    await asyncio.sleep(0)
    return task


class TestCompleteResponses:
    async def receive(self, pieces: list[bytes]) -> tuple[int, bytes]:
        conn, _ = client()
        task = await start_call(conn)
        for piece in pieces:
            conn.data_received(piece)
        response = await task
        return response.status, await response.read_all(1000)

    @pytest.mark.parametrize('cut', range(1, 60))
    def test_a_response_split_anywhere_is_complete(self, cut):
        data = (
            b'HTTP/1.1 200 OK\r\ncontent-length: 11\r\nx: y\r\n\r\nhello world'
        )
        assert asyncio.run(self.receive([data[:cut], data[cut:]])) == (
            200,
            b'hello world',
        )

    def test_a_chunked_response_is_complete(self):
        data = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n'
        assert asyncio.run(self.receive([data])) == (200, b'hello!')

    @pytest.mark.parametrize(
        'data',
        [
            b'HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nhello',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n',
            b'HTTP/1.1 200 OK\r\n\r\nhello without any length',
        ],
    )
    def test_a_truncated_response_is_an_error(self, data):
        async def run() -> Code:
            conn, _ = client()
            task = await start_call(conn)
            conn.data_received(data)
            response = await task
            conn.connection_lost(None)
            with pytest.raises(TransportError) as caught:
                await response.read_all(1000)
            return caught.value.code

        assert asyncio.run(run()) == Code.INCOMPLETE_ANSWER

    @pytest.mark.parametrize('reset', [False, True])
    @pytest.mark.parametrize('cut', range(len(HEAD)))
    def test_a_response_that_ends_within_its_head_is_an_error(self, cut, reset):
        async def run() -> TransportError:
            conn, _ = client()
            task = await start_call(conn)
            if cut:
                conn.data_received(HEAD[:cut])
            if not reset:
                conn.eof_received()
            conn.connection_lost(ConnectionResetError() if reset else None)
            with pytest.raises(TransportError) as caught:
                await task
            return caught.value

        error = asyncio.run(run())
        assert error.code.may_have_run
        assert error.sent

    def test_a_connection_with_an_unread_response_is_not_reusable(self):
        async def run() -> bool:
            conn, _ = client()
            task = await start_call(conn)
            conn.data_received(
                b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'
            )
            await task
            return conn.reusable

        assert not asyncio.run(run())

    def test_bytes_after_a_response_close_the_connection(self):
        async def run() -> bool:
            conn, transport = client()
            task = await start_call(conn)
            conn.data_received(
                b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'
            )
            response = await task
            await response.read_all(10)
            assert conn.reusable
            conn.data_received(
                b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother'
            )
            return conn.reusable or not transport.aborted

        assert not asyncio.run(run())

    def test_a_cancelled_call_closes_its_connection(self):
        async def run() -> bool:
            conn, transport = client()
            task = await start_call(conn)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return transport.aborted and not conn.reusable

        assert asyncio.run(run())


class TestSentFlag:
    def test_the_body_is_not_sent_without_100_continue(self):
        async def run() -> tuple[TransportError, bytes]:
            conn, transport = client()
            task = await start_call(conn, POST, expect_continue=True)
            conn.connection_lost(None)
            with pytest.raises(TransportError) as caught:
                await task
            return caught.value, transport.written

        exc, written = asyncio.run(run())
        assert exc.code == Code.NOT_CONNECTED
        assert not exc.sent
        assert not written.endswith(b'body')

    def test_the_body_is_sent_after_100_continue(self):
        async def run() -> bytes:
            conn, transport = client()
            task = await start_call(conn, POST, expect_continue=True)
            conn.data_received(b'HTTP/1.1 100 Continue\r\n\r\n')
            await asyncio.sleep(0)
            conn.data_received(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
            assert (await task).status == 200
            return transport.written

        assert asyncio.run(run()).endswith(b'\r\n\r\nbody')

    def test_a_final_response_instead_of_100_continue_is_returned(self):
        async def run() -> tuple[int, bytes, bool]:
            conn, transport = client()
            task = await start_call(conn, POST, expect_continue=True)
            conn.data_received(b'HTTP/1.1 429 No\r\ncontent-length: 0\r\n\r\n')
            return (await task).status, transport.written, conn.reusable

        status, written, reusable = asyncio.run(run())
        assert status == 429
        assert not written.endswith(b'body')
        assert not reusable

    def test_a_connection_lost_after_sending_leaves_the_outcome_unknown(self):
        async def run() -> TransportError:
            conn, _ = client()
            task = await start_call(conn, POST)
            conn.connection_lost(None)
            with pytest.raises(TransportError) as caught:
                await task
            return caught.value

        exc = asyncio.run(run())
        assert exc.code == Code.UNKNOWN_BROKEN
        assert exc.sent

    def test_each_received_byte_extends_the_timeout(self):
        async def run() -> tuple[bool, Code]:
            conn, _ = client()
            task = await start_call(conn)
            conn.progress += 1
            conn._timer._on_timer()
            slow_call_continues = not task.done() and not conn.closed
            conn._timer._on_timer()
            with pytest.raises(TransportError) as caught:
                await task
            return slow_call_continues, caught.value.code

        assert asyncio.run(run()) == (True, Code.UNKNOWN_TIMEOUT)


class TestBackpressure:
    def test_a_slow_consumer_pauses_reading(self):
        async def run() -> tuple[bool, bool, int]:
            conn, transport = client()
            task = await start_call(conn)
            conn.data_received(
                b'HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n'
            )
            response = await task
            conn.data_received(b'x' * 100_000)
            paused = transport.paused
            size = len(await response.read())
            resumed = not transport.paused
            return paused, resumed, size

        assert asyncio.run(run()) == (True, True, 100_000)

    def test_a_reusable_connection_reads_on_after_a_large_response(self):
        """The next call on a paused connection would wait for its deadline."""

        async def run() -> tuple[int, bool, bool]:
            conn, transport = client()
            task = await start_call(conn)
            conn.data_received(
                b'HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n'
                + b'x' * 100_000
            )
            response = await task
            body = response.complete_body() or b''
            return len(body), conn.reusable, transport.paused

        assert asyncio.run(run()) == (100_000, True, False)


class TestPool:
    def test_a_broken_connection_is_not_pooled(self):
        conn, transport = client()
        pool = Pool(100, 1000, 4)
        conn.close()
        pool.release('x', conn)
        assert not pool._idle_conns['x']
        assert transport.aborted


class TestOnUnresponsive:
    def run_call(self, stall_s: float) -> tuple[int, int, bool]:
        """Makes a call to a server that never responds.

        :param stall_s: time by which a stalled event loop misses the timeout
        :returns: number of callbacks soon after the timeout, number of
            callbacks in all, and whether the call is still running
        """

        async def run():
            callbacks = []
            conn, _ = client()
            task = asyncio.create_task(
                conn.call(
                    GET, 200, on_unresponsive=lambda: callbacks.append(True)
                )
            )
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            loop.stall(0.19 + stall_s)
            await asyncio.sleep(0.03)
            early = len(callbacks)
            await asyncio.sleep(0.5)
            still_running = not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return early, len(callbacks), still_running

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            return runner.run(run())

    def test_the_callback_runs_once_and_the_call_continues(self):
        assert self.run_call(stall_s=0.0) == (1, 1, True)

    def test_a_stalled_event_loop_delays_the_callback(self):
        assert self.run_call(stall_s=0.3) == (0, 1, True)

    def test_an_event_loop_that_always_stalls_still_runs_the_callback(self):
        async def run():
            callbacks = []
            conn, _ = client()
            task = asyncio.create_task(
                conn.call(
                    GET, 200, on_unresponsive=lambda: callbacks.append(True)
                )
            )
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            for _ in range(40):
                loop.stall(0.3)
                await asyncio.sleep(0.001)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return len(callbacks)

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            assert runner.run(run()) == 1
