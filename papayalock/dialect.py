"""What an adapter translates between a platform's terms and papayalock's.

An adapter decides nothing and keeps nothing. It turns messages of callers,
backend servers and operators into the project's types, and outcomes into
statuses and headers.
"""

from dataclasses import dataclass
from typing import Protocol

from papayalock.messages import Announcement, PublishRes, RouteSet
from papayalock.node.http import Call
from papayalock.result import Code
from papayalock.wire import Headers


@dataclass(slots=True, frozen=True)
class CallerTerms:
    """What a caller says about its call."""

    call: str  # id of the call; '' when the caller gave none
    deadline_ms: int  # time that the caller will wait; 0 when it did not say


@dataclass(slots=True, frozen=True)
class BackendTerms:
    """What a backend server is told about a call."""

    call: str
    server: str
    caller: str
    remaining_ms: int


@dataclass(slots=True, frozen=True)
class Refusal:
    """A status and headers that tell a caller why it got no answer."""

    status: int
    headers: Headers


@dataclass(slots=True, frozen=True)
class Departure:
    """A backend server leaves."""

    server: str


class CallDialect(Protocol):
    """Headers and statuses of calls."""

    def terms(self, call: Call) -> CallerTerms:
        """Returns what a caller says about its call."""
        ...

    def to_backend(self, headers: Headers, terms: BackendTerms) -> Headers:
        """Returns a caller's headers as the backend server is to get them."""
        ...

    def belongs(self, headers: Headers, call: str) -> bool:
        """Whether an answer belongs to a call, by what it says itself."""
        ...

    def fault(self, status: int, headers: Headers) -> Code:
        """Returns why a server's answer is not to be passed on; DONE if it is.

        A code of the not-run family is returned only when the server says
        that it did not run the call.
        """
        ...

    def identity(self, status: int, headers: Headers) -> str:
        """Returns the name of a server from its health answer.

        '' when it does not give one, or does not take calls.
        """
        ...

    def refusal(self, code: Code, retry_after_ms: int) -> Refusal:
        """Returns how a caller is told of an outcome without an answer."""
        ...


class AnnouncementDialect(Protocol):
    """Announcements of the backend server beside a node."""

    def read(self, call: Call) -> Announcement | Departure:
        """Returns what a backend server announces.

        :raises PapayalockError: ``BAD_MESSAGE`` when it cannot be read
        """
        ...


class OperatorDialect(Protocol):
    """Publishing and reading route sets."""

    path: str

    def read(self, body: bytes) -> RouteSet:
        """Returns the route set of a body.

        :raises PapayalockError: ``INVALID`` when it cannot be read
        """
        ...

    def published(self, res: PublishRes) -> int:
        """Returns the status that answers a publication."""
        ...

    def refused(self, code: Code) -> int:
        """Returns the status of a publication or reading that failed."""
        ...

    def show(self, routes: RouteSet) -> bytes:
        """Returns a route set as its operator sent it."""
        ...


@dataclass(slots=True, frozen=True)
class NodeDialects:
    """The translations that a node needs."""

    calls: CallDialect
    announcements: AnnouncementDialect
