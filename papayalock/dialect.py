"""Interfaces of the HTTP dialects that callers, servers and operators use.

A dialect decodes the messages of callers, backend servers and operators into
the project's types, and encodes outcomes as statuses and headers. It makes no
decisions and holds no state. ``native`` implements the project's own dialect;
another platform's dialect is an adapter outside this package.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

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
from papayalock.node.http import Call
from papayalock.result import Code

KeyDigest = Callable[[str], str]


@dataclass(slots=True, frozen=True)
class CallerMetadata:
    """Metadata that a caller sends with a call."""

    call: str  # call id; '' if the caller sent none
    deadline_ms: int  # time that the caller waits; 0 if it did not say
    api_key: str = field(default='', repr=False)  # '' if the caller sent none


@dataclass(slots=True, frozen=True)
class BackendMetadata:
    """Metadata that a backend server receives with a call."""

    call: str  # call id
    server: str  # name of the backend server that is to run the call
    caller: str  # service that made the call
    remaining_ms: int  # time left until the caller's deadline
    customer: str = ''  # customer that made the call; '' for none


@dataclass(slots=True, frozen=True)
class ErrorResponse:
    """Status and headers sent to a caller when its call has no response."""

    status: int
    headers: Headers


@dataclass(slots=True, frozen=True)
class Departure:
    """A backend server's message that it leaves the mesh."""

    server: str


class CallDialect(Protocol):
    """Translates the headers and statuses of calls."""

    def read_metadata(self, call: Call) -> CallerMetadata:
        """Returns the metadata that a caller sent with its call."""
        ...

    def without_api_key(self, headers: Headers) -> Headers:
        """Returns the headers of a call without its API key."""
        ...

    def backend_headers(
        self, headers: Headers, metadata: BackendMetadata
    ) -> Headers:
        """Returns the request headers to send to the backend server.

        :param headers: headers from the caller
        """
        ...

    def matches_call(self, headers: Headers, call: str) -> bool:
        """Returns whether a response belongs to a call, by its headers.

        :param headers: headers of the response
        :param call: call id
        """
        ...

    def names_call(self, headers: Headers) -> bool:
        """Returns whether a response names the call that it belongs to.

        A late second copy of one that does not cannot be told from the
        response to the next call on the connection.
        """
        ...

    def classify_response(self, status: int, headers: Headers) -> Code:
        """Returns DONE, or why a response must not be passed to the caller.

        A not-run code is returned only when the server states that it did not
        run the call.
        """
        ...

    def read_notice(self, headers: Headers) -> ServerNotice:
        """Returns what a backend server states about itself in a response.

        :raises PapayalockError: ``BAD_MESSAGE`` if it is malformed
        """
        ...

    def read_server_name(self, status: int, headers: Headers) -> str:
        """Returns the server name in a response to a health check.

        Returns '' if the response has none, or if the server is not healthy.
        """
        ...

    def error_response(self, code: Code, retry_after_ms: int) -> ErrorResponse:
        """Returns the response to a call that failed with ``code``.

        :param retry_after_ms: delay before a retry; 0 for none
        """
        ...


class AnnouncementDialect(Protocol):
    """Decodes the announcements of the backend server on a node's VM."""

    def read(self, call: Call) -> Announcement | Departure:
        """Decodes an announcement or a departure.

        :raises PapayalockError: ``BAD_MESSAGE`` if it is malformed
        """
        ...


class OperatorDialect(Protocol):
    """Translates route sets that operators publish and read."""

    path: str  # URL path of the route set
    rollouts_path: str  # URL path of the roll-outs

    def read(self, body: bytes, key_digest: KeyDigest) -> RouteSet:
        """Decodes a route set.

        :param key_digest: returns the digest of an API key
        :raises PapayalockError: ``INVALID`` if it is malformed
        """
        ...

    def read_rollout(self, body: bytes) -> OrderRollout:
        """Decodes the order of a roll-out.

        :raises PapayalockError: ``INVALID`` if it is malformed
        """
        ...

    def rollout_status(self, res: RolloutRes) -> int:
        """Returns the HTTP status for the result of an order."""
        ...

    def render_rollout(self, rollout: Rollout) -> bytes:
        """Encodes the state of a roll-out in the operator's format."""
        ...

    def publish_status(self, res: PublishRes) -> int:
        """Returns the HTTP status for the result of a publication."""
        ...

    def error_status(self, code: Code) -> int:
        """Returns the HTTP status of a failed publication or read."""
        ...

    def render(self, routes: RouteSet) -> bytes:
        """Encodes a route set in the operator's format."""
        ...


@dataclass(slots=True, frozen=True)
class NodeDialects:
    """The dialects that a node needs."""

    calls: CallDialect
    announcements: AnnouncementDialect
