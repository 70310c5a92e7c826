"""Large messages are compressed; damaged ones are told."""

import asyncio

import pytest

from papayalock.packing import PACK_ABOVE, packed, unpacked
from papayalock.pool import Pool
from papayalock.result import Code
from papayalock.wire import Request, WireError
from test.wires import FastLoop, client

LARGE = b'{"parts":[' + b'{"service":"route/r-1"},' * 1000 + b'{}]}'
GET = Request(b'GET', b'/', [(b'host', b'a')])


class TestPacking:
    def test_a_large_message_shrinks_and_comes_back_whole(self):
        assert len(packed(LARGE)) < len(LARGE) / 10
        assert unpacked(packed(LARGE), len(LARGE)) == LARGE

    def test_a_small_message_stays_as_it_is(self):
        small = b'{' + b' ' * (PACK_ABOVE - 2) + b'}'
        assert packed(small) is small
        assert unpacked(small, 10) is small

    @pytest.mark.parametrize(
        'damaged',
        [packed(LARGE)[:-9], b'\x78nonsense', packed(LARGE)[:40] + b'zz'],
    )
    def test_a_damaged_message_is_told(self, damaged):
        with pytest.raises(ValueError):
            unpacked(damaged, len(LARGE))

    def test_a_message_beyond_the_bound_is_refused(self):
        with pytest.raises(ValueError):
            unpacked(packed(LARGE), 1000)


class SlowPool(Pool):
    """Its far end sends an answer in pieces, a while apart."""

    def __init__(self, pieces: int, pause_s: float) -> None:
        super().__init__(100, 100, 1)
        self._pieces = pieces
        self._pause = pause_s

    async def take(self, address: str, *, fresh: bool = False):
        conn, _ = client()
        asyncio.get_running_loop().create_task(self._send(conn))
        return conn

    async def _send(self, conn) -> None:
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % self._pieces
        await asyncio.sleep(self._pause)
        conn.data_received(head)
        for _ in range(self._pieces):
            await asyncio.sleep(self._pause)
            conn.data_received(b'x')


class TestSlowLinks:
    def exchange(self, pause_s: float, **times: int) -> tuple[int, bytes]:
        async def play():
            pool = SlowPool(20, pause_s)
            return await pool.exchange('a:1', GET, 1000, 100, **times)

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            return runner.run(play())

    def test_an_answer_that_makes_progress_may_take_its_time(self):
        assert self.exchange(0.4, total_ms=30_000) == (200, b'x' * 20)

    def test_without_more_time_the_whole_answer_is_bounded(self):
        with pytest.raises(WireError) as caught:
            self.exchange(0.4)
        assert caught.value.code == Code.UNKNOWN_TIMEOUT

    def test_silence_ends_it_whatever_the_time(self):
        with pytest.raises(WireError):
            self.exchange(2.5, total_ms=30_000)
