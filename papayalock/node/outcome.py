"""How a try of a host-routed call ends."""

from dataclasses import dataclass

from papayalock.result import Code
from papayalock.httpclient import Headers

SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504


@dataclass(slots=True, frozen=True)
class Answered:
    """The whole answer of a backend server."""

    status: int
    headers: Headers
    body: bytes
    callee_failed: bool = False  # a call of the server's own failed meanwhile

    @property
    def failed(self) -> bool:
        """Whether the server failed, other than by running out of time."""
        return self.status >= SERVER_ERROR and self.status != GATEWAY_TIMEOUT


@dataclass(slots=True, frozen=True)
class NoAnswer:
    """A try without an answer that may be passed on."""

    code: Code
    reason: str
    retry_after_ms: int = 0
    arrived: bool = False  # whether a backend server saw the call


Outcome = Answered | NoAnswer


def final_outcome(earlier: Outcome | None, newer: Outcome) -> Outcome:
    """Returns what the caller is told after two tries of one call.

    An answer goes before none, the newer before the older; and a try that may
    have run goes before one that was refused, since the refusal of one try
    says nothing of the other.
    """
    if earlier is None or isinstance(newer, Answered):
        return newer
    if isinstance(earlier, Answered) or not earlier.code.not_run:
        return earlier
    return newer


def read_code(header: bytes) -> Code | None:
    """Returns the code of an outcome header, or None when it has none."""
    number = header.split(b' ')[0]
    try:
        return Code(int(number))
    except ValueError:
        return None
