"""The listening side of a node: HTTP/1.1 calls, one at a time a connection."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import httptools
import msgspec

from papayalock.messages import ErrorBody
from papayalock.result import Code
from papayalock.wire import Headers

log = logging.getLogger(__name__)

MAX_HEADERS = 100
REASONS = {
    200: b'OK',
    400: b'Bad Request',
    413: b'Payload Too Large',
    503: b'Service Unavailable',
}
GATEWAY_TIMEOUT = 504
NO_BODY = frozenset((204, 304))  # statuses that never have a body
UNAVAILABLE = 503
STOP_POLL_S = 0.01
OUTCOME_HEADER = b'papayalock-outcome'


class Call:
    """One request as it arrived."""

    __slots__ = ('_first', 'body', 'headers', 'keep_alive', 'method', 'target')

    def __init__(
        self,
        method: bytes = b'',
        target: bytes = b'',
        headers: Headers | None = None,
        body: bytes = b'',
    ) -> None:
        """Keeps what is known; the parser adds the rest."""
        self.method = method
        self.target = target
        self.headers: Headers = []
        self.body = body
        self.keep_alive = True
        self._first: dict[bytes, bytes] = {}
        for name, content in headers or ():
            self.add_header(name, content)

    def add_header(self, name: bytes, content: bytes) -> None:
        """Adds a header with a lower-case name."""
        self.headers.append((name, content))
        self._first.setdefault(name, content)

    def header(self, name: bytes) -> bytes:
        """Returns the first header of a lower-case name, or b''."""
        return self._first.get(name, b'')


class Reply:
    """Writes the answer of one call to its connection."""

    __slots__ = ('_chunked', '_conn', 'keep_alive', 'started')

    def __init__(self, conn: 'ServerConn', keep_alive: bool) -> None:
        """Binds the reply to its connection."""
        self._conn = conn
        self.keep_alive = keep_alive
        self.started = False
        self._chunked = False

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a whole answer at once."""
        self.started = True
        self._conn.write(self._head(status, headers, len(body)) + body)

    def head(self, status: int, headers: Headers, length: int | None) -> None:
        """Writes the head of an answer; without a length it is chunked."""
        self.started = True
        self._chunked = length is None and status not in NO_BODY
        self._conn.write(self._head(status, headers, length))

    def _head(self, status: int, headers: Headers, length: int | None) -> bytes:
        lines = [b'HTTP/1.1 %d %s' % (status, REASONS.get(status, b'-'))]
        lines.extend([b'%s: %s' % pair for pair in headers])
        if self._chunked:
            lines.append(b'transfer-encoding: chunked')
        elif status not in NO_BODY:
            lines.append(b'content-length: %d' % (length or 0))
        if not self.keep_alive:
            lines.append(b'connection: close')
        lines.append(b'\r\n')
        return b'\r\n'.join(lines)

    async def piece(self, body: bytes) -> None:
        """Writes a piece of the body and waits while the caller is slow."""
        if self._chunked:
            body = b'%x\r\n%s\r\n' % (len(body), body)
        self._conn.write(body)
        await self._conn.drained()

    def end(self) -> None:
        """Ends an answer that was written in pieces."""
        if self._chunked:
            self._conn.write(b'0\r\n\r\n')

    def sign_of_life(self) -> None:
        """Tells the caller that the call is still under way."""
        if not self.started:
            self._conn.write(b'HTTP/1.1 102 Processing\r\n\r\n')

    def refuse(self, code: Code, message: str, retry_after_ms: int = 0) -> None:
        """Writes a numbered error as the answer."""
        body = ErrorBody(
            code=code,
            name=code.name,
            message=message,
            retry_after_ms=retry_after_ms,
        )
        headers = [
            (b'content-type', b'application/json'),
            (OUTCOME_HEADER, b'%d %s' % (code.value, code.name.encode())),
        ]
        if retry_after_ms:
            headers.append(
                (b'retry-after', b'%d' % max(1, -(-retry_after_ms // 1000)))
            )
        self.whole(http_status(code), headers, msgspec.json.encode(body))

    def abort(self) -> None:
        """Cuts the connection, so that a short answer is seen as short."""
        self._conn.abort()


_STATUS = {
    Code.NO_ROUTE: 404,
    Code.DENIED: 403,
    Code.BAD_REQUEST: 400,
    Code.TOO_LARGE: 413,
    Code.KEY_MISSING: 400,
    Code.KEY_REUSED: 422,
    Code.KEY_EXPIRED: 422,
    Code.SHED: 429,
}


def http_status(code: Code) -> int:
    """Returns the HTTP status that goes with a result code."""
    default = GATEWAY_TIMEOUT if code.unknown else UNAVAILABLE
    return _STATUS.get(code, default)


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
