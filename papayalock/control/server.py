"""The HTTP API of a control VM, for nodes, other control VMs and operators."""

import asyncio
import functools
import logging

import msgspec
from aioprometheus import Counter, Gauge, Registry, render
from blacksheep import Application, Content, Request, Response
from blacksheep.server.routing import Router

from papayalock.commands import Publication
from papayalock.compression import compress_body
from papayalock.control.coordinator import Coordinator
from papayalock.control.http import (
    Handler,
    Query,
    decode_body,
    error_body,
    error_response,
    is_forwarded,
    json_response,
    read_body,
)
from papayalock.control.membermanager import MemberManager
from papayalock.control.rolloutapi import RolloutApi
from papayalock.control.status import StatusReader
from papayalock.core.routesets import validate_route_set
from papayalock.dialect import KeyDigest, OperatorDialect
from papayalock.messages import (
    Claim,
    Finish,
    JoinReq,
    LeaveReq,
    PeerMessage,
    Publish,
    PublishRes,
    ReadIndex,
    Revise,
    SetMember,
    Submit,
    SyncReq,
)
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

MS_PER_S = 1000
API_PREFIX = '/v1/'
MAX_POLL_WAIT_MS = 60_000
OK = 200


class ControlServer:
    """The HTTP application of a control VM.

    It decodes requests, passes them to the coordinator, the distributor, the
    member manager or the status reader, and encodes the result.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        status: StatusReader,
        registry: Registry,
        operator: OperatorDialect,
        member_manager: MemberManager,
        key_digest: KeyDigest,
        rollouts: RolloutApi,
    ) -> None:
        """Builds :attr:`app`, which the composition root serves.

        :param operator: translates route sets between the operator's format
            and the project's own
        :param key_digest: returns the digest of an API key
        """
        self._key_digest = key_digest
        self._rollouts = rollouts
        self._coordinator = coordinator
        self._status = status
        self._registry = registry
        self._operator = operator
        self._member_manager = member_manager
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
            '/v1/leave': self._leave,
            **self._rollouts.posts,
        }
        status_paths = [f'{API_PREFIX}{name}' for name in self._status.readers]
        gets: dict[str, Handler] = {
            '/v1/endpoints': self._endpoints,
            '/v1/zone-report': self._zone_report,
            '/v1/metrics': self._metrics,
            **self._rollouts.gets,
            **dict.fromkeys(status_paths, self._read_status),
        }
        for path, handler in posts.items():
            router.add_post(path, self._with_errors(handler))
        for path, handler in gets.items():
            router.add_get(path, self._with_errors(handler))
        router.add_get(self._operator.path, self._with_errors(self._routes))
        router.add_put(self._operator.path, self._with_errors(self._put_routes))
        return Application(router=router)

    def _with_errors(self, handler: Handler) -> Handler:
        return functools.partial(self._handle, handler)

    async def _handle(self, handler: Handler, request: Request) -> Response:
        """Counts a request, and turns a handler's error into a response."""
        self._requests.inc({'path': request.path})
        try:
            return await handler(request)
        except PapayalockError as exc:
            return error_response(exc)

    async def _sync(self, request: Request) -> Response:
        req = await decode_body(request, self._sync_decoder)
        reply = await self._coordinator.distributor.sync(req)
        body = compress_body(msgspec.json.encode(reply))
        return Response(OK, None, Content(b'application/json', body))

    async def _peer(self, request: Request) -> Response:
        for message in await decode_body(request, self._peer_decoder):
            group = self._coordinator.groups.get(message.group)
            if group is not None:
                group.deliver(message)
        return Response(OK)

    async def _submit(self, request: Request) -> Response:
        command = await decode_body(request, msgspec.json.Decoder(Submit))
        return json_response(
            await self._coordinator.submit(
                command, forwarded=is_forwarded(request)
            )
        )

    async def _member(self, request: Request) -> Response:
        command = await decode_body(request, msgspec.json.Decoder(SetMember))
        return json_response(
            await self._coordinator.change_member(
                command, forwarded=is_forwarded(request)
            )
        )

    async def _claim(self, request: Request) -> Response:
        command = await decode_body(request, msgspec.json.Decoder(Claim))
        return json_response(
            await self._coordinator.claim(
                command, forwarded=is_forwarded(request)
            )
        )

    async def _finish(self, request: Request) -> Response:
        command = await decode_body(request, msgspec.json.Decoder(Finish))
        return json_response(
            await self._coordinator.claim(
                command, forwarded=is_forwarded(request)
            )
        )

    async def _publish(self, request: Request) -> Response:
        is_revision = request.path.endswith('revise')
        message_type: type[Publication] = Revise if is_revision else Publish
        command = await decode_body(request, msgspec.json.Decoder(message_type))
        return json_response(
            await self._coordinator.publish(
                command, forwarded=is_forwarded(request)
            )
        )

    async def _read_index(self, request: Request) -> Response:
        index = await self._coordinator.read_index(
            forwarded=is_forwarded(request)
        )
        return json_response(ReadIndex(index=index))

    async def _join(self, request: Request) -> Response:
        req = await decode_body(request, msgspec.json.Decoder(JoinReq))
        return json_response(
            await self._member_manager.handle_join(
                req, forwarded=is_forwarded(request)
            )
        )

    async def _leave(self, request: Request) -> Response:
        req = await decode_body(request, msgspec.json.Decoder(LeaveReq))
        return json_response(
            await self._member_manager.handle_leave(
                req, forwarded=is_forwarded(request)
            )
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
                error_body(exc), self._operator.error_status(exc.code)
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
        """Publishes a route set; the long work on it is done in a thread."""
        prepared = await asyncio.to_thread(self._prepare_publication, body)
        if isinstance(prepared, PublishRes):
            return prepared
        return await self._coordinator.publish(prepared)

    def _prepare_publication(self, body: bytes) -> PublishRes | Publication:
        """Returns the command for a route set, or a result that needs none."""
        routes = validate_route_set(self._operator.read(body, self._key_digest))
        route_sets = self._coordinator.ledger.route_sets
        result = route_sets.result_without_log(routes)
        return result or route_sets.publish_command(routes)

    async def _routes(self, request: Request) -> Response:
        try:
            routes = await self._coordinator.newest_routes()
        except PapayalockError as exc:
            return json_response(
                error_body(exc), self._operator.error_status(exc.code)
            )
        if routes is None:
            error = PapayalockError(
                Code.UNKNOWN_VERSION, 'no routes were published yet'
            )
            return json_response(
                error_body(error), self._operator.error_status(error.code)
            )
        text = self._operator.render(routes)
        return Response(OK, None, Content(b'application/json', text))

    async def _endpoints(self, request: Request) -> Response:
        query = Query(request)
        distributor = self._coordinator.distributor
        epoch = query.text('epoch')
        cursor = query.number('cursor')
        delta = distributor.table.delta(epoch, cursor, lambda _: True)
        if delta is None:
            await distributor.wait_for_change(
                min(query.number('wait_ms'), MAX_POLL_WAIT_MS) / MS_PER_S
            )
            delta = distributor.table.delta(epoch, cursor, lambda _: True)
        return Response(OK) if delta is None else json_response(delta)

    async def _zone_report(self, request: Request) -> Response:
        return json_response(
            self._coordinator.distributor.report(Query(request).text('zone'))
        )

    async def _metrics(self, request: Request) -> Response:
        return Response(OK, None, Content(b'text/plain', self.metrics()))

    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        for name, number in self._gauge_values().items():
            self._gauges.set({'what': name}, number)
        text, _ = render(self._registry, [])
        return bytes(text)

    def _gauge_values(self) -> dict[str, int]:
        replica = self._coordinator.config_group.replica
        leased = replica.has_lease(self._coordinator.now())
        coordinator = self._coordinator
        return {
            'version': coordinator.ledger.version,
            'commit': replica.commit,
            'leader': int(replica.is_leader),
            'nodes': len(coordinator.distributor.attached),
            'servers': len(coordinator.distributor.table),
            'disk_full': int(coordinator.config_group.disk_full),
            'term': replica.term,
            'applied': replica.applied,
            'log_entries': replica.log.last_index - replica.log.snapshot.index,
            'members': len(replica.log.members),
            'voters': sum(vm.voter for vm in replica.log.members),
            'missing_voters': self._member_manager.shortfall,
            'leased': int(leased),
            'label': coordinator.ledger.route_sets.label,
            'rollouts': self._rollouts.running,
            'history_versions': len(coordinator.ledger.history),
            'history_bytes': coordinator.ledger.history.size,
            'audit_records': len(coordinator.ledger.audit.records),
            'audit_bytes': coordinator.ledger.audit.size,
            'delta_bytes': coordinator.distributor.cached_bytes,
            'log_bytes': coordinator.config_group.compactor.applied_bytes,
            'snapshot_bytes': len(replica.log.snapshot.state),
        }

    async def _read_status(self, request: Request) -> Response:
        reader = self._status.readers[request.path.removeprefix(API_PREFIX)]
        query = {key: entries[0] for key, entries in request.query.items()}
        return json_response(reader(query))
