"""Client connections: whole answers, silence and what was sent."""

import asyncio

import pytest

from papayalock.pool import Pool
from papayalock.result import Code
from papayalock.wire import Request, WireError
from test.wires import FastLoop, client

GET = Request(b'GET', b'/', [(b'host', b'x')])
POST = Request(b'POST', b'/', [(b'host', b'x')], b'body')


async def started(conn, req=GET, *, expect: bool = False):
    task = asyncio.create_task(conn.call(req, 10_000, expect=expect))
    await asyncio.sleep(0)
    return task


class TestWholeAnswers:
    async def check(self, pieces: list[bytes]) -> tuple[int, bytes]:
        conn, _ = client()
        task = await started(conn)
        for piece in pieces:
            conn.data_received(piece)
        response = await task
        return response.status, await response.read_all(1000)

    @pytest.mark.parametrize('cut', range(1, 60))
    def test_an_answer_in_any_two_pieces_is_whole(self, cut):
        data = (
            b'HTTP/1.1 200 OK\r\ncontent-length: 11\r\nx: y\r\n\r\nhello world'
        )
        assert asyncio.run(self.check([data[:cut], data[cut:]])) == (
            200,
            b'hello world',
        )

    def test_a_chunked_answer_is_whole(self):
        data = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n'
        assert asyncio.run(self.check([data])) == (200, b'hello!')

    @pytest.mark.parametrize(
        'data',
        [
            b'HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nhello',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n',
            b'HTTP/1.1 200 OK\r\n\r\nhello without any length',
        ],
    )
    def test_a_short_answer_is_an_error(self, data):
        async def run() -> Code:
            conn, _ = client()
            task = await started(conn)
            conn.data_received(data)
            response = await task
            conn.connection_lost(None)
            with pytest.raises(WireError) as caught:
                await response.read_all(1000)
            return caught.value.code

        assert asyncio.run(run()) == Code.INCOMPLETE_ANSWER

    def test_an_unread_answer_keeps_the_connection_from_reuse(self):
        async def run() -> bool:
            conn, _ = client()
            task = await started(conn)
            conn.data_received(
                b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'
            )
            await task
            return conn.reusable

        assert not asyncio.run(run())

    def test_bytes_after_an_answer_close_the_connection(self):
        async def run() -> bool:
            conn, transport = client()
            task = await started(conn)
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
            task = await started(conn)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return transport.aborted and not conn.reusable

        assert asyncio.run(run())


class TestWhatWasSent:
    def test_a_held_back_body_is_not_sent_without_an_answer(self):
        async def run() -> tuple[WireError, bytes]:
            conn, transport = client()
            task = await started(conn, POST, expect=True)
            conn.connection_lost(None)
            with pytest.raises(WireError) as caught:
                await task
            return caught.value, transport.written

        exc, written = asyncio.run(run())
        assert exc.code == Code.NOT_CONNECTED
        assert not exc.sent
        assert not written.endswith(b'body')

    def test_a_held_back_body_is_sent_when_asked_for(self):
        async def run() -> bytes:
            conn, transport = client()
            task = await started(conn, POST, expect=True)
            conn.data_received(b'HTTP/1.1 100 Continue\r\n\r\n')
            await asyncio.sleep(0)
            conn.data_received(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
            assert (await task).status == 200
            return transport.written

        assert asyncio.run(run()).endswith(b'\r\n\r\nbody')

    def test_a_refusal_before_the_body_is_passed_on(self):
        async def run() -> tuple[int, bytes, bool]:
            conn, transport = client()
            task = await started(conn, POST, expect=True)
            conn.data_received(b'HTTP/1.1 429 No\r\ncontent-length: 0\r\n\r\n')
            return (await task).status, transport.written, conn.reusable

        status, written, reusable = asyncio.run(run())
        assert status == 429
        assert not written.endswith(b'body')
        assert not reusable

    def test_a_loss_after_sending_is_unknown(self):
        async def run() -> WireError:
            conn, _ = client()
            task = await started(conn, POST)
            conn.connection_lost(None)
            with pytest.raises(WireError) as caught:
                await task
            return caught.value

        exc = asyncio.run(run())
        assert exc.code == Code.UNKNOWN_BROKEN
        assert exc.sent

    def test_silence_is_judged_by_bytes(self):
        async def run() -> tuple[bool, Code]:
            conn, _ = client()
            task = await started(conn)
            conn.progress += 1
            conn._timer._on_timer()
            slow_survives = not task.done() and not conn.closed
            conn._timer._on_timer()
            with pytest.raises(WireError) as caught:
                await task
            return slow_survives, caught.value.code

        assert asyncio.run(run()) == (True, Code.UNKNOWN_TIMEOUT)


class TestBackPressure:
    def test_a_slow_reader_pauses_the_sender(self):
        async def run() -> tuple[bool, bool, int]:
            conn, transport = client()
            task = await started(conn)
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


class TestPool:
    def test_a_broken_connection_is_not_pooled(self):
        conn, transport = client()
        pool = Pool(100, 1000, 4)
        conn.close()
        pool.give('x', conn)
        assert not pool._free['x']
        assert transport.aborted


class TestSilence:
    def play(self, stall_s: float) -> tuple[int, int, bool]:
        """Returns how often silence was told at first and in all, and
        whether the call goes on.
        """

        async def run():
            told = []
            conn, _ = client()
            task = asyncio.create_task(
                conn.call(GET, 200, on_silent=lambda: told.append(True))
            )
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            loop.stall(0.19 + stall_s)
            await asyncio.sleep(0.03)
            first = len(told)
            await asyncio.sleep(0.5)
            going_on = not task.done()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return first, len(told), going_on

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            return runner.run(run())

    def test_silence_is_told_once_and_ends_nothing(self):
        assert self.play(stall_s=0.0) == (1, 1, True)

    def test_a_loop_that_stood_still_itself_takes_no_other_for_silent(self):
        assert self.play(stall_s=0.3) == (0, 1, True)

    def test_a_loop_that_is_always_late_tells_silence_all_the_same(self):
        async def run():
            told = []
            conn, _ = client()
            task = asyncio.create_task(
                conn.call(GET, 200, on_silent=lambda: told.append(True))
            )
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            for _ in range(40):
                loop.stall(0.3)
                await asyncio.sleep(0.001)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return len(told)

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            assert runner.run(run()) == 1
