"""The HTTP API of roll-outs, for operators and other control VMs."""

import logging

import msgspec
from blacksheep import Content, Request, Response

from papayalock.control.http import (
    Handler,
    Query,
    decode_body,
    error_body,
    is_forwarded,
    json_response,
    read_body,
)
from papayalock.control.rolloutmanager import RolloutManager
from papayalock.dialect import OperatorDialect
from papayalock.messages import (
    AbortRollout,
    OrderRollout,
    RolloutRes,
    ServerEvidence,
    StepRollout,
)
from papayalock.result import Code, PapayalockError

log = logging.getLogger(__name__)

OK = 200
_ABORT = msgspec.json.Decoder(AbortRollout)
_EVIDENCE = msgspec.json.Decoder(list[ServerEvidence])
_ORDER = msgspec.json.Decoder(OrderRollout)
_STEP = msgspec.json.Decoder(StepRollout)


class RolloutApi:
    """Decodes requests, passes them on, and encodes the result."""

    def __init__(
        self, rollouts: RolloutManager, operator: OperatorDialect
    ) -> None:
        """Lists the handlers by path.

        :param operator: translates the operator's format
        """
        self._rollouts = rollouts
        self._operator = operator
        path = operator.rollouts_path
        self.posts: dict[str, Handler] = {
            path: self._operator_order,
            '/v1/rollout-order': self._order,
            '/v1/rollout-step': self._step,
            '/v1/rollout-abort': self._abort,
            '/v1/evidence': self._evidence,
        }
        self.gets: dict[str, Handler] = {
            f'{path}/{{service}}': self._operator_status,
            '/v1/rollout-status': self._status,
        }

    @property
    def running(self) -> int:
        """The number of roll-outs that run."""
        return self._rollouts.running

    async def _operator_order(self, request: Request) -> Response:
        """Handles an order in the operator's format."""
        try:
            command = self._operator.read_rollout(await read_body(request))
            res = await self._take(command, forwarded=False)
        except PapayalockError as exc:
            log.info(
                'order of a roll-out failed',
                extra={'code': exc.code, 'reason': str(exc)},
            )
            return self._operator_error(exc)
        return json_response(res, self._operator.rollout_status(res))

    async def _operator_status(self, request: Request) -> Response:
        """Shows the newest roll-out of a service in the operator's format."""
        service = request.path.rsplit('/', 1)[-1]
        try:
            versions = await self._rollouts.newest_versions(service)
        except PapayalockError as exc:
            return self._operator_error(exc)
        if versions is None or versions.rollout is None:
            raise PapayalockError(
                Code.UNKNOWN_VERSION, f'no roll-out of {service} was ordered'
            )
        text = self._operator.render_rollout(versions.rollout)
        return Response(OK, None, Content(b'application/json', text))

    def _operator_error(self, exc: PapayalockError) -> Response:
        status = self._operator.error_status(exc.code)
        return json_response(error_body(exc), status)

    async def _order(self, request: Request) -> Response:
        command = await decode_body(request, _ORDER)
        return json_response(
            await self._take(command, forwarded=is_forwarded(request))
        )

    async def _take(
        self, command: OrderRollout, *, forwarded: bool
    ) -> RolloutRes:
        res = await self._rollouts.commit(command, forwarded=forwarded)
        log.info(
            'order of a roll-out answered',
            extra={
                'service': command.service,
                'target': command.target,
                'code': res.code,
                'reason': res.message,
            },
        )
        return res

    async def _step(self, request: Request) -> Response:
        command = await decode_body(request, _STEP)
        return json_response(
            await self._rollouts.commit(
                command, forwarded=is_forwarded(request)
            )
        )

    async def _abort(self, request: Request) -> Response:
        command = await decode_body(request, _ABORT)
        return json_response(
            await self._rollouts.abort(command.service, command.operator)
        )

    async def _status(self, request: Request) -> Response:
        service = Query(request).text('service')
        versions = await self._rollouts.newest_versions(service)
        if versions is None:
            return json_response(RolloutRes(Code.DONE, service))
        res = RolloutRes(Code.DONE, service, versions.rollout)
        res.accepted = versions.accepted
        return json_response(res)

    async def _evidence(self, request: Request) -> Response:
        for report in await decode_body(request, _EVIDENCE):
            self._rollouts.record(report)
        return json_response(None)
