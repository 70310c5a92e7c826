"""A client connection for HTTP/1.1, one call at a time.

The parser and the loop are libraries; this module keeps the rules that make
answers trustworthy: an answer short of its length is an error, a connection
with an unread answer is closed, and a caller learns whether any part of its
body was sent.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from papayalock.progress import ProgressTimer
from papayalock.result import Code

MS = 1000  # milliseconds in a second
PAUSE_BYTES = 65536  # unread answer bytes at which reading pauses
MAX_HEADERS = 100
MAX_HEAD_BYTES = 65536
CONTINUE = 100
FIRST_FINAL_STATUS = 200
Headers = list[tuple[bytes, bytes]]
Belongs = Callable[[Headers], bool]
OnSilent = Callable[[], None]


class WireError(Exception):
    """A call that did not end with a whole answer.

    ``sent`` tells whether a part of the request may have been acted on.
    """

    def __init__(self, code: Code, message: str, *, sent: bool) -> None:
        """Keeps the code and whether the request was sent."""
        super().__init__(message)
        self.code = code
        self.sent = sent


@dataclass(slots=True)
class Request:
    """A request ready to be written."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''

    def head(self) -> bytes:
        """Returns the request line and headers."""
        lines = [b'%s %s HTTP/1.1' % (self.method, self.target)]
        lines.extend(b'%s: %s' % pair for pair in self.headers)
        lines.append(b'content-length: %d\r\n\r\n' % len(self.body))
        return b'\r\n'.join(lines)


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


class Response:
    """An answer whose body is read in pieces."""

    __slots__ = ('headers', 'keep_alive', 'length', 'status', '_conn')

    def __init__(
        self, conn: 'ClientConn', status: int, headers: Headers
    ) -> None:
        """Takes over the head of an answer."""
        self._conn = conn
        self.status = status
        self.headers = headers
        self.length = _content_length(headers)
        self.keep_alive = True

    def header(self, name: bytes) -> bytes:
        """Returns the first header of a lower-case name, or b''."""
        return next(
            (content for key, content in self.headers if key == name), b''
        )

    def whole(self) -> bytes | None:
        """Returns the body if all of it has arrived, else None."""
        return self._conn.take_whole()

    @property
    def chunked(self) -> bool:
        """Whether the body comes in chunks, of which the last is marked."""
        return b'chunked' in self.header(b'transfer-encoding').lower()

    async def read(self) -> bytes:
        """Returns the next piece of the body; b'' at its proven end.

        :raises WireError: when the answer ends short of its length
        """
        return await self._conn.read_piece()

    async def read_all(self, limit: int) -> bytes:
        """Returns the whole body.

        :raises WireError: when the answer is short or longer than ``limit``
        """
        pieces = []
        size = 0
        while piece := await self.read():
            size += len(piece)
            if size > limit:
                self._conn.close()
                raise WireError(
                    Code.MESSAGE_TOO_LARGE, 'answer is too large', sent=True
                )
            pieces.append(piece)
        return b''.join(pieces)


def _content_length(headers: Headers) -> int | None:
    for name, content in headers:
        if name == b'content-length' and content.isdigit():
            return int(content)
    return None


