"""Requests to a control VM, and its responses."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from blacksheep import Content, Request, Response

from papayalock.messages import ErrorBody
from papayalock.result import Code, PapayalockError

MAX_BODY_BYTES = 67_108_864
Message = TypeVar('Message')
Handler = Callable[[Request], Awaitable[Response]]
OK = 200
UNAVAILABLE = 503
HTTP_STATUS = {
    Code.BAD_MESSAGE: 400,
    Code.MESSAGE_TOO_LARGE: 413,
    Code.UNKNOWN_VERSION: 404,
    Code.UNKNOWN_MEMBER: 404,
    Code.CONFLICT: 409,
    Code.CHANGE_PENDING: 409,
    Code.DISK_FULL: 507,
}


def json_response(body: object, status: int = OK) -> Response:
    """Returns a response with a JSON body."""
    return Response(
        status, None, Content(b'application/json', msgspec.json.encode(body))
    )


def error_response(exc: PapayalockError) -> Response:
    """Returns the HTTP response for an error."""
    return json_response(
        error_body(exc), HTTP_STATUS.get(exc.code, UNAVAILABLE)
    )


def error_body(exc: PapayalockError) -> ErrorBody:
    """Returns the body of the response for an error."""
    return ErrorBody(
        code=exc.code, name=exc.code.name, message=str(exc.args[0])
    )


async def read_body(request: Request) -> bytes:
    """Returns the body of a request, chunked or not.

    :raises PapayalockError: ``MESSAGE_TOO_LARGE`` as soon as more than
        ``MAX_BODY_BYTES`` have been read
    """
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise PapayalockError(
                Code.MESSAGE_TOO_LARGE,
                f'request body exceeds {MAX_BODY_BYTES} bytes',
            )
    return bytes(body)


async def decode_body(
    request: Request, decoder: 'msgspec.json.Decoder[Message]'
) -> Message:
    """Returns the decoded body of a request.

    :raises PapayalockError: ``BAD_MESSAGE`` if it is malformed
    """
    body = await read_body(request)
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as exc:
        raise PapayalockError(Code.BAD_MESSAGE, str(exc)) from exc


def is_forwarded(request: Request) -> bool:
    """Returns whether another control VM forwarded the request."""
    return bool(Query(request).text('hop'))


class Query:
    """Typed access to the query parameters of a request."""

    def __init__(self, request: Request) -> None:
        """Keeps the first value of each parameter."""
        self._fields: dict[str, str] = {
            key: entries[0] for key, entries in request.query.items()
        }

    def text(self, key: str) -> str:
        """Returns a parameter as text, '' when it is missing."""
        return self._fields.get(key, '')

    def number(self, key: str) -> int:
        """Returns a parameter as a non-negative integer, 0 when it is missing.

        :raises PapayalockError: ``BAD_MESSAGE`` for any other value
        """
        text = self._fields.get(key, '0')
        if not text.isdigit():
            raise PapayalockError(
                Code.BAD_MESSAGE,
                f'query parameter {key} is not a non-negative integer',
            )
        return int(text)
