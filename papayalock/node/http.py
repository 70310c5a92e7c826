"""HTTP calls that a node receives, and its replies."""

from http import HTTPStatus
from typing import Protocol

import msgspec

from papayalock.httpclient import Headers
from papayalock.messages import ErrorBody
from papayalock.result import Code

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
GATEWAY_TIMEOUT = 504
BODYLESS_STATUSES = frozenset((204, 304))
SERVICE_UNAVAILABLE = 503
OUTCOME_HEADER = b'papayalock-outcome'


class Writer(Protocol):
    """The connection to which a reply is written."""

    def write(self, data: bytes) -> None:
        """Writes, unless the connection is closed."""
        ...

    async def wait_writable(self) -> None:
        """Waits while the write buffer is full, as the caller reads slowly."""
        ...

    def abort(self) -> None:
        """Closes the connection at once, without sending what is buffered."""
        ...

    def stays_open(self) -> bool:
        """Whether the connection accepts further calls after this reply."""
        ...


class Call:
    """One request as received."""

    __slots__ = (
        '_first_by_name',
        'body',
        'headers',
        'keep_alive',
        'method',
        'target',
    )

    def __init__(
        self,
        method: bytes = b'',
        target: bytes = b'',
        headers: Headers | None = None,
        body: bytes = b'',
    ) -> None:
        """Sets the known parts; the parser adds the rest."""
        self.method = method
        self.target = target
        self.headers: Headers = []
        self.body = body
        self.keep_alive = True
        self._first_by_name: dict[bytes, bytes] = {}
        for name, content in headers or ():
            self.add_header(name, content)

    def add_header(self, name: bytes, content: bytes) -> None:
        """Adds a header with a lower-case name."""
        self.headers.append((name, content))
        self._first_by_name.setdefault(name, content)

    def header(self, name: bytes) -> bytes:
        """Returns the first header with a lower-case name, or b''."""
        return self._first_by_name.get(name, b'')


class Reply:
    """Writes the response to one call to its connection."""

    __slots__ = ('_chunked', '_conn', 'keep_alive', 'started')

    def __init__(self, conn: Writer, keep_alive: bool) -> None:
        """Starts with nothing written.

        :param keep_alive: whether the caller wants the connection kept open
        """
        self._conn = conn
        self.keep_alive = keep_alive
        self.started = False
        self._chunked = False

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a complete response."""
        self.started = True
        self._conn.write(self._head(status, headers, len(body)) + body)

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Writes the head of a response; chunked if ``length`` is None."""
        self.started = True
        self._chunked = length is None and status not in BODYLESS_STATUSES
        self._conn.write(self._head(status, headers, length))

    def _head(self, status: int, headers: Headers, length: int | None) -> bytes:
        lines = [b'HTTP/1.1 %d %s' % (status, REASON_PHRASES.get(status, b'-'))]
        lines.extend([b'%s: %s' % pair for pair in headers])
        if self._chunked:
            lines.append(b'transfer-encoding: chunked')
        elif status not in BODYLESS_STATUSES:
            lines.append(b'content-length: %d' % (length or 0))
        if not self.keep_alive or not self._conn.stays_open():
            self.keep_alive = False
            lines.append(b'connection: close')
        lines.append(b'\r\n')
        return b'\r\n'.join(lines)

    async def send_piece(self, body: bytes) -> None:
        """Writes a piece of the body and waits until the caller has read."""
        if self._chunked:
            body = b'%x\r\n%s\r\n' % (len(body), body)
        self._conn.write(body)
        await self._conn.wait_writable()

    def finish(self) -> None:
        """Ends a response that was written in pieces."""
        if self._chunked:
            self._conn.write(b'0\r\n\r\n')

    def send_keepalive(self) -> None:
        """Writes an interim response, unless the response has begun."""
        if not self.started:
            self._conn.write(b'HTTP/1.1 102 Processing\r\n\r\n')

    def refuse(self, code: Code, message: str, retry_after_ms: int = 0) -> None:
        """Writes an error with a result code as the response."""
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
        self.send(http_status(code), headers, msgspec.json.encode(body))

    def abort(self) -> None:
        """Cuts the connection, so that the caller sees a truncated response."""
        self._conn.abort()


_STATUS = {
    Code.NO_ROUTE: 404,
    Code.DENIED: 403,
    Code.BAD_REQUEST: 400,
    Code.TOO_LARGE: 413,
    Code.KEY_MISSING: 400,
    Code.KEY_REUSED: 422,
    Code.SHED: 429,
    Code.OVER_QUOTA: 429,
}


def http_status(code: Code) -> int:
    """Returns the HTTP status of a result code."""
    default = GATEWAY_TIMEOUT if code.may_have_run else SERVICE_UNAVAILABLE
    return _STATUS.get(code, default)