class ClientConn(asyncio.Protocol):
    """One connection; after an error it is closed and never reused."""

    def __init__(self) -> None:
        """Starts unconnected."""
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.used = False
        self.closed = False
        self.progress = 0
        self._headers: Headers = []
        self._head_bytes = 0
        self._pieces: deque[bytes] = deque()
        self._buffered = 0
        self._complete = True
        self._failure: WireError | None = None
        self._continued = False
        self._response: Response | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._timer = ProgressTimer(lambda: self.progress, self._on_silence)
        self._sent = False
        self._paused = False
        self._head_only = False
        self._belongs: Belongs | None = None
        self._on_silent: OnSilent | None = None
        self._foreign = False
        self._surplus = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def reusable(self) -> bool:
        """Whether another call may use the connection."""
        return not self.closed and self._complete and not self._pieces

    # Calls.

    async def call(
        self,
        req: Request,
        timeout_ms: int,
        *,
        expect: bool = False,
        belongs: Belongs | None = None,
        on_silent: OnSilent | None = None,
    ) -> Response:
        """Sends a request and returns the head of its answer.

        :param timeout_ms: longest wait without progress
        :param expect: holds the body back until the far end asks for it
        :param belongs: tells by its headers whether an answer belongs to
            this request; one that does not is passed over
        :param on_silent: called once when a request that was sent has made no
            progress for so long; the call then goes on without a time limit
        :raises WireError: when there is no answer
        """
        self._begin(timeout_ms)
        self._belongs = belongs
        self._on_silent = on_silent
        self._head_only = req.method == b'HEAD'
        if expect and req.body:
            await self._send_expecting(req)
        else:
            self._write(req.head() + req.body)
            self._sent = True
        while self._response is None:
            await self._wait()
        return self._response

    async def read_piece(self) -> bytes:
        """Returns the next piece of the answer's body, or b'' at its end."""
        while not self._pieces:
            if self._complete:
                self._end()
                return b''
            await self._wait()
        piece = self._pieces.popleft()
        self._buffered -= len(piece)
        if (
            self._paused
            and self._buffered < PAUSE_BYTES // 2
            and self.transport is not None
        ):
            self._paused = False
            self.transport.resume_reading()
        return piece

    def take_whole(self) -> bytes | None:
        """Returns the body of an answer that has wholly arrived."""
        if not self._complete or self._head_only:
            return None
        body = b''.join(self._pieces)
        self._pieces.clear()
        self._buffered = 0
        self._end()
        return body

    def close(self) -> None:
        """Closes the connection at once."""
        self.closed = True
        self._timer.stop()
        if self.transport is not None:
            self.transport.abort()

    async def _send_expecting(self, req: Request) -> None:
        expecting = Request(
            req.method,
            req.target,
            [*req.headers, (b'expect', b'100-continue')],
            req.body,
        )
        self._write(expecting.head())
        while self._response is None and not self._continued:
            await self._wait()
        if self._continued:
            self._write(req.body)
            self._sent = True
        else:
            self.closed = True

    def _begin(self, timeout_ms: int) -> None:
        if (
            not self.reusable
            or self.transport is None
            or self.transport.is_closing()
        ):
            raise WireError(
                Code.NOT_CONNECTED, 'connection is closed', sent=False
            )
        self._complete = False
        self._response = None
        self._continued = False
        self._sent = False
        self._foreign = False
        self._headers = []
        self._head_bytes = 0
        self.used = True
        self._timer.start(timeout_ms / MS)

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
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

    def _end(self) -> None:
        self._timer.stop()
        response = self._response
        if response is not None and not response.keep_alive:
            self.close()

    def _on_silence(self) -> None:
        if self._complete:
            return
        if self._paused:
            self._timer.again()
            return
        if self._sent and self._on_silent is not None:
            self._on_silent()
            return
        code = Code.UNKNOWN_TIMEOUT if self._sent else Code.NOT_CONNECTED
        self._fail(code, 'no progress')

    def _fail(self, code: Code, message: str) -> None:
        """Fails the call, unless its answer was whole before."""
        if self._failure is None and not self._complete:
            self._failure = WireError(code, message, sent=self._sent)
        self.close()
        _wake(self._waiter)

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails a call that is under way."""
        self.closed = True
        self._timer.stop()
        if not self._complete:
            code = Code.UNKNOWN_BROKEN if self._sent else Code.NOT_CONNECTED
            if self._response is not None:
                code = Code.INCOMPLETE_ANSWER
            self._fail(code, 'connection was lost')

    def eof_received(self) -> None:
        """Ends an answer that has no length of its own."""
        response = self._response
        if response is None or self._complete:
            return
        if response.length is None and not response.chunked:
            response.keep_alive = False
            self._complete = True
            _wake(self._waiter)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; bytes outside a call end the connection."""
        self.progress += 1
        if self._complete:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            code = Code.INCOMPLETE_ANSWER if self._sent else Code.NOT_CONNECTED
            self._fail(code, f'unreadable answer: {exc}')
        _wake(self._waiter)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Passes over a second answer to one request."""
        if self._complete:
            self._surplus = True
            self.close()
        self._headers = []

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collects one header within bounds."""
        self._head_bytes += len(name) + len(content)
        if (
            len(self._headers) >= MAX_HEADERS
            or self._head_bytes > MAX_HEAD_BYTES
        ):
            self._fail(Code.INCOMPLETE_ANSWER, 'answer has too many headers')
            return
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Builds the response once its head is whole."""
        if self._surplus:
            return
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self._continued = self._continued or status == CONTINUE
            return
        if self._belongs is not None and not self._belongs(self._headers):
            self._foreign = True
            return
        response = Response(self, status, self._headers)
        response.keep_alive = self._parser.should_keep_alive()
        self._response = response
        if self._head_only:
            response.keep_alive = False
            self._complete = True

    def on_body(self, body: bytes) -> None:
        """Buffers a piece and pauses reading when the caller is slow."""
        if self._foreign or self._surplus:
            return
        self._pieces.append(body)
        self._buffered += len(body)
        if (
            self._buffered > PAUSE_BYTES
            and not self._paused
            and self.transport is not None
        ):
            self._paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Marks the answer as whole."""
        if self._surplus:
            return
        if self._foreign:
            self._foreign = False
            self._head_bytes = 0
        elif self._response is not None:
            self._complete = True
            self.idle_since = asyncio.get_running_loop().time()
