"""The project's own HTTP dialect, for deployments without an adapter."""

import re

import msgspec

from papayalock.dialect import (
    BackendMetadata,
    CallerMetadata,
    Departure,
    ErrorResponse,
    KeyDigest,
)
from papayalock.httpclient import Headers
from papayalock.messages import (
    Announcement,
    OrderRollout,
    PublishRes,
    Rollout,
    RolloutRes,
    RouteSet,
    ServerNotice,
)
from papayalock.node.http import OUTCOME_HEADER, Call, http_status
from papayalock.result import Code, PapayalockError

CALL_HEADER = b'papayalock-call'
REMAINING_HEADER = b'papayalock-remaining-ms'
SERVER_HEADER = b'papayalock-server'
CALLER_HEADER = b'papayalock-caller'
LIMIT_HEADER = b'papayalock-limit'
LEAVING_HEADER = b'papayalock-leaving'
API_KEY_HEADER = b'papayalock-api-key'
CUSTOMER_HEADER = b'papayalock-customer'
# Set by the node; values sent by the caller are dropped.
OVERWRITTEN_HEADERS = frozenset(
    (
        REMAINING_HEADER,
        SERVER_HEADER,
        CALLER_HEADER,
        API_KEY_HEADER,
        CUSTOMER_HEADER,
    )
)
MS_PER_S = 1000
OK = 200
CONFLICT = 409
INVALID = 400
UNAVAILABLE = 503
_RATE = re.compile(rb'[0-9]{1,9}(\.[0-9]{1,9})?')
_ANNOUNCEMENT = msgspec.json.Decoder(Announcement)
_ORDER_ROLLOUT = msgspec.json.Decoder(OrderRollout)
_ROUTE_SET = msgspec.json.Decoder(RouteSet)


def first_header(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of a header, or b''.

    :param name: header name in lower case
    """
    return next((content for key, content in headers if key == name), b'')


def parse_notice(
    headers: Headers, limit_header: bytes, leaving_header: bytes
) -> ServerNotice:
    """Returns the notice in the headers of a backend server's response.

    :param limit_header: name of the header with the requests per second, a
        decimal number; without it there is no limit
    :param leaving_header: name of the header that is ``1`` if the server is
        about to shut down
    :raises PapayalockError: ``BAD_MESSAGE`` if the limit is not a number
    """
    limit = first_header(headers, limit_header)
    leaving = first_header(headers, leaving_header)
    if limit and not _RATE.fullmatch(limit):
        raise PapayalockError(
            Code.BAD_MESSAGE, f'{limit!r} is not a request rate'
        )
    return ServerNotice(
        limit=float(limit) if limit else None, leaving=leaving == b'1'
    )


class NativeCalls:
    """Implements ``dialect.CallDialect``."""

    def read_metadata(self, call: Call) -> CallerMetadata:
        """Reads the call id and the remaining time."""
        remaining = call.header(REMAINING_HEADER)
        deadline_ms = int(remaining[:9]) if remaining.isdigit() else 0
        return CallerMetadata(
            call.header(CALL_HEADER).decode(),
            deadline_ms,
            call.header(API_KEY_HEADER).decode('latin-1'),
        )

    def without_api_key(self, headers: Headers) -> Headers:
        """Drops the header with the API key."""
        return [pair for pair in headers if pair[0] != API_KEY_HEADER]

    def backend_headers(
        self, headers: Headers, metadata: BackendMetadata
    ) -> Headers:
        """Sets the remaining time, the server and the caller."""
        forwarded = [
            pair for pair in headers if pair[0] not in OVERWRITTEN_HEADERS
        ]
        forwarded.append((REMAINING_HEADER, b'%d' % metadata.remaining_ms))
        forwarded.append((SERVER_HEADER, metadata.server.encode()))
        forwarded.append((CALLER_HEADER, metadata.caller.encode()))
        if metadata.customer:
            forwarded.append((CUSTOMER_HEADER, metadata.customer.encode()))
        return forwarded

    def matches_call(self, headers: Headers, call: str) -> bool:
        """Compares the echoed call id; a response without one matches."""
        echoed = first_header(headers, CALL_HEADER)
        return not echoed or echoed == call.encode()

    def names_call(self, headers: Headers) -> bool:
        """Returns whether the call id is echoed."""
        return bool(first_header(headers, CALL_HEADER))

    def classify_response(self, status: int, headers: Headers) -> Code:
        """Reads the outcome header, which a server sets on a shed call."""
        outcome = first_header(headers, OUTCOME_HEADER).split(b' ')[0]
        if outcome.isdigit() and outcome != b'0':
            return Code(int(outcome))
        return Code.DONE

    def read_notice(self, headers: Headers) -> ServerNotice:
        """Reads the limit and the leaving header."""
        return parse_notice(headers, LIMIT_HEADER, LEAVING_HEADER)

    def read_server_name(self, status: int, headers: Headers) -> str:
        """Reads the server header of a successful health check."""
        if status != OK:
            return ''
        return first_header(headers, SERVER_HEADER).decode('latin-1')

    def error_response(self, code: Code, retry_after_ms: int) -> ErrorResponse:
        """Returns the code as a header, and Retry-After in whole seconds."""
        headers = [
            (OUTCOME_HEADER, b'%d %s' % (code.value, code.name.encode()))
        ]
        if retry_after_ms:
            headers.append(
                (b'retry-after', b'%d' % -(-retry_after_ms // MS_PER_S))
            )
        return ErrorResponse(http_status(code), headers)


class NativeAnnouncements:
    """Reads ``POST /announce`` and ``DELETE /announce/SERVER`` requests."""

    def read(self, call: Call) -> Announcement | Departure:
        """Decodes an announcement or a departure."""
        if call.method == b'DELETE':
            return Departure(call.target.rsplit(b'/', 1)[-1].decode('latin-1'))
        try:
            return _ANNOUNCEMENT.decode(call.body)
        except msgspec.MsgspecError as exc:
            raise PapayalockError(Code.BAD_MESSAGE, str(exc)) from exc


class NativeOperator:
    """Translates route sets as JSON under ``/v1/routes``."""

    path = '/v1/routes'
    rollouts_path = '/v1/rollout'

    def read(self, body: bytes, key_digest: KeyDigest) -> RouteSet:
        """Decodes a route set from JSON; it holds digests of API keys."""
        try:
            return _ROUTE_SET.decode(body)
        except msgspec.MsgspecError as exc:
            raise PapayalockError(Code.INVALID, str(exc)) from exc

    def read_rollout(self, body: bytes) -> OrderRollout:
        """Decodes the order of a roll-out from JSON."""
        try:
            return _ORDER_ROLLOUT.decode(body)
        except msgspec.MsgspecError as exc:
            raise PapayalockError(Code.INVALID, str(exc)) from exc

    def rollout_status(self, res: RolloutRes) -> int:
        """Returns 200, or 409 while another roll-out runs."""
        return OK if res.code == Code.DONE else CONFLICT

    def render_rollout(self, rollout: Rollout) -> bytes:
        """Encodes a roll-out as JSON."""
        return msgspec.json.encode(rollout)

    def publish_status(self, res: PublishRes) -> int:
        """Returns 200, 409 for a conflicting publication, or 400."""
        if res.code == Code.DONE:
            return OK
        return CONFLICT if res.code == Code.CONFLICT else INVALID

    def error_status(self, code: Code) -> int:
        """Returns 400 for an invalid route set, otherwise 503."""
        return INVALID if code == Code.INVALID else UNAVAILABLE

    def render(self, routes: RouteSet) -> bytes:
        """Encodes a route set as JSON."""
        return msgspec.json.encode(routes)
