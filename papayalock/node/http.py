"""Calls as they arrive at a node, and their answers."""

from http import HTTPStatus
from typing import Protocol

import msgspec

from papayalock.messages import ErrorBody
from papayalock.result import Code
from papayalock.httpclient import Headers

REASONS = {one.value: one.phrase.encode() for one in HTTPStatus}
GATEWAY_TIMEOUT = 504
NO_BODY = frozenset((204, 304))  # statuses that never have a body
UNAVAILABLE = 503
OUTCOME_HEADER = b'papayalock-outcome'


class Writer(Protocol):
    """The connection on which an answer is written."""

    def write(self, data: bytes) -> None:
        """Writes unless the connection is gone."""
        ...

    async def drained(self) -> None:
        """Waits until the caller has read enough."""
        ...

    def abort(self) -> None:
        """Cuts the connection at once."""
        ...

    def stays_open(self) -> bool:
        """Whether the connection takes further calls after this answer."""
        ...


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

    def __init__(self, conn: Writer, keep_alive: bool) -> None:
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
        if not self.keep_alive or not self._conn.stays_open():
            self.keep_alive = False
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
    Code.SHED: 429,
}


def http_status(code: Code) -> int:
    """Returns the HTTP status that goes with a result code."""
    default = GATEWAY_TIMEOUT if code.may_have_run else UNAVAILABLE
    return _STATUS.get(code, default)
