"""Compression of large messages, and timeouts of calls over slow links."""

import asyncio

import pytest

from papayalock.compression import (
    MIN_COMPRESS_BYTES,
    compress_body,
    decompress_body,
)
from papayalock.httpclient import Request, TransportError
from papayalock.pool import Pool
from papayalock.result import Code
from test.wires import FastLoop, client

LARGE = b'{"parts":[' + b'{"service":"route/r-1"},' * 1000 + b'{}]}'
GET = Request(b'GET', b'/', [(b'host', b'a')])


class TestCompression:
    def test_a_large_message_shrinks_and_is_restored(self):
        assert len(compress_body(LARGE)) < len(LARGE) / 10
        assert decompress_body(compress_body(LARGE), len(LARGE)) == LARGE

    def test_a_small_message_is_not_compressed(self):
        small = b'{' + b' ' * (MIN_COMPRESS_BYTES - 2) + b'}'
        assert compress_body(small) is small
        assert decompress_body(small, 10) is small

    @pytest.mark.parametrize(
        'corrupt',
        [
            compress_body(LARGE)[:-9],
            b'\x78nonsense',
            compress_body(LARGE)[:40] + b'zz',
        ],
    )
    def test_a_corrupt_message_is_rejected(self, corrupt):
        with pytest.raises(ValueError):
            decompress_body(corrupt, len(LARGE))

    def test_a_message_above_the_limit_is_rejected(self):
        with pytest.raises(ValueError):
            decompress_body(compress_body(LARGE), 1000)


class SlowPool(Pool):
    """A pool whose server sends its response in pieces, with pauses."""

    def __init__(self, pieces: int, pause_s: float) -> None:
        super().__init__(100, 100, 1)
        self._pieces = pieces
        self._pause = pause_s

    async def acquire(self, address: str, *, fresh: bool = False):
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
        async def run():
            pool = SlowPool(20, pause_s)
            return await pool.exchange('a:1', GET, 1000, 100, **times)

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            return runner.run(run())

    def test_a_response_that_makes_progress_may_take_total_ms(self):
        assert self.exchange(0.4, total_ms=30_000) == (200, b'x' * 20)

    def test_without_total_ms_the_timeout_covers_the_complete_response(self):
        with pytest.raises(TransportError) as caught:
            self.exchange(0.4)
        assert caught.value.code == Code.UNKNOWN_TIMEOUT

    def test_an_unresponsive_server_times_out_before_total_ms(self):
        with pytest.raises(TransportError):
            self.exchange(2.5, total_ms=30_000)
