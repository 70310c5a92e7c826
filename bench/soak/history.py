"""Records of what callers, backend servers and operators saw in one run.

All times are in seconds of the monotonic clock, which all processes on the
machine share. The field names are the keys of ``history.json``.
"""

from dataclasses import dataclass, field

from bench.soak.rollouts import RolloutRecord

INNER_CALL_SUFFIX = '.inner'  # of the id of a call that a server makes


@dataclass(slots=True)
class CallRecord:
    """A call as its caller saw it."""

    call: str
    path: str
    node: str
    repeatable: bool
    sent: float
    deadline: float
    customer: str = ''  # that holds the key of the call; '' for a wrong key
    ended: float = 0.0
    status: int = 0  # 0: no response
    code: int = -1  # result code of the node; -1: none
    echo: str = ''  # call id and path that the server received
    limit_stated: bool = False  # whether the response stated a limit
    leaving: bool = False  # whether the response said that its server leaves
    fault: str = ''  # why there was no response

    @property
    def served(self) -> bool:
        """Whether the response status was a success."""
        return 200 <= self.status < 300


@dataclass(slots=True)
class Run:
    """An execution of a call at a backend server."""

    call: str
    path: str
    server: str
    service: str
    at: float
    customer: str = ''  # that the server was told
    number: int = 0  # counts the runs of one incarnation of the server
    ended: float | None = None  # None: not recorded, as after a kill
    whole: bool = False  # whether it completed and was not cancelled

    def completed_by(self, moment: float) -> bool:
        """Returns whether the run had completed by a time."""
        return self.whole and self.ended is not None and self.ended <= moment


@dataclass(slots=True, frozen=True)
class Refusal:
    """An arrival of a call that a backend server refused to run."""

    refused: str  # id of the call
    service: str
    at: float


@dataclass(slots=True, frozen=True)
class DrainAck:
    """When a node acknowledged that a backend server is draining."""

    server: str
    acked: float


@dataclass(slots=True, frozen=True)
class StatedLimit:
    """From when on a backend server states a limit; None for no limit."""

    server: str
    limit: float | None  # requests per second
    at: float


@dataclass(slots=True)
class Publication:
    """A route set that an operator sent, with the outcome."""

    label: int
    base: int
    valid: bool
    sent: float
    acked: float | None = None
    refused: bool = False  # refused with no try of unknown outcome


@dataclass(slots=True, frozen=True)
class RouteRead:
    """A successful read of the current routes at a control VM."""

    label: int
    sent: float


@dataclass(slots=True, frozen=True)
class Disturbance:
    """A period in which a fault was injected into a process or its link."""

    name: str
    begin: float
    end: float
    planned: bool = False
    stops: bool = False  # whether the process was down or suspended


@dataclass(slots=True)
class History:
    """All records of one run."""

    control: list[str]
    attempts: list[CallRecord] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    refusals: list[Refusal] = field(default_factory=list)
    drains: list[DrainAck] = field(default_factory=list)
    limits: list[StatedLimit] = field(default_factory=list)
    publications: list[Publication] = field(default_factory=list)
    readings: list[RouteRead] = field(default_factory=list)
    spans: list[Disturbance] = field(default_factory=list)
    starts: dict[str, list[float]] = field(default_factory=dict)
    explained: set[str] = field(
        default_factory=set
    )  # ids of calls whose failure a node log explains
    ended_alone: list[str] = field(default_factory=list)  # unexpected exits
    leaking_logs: list[str] = field(default_factory=list)  # with an API key
    rollout: RolloutRecord | None = None
    last_label: int = 0  # read at the end; 0: no control VM responded
    quiet_from: float = 0.0  # end of the last fault
    ended: float = 0.0
