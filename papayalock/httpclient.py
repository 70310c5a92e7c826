"""An HTTP/1.1 client connection that carries one call at a time.

Parsing is left to httptools and scheduling to asyncio. This module adds what
a caller needs to trust a response: a response shorter than its declared length
is an error, a connection with an unread response is never reused, and an error
says whether the request may have reached the server.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from papayalock.core.buffers import BufferPool
from papayalock.core.framing import FramingLimit, InterimLimit
from papayalock.progress import ProgressTimer
from papayalock.result import Code
from papayalock.turns import SlicedFeed, TurnQueue

MS_PER_S = 1000
PAUSE_BYTES = 65536  # unread body bytes above which reading is paused
MAX_HEADERS = 100
MAX_HEAD_BYTES = 65536
MAX_REFUSED = 256  # refused calls that a connection remembers
MAX_DISCARDED_BYTES = 1_048_576  # of responses that belong to no call
CONTINUE = 100
FIRST_FINAL_STATUS = 200  # lower statuses are interim responses
Headers = list[tuple[bytes, bytes]]
MatchesCall = Callable[[Headers], bool]
OnUnresponsive = Callable[[], None]
OnWritten = Callable[[int], None]  # called with the number of bytes


def ignore_written(size: int) -> None:
    """Is the callback of connections whose bytes nobody counts."""


class TransportError(Exception):
    """A call ended without a complete response.

    ``sent`` is true when the server may have acted on the request.
    """

    def __init__(self, code: Code, message: str, *, sent: bool) -> None:
        """Creates the error.

        :param code: result code of the call
        :param sent: whether the server may have acted on the request
        """
        super().__init__(message)
        self.code = code
        self.sent = sent


@dataclass(slots=True)
class Request:
    """A request, ready to be serialized."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''

    def head(self) -> bytes:
        """Returns the request line and the headers as bytes."""
        lines = [b'%s %s HTTP/1.1' % (self.method, self.target)]
        lines.extend(b'%s: %s' % pair for pair in self.headers)
        lines.append(b'content-length: %d\r\n\r\n' % len(self.body))
        return b'\r\n'.join(lines)

    def parts(self) -> list[bytes]:
        """Returns the request in parts; a large body is not copied."""
        if len(self.body) > PAUSE_BYTES:
            return [self.head(), self.body]
        return [self.head() + self.body]


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


