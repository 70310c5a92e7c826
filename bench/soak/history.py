"""What callers, backend servers and operators saw in one run.

All times are seconds of the machine's monotonic clock, which its processes
share.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class CallRecord:
    """One call as its caller saw it."""

    call: str
    path: str
    node: str
    repeatable: bool
    sent: float
    deadline: float
    ended: float = 0.0
    status: int = 0  # 0: no answer
    code: int = -1  # outcome that the node named; -1: none
    echo: str = ''  # id and path as the server that ran it had them
    fault: str = ''  # why there was no answer

    @property
    def served(self) -> bool:
        """Whether the call was answered with success."""
        return 200 <= self.status < 300


@dataclass(slots=True)
class Run:
    """One run of a call at a backend server."""

    call: str
    path: str
    server: str
    service: str
    at: float
    number: int = 0  # counts the runs of one life of the server
    ended: float | None = None  # None: not written down, as after a kill
    whole: bool = False  # whether it came to its end and was not cut

    def completed_by(self, moment: float) -> bool:
        """Whether the server had come to the end of the run by then."""
        return self.whole and self.ended is not None and self.ended <= moment


@dataclass(slots=True, frozen=True)
class DrainAck:
    """An announcement of leaving that a node acknowledged."""

    server: str
    acked: float


@dataclass(slots=True)
class Publication:
    """One route set as its operator sent it."""

    label: int
    base: int
    valid: bool
    sent: float
    acked: float | None = None
    refused: bool = False  # refused at the first try, so never in force


@dataclass(slots=True, frozen=True)
class RouteRead:
    """One answered read of the routes in force."""

    label: int
    sent: float


@dataclass(slots=True, frozen=True)
class Disturbance:
    """A time in which a process was disturbed from outside."""

    name: str
    begin: float
    end: float
    planned: bool = False


@dataclass(slots=True)
class History:
    """All of it."""

    control: list[str]
    attempts: list[CallRecord] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    drains: list[DrainAck] = field(default_factory=list)
    publications: list[Publication] = field(default_factory=list)
    readings: list[RouteRead] = field(default_factory=list)
    spans: list[Disturbance] = field(default_factory=list)
    starts: dict[str, list[float]] = field(default_factory=dict)
    explained: set[str] = field(default_factory=set)  # calls by node logs
    ended_alone: list[str] = field(default_factory=list)
    last_label: int = 0  # as read back at the end; 0: not read
    quiet_from: float = 0.0
    ended: float = 0.0
