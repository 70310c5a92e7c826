"""HttpServer: pipelined calls, closing and time limits of connections."""

import asyncio

from papayalock.node.http import Call, Reply
from test.wires import server


def get(path: str) -> bytes:
    return f'GET {path} HTTP/1.1\r\nhost: a\r\n\r\n'.encode()


class Handler:
    """A handler that answers each path when the test releases it."""

    def __init__(self) -> None:
        self.seen: list[str] = []
        self.gates: dict[str, asyncio.Event] = {}
        self.cancelled: list[str] = []

    async def __call__(self, call: Call, reply: Reply) -> None:
        path = call.target.decode()
        self.seen.append(path)
        gate = self.gates.setdefault(path, asyncio.Event())
        try:
            await gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        reply.send(200, [], path.encode())

    def answer(self, path: str) -> None:
        self.gates.setdefault(path, asyncio.Event()).set()


def bodies(written: bytes) -> list[str]:
    pieces = written.split(b'\r\n\r\n')[1:]
    return [piece.split(b'HTTP/1.1')[0].decode() for piece in pieces]


class TestPipelining:
    def test_calls_run_concurrently_and_are_answered_in_order(self):
        async def play():
            handler = Handler()
            _, side = server(handler, pipelined=4)
            await side.feed(get('/a') + get('/b') + get('/c'))
            assert handler.seen == ['/a', '/b', '/c']
            handler.answer('/c')
            handler.answer('/b')
            assert await side.feed(b'') == b''
            handler.answer('/a')
            return bodies(await side.feed(b''))

        assert asyncio.run(play()) == ['/a', '/b', '/c']

    def test_reading_pauses_at_the_limit(self):
        async def play():
            handler = Handler()
            _, side = server(handler, pipelined=2)
            await side.feed(get('/a') + get('/b'))
            paused = side.transport.paused
            handler.answer('/a')
            await side.feed(b'')
            return paused, side.transport.paused

        assert asyncio.run(play()) == (True, False)

    def test_a_disconnect_cancels_all_calls(self):
        async def play():
            handler = Handler()
            _, side = server(handler, pipelined=4)
            await side.feed(get('/a') + get('/b'))
            side.conn.connection_lost(None)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return handler.cancelled

        assert asyncio.run(play()) == ['/a', '/b']

    def test_only_the_last_response_of_a_stopping_server_closes(self):
        async def play():
            handler = Handler()
            listening, side = server(handler, pipelined=4)
            await side.feed(get('/a') + get('/b'))
            listening.stopping = True
            handler.answer('/a')
            first = await side.feed(b'')
            closed_early = side.transport.closed
            handler.answer('/b')
            written = await side.feed(b'')
            return first, closed_early, written, side.transport.closed

        first, closed_early, written, closed = asyncio.run(play())
        assert b'connection: close' not in first
        assert not closed_early
        assert written.count(b'connection: close') == 1
        assert bodies(written)[1] == '/b'
        assert closed

    def test_nothing_is_read_after_a_response_that_closes(self):
        async def play():
            handler = Handler()
            listening, side = server(handler, pipelined=4)
            await side.feed(get('/a'))
            listening.stopping = True
            handler.answer('/a')
            await side.feed(b'')
            await side.feed(get('/late'))
            return handler.seen

        assert asyncio.run(play()) == ['/a']


class TestTimeLimits:
    def test_an_idle_connection_is_closed_after_the_idle_time(self):
        async def play():
            listening, side = server(Handler())
            listening.limits.idle_s = 15.0
            now = asyncio.get_running_loop().time()
            listening.close_expired(now + 14)
            before = side.transport.closed
            listening.close_expired(now + 16)
            return before, side.transport.closed

        assert asyncio.run(play()) == (False, True)

    def test_an_unfinished_head_is_refused(self):
        async def play():
            listening, side = server(Handler())
            listening.limits.header_s = 3.0
            await side.feed(b'GET / HTTP/1.1\r\nhost:')
            listening.close_expired(asyncio.get_running_loop().time() + 4)
            return side.transport.written

        assert asyncio.run(play()).startswith(b'HTTP/1.1 400 ')

    def test_a_connection_with_a_running_call_is_not_idle(self):
        async def play():
            listening, side = server(Handler())
            listening.limits.idle_s = 15.0
            await side.feed(get('/a'))
            listening.close_expired(asyncio.get_running_loop().time() + 60)
            return side.transport.closed

        assert asyncio.run(play()) is False

    def test_a_body_may_take_longer_than_a_head(self):
        async def play():
            listening, side = server(Handler())
            listening.limits.header_s = 3.0
            head = b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n'
            await side.feed(head + b'half')
            listening.close_expired(asyncio.get_running_loop().time() + 4)
            return side.transport.written

        assert asyncio.run(play()) == b''

    def test_a_body_that_stops_is_refused_after_the_idle_time(self):
        async def play():
            listening, side = server(Handler())
            listening.limits.idle_s = 15.0
            head = b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n'
            await side.feed(head + b'half')
            now = asyncio.get_running_loop().time()
            listening.close_expired(now + 14)
            before = side.transport.written
            listening.close_expired(now + 16)
            return before, side.transport.written

        before, after = asyncio.run(play())
        assert before == b''
        assert after.startswith(b'HTTP/1.1 400 ')
