"""The listening side of a node: HTTP/1.1 calls, one at a time a connection."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import httptools

from papayalock.node.http import Call, Reply
from papayalock.result import Code

log = logging.getLogger(__name__)

MAX_HEADERS = 100
STOP_POLL_S = 0.01
Handler = Callable[[Call, Reply], Awaitable[None]]


class ServerLimits:
    """Bounds on what one node takes in."""

    __slots__ = ('body_bytes', 'connections', 'header_bytes')

    def __init__(
        self, header_bytes: int, body_bytes: int, connections: int
    ) -> None:
        """Keeps the bounds; sizes in bytes."""
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.connections = connections


class Server:
    """All connections of one listening node."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        """Keeps the handler of calls."""
        self.handler = handler
        self.limits = limits
        self.stopping = False
        self.conns: set[ServerConn] = set()

    def make_conn(self) -> 'ServerConn':
        """Returns the protocol of one accepted connection."""
        return ServerConn(self)

    async def stop(self, timeout: float) -> bool:
        """Lets calls in flight end, then closes every connection.

        :param timeout: longest wait in seconds
        :returns: whether all calls ended in time
        """
        self.stopping = True
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout
        for conn in list(self.conns):
            conn.close_if_idle()
        while self.conns and loop.time() < until:
            await asyncio.sleep(STOP_POLL_S)
        clean = not self.conns
        for conn in list(self.conns):
            conn.abort()
        return clean


class ServerConn(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: Server) -> None:
        """Starts without a call."""
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._call = Call()
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._ready: list[Call] = []
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._refused = False

    # Used by replies.

    def write(self, data: bytes) -> None:
        """Writes unless the connection is gone."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drained(self) -> None:
        """Waits until the caller has read enough."""
        await self._writable.wait()

    def abort(self) -> None:
        """Cuts the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection when no call is under way."""
        busy = self._task is not None or self._ready or self._head_bytes
        if not busy and self._transport is not None:
            self._transport.close()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connection in, or refuses it when there are too many."""
        self._transport = transport  # type: ignore[assignment]
        self._server.conns.add(self)
        if (
            len(self._server.conns) > self._server.limits.connections
            or self._server.stopping
        ):
            self._refuse(Code.SHED, 'too many connections')

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the call under way, since nobody waits for it."""
        self._server.conns.discard(self)
        self._writable.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Makes writers wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets writers go on."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self._refused:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(Code.BAD_REQUEST, 'upgrades are not offered')
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
        ) as exc:
            self._refuse(Code.BAD_REQUEST, f'unreadable request: {exc}')

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a call."""
        self._call = Call()
        self._head_bytes = 1
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Collects the target."""
        self._call.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collects a header within bounds."""
        self._call.add_header(name.lower(), content)
        self._count_head(len(name) + len(content))

    def on_headers_complete(self) -> None:
        """Checks the head before any of the body is taken in."""
        call = self._call
        call.method = self._parser.get_method()
        call.keep_alive = self._parser.should_keep_alive()
        fault = head_fault(call)
        if fault:
            self._refuse(Code.BAD_REQUEST, fault)
            return
        length = call.header(b'content-length')
        if length and int(length) > self._server.limits.body_bytes:
            self._refuse(Code.TOO_LARGE, 'body is too large')
        elif call.header(b'expect').lower() == b'100-continue':
            self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Collects the body within bounds."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.body_bytes:
            self._refuse(Code.TOO_LARGE, 'body is too large')
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands the whole request over; later ones wait their turn."""
        if self._refused:
            return
        self._call.body = b''.join(self._body)
        self._body = []
        self._head_bytes = 0
        self._ready.append(self._call)
        if self._task is None:
            self._start()
        elif self._transport is not None:
            self._transport.pause_reading()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        limits = self._server.limits
        if (
            self._head_bytes > limits.header_bytes
            or len(self._call.headers) > MAX_HEADERS
        ):
            self._refuse(Code.TOO_LARGE, 'head is too large')

    def _start(self) -> None:
        call = self._ready.pop(0)
        keep_alive = call.keep_alive and not self._server.stopping
        reply = Reply(self, keep_alive)
        self._task = asyncio.create_task(self._serve(call, reply))

    async def _serve(self, call: Call, reply: Reply) -> None:
        try:
            await self._server.handler(call, reply)
        except Exception:
            log.exception('call failed', extra={'code': Code.UNKNOWN_BROKEN})
            reply.abort()
        self._task = None
        self._after(reply)

    def _after(self, reply: Reply) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not reply.keep_alive or self._server.stopping:
            transport.close()
        elif self._ready:
            self._start()
        else:
            transport.resume_reading()

    def _refuse(self, code: Code, message: str) -> None:
        if self._refused:
            return
        self._refused = True
        if self._task is None:
            Reply(self, keep_alive=False).refuse(code, message)
        if self._transport is not None:
            self._transport.close()


def head_fault(call: Call) -> str:
    """Returns why a request head is refused, or ''.

    What two parsers may read in two ways is refused rather than passed on.
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
