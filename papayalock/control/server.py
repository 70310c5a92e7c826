"""The HTTP interface of a control VM, for nodes, peers and operators."""

import functools
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from aioprometheus import Counter, Gauge, Registry, render
from blacksheep import Application, Content, Request, Response
from blacksheep.server.routing import Router

from papayalock.commands import Publication
from papayalock.control.control import Control
from papayalock.control.members import Members
from papayalock.control.status import StatusReader
from papayalock.core.routebook import checked_types
from papayalock.dialect import OperatorDialect
from papayalock.messages import (
    Claim,
    ErrorBody,
    Finish,
    JoinReq,
    PeerMessage,
    Publish,
    PublishRes,
    ReadIndex,
    Revise,
    SetMember,
    Submit,
    SyncReq,
)
from papayalock.compression import compress_body
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
PREFIX = '/v1/'
MAX_BODY_BYTES = 67_108_864
MAX_WAIT_MS = 60_000
Message = TypeVar('Message')
Handler = Callable[[Request], Awaitable[Response]]
OK = 200
UNAVAILABLE = 503
STATUS = {
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


def refusal(exc: PapayalockError) -> Response:
    """Returns the response for a numbered error."""
    return json_response(_error_body(exc), STATUS.get(exc.code, UNAVAILABLE))


def _error_body(exc: PapayalockError) -> ErrorBody:
    return ErrorBody(
        code=exc.code, name=exc.code.name, message=str(exc.args[0])
    )


async def read_body(request: Request) -> bytes:
    """Returns the body of a request, chunked or not, within the bound.

    :raises PapayalockError: ``MESSAGE_TOO_LARGE`` as soon as it is passed
    """
    pieces: list[bytes] = []
    size = 0
    async for piece in request.stream():
        size += len(piece)
        if size > MAX_BODY_BYTES:
            raise PapayalockError(
                Code.MESSAGE_TOO_LARGE, f'body over {MAX_BODY_BYTES} bytes'
            )
        pieces.append(piece)
    return b''.join(pieces)


class ControlServer:
    """Routes requests to the control VM's parts."""

    def __init__(
        self,
        control: Control,
        status: StatusReader,
        registry: Registry,
        operator: OperatorDialect,
        members: Members,
    ) -> None:
        """Builds the application; it is served by the composition root."""
        self._control = control
        self._status = status
        self._registry = registry
        self._operator = operator
        self._members = members
        self._requests = Counter(
            'papayalock_requests_total', 'Requests by path', registry=registry
        )
        self._gauges = Gauge(
            'papayalock_state', 'State of this control VM', registry=registry
        )
        self._peer_decoder = msgspec.json.Decoder(list[PeerMessage])
        self._sync_decoder = msgspec.json.Decoder(SyncReq)
        self.app = self._build()

    def _build(self) -> Application:
        router = Router()
        posts: dict[str, Handler] = {
            '/v1/sync': self._sync,
            '/v1/peer': self._peer,
            '/v1/submit': self._submit,
            '/v1/member': self._member,
            '/v1/claim': self._claim,
            '/v1/finish': self._finish,
            '/v1/publish': self._publish,
            '/v1/revise': self._publish,
            '/v1/read-index': self._read_index,
            '/v1/join': self._join,
        }
        reading = [f'{PREFIX}{name}' for name in self._status.readers]
        gets: dict[str, Handler] = {
            '/v1/endpoints': self._endpoints,
            '/v1/zone-report': self._zone_report,
            '/v1/metrics': self._metrics,
            **dict.fromkeys(reading, self._read),
        }
        for path, handler in posts.items():
            router.add_post(path, self._guarded(handler))
        for path, handler in gets.items():
            router.add_get(path, self._guarded(handler))
        router.add_get(self._operator.path, self._guarded(self._routes))
        router.add_put(self._operator.path, self._guarded(self._put_routes))
        return Application(router=router)

    def _guarded(self, handler: Handler) -> Handler:
        return functools.partial(self._guard, handler)

    async def _guard(self, handler: Handler, request: Request) -> Response:
        self._requests.inc({'path': request.path})
        try:
            return await handler(request)
        except PapayalockError as exc:
            return refusal(exc)

    async def _decode(
        self, request: Request, decoder: 'msgspec.json.Decoder[Message]'
    ) -> Message:
        body = await read_body(request)
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as exc:
            raise PapayalockError(Code.BAD_MESSAGE, str(exc)) from exc

    async def _sync(self, request: Request) -> Response:
        req = await self._decode(request, self._sync_decoder)
        reply = await self._control.zone.sync(req)
        body = compress_body(msgspec.json.encode(reply))
        return Response(OK, None, Content(b'application/json', body))

    async def _peer(self, request: Request) -> Response:
        for message in await self._decode(request, self._peer_decoder):
            group = self._control.groups.get(message.group)
            if group is not None:
                group.deliver(message)
        return Response(OK)

    async def _submit(self, request: Request) -> Response:
        command = await self._decode(request, msgspec.json.Decoder(Submit))
        return json_response(
            await self._control.submit(
                command, forwarded=_is_forwarded(request)
            )
        )

    async def _member(self, request: Request) -> Response:
        command = await self._decode(request, msgspec.json.Decoder(SetMember))
        return json_response(
            await self._control.change_member(
                command, forwarded=_is_forwarded(request)
            )
        )

    async def _claim(self, request: Request) -> Response:
        command = await self._decode(request, msgspec.json.Decoder(Claim))
        return json_response(
            await self._control.claim(command, forwarded=_is_forwarded(request))
        )

    async def _finish(self, request: Request) -> Response:
        command = await self._decode(request, msgspec.json.Decoder(Finish))
        return json_response(
            await self._control.claim(command, forwarded=_is_forwarded(request))
        )

    async def _publish(self, request: Request) -> Response:
        revises = request.path.endswith('revise')
        kind: type[Publication] = Revise if revises else Publish
        command = await self._decode(request, msgspec.json.Decoder(kind))
        return json_response(
            await self._control.publish(
                command, forwarded=_is_forwarded(request)
            )
        )

    async def _read_index(self, request: Request) -> Response:
        index = await self._control.read_index(forwarded=_is_forwarded(request))
        return json_response(ReadIndex(index=index))

    async def _join(self, request: Request) -> Response:
        req = await self._decode(request, msgspec.json.Decoder(JoinReq))
        return json_response(
            await self._members.accept(req, forwarded=_is_forwarded(request))
        )

    async def _put_routes(self, request: Request) -> Response:
        try:
            res = await self._publish_routes(await read_body(request))
        except PapayalockError as exc:
            log.info(
                'publication failed',
                extra={'code': exc.code, 'reason': str(exc)},
            )
            return json_response(
                _error_body(exc), self._operator.error_status(exc.code)
            )
        log.info(
            'publication answered',
            extra={
                'code': res.code,
                'label': res.label,
                'reason': res.message,
            },
        )
        return json_response(res, self._operator.publish_status(res))

    async def _publish_routes(self, body: bytes) -> PublishRes:
        routes = checked_types(self._operator.read(body))
        book = self._control.ledger.book
        settled = book.settled(routes)
        if settled is not None:
            return settled
        return await self._control.publish(book.command(routes))

    async def _routes(self, request: Request) -> Response:
        try:
            routes = await self._control.newest_routes()
        except PapayalockError as exc:
            return json_response(
                _error_body(exc), self._operator.error_status(exc.code)
            )
        if routes is None:
            missing = PapayalockError(
                Code.UNKNOWN_VERSION, 'no routes were published yet'
            )
            return json_response(
                _error_body(missing), self._operator.error_status(missing.code)
            )
        text = self._operator.render(routes)
        return Response(OK, None, Content(b'application/json', text))

    async def _endpoints(self, request: Request) -> Response:
        query = Query(request)
        zone = self._control.zone
        epoch = query.text('epoch')
        cursor = query.number('cursor')
        delta = zone.table.delta(epoch, cursor, lambda _: True)
        if delta is None:
            await zone.wait(min(query.number('wait_ms'), MAX_WAIT_MS) / MS)
            delta = zone.table.delta(epoch, cursor, lambda _: True)
        return Response(OK) if delta is None else json_response(delta)

    async def _zone_report(self, request: Request) -> Response:
        return json_response(
            self._control.zone.report(Query(request).text('zone'))
        )

    async def _metrics(self, request: Request) -> Response:
        return Response(OK, None, Content(b'text/plain', self.metrics()))

    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text form."""
        for what, count in self._state().items():
            self._gauges.set({'what': what}, count)
        text, _ = render(self._registry, [])
        return bytes(text)

    def _state(self) -> dict[str, int]:
        replica = self._control.config.replica
        leased = replica.has_lease(self._control.now())
        control = self._control
        return {
            'version': control.ledger.version,
            'commit': replica.commit,
            'leader': int(replica.is_leader),
            'nodes': len(control.zone.attached),
            'servers': len(control.zone.table),
            'disk_full': int(control.config.disk_full),
            'term': replica.term,
            'applied': replica.applied,
            'log_entries': replica.log.last_index - replica.log.snapshot.index,
            'members': len(replica.log.members),
            'leased': int(leased),
            'label': control.ledger.book.label,
        }

    async def _read(self, request: Request) -> Response:
        reader = self._status.readers[request.path.removeprefix(PREFIX)]
        query = {key: found[0] for key, found in request.query.items()}
        return json_response(reader(query))


def _is_forwarded(request: Request) -> bool:
    return bool(Query(request).text('hop'))


class Query:
    """The query of a request, with checked types."""

    def __init__(self, request: Request) -> None:
        """Keeps the first value of each key."""
        self._fields: dict[str, str] = {
            key: found[0] for key, found in request.query.items()
        }

    def text(self, key: str) -> str:
        """Returns a text; '' when it is missing."""
        return self._fields.get(key, '')

    def number(self, key: str) -> int:
        """Returns a number; 0 when it is missing.

        :raises PapayalockError: ``BAD_MESSAGE`` when it is no number
        """
        text = self._fields.get(key, '0')
        if not text.isdigit():
            raise PapayalockError(Code.BAD_MESSAGE, f'{key} is no number')
        return int(text)
