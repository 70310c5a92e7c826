"""The project's own terms for host-routed calls, announcements and operators."""

import msgspec

from papayalock.dialect import BackendTerms, CallerTerms, Departure, Refusal
from papayalock.messages import Announcement, PublishRes, RouteSet
from papayalock.node.http import OUTCOME_HEADER, Call, http_status
from papayalock.result import Code, PapayalockError
from papayalock.wire import Headers

CALL_HEADER = b'papayalock-call'
REMAINING_HEADER = b'papayalock-remaining-ms'
SERVER_HEADER = b'papayalock-server'
CALLER_HEADER = b'papayalock-caller'
SET_HERE = frozenset((REMAINING_HEADER, SERVER_HEADER, CALLER_HEADER))
MS = 1000  # milliseconds in a second
OK = 200
CONFLICT = 409
INVALID = 400
UNAVAILABLE = 503
_ANNOUNCEMENT = msgspec.json.Decoder(Announcement)
_ROUTE_SET = msgspec.json.Decoder(RouteSet)


def first_header(headers: Headers, name: bytes) -> bytes:
    """Returns the first header of a lower-case name, or b''."""
    return next((content for key, content in headers if key == name), b'')


class NativeCalls:
    """Headers and statuses of host-routed calls; see ``dialect.CallDialect``."""

    def terms(self, call: Call) -> CallerTerms:
        """Reads the call's id and remaining time."""
        remaining = call.header(REMAINING_HEADER)
        deadline_ms = int(remaining[:9]) if remaining.isdigit() else 0
        return CallerTerms(call.header(CALL_HEADER).decode(), deadline_ms)

    def to_backend(self, headers: Headers, terms: BackendTerms) -> Headers:
        """Adds the remaining time, the server and the caller."""
        kept = [pair for pair in headers if pair[0] not in SET_HERE]
        kept.append((REMAINING_HEADER, b'%d' % terms.remaining_ms))
        kept.append((SERVER_HEADER, terms.server.encode()))
        kept.append((CALLER_HEADER, terms.caller.encode()))
        return kept

    def belongs(self, headers: Headers, call: str) -> bool:
        """Compares the echoed id, where there is one."""
        echoed = first_header(headers, CALL_HEADER)
        return not echoed or echoed == call.encode()

    def fault(self, status: int, headers: Headers) -> Code:
        """Reads the outcome header, by which a server says that it shed a call."""
        outcome = first_header(headers, OUTCOME_HEADER).split(b' ')[0]
        if outcome.isdigit() and outcome != b'0':
            return Code(int(outcome))
        return Code.DONE

    def identity(self, status: int, headers: Headers) -> str:
        """Reads the server header of a good health answer."""
        if status != OK:
            return ''
        return first_header(headers, SERVER_HEADER).decode('latin-1')

    def refusal(self, code: Code, retry_after_ms: int) -> Refusal:
        """Names the code; a call that was not run may come back."""
        headers = [
            (OUTCOME_HEADER, b'%d %s' % (code.value, code.name.encode()))
        ]
        if retry_after_ms:
            headers.append((b'retry-after', b'%d' % -(-retry_after_ms // MS)))
        return Refusal(http_status(code), headers)


class NativeAnnouncements:
    """Announcements as ``POST /announce`` and ``DELETE /announce/SERVER``."""

    def read(self, call: Call) -> Announcement | Departure:
        """Decodes the JSON body of an announcement."""
        if call.method == b'DELETE':
            return Departure(call.target.rsplit(b'/', 1)[-1].decode('latin-1'))
        try:
            return _ANNOUNCEMENT.decode(call.body)
        except msgspec.MsgspecError as exc:
            raise PapayalockError(Code.BAD_MESSAGE, str(exc)) from exc


class NativeOperator:
    """Route sets as JSON under ``/v1/routes``."""

    path = '/v1/routes'

    def read(self, body: bytes) -> RouteSet:
        """Decodes a route set."""
        try:
            return _ROUTE_SET.decode(body)
        except msgspec.MsgspecError as exc:
            raise PapayalockError(Code.INVALID, str(exc)) from exc

    def published(self, res: PublishRes) -> int:
        """Answers 200, 409 for a lost race or 400."""
        if res.code == Code.DONE:
            return OK
        return CONFLICT if res.code == Code.CONFLICT else INVALID

    def refused(self, code: Code) -> int:
        """Answers 400 for a set that cannot be read, else 503."""
        return INVALID if code == Code.INVALID else UNAVAILABLE

    def show(self, routes: RouteSet) -> bytes:
        """Encodes the set."""
        return msgspec.json.encode(routes)
