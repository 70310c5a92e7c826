"""ClientConn: responses of other calls and responses without a length."""

import asyncio

import pytest

from papayalock.httpclient import Request, TransportError
from papayalock.result import Code
from test.wires import client

GET = Request(b'GET', b'/', [(b'host', b'a')])


def answer(call: str, body: str = 'hi') -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\nid: {call}\r\ncontent-length: {len(body)}\r\n\r\n{body}'
    ).encode()


def belongs(headers) -> bool:
    return (b'id', b'mine') in headers


async def call(*data: bytes, end: bool = False):
    conn, _ = client()
    task = asyncio.create_task(conn.call(GET, 1000, matches_call=belongs))
    await asyncio.sleep(0)
    for piece in data:
        conn.data_received(piece)
    if end:
        conn.eof_received()
        conn.connection_lost(None)
    response = await task
    return await response.read_all(1000), conn


class TestForeignResponses:
    def test_a_response_to_another_call_is_skipped(self):
        async def play():
            return await call(answer('other', 'no') + answer('mine', 'yes'))

        body, conn = asyncio.run(play())
        assert body == b'yes'
        assert conn.reusable

    def test_bytes_after_a_complete_response_close_the_connection(self):
        async def play():
            _, conn = await call(answer('mine'))
            conn.data_received(answer('mine'))
            return conn.closed

        assert asyncio.run(play()) is True

    @pytest.mark.parametrize(
        'surplus',
        [
            answer('mine'),
            answer('mine', 'a longer one')[:-4],
            answer('other'),
            b'HTTP/1.1 200 OK\r\nid: mine\r\n\r\nunframed',
            b'no answer at all',
            b'HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n',
        ],
    )
    @pytest.mark.parametrize('cut', [2, 30])
    def test_surplus_bytes_in_the_same_piece_are_not_part_of_a_response(
        self, surplus, cut
    ):
        async def play():
            whole = answer('mine', 'yes')
            split = len(whole) - cut
            return await call(whole[:split], whole[split:] + surplus)

        body, conn = asyncio.run(play())
        assert body == b'yes'
        assert conn.closed

    def test_a_foreign_response_alone_is_no_response(self):
        async def play():
            conn, _ = client()
            task = asyncio.create_task(
                conn.call(GET, 1000, matches_call=belongs)
            )
            await asyncio.sleep(0)
            conn.data_received(answer('other'))
            conn.connection_lost(None)
            await task

        with pytest.raises(TransportError) as caught:
            asyncio.run(play())
        assert caught.value.code == Code.UNKNOWN_BROKEN


class TestResponseWithoutLength:
    HEAD = b'HTTP/1.1 200 OK\r\nid: mine\r\n\r\n'

    def test_it_ends_with_its_connection(self):
        async def play():
            return await call(self.HEAD + b'whole', end=True)

        body, conn = asyncio.run(play())
        assert body == b'whole'
        assert not conn.reusable

    def test_it_is_incomplete_after_a_reset(self):
        async def play():
            conn, _ = client()
            task = asyncio.create_task(
                conn.call(GET, 1000, matches_call=belongs)
            )
            await asyncio.sleep(0)
            conn.data_received(self.HEAD + b'par')
            response = await task
            conn.connection_lost(ConnectionResetError())
            await response.read_all(1000)

        with pytest.raises(TransportError) as caught:
            asyncio.run(play())
        assert caught.value.code == Code.INCOMPLETE_ANSWER

    def test_a_truncated_response_with_a_length_is_incomplete(self):
        async def play():
            await call(answer('mine', 'hello')[:-2], end=True)

        with pytest.raises(TransportError):
            asyncio.run(play())
