"""Draws what goes wrong in one run, and when, from a seed.

:func:`draw` has faults of every kind. :func:`roll` has planned work only, so
that what is promised beside it is checked all the time.
"""

import random
from dataclasses import dataclass
from enum import Enum

WARM_S = 5.0  # calls before the first fault
QUIET_S = 19.0  # without faults at the end; longer than the recovery bound
SERIES = 3  # most faults of one kind in quick succession
HERD_SHARE = 0.25  # of the hits that are several processes at once
HERD = 3  # processes that are hit at the same moment
ROLL_GAP_S = (1.0, 3.5)  # between two nodes; a stop lasts longer
ROLL_SLOW_S = (3.0, 6.0)  # time for which a node that has started is slow
RELOAD_SHARE = 0.3  # of the nodes, between two that are restarted


class Kind(Enum):
    """What is done to a process, from outside."""

    KILL = 'kill'
    TERM = 'term'
    FREEZE = 'freeze'
    HUP = 'hup'
    RESET = 'reset'
    FORGET = 'forget'
    CUT = 'cut'
    MUTE = 'mute'
    DELAY = 'delay'
    WIPE = 'wipe'
    TORN = 'torn'
    DRAIN = 'drain'
    ROLL = 'roll'


class Role(Enum):
    """What a process is."""

    CONTROL = 'control'
    NODE = 'node'
    BACKEND = 'backend'


LINK_FAULTS = (Kind.RESET, Kind.FORGET, Kind.CUT, Kind.MUTE, Kind.DELAY)
SIGNALS = (Kind.KILL, Kind.TERM, Kind.FREEZE, Kind.HUP)
KINDS = {
    Role.CONTROL: (*SIGNALS, *LINK_FAULTS, Kind.WIPE, Kind.TORN),
    Role.NODE: (*SIGNALS, *LINK_FAULTS),
    Role.BACKEND: (
        Kind.KILL,
        Kind.FREEZE,
        Kind.DRAIN,
        Kind.DRAIN,
        *LINK_FAULTS,
    ),
}


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault; times in seconds from the start of traffic."""

    at: float
    kind: Kind
    target: str
    for_s: float


@dataclass(slots=True, frozen=True)
class Target:
    """A process that may be hit."""

    name: str
    role: Role


def node_of(server: str) -> str:
    """Returns the name of the node beside a backend server."""
    return f'node-{server}'


def draw(seed: int, seconds: float, targets: list[Target]) -> list[Fault]:
    """Returns the faults of a run in order; the last has ended in time.

    Only one disk is lost in a run: more than the deployment is to bear would
    prove nothing.
    """
    rng = random.Random(seed)
    end = seconds - QUIET_S
    faults: list[Fault] = []
    at = WARM_S
    wiped = False
    while at < end:
        role = rng.choice((Role.CONTROL, Role.NODE, Role.BACKEND))
        kind = rng.choice(KINDS[role])
        if kind is Kind.WIPE and wiped:
            kind = Kind.KILL
        wiped = wiped or kind is Kind.WIPE
        for one in _hit(rng, kind, role, targets):
            for_s = min(rng.uniform(0.2, 4.0), end - at)
            faults.append(Fault(at, kind, one, for_s))
            at = min(end, at + rng.choice((0.0, 0.0, rng.uniform(0.05, 0.8))))
        at += rng.choice((0.1, rng.uniform(0.3, 2.5)))
    return faults


def roll(seed: int, seconds: float, targets: list[Target]) -> list[Fault]:
    """Returns restarts of the nodes in turn that overlap, beside reloads."""
    rng = random.Random(f'{seed} roll')
    nodes = [one.name for one in targets if one.role is Role.NODE]
    faults: list[Fault] = []
    waiting: list[str] = []
    at = WARM_S
    end = seconds - QUIET_S - ROLL_SLOW_S[1]
    while at < end:
        if not waiting:
            waiting = rng.sample(nodes, len(nodes))
        slow_s = rng.uniform(*ROLL_SLOW_S)
        faults.append(Fault(at, Kind.ROLL, waiting.pop(), slow_s))
        at += rng.uniform(*ROLL_GAP_S)
        if rng.random() < RELOAD_SHARE:
            faults.append(Fault(min(at, end), Kind.HUP, rng.choice(nodes), 0))
    return faults


def _hit(
    rng: random.Random, kind: Kind, role: Role, targets: list[Target]
) -> list[str]:
    """Returns the processes that a fault, or a series of it, hits in turn."""
    names = [one.name for one in targets if one.role is role]
    if kind is Kind.WIPE:
        return [rng.choice(names)]
    herd = rng.random() < HERD_SHARE
    if herd and role is not Role.CONTROL:
        return rng.sample(names, min(HERD, len(names)))
    chosen = rng.choice(names)
    return [chosen for _ in range(rng.randint(1, SERIES))]
