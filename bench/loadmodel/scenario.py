"""Reads and validates the scenario files of the load model."""

import tomllib
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct, ValidationError, convert, field

from papayalock.result import Code, PapayalockError

SCENARIO_DIR = Path(__file__).parent / 'scenarios'
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Service(Struct, forbid_unknown_fields=True):
    """Backend servers of one service; they get ``speeds`` in rotation."""

    name: str
    servers: dict[str, int]  # count by availability zone
    slots: Annotated[int, Meta(ge=1)]
    speeds: Annotated[list[Positive], Meta(min_length=1)]


class InnerCall(Struct, forbid_unknown_fields=True):
    """Calls that a server makes before its own work on a call."""

    kind: str
    times: Annotated[int, Meta(ge=1)] = 1
    share: Share = 1.0
    together: bool = False


class CallKind(Struct, forbid_unknown_fields=True):
    """A kind of call.

    Times are in ms; ``per_s`` is the arrival rate in each zone. A call has
    ``deadline_ms``, its caller with all its retries ``limit_ms``, if given.
    """

    name: str
    service: str
    rank: Annotated[int, Meta(ge=0)]
    target_ms: Positive
    deadline_ms: Positive
    work_ms: Positive
    spread: Annotated[float, Meta(ge=0)] = 0.5
    request_bytes: Annotated[int, Meta(ge=0)] = 0  # of the body
    answer_bytes: Annotated[int, Meta(ge=0)] = 0
    repeatable: bool = True
    worth: float = 1.0
    late_worth: float = 0.3
    per_s: Annotated[float, Meta(ge=0)] = 0.0
    limit_ms: Positive | None = None
    retries: Annotated[int, Meta(ge=0)] = 1
    inner: list[InnerCall] = field(default_factory=list)


class Burst(Struct, forbid_unknown_fields=True):
    """A time span in which the arrival rates are multiplied."""

    at: Annotated[float, Meta(ge=0)]
    for_s: Positive
    times: Positive


class ServerFault(Struct, forbid_unknown_fields=True):
    """A time span in which some servers of a service are slower.

    The default of ``slower`` is so high that no call ends in time, as if the
    servers were lost.
    """

    at: Annotated[float, Meta(ge=0)]
    service: str
    count: Annotated[int, Meta(ge=1)]
    for_s: Positive
    slower: Positive = 1e9


class ServerRefusals(Struct, forbid_unknown_fields=True):
    """A time span in which some servers refuse a share of what reaches them."""

    at: Annotated[float, Meta(ge=0)]
    service: str
    count: Annotated[int, Meta(ge=1)]
    for_s: Positive
    share: Share


class ServerCrash(Struct, forbid_unknown_fields=True):
    """A crash of some servers of a service, which return under new names.

    They tell no start time, and had been up for ``up_s`` before the run.
    """

    at: Annotated[float, Meta(ge=0)]
    service: str
    count: Annotated[int, Meta(ge=1)]
    for_s: Positive
    up_s: Annotated[float, Meta(ge=0)] = 0.0


class Scenario(Struct, forbid_unknown_fields=True):
    """A deployment and the traffic to simulate on it."""

    seconds: Positive
    zones: Annotated[list[str], Meta(min_length=1)]
    services: Annotated[list[Service], Meta(min_length=1)]
    kinds: Annotated[list[CallKind], Meta(min_length=1)]
    load: Positive = 1.0  # factor on every arrival rate
    hop_ms: Positive = 0.3  # mean time in the nodes, in each direction of a hop
    link_mbps: Positive = 1000.0  # of each VM, in each direction
    impatience: Share = 0.0  # by up to so much callers' limits are shorter
    bursts: list[Burst] = field(default_factory=list)
    losses: list[ServerFault] = field(default_factory=list)
    refusals: list[ServerRefusals] = field(default_factory=list)
    crashes: list[ServerCrash] = field(default_factory=list)


def read_scenario(path: Path) -> Scenario:
    """Reads a scenario file.

    :raises PapayalockError: ``INVALID``, with the path and the field
    """
    try:
        document = tomllib.loads(path.read_text())
        scenario = convert(document, Scenario)
    except (OSError, ValueError, ValidationError) as exc:
        raise PapayalockError(Code.INVALID, f'{path}: {exc}') from exc
    services = {service.name for service in scenario.services}
    kinds = {kind.name for kind in scenario.kinds}
    for kind in scenario.kinds:
        unknown = {inner.kind for inner in kind.inner} - kinds
        unknown |= {kind.service} - services
        if unknown:
            names = ', '.join(sorted(unknown))
            raise PapayalockError(
                Code.INVALID, f'{path}: {kind.name} refers to unknown {names}'
            )
    return scenario


def read_bundled_scenario(name: str) -> Scenario:
    """Reads a scenario of :data:`SCENARIO_DIR`."""
    return read_scenario(SCENARIO_DIR / f'{name}.toml')
