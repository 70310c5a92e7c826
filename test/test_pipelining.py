"""HttpServer: pipelined calls, closing and time limits of connections."""

import asyncio

from papayalock.node.http import Call, Reply
from papayalock.node.listener import MAX_WAITING_BYTES
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


class StreamingHandler(Handler):
    """Answers /long in pieces until the test ends or breaks it off."""

    PIECE = b'x' * 4096

    def __init__(self) -> None:
        super().__init__()
        self.pieces = 0
        self.breaks = asyncio.Event()

    async def __call__(self, call: Call, reply: Reply) -> None:
        if call.target != b'/long':
            await super().__call__(call, reply)
            return
        reply.start(200, [], None)
        while not self.breaks.is_set() and self.pieces < 1000:
            await reply.send_piece(self.PIECE)
            self.pieces += 1
            await asyncio.sleep(0)
        reply.abort()


class TestOrderOfReplies:
    # The head of the last reply made the earlier one close the connection.
    def test_an_answer_that_was_ready_before_an_earlier_one_survives_a_stop(
        self,
    ):
        async def play():
            handler = Handler()
            listening, side = server(handler, pipelined=4)
            await side.feed(get('/slow') + get('/b') + get('/quick'))
            listening.stopping = True
            handler.answer('/quick')
            await side.feed(b'')
            handler.answer('/slow')
            first = await side.feed(b'')
            handler.answer('/b')
            return first, await side.feed(b''), side.transport.closed

        first, written, closed = asyncio.run(play())
        assert b'connection: close' not in first
        assert bodies(written) == ['/slow', '/b', '/quick']
        assert written.count(b'connection: close') == 1
        assert closed

    def test_calls_behind_one_that_closes_the_connection_are_not_run(self):
        async def play():
            handler = Handler()
            _, side = server(handler, pipelined=4)
            last = b'GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
            await side.feed(last)
            await side.feed(get('/b'))
            handler.answer('/a')
            handler.answer('/b')
            return handler.seen, bodies(await side.feed(b''))

        assert asyncio.run(play()) == (['/a'], ['/a'])

    # It ended the connection, and with it the earlier calls at work.
    def test_a_reply_that_breaks_off_ends_the_connection_in_its_turn(self):
        async def play():
            handler = StreamingHandler()
            _, side = server(handler, pipelined=4)
            await side.feed(get('/a') + get('/b') + get('/long'))
            handler.breaks.set()
            await side.feed(b'')
            closed_early = side.transport.closed
            handler.answer('/b')
            handler.answer('/a')
            written = await side.feed(b'')
            return closed_early, handler.cancelled, written, side.transport

        closed_early, cancelled, written, transport = asyncio.run(play())
        assert not closed_early
        assert cancelled == []
        assert bodies(written)[:2] == ['/a', '/b']
        assert not written.endswith(b'0\r\n\r\n')
        assert transport.closed

    def test_unsent_answers_before_a_reply_that_breaks_off_are_sent(self):
        async def play():
            handler = StreamingHandler()
            _, side = server(handler, pipelined=4)
            await side.feed(get('/a') + get('/long'))
            side.transport.unsent = 5000
            handler.answer('/a')
            await side.feed(b'')
            handler.breaks.set()
            await side.feed(b'')
            return side.transport.closed, side.transport.aborted

        assert asyncio.run(play()) == (True, False)

    # It was kept whole in memory, outside the budget for bodies.
    def test_a_long_answer_behind_a_slow_one_is_not_kept_whole(self):
        async def play():
            handler = StreamingHandler()
            _, side = server(handler, pipelined=4)
            await side.feed(get('/slow') + get('/long'))
            for _ in range(3000):
                await asyncio.sleep(0)
            kept = handler.pieces * len(handler.PIECE)
            handler.answer('/slow')
            for _ in range(3000):
                await asyncio.sleep(0)
            return kept, handler.pieces

        kept, pieces = asyncio.run(play())
        assert kept <= 2 * MAX_WAITING_BYTES
        assert pieces == 1000

    def test_100_continue_waits_for_the_earlier_replies(self):
        async def play():
            handler = Handler()
            _, side = server(handler, pipelined=4)
            head = (
                b'POST /b HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n'
                b'content-length: 2\r\n\r\n'
            )
            early = await side.feed(get('/a') + head)
            handler.answer('/a')
            written = await side.feed(b'')
            handler.answer('/b')
            return early, written, await side.feed(b'hi')

        early, written, ended = asyncio.run(play())
        assert early == b''
        assert written.endswith(b'/aHTTP/1.1 100 Continue\r\n\r\n')
        assert ended.endswith(b'/b')


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
