"""Outcomes of tries of a routed call."""

from dataclasses import dataclass

from papayalock.httpclient import Headers
from papayalock.result import Code

SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504


@dataclass(slots=True, frozen=True)
class ServerResponse:
    """The complete response of a backend server."""

    status: int
    headers: Headers
    body: bytes
    callee_failed: bool = False  # a call that the server made failed meanwhile

    @property
    def failed(self) -> bool:
        """Whether the server failed, other than by a gateway timeout."""
        return self.status >= SERVER_ERROR and self.status != GATEWAY_TIMEOUT


@dataclass(slots=True, frozen=True)
class NoResponse:
    """A try without a response that can be forwarded to the caller."""

    code: Code
    reason: str
    retry_after_ms: int = 0
    arrived: bool = False  # whether the call reached a backend server


Outcome = ServerResponse | NoResponse


def final_outcome(earlier: Outcome | None, newer: Outcome) -> Outcome:
    """Returns the outcome to report after two tries of one call.

    A response takes precedence over none, and the newer response over the
    older. A try that may have run takes precedence over a refused one, since
    the refusal of one try does not prove that the other was not run.
    """
    if earlier is None or isinstance(newer, ServerResponse):
        return newer
    if isinstance(earlier, ServerResponse) or not earlier.code.not_run:
        return earlier
    return newer


def read_code(header: bytes) -> Code | None:
    """Returns the code of an outcome header, or None if there is none."""
    number = header.split(b' ')[0]
    try:
        return Code(int(number))
    except ValueError:
        return None