class Response:
    """A response whose body is read piece by piece."""

    __slots__ = ('headers', 'keep_alive', 'length', 'status', '_conn')

    def __init__(
        self, conn: 'ClientConn', status: int, headers: Headers
    ) -> None:
        """Creates a response from its status and headers."""
        self._conn = conn
        self.status = status
        self.headers = headers
        self.length = _content_length(headers)
        self.keep_alive = True

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, or b''.

        :param name: header name in lower case
        """
        return next(
            (content for key, content in self.headers if key == name), b''
        )

    def complete_body(self) -> bytes | None:
        """Returns the body if all of it has arrived, otherwise None."""
        return self._conn.pop_complete_body()

    @property
    def chunked(self) -> bool:
        """Whether the body uses chunked transfer encoding."""
        return b'chunked' in self.header(b'transfer-encoding').lower()

    async def read(self) -> bytes:
        """Returns the next piece of the body, or b'' once it is complete.

        :raises TransportError: when the body ends before its declared length
        """
        return await self._conn.read_piece()

    async def read_all(self, limit: int) -> bytes:
        """Returns the complete body.

        :param limit: maximum size of the body in bytes
        :raises TransportError: when the body is incomplete or exceeds ``limit``
        """
        buffers = self._conn.buffers or BufferPool(limit * 2)
        body = bytearray()
        size = 0
        try:
            while piece := await self.read():
                if size + len(piece) > limit or not buffers.grow(
                    size, len(piece)
                ):
                    self._conn.close()
                    raise TransportError(
                        Code.MESSAGE_TOO_LARGE,
                        'response body is too large',
                        sent=True,
                    )
                size += len(piece)
                body += piece
        finally:
            buffers.release(size)
        return bytes(body)


class UnreadBody:
    """The part of a body that nobody has read yet; reading pauses over it.

    Pieces are joined as they come: kept one by one, pieces of a few bytes
    would take many times the memory that is counted.
    """

    __slots__ = ('_content', '_feed')

    def __init__(self, feed: SlicedFeed) -> None:
        """Starts empty.

        :param feed: paused while much is unread
        """
        self._feed = feed
        self._content = bytearray()

    def __len__(self) -> int:
        """Returns the number of unread bytes."""
        return len(self._content)

    def add(self, piece: bytes) -> None:
        """Adds a piece of the body."""
        self._content += piece
        if len(self._content) > PAUSE_BYTES and not self._feed.paused:
            self._feed.pause()

    def take(self) -> bytes:
        """Returns all that is unread."""
        body = bytes(self._content)
        self._content = bytearray()
        self._feed.resume()
        return body


def _content_length(headers: Headers) -> int | None:
    for name, content in headers:
        if name == b'content-length' and content.isdigit():
            return int(content)
    return None


class ClientConn(asyncio.Protocol):
    """One client connection; after an error it is closed, not reused."""

    def __init__(
        self,
        buffers: BufferPool | None = None,
        on_written: OnWritten = ignore_written,
        turns: TurnQueue | None = None,
    ) -> None:
        """Creates a protocol that is not yet connected.

        :param buffers: memory that the bodies of responses share with those
            of other connections
        :param turns: shares the event loop with costly ones of them
        """
        self.buffers = buffers
        self._on_written = on_written
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.used = False  # whether it has carried a call
        self.closed = False
        self.progress = 0  # number of times that data was parsed
        # Calls that were refused on it, the latest ones.
        self.refused: deque[str] = deque(maxlen=MAX_REFUSED)
        self._headers: Headers = []
        self._head_bytes = 0
        self._framing = FramingLimit(MAX_HEAD_BYTES)
        self._discarded_bytes = 0
        self._interim = InterimLimit(0.0)
        self._feed = SlicedFeed(self, turns or TurnQueue())
        self._body = UnreadBody(self._feed)
        self._complete = True
        self._failure: TransportError | None = None
        self._got_continue = False
        self._response: Response | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._timer = ProgressTimer(lambda: self.progress, self._on_timeout)
        self._sent = False
        self._head_only = False
        self._matches_call: MatchesCall | None = None
        self._on_unresponsive: OnUnresponsive | None = None
        self._discarding = False
        self._surplus = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def reusable(self) -> bool:
        """Whether another call may use the connection."""
        return not self.closed and self._complete and not self._body

    # Calls

    async def call(
        self,
        req: Request,
        timeout_ms: int,
        *,
        expect_continue: bool = False,
        matches_call: MatchesCall | None = None,
        on_unresponsive: OnUnresponsive | None = None,
    ) -> Response:
        """Sends a request and returns the response once its headers arrived.

        :param timeout_ms: maximum time without receiving a byte
        :param expect_continue: whether to send the body only after the
            server's 100 Continue
        :param matches_call: called with the headers of a response; a response
            for which it returns False is discarded
        :param on_unresponsive: called once when no byte has been received for
            ``timeout_ms`` after the request was sent; the call then continues
            without a timeout instead of failing
        :raises TransportError: when no response arrives
        """
        self._start_call(timeout_ms)
        self._matches_call = matches_call
        self._on_unresponsive = on_unresponsive
        self._head_only = req.method == b'HEAD'
        if expect_continue and req.body:
            await self._send_expect_continue(req)
        else:
            for part in req.parts():
                self._write(part)
            self._sent = True
        while self._response is None:
            await self._wait()
        return self._response

    async def read_piece(self) -> bytes:
        """Returns the next piece of the body, or b'' at its end."""
        while not self._body:
            if self._complete:
                self._end_call()
                return b''
            await self._wait()
        return self._body.take()

    def pop_complete_body(self) -> bytes | None:
        """Returns the unread body and ends the call.

        Returns None while the response is incomplete, and for HEAD.
        """
        if not self._complete or self._head_only:
            return None
        body = self._body.take()
        self._end_call()
        return body

    def close(self) -> None:
        """Aborts the connection."""
        self.closed = True
        self._timer.stop()
        if self.transport is not None:
            self.transport.abort()

    async def _send_expect_continue(self, req: Request) -> None:
        head_req = Request(
            req.method,
            req.target,
            [*req.headers, (b'expect', b'100-continue')],
            req.body,
        )
        self._write(head_req.head())
        while self._response is None and not self._got_continue:
            await self._wait()
        if self._got_continue:
            self._write(req.body)
            self._sent = True
        else:
            self.closed = True

    def _start_call(self, timeout_ms: int) -> None:
        if (
            not self.reusable
            or self.transport is None
            or self.transport.is_closing()
        ):
            raise TransportError(
                Code.NOT_CONNECTED, 'connection is closed', sent=False
            )
        self._complete = False
        self._response = None
        self._got_continue = False
        self._sent = False
        self._discarding = False
        self._headers = []
        self._head_bytes = 0
        self._framing.restart()
        self._discarded_bytes = 0
        self._interim = InterimLimit(asyncio.get_running_loop().time())
        self.used = True
        self._timer.start(timeout_ms / MS_PER_S)

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self._on_written(len(data))
            self.transport.write(data)

    async def _wait(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._waiter = None
        if self._failure is not None:
            raise self._failure

    def _end_call(self) -> None:
        self._timer.stop()
        response = self._response
        if response is not None and not response.keep_alive:
            self.close()

    def _on_timeout(self) -> None:
        if self._complete:
            return
        if self._feed.paused:
            self._timer.restart()
            return
        if self._sent and self._on_unresponsive is not None:
            self._on_unresponsive()
            return
        code = Code.UNKNOWN_TIMEOUT if self._sent else Code.NOT_CONNECTED
        self._fail(code, 'no progress')

    def _fail(self, code: Code, message: str) -> None:
        """Fails the call, unless its response is already complete."""
        if self._failure is None and not self._complete:
            self._failure = TransportError(code, message, sent=self._sent)
        self.close()
        _wake(self._waiter)

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the call in progress, if there is one."""
        self.closed = True
        self._timer.stop()
        if not self._complete:
            code = Code.UNKNOWN_BROKEN if self._sent else Code.NOT_CONNECTED
            if self._response is not None:
                code = Code.INCOMPLETE_ANSWER
            self._fail(code, 'connection was lost')

    def eof_received(self) -> None:
        """Completes a response that is delimited by the end of the stream."""
        response = self._response
        if response is None or self._complete:
            return
        if response.length is None and not response.chunked:
            response.keep_alive = False
            self._complete = True
            _wake(self._waiter)

    def data_received(self, data: bytes) -> None:
        """Takes bytes from the network."""
        self._feed.receive(data)

    def parse(self, data: bytes) -> None:
        """Feeds the parser; closes the connection on bytes outside a call."""
        self.progress += 1
        if self._complete or self.closed:
            self.close()
            return
        self._framing.record_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail_response(f'invalid HTTP response: {exc}')
        if self._framing.exceeded:
            self._fail_response('head or trailers are too large')
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._fail_response('too many bytes that belong to no call')
        _wake(self._waiter)

    def _fail_response(self, reason: str) -> None:
        """Fails the call because of the bytes that were received."""
        code = Code.INCOMPLETE_ANSWER if self._sent else Code.NOT_CONNECTED
        self._fail(code, reason)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Starts a response; closes the connection on a surplus one.

        A surplus response follows a complete response to the same request.
        """
        if self._complete:
            self._surplus = True
            self.close()
        self._headers = []

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collects one header; fails the call when there are too many."""
        self._head_bytes += len(name) + len(content)
        if (
            len(self._headers) >= MAX_HEADERS
            or self._head_bytes > MAX_HEAD_BYTES
        ):
            self._fail(Code.INCOMPLETE_ANSWER, 'answer has too many headers')
            return
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Creates the response, unless it is interim or not for this call."""
        if self._surplus:
            return
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self._framing.restart()
            self._feed.count_event()
            self._interim.record(asyncio.get_running_loop().time())
            if self._interim.exceeded:
                self._fail_response('too many interim responses')
            self._got_continue = self._got_continue or status == CONTINUE
            return
        if self._matches_call is not None and not self._matches_call(
            self._headers
        ):
            self._discarding = True
            return
        response = Response(self, status, self._headers)
        response.keep_alive = self._parser.should_keep_alive()
        self._response = response
        if self._head_only:
            response.keep_alive = False
            self._complete = True

    def on_body(self, body: bytes) -> None:
        """Buffers a piece; pauses reading while the consumer is slow."""
        self._feed.count_event()
        self._framing.record_body(len(body))
        if self._discarding or self._surplus:
            self._discarded_bytes += len(body)
            return
        self._body.add(body)

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        if self._surplus:
            return
        if self._discarding:
            self._discarding = False
            self._head_bytes = 0
            self._framing.restart()
        elif self._response is not None:
            self._complete = True
            self.idle_since = asyncio.get_running_loop().time()
