"""A call of a node with register routing, and the outcomes of its tries."""

import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from papayalock.core.deadlines import Deadline, effective_deadline
from papayalock.core.retry import Retry
from papayalock.httpclient import Headers
from papayalock.messages import Answer, Part, Route
from papayalock.node.http import Call, Reply
from papayalock.result import Code

HOP_HEADER = b'papayalock-hop'
REMAINING_HEADER = b'papayalock-remaining-ms'
ATTEMPT_HEADER = b'papayalock-attempt'
CALLER_HEADER = b'papayalock-caller'
DEPTH_HEADER = b'papayalock-depth'
LOAD_HEADER = b'papayalock-load'
REPLAYED_HEADER = b'papayalock-replayed'
KEY_HEADER = b'idempotency-key'
EXTERNAL_CALLER = 'external'
MAX_DEPTH = 32  # calls nested deeper are rejected as a loop
DIGEST_BYTES = 16
ATTEMPT_BYTES = 12
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-connection',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
INTERNAL_HEADERS = frozenset(
    (HOP_HEADER, REMAINING_HEADER, ATTEMPT_HEADER, DEPTH_HEADER)
)


@dataclass(slots=True, frozen=True)
class Delivered:
    """A try whose response was forwarded; not complete if it was truncated."""

    complete: bool = True


@dataclass(slots=True, frozen=True)
class Failed:
    """A try without a response that was forwarded."""

    code: Code
    reason: str = ''
    retry_after_ms: int = 0


TryOutcome = Delivered | Failed

# Called when a try becomes unresponsive; returns whether to cancel it because
# another try follows.
GiveUpCheck = Callable[[], bool]


def final_failure(earlier: Failed | None, newer: Failed) -> Failed:
    """Returns the failure to report after two failed tries of one call.

    A try that may have run takes precedence over a refused one, since the
    refusal of one try does not prove that the other was not run.
    """
    if earlier is None or earlier.code.not_run:
        return newer
    return earlier


@dataclass(slots=True, frozen=True)
class Attempt:
    """The one run of an idempotency key: its name and where it may run.

    A node runs it only if ``incarnation`` is that of its current process.
    """

    name: str
    incarnation: int

    def encode(self) -> bytes:
        """Returns the attempt as header content."""
        return f'{self.name};{self.incarnation}'.encode()


def new_attempt_name() -> str:
    """Returns a random, unique name for an attempt."""
    return secrets.token_hex(ATTEMPT_BYTES)


def parse_attempt(header: bytes) -> Attempt | None:
    """Returns the attempt in a header, or None if there is none."""
    name, _, incarnation = header.decode('latin-1').partition(';')
    if not name or not incarnation.isdigit():
        return None
    return Attempt(name, int(incarnation))


def _never() -> bool:
    return False


class RelayedCall:
    """A call with its route, deadline and depth in the tree of calls."""

    __slots__ = (
        'attempt',
        'call',
        'caller',
        'deadline',
        'depth',
        'part',
        'path',
        'recorded_response',
        'reply',
        'retry',
        'route',
        'service',
        'should_give_up',
        'tries',
    )

    def __init__(
        self, call: Call, reply: Reply, service: str, path: str
    ) -> None:
        """Reads the headers of the mesh; :meth:`bind_route` sets the rest."""
        self.call = call
        self.reply = reply
        self.service = service
        self.path = path
        self.caller = (
            call.header(CALLER_HEADER).decode('latin-1') or EXTERNAL_CALLER
        )
        self.depth = _number(call.header(DEPTH_HEADER))
        self.attempt: Attempt | None = None
        self.recorded_response: Answer | None = None
        self.tries = 0
        self.retry: Retry | None = None  # decided while a try was unresponsive
        self.should_give_up: GiveUpCheck = _never

    def bind_route(self, part: Part, route: Route, now: float) -> None:
        """Sets the route and derives the deadline from it."""
        self.part = part
        self.route = route
        header = self.call.header(REMAINING_HEADER).decode('latin-1')
        self.deadline: Deadline = effective_deadline(
            route.deadline_ms, header, now
        )

    @property
    def outermost(self) -> bool:
        """Whether no other call of the mesh caused this one."""
        return self.depth == 0

    def forward_headers(self) -> Headers:
        """Returns the caller's headers without hop-by-hop and internal ones."""
        return [
            pair
            for pair in self.call.headers
            if pair[0] not in HOP_BY_HOP_HEADERS
            and pair[0] not in INTERNAL_HEADERS
        ]

    def fingerprint(self) -> str:
        """Returns a digest of the method, target and body."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for piece in (self.call.method, self.call.target, self.call.body):
            digest.update(b'%d:' % len(piece))
            digest.update(piece)
        return digest.hexdigest()


def _number(header: bytes) -> int:
    return int(header[:4]) if header.isdigit() else 0
