"""An HTTP/1.1 server: accepts pipelined calls and replies in their order."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable

import httptools

from papayalock.core.buffers import BodyBuffer, BufferPool
from papayalock.core.framing import FramingLimit
from papayalock.httpclient import OnWritten, ignore_written
from papayalock.node.http import Call, Reply
from papayalock.result import Code
from papayalock.turns import SlicedFeed, TurnQueue

log = logging.getLogger(__name__)

MAX_HEADERS = 100
HEADER_TIMEOUT_S = 10.0  # until a configuration states another one
STOP_POLL_S = 0.01
MAX_WAITING_BYTES = 65536  # of a reply written in pieces behind another one
BODIES = 32  # of the largest size, for which a server has memory by default
Handler = Callable[[Call, Reply], Awaitable[None]]


class ServerLimits:
    """Limits of one HTTP server; the owner may change them later."""

    __slots__ = (
        'body_bytes',
        'connections',
        'header_bytes',
        'header_s',
        'idle_s',
        'pipelined',
    )

    def __init__(
        self,
        header_bytes: int,
        body_bytes: int,
        connections: int,
        pipelined: int = 1,
    ) -> None:
        """Sets the limits; sizes are in bytes.

        :param pipelined: calls of one connection that run concurrently
        """
        self.pipelined = pipelined
        self.header_s = HEADER_TIMEOUT_S
        self.idle_s = float('inf')
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.connections = connections


class HttpServer:
    """An HTTP server with its connections."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        bodies: BufferPool | None = None,
    ) -> None:
        """Starts without connections.

        :param handler: called with each call and the reply to it
        :param bodies: memory for the bodies of calls, until they are answered
        """
        self.bodies = bodies or BufferPool(limits.body_bytes * BODIES)
        self.turns = TurnQueue()
        self.handler = handler
        self.limits = limits
        self.on_written: OnWritten = ignore_written
        self.stopping = False
        self.ended = False
        self.conns: set[ServerConn] = set()

    @property
    def busy(self) -> bool:
        """Whether any call is running, or a response is not fully sent."""
        return any(conn.busy for conn in self.conns)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the connections have not taken yet."""
        return sum(unsent_bytes(conn.transport) for conn in self.conns)

    def make_conn(self) -> 'ServerConn':
        """Returns the protocol for one accepted connection."""
        return ServerConn(self)

    def _close_idle(self) -> None:
        for conn in list(self.conns):
            conn.close_if_idle()

    def close_expired(self, now: float) -> None:
        """Closes connections that exceed the idle or header time limit."""
        for conn in list(self.conns):
            conn.close_expired(now)

    def end_calls(self) -> None:
        """Ends the calls that still run, as the process is about to end.

        Their callers are answered that the outcome is not known.
        """
        self.ended = True
        for conn in self.conns:
            for pending in conn.replies:
                pending.cancel()

    async def stop(self, timeout: float) -> bool:
        """Waits for running calls to end, then closes every connection.

        :param timeout: longest wait in seconds
        :returns: whether all calls ended in time
        """
        self.stopping = True
        loop = asyncio.get_running_loop()
        stop_at = loop.time() + timeout
        self._close_idle()
        while self.busy and loop.time() < stop_at:
            await asyncio.sleep(STOP_POLL_S)
            self._close_idle()
        clean = not self.busy
        for conn in list(self.conns):
            if conn.busy and conn.transport is not None:
                conn.transport.abort()
        return clean


class PendingReply:
    """The writer of one reply among the pipelined replies of a connection.

    Buffers what is written until all earlier replies are complete. A reply that
    breaks off ends the connection only then, so that the earlier ones arrive.
    """

    __slots__ = (
        '_broken',
        '_buffered',
        '_buffered_bytes',
        '_conn',
        '_follows_unsent',
        '_turn',
        '_writing',
        'closes_connection',
        'done',
        'task',
    )

    def __init__(self, conn: 'ServerConn') -> None:
        """Starts in buffering mode."""
        self.task: asyncio.Task[None] | None = None
        self.done = False
        self.closes_connection = False
        self._conn = conn
        self._writing = False
        self._broken = False
        self._follows_unsent = False
        self._turn: asyncio.Future[None] | None = None
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0

    def start_writing(self) -> None:
        """Writes what was buffered; later writes are not buffered any more."""
        self._writing = True
        self._follows_unsent = unsent_bytes(self._conn.transport) > 0
        if self._buffered:
            self._conn.write(b''.join(self._buffered))
            self._buffered = []
        if self._broken:
            self._end_connection(flush=True)
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    def cancel(self) -> None:
        """Cancels the call, since its caller disconnected."""
        if self.task is not None:
            self.task.cancel()

    def write(self, data: bytes) -> None:
        """Writes, or buffers until :meth:`start_writing`."""
        if self._writing:
            self._conn.write(data)
        else:
            self._buffered.append(data)
            self._buffered_bytes += len(data)

    async def wait_writable(self) -> None:
        """Waits while the caller reads slowly, or earlier replies do not end."""
        if self._writing:
            await self._conn.wait_writable()
        elif self._buffered_bytes >= MAX_WAITING_BYTES:
            self._turn = asyncio.get_running_loop().create_future()
            await self._turn

    def abort(self) -> None:
        """Ends the connection once the earlier replies are sent."""
        self._broken = True
        if self._writing:
            self._end_connection(flush=self._follows_unsent)

    def _end_connection(self, *, flush: bool) -> None:
        """Ends the connection, so that the caller sees a truncated response.

        :param flush: whether to send what is buffered first
        """
        transport = self._conn.transport
        if transport is None:
            return
        if flush:
            transport.close()
        else:
            transport.abort()

    def stays_open(self) -> bool:
        """Whether the connection stays open after this reply."""
        return not self._conn.closes_after(self)


class ServerConn(asyncio.Protocol):
    """The protocol of one accepted connection."""

    def __init__(self, server: HttpServer) -> None:
        """Starts without a call."""
        self._server = server
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._call = Call()
        self._head_bytes = 0
        self._head_complete = False
        self._framing = FramingLimit(server.limits.header_bytes)
        self._body = BodyBuffer(server.bodies)
        self._feed = SlicedFeed(self, server.turns)
        self.replies: deque[PendingReply] = deque()
        self._no_more_calls = False
        self._last_activity = 0.0
        self._writable = asyncio.Event()
        self._writable.set()
        self._refused = False
        self._expects_continue = False

    # Used by PendingReply.

    def write(self, data: bytes) -> None:
        """Writes, unless the connection is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self._server.on_written(len(data))
            self.transport.write(data)

    async def wait_writable(self) -> None:
        """Waits while the write buffer is full, as the caller reads slowly."""
        await self._writable.wait()

    @property
    def busy(self) -> bool:
        """Whether a call is being read or run, or a response being sent."""
        unsent = unsent_bytes(self.transport)
        return bool(self.replies or self._head_bytes or unsent)

    def close_if_idle(self) -> None:
        """Closes the connection if it is not busy."""
        if not self.busy and self.transport is not None:
            self.transport.close()

    def close_expired(self, now: float) -> None:
        """Closes the connection if it exceeds the idle or header time limit.

        The header time limit does not apply to a body: a body may take long,
        as long as it does not stop for the idle time.
        """
        limits = self._server.limits
        if self.replies:
            return
        waited_s = now - self._last_activity
        if self._head_bytes and not self._head_complete:
            if waited_s >= limits.header_s:
                self._refuse(Code.BAD_REQUEST, 'the head took too long')
        elif waited_s >= limits.idle_s:
            if self._head_bytes:
                self._refuse(Code.BAD_REQUEST, 'the body stopped')
            self.close_if_idle()

    def closes_after(self, pending: 'PendingReply') -> bool:
        """Whether the connection closes after a reply.

        While the server stops, it closes after the reply to the last call
        received. Once that reply says so, calls received later are ignored.
        Replies to earlier calls may be written after it, and close nothing.
        """
        is_last = bool(self.replies) and self.replies[-1] is pending
        if self._server.stopping and is_last:
            self._no_more_calls = True
        return self._no_more_calls and is_last

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, or refuses it if there are too many."""
        self.transport = transport  # type: ignore[assignment]
        self._server.conns.add(self)
        self._last_activity = asyncio.get_running_loop().time()
        if len(self._server.conns) > self._server.limits.connections:
            self._refuse(Code.SHED, 'too many connections')

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the running calls, since their caller disconnected."""
        self._server.conns.discard(self)
        self._body.drop()
        self._writable.set()
        for pending in self.replies:
            pending.cancel()

    def pause_writing(self) -> None:
        """Makes :meth:`wait_writable` wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Ends the waits in :meth:`wait_writable`."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Takes bytes from the network."""
        self._feed.receive(data)

    def parse(self, data: bytes) -> None:
        """Feeds the parser; unreadable requests are refused."""
        if self._refused or self._no_more_calls:
            return
        call = self._call
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(Code.BAD_REQUEST, 'upgrades are not offered')
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
        ) as exc:
            self._refuse(Code.BAD_REQUEST, f'unreadable request: {exc}')
        if self._call is call and self._head_bytes:
            self._framing.record_received(len(data))
            if self._framing.exceeded:
                self._refuse(Code.TOO_LARGE, 'head or trailers are too large')

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a call."""
        self._call = Call()
        self._head_bytes = 1
        self._head_complete = False
        self._framing = FramingLimit(self._server.limits.header_bytes)
        self._last_activity = asyncio.get_running_loop().time()
        self._body.drop()

    def on_url(self, url: bytes) -> None:
        """Collects the request target."""
        self._call.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collects a header, within the limits."""
        self._call.add_header(name.lower(), content)
        self._count_head(len(name) + len(content))

    def on_headers_complete(self) -> None:
        """Checks the head before the body is read."""
        self._head_complete = True
        call = self._call
        call.method = self._parser.get_method()
        call.keep_alive = self._parser.should_keep_alive()
        error = head_error(call)
        if error:
            self._refuse(Code.BAD_REQUEST, error)
            return
        length = call.header(b'content-length')
        if length and int(length) > self._server.limits.body_bytes:
            self._refuse(Code.TOO_LARGE, 'body is too large')
        elif call.header(b'expect').lower() == b'100-continue':
            self._expects_continue = True
            self._advance()

    def on_body(self, body: bytes) -> None:
        """Collects a piece of the body, within the limits."""
        self._last_activity = asyncio.get_running_loop().time()
        self._feed.count_event()
        self._framing.record_body(len(body))
        if self._refused:
            return
        if len(self._body) + len(body) > self._server.limits.body_bytes:
            self._refuse(Code.TOO_LARGE, 'body is too large')
        elif not self._body.add(body):
            self._refuse(Code.SHED, 'no memory for the body')

    def on_message_complete(self) -> None:
        """Runs the complete call; reading pauses at the pipelining limit."""
        if self._refused:
            return
        self._head_bytes = 0
        self._expects_continue = False
        if self._no_more_calls:
            self._body.drop()
            return
        self._call.body = self._body.take()
        self._start(self._call)
        self._call = Call()  # an idle connection keeps no body
        at_limit = len(self.replies) >= self._server.limits.pipelined
        if at_limit and not self._feed.paused:
            self._feed.pause()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        limits = self._server.limits
        if (
            self._head_bytes > limits.header_bytes
            or len(self._call.headers) > MAX_HEADERS
        ):
            self._refuse(Code.TOO_LARGE, 'head is too large')

    def _start(self, call: Call) -> None:
        pending = PendingReply(self)
        self.replies.append(pending)
        if len(self.replies) == 1:
            pending.start_writing()
        reply = Reply(pending, call.keep_alive)
        pending.task = asyncio.create_task(self._serve(call, reply, pending))
        size = len(call.body)
        pending.task.add_done_callback(
            lambda _: self._server.bodies.release(size)
        )

    async def _serve(
        self, call: Call, reply: Reply, pending: 'PendingReply'
    ) -> None:
        try:
            await self._server.handler(call, reply)
        except asyncio.CancelledError:
            if not self._server.ended or reply.started:
                raise
            reply.refuse(Code.UNKNOWN_TIMEOUT, 'the process ends')
        except Exception:
            log.exception('call failed', extra={'code': Code.UNKNOWN_BROKEN})
            reply.abort()
        pending.done = True
        pending.closes_connection = not reply.keep_alive
        self._advance()

    def _advance(self) -> None:
        """Writes the replies that are next in order."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        while self.replies and self.replies[0].done:
            pending = self.replies.popleft()
            self._last_activity = asyncio.get_running_loop().time()
            if pending.closes_connection:
                transport.close()
                return
            if self.replies:
                self.replies[0].start_writing()
        if self._expects_continue and not self.replies:
            self._expects_continue = False
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        if len(self.replies) < self._server.limits.pipelined:
            self._feed.resume()
        if self._server.stopping and not self.replies and self._no_more_calls:
            transport.close()

    def _refuse(self, code: Code, message: str) -> None:
        if self._refused:
            return
        self._refused = True
        self._body.drop()
        pending = PendingReply(self)
        pending.closes_connection = True
        Reply(pending, keep_alive=False).refuse(code, message)
        pending.done = True
        self.replies.append(pending)
        if len(self.replies) == 1:
            pending.start_writing()
        self._advance()


def unsent_bytes(transport: asyncio.Transport | None) -> int:
    """Returns the bytes written to a connection that it has not sent yet."""
    return 0 if transport is None else transport.get_write_buffer_size()


def head_error(call: Call) -> str:
    """Returns why a request head is refused, or ''.

    Heads that two parsers may read differently are refused, since forwarding
    them would allow request smuggling.
    """
    names = [name for name, _ in call.headers]
    if names.count(b'content-length') > 1:
        return 'more than one content-length'
    if b'transfer-encoding' in names:
        if b'content-length' in names:
            return 'both content-length and transfer-encoding'
        if call.header(b'transfer-encoding').lower() != b'chunked':
            return 'transfer-encoding other than chunked'
    if names.count(b'host') != 1:
        return 'not exactly one host'
    return ''
