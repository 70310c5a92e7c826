"""One call on its way through a node, and how a try of it can end."""

import hashlib
import secrets
from collections.abc import Callable
from dataclasses import dataclass

from papayalock.core.deadlines import Deadline, effective_deadline
from papayalock.core.retry import Again
from papayalock.messages import Answer, Part, Route
from papayalock.node.http import Call, Reply
from papayalock.result import Code
from papayalock.httpclient import Headers

HOP_HEADER = b'papayalock-hop'
REMAINING_HEADER = b'papayalock-remaining-ms'
ATTEMPT_HEADER = b'papayalock-attempt'
CALLER_HEADER = b'papayalock-caller'
DEPTH_HEADER = b'papayalock-depth'
LOAD_HEADER = b'papayalock-load'
REPLAYED_HEADER = b'papayalock-replayed'
KEY_HEADER = b'idempotency-key'
EXTERNAL = 'external'
MAX_DEPTH = 32  # calls nested deeper are taken for a loop
DIGEST_BYTES = 16
ATTEMPT_BYTES = 12
HOP_BY_HOP = frozenset(
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
INTERNAL = frozenset(
    (HOP_HEADER, REMAINING_HEADER, ATTEMPT_HEADER, DEPTH_HEADER)
)


@dataclass(slots=True, frozen=True)
class Delivered:
    """The answer was passed on; ``whole`` tells whether to its end."""

    whole: bool = True


@dataclass(slots=True, frozen=True)
class Failed:
    """No answer was passed on."""

    code: Code
    reason: str = ''
    retry_after_ms: int = 0


TryOutcome = Delivered | Failed
GivesUp = Callable[[], bool]  # whether a silent try ends, as another follows


def final_failure(earlier: Failed | None, newer: Failed) -> Failed:
    """Returns what the caller is told after two failed tries of one call.

    A try that may have run goes before one that was refused, since the
    refusal of one try says nothing of the other.
    """
    if earlier is None or earlier.code.not_run:
        return newer
    return earlier


@dataclass(slots=True, frozen=True)
class Attempt:
    """The one run of a request that may not be repeated."""

    name: str
    incarnation: int

    def encode(self) -> bytes:
        """Returns the header that carries the attempt."""
        return f'{self.name};{self.incarnation}'.encode()


def new_attempt_name() -> str:
    """Returns a name that no other attempt has."""
    return secrets.token_hex(ATTEMPT_BYTES)


def parse_attempt(header: bytes) -> Attempt | None:
    """Returns the attempt of a header, or None when it carries none."""
    name, _, incarnation = header.decode('latin-1').partition(';')
    if not name or not incarnation.isdigit():
        return None
    return Attempt(name, int(incarnation))


def _never() -> bool:
    return False


class Trip:
    """A call with its route, deadline and place in the call tree."""

    __slots__ = (
        'again',
        'attempt',
        'call',
        'caller',
        'deadline',
        'depth',
        'gives_up',
        'part',
        'path',
        'recorded',
        'reply',
        'route',
        'service',
        'tries',
    )

    def __init__(
        self, call: Call, reply: Reply, service: str, path: str
    ) -> None:
        """Reads the headers that concern the mesh."""
        self.call = call
        self.reply = reply
        self.service = service
        self.path = path
        self.caller = call.header(CALLER_HEADER).decode('latin-1') or EXTERNAL
        self.depth = _number(call.header(DEPTH_HEADER))
        self.attempt: Attempt | None = None
        self.recorded: Answer | None = None
        self.tries = 0
        self.again: Again | None = None  # granted while a try was silent
        self.gives_up: GivesUp = _never

    def bind(self, part: Part, route: Route, now: float) -> None:
        """Sets the route and from it the deadline."""
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
        """Returns the caller's headers without those of one hop."""
        return [
            pair
            for pair in self.call.headers
            if pair[0] not in HOP_BY_HOP and pair[0] not in INTERNAL
        ]

    def fingerprint(self) -> str:
        """Returns a digest of what the call asks for."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for piece in (self.call.method, self.call.target, self.call.body):
            digest.update(b'%d:' % len(piece))
            digest.update(piece)
        return digest.hexdigest()


def _number(header: bytes) -> int:
    return int(header[:4]) if header.isdigit() else 0
