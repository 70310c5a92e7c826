"""Scenario files of the load model, checked as they are read."""

import tomllib
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct, ValidationError, convert, field

from papayalock.result import Code, PapayalockError

FOLDER = Path(__file__).parent / 'scenarios'
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Service(Struct, forbid_unknown_fields=True):
    """Backend servers of one service; speeds are dealt out in turn."""

    name: str
    servers: dict[str, int]  # by availability zone
    slots: Annotated[int, Meta(ge=1)]
    speeds: Annotated[list[Positive], Meta(min_length=1)]


class Inner(Struct, forbid_unknown_fields=True):
    """Calls that a run of a kind makes itself, before its own work."""

    kind: str
    times: Annotated[int, Meta(ge=1)] = 1
    share: Share = 1.0
    together: bool = False


class Kind(Struct, forbid_unknown_fields=True):
    """One kind of call; times in ms, rate in calls a second and zone."""

    name: str
    service: str
    rank: Annotated[int, Meta(ge=0)]
    target_ms: Positive
    deadline_ms: Positive
    work_ms: Positive
    spread: Annotated[float, Meta(ge=0)] = 0.5
    answer_bytes: Annotated[int, Meta(ge=0)] = 0
    repeatable: bool = True
    worth: float = 1.0
    late_worth: float = 0.3
    per_s: Annotated[float, Meta(ge=0)] = 0.0
    inner: list[Inner] = field(default_factory=list)


class Burst(Struct, forbid_unknown_fields=True):
    """A time in which callers press harder."""

    at: Annotated[float, Meta(ge=0)]
    for_s: Positive
    times: Positive


class Loss(Struct, forbid_unknown_fields=True):
    """Servers that are gone from a time on, or slower for some."""

    at: Annotated[float, Meta(ge=0)]
    service: str
    count: Annotated[int, Meta(ge=1)]
    for_s: Positive
    slower: Positive = 1e9


class Scenario(Struct, forbid_unknown_fields=True):
    """One deployment and one stretch of traffic."""

    seconds: Positive
    zones: Annotated[list[str], Meta(min_length=1)]
    services: Annotated[list[Service], Meta(min_length=1)]
    kinds: Annotated[list[Kind], Meta(min_length=1)]
    load: Positive = 1.0  # factor on every rate
    hop_ms: Positive = 0.3  # at the nodes, on each way of a hop
    bursts: list[Burst] = field(default_factory=list)
    losses: list[Loss] = field(default_factory=list)


def read_scenario(path: Path) -> Scenario:
    """Reads a scenario.

    :raises PapayalockError: ``INVALID``, naming file and field
    """
    try:
        document = tomllib.loads(path.read_text())
        scenario = convert(document, Scenario)
    except (OSError, ValueError, ValidationError) as exc:
        raise PapayalockError(Code.INVALID, f'{path}: {exc}') from exc
    services = {one.name for one in scenario.services}
    kinds = {one.name for one in scenario.kinds}
    for kind in scenario.kinds:
        unknown = {one.kind for one in kind.inner} - kinds
        unknown |= {kind.service} - services
        if unknown:
            names = ', '.join(sorted(unknown))
            raise PapayalockError(
                Code.INVALID, f'{path}: {kind.name} names unknown {names}'
            )
    return scenario


def named(name: str) -> Scenario:
    """Reads one of the scenarios that come with the model."""
    return read_scenario(FOLDER / f'{name}.toml')
