"""Draws what goes wrong in one run, and when, from a seed.

:func:`draw` has faults of every kind. :func:`roll` has planned work only, so
that what is promised beside it is checked all the time.
"""

import random
from dataclasses import dataclass
from enum import Enum

WARM_UP_S = 5.0  # calls before the first fault
QUIET_S = 19.0  # without faults at the end; longer than the recovery bound
MAX_SERIES = 3  # most faults of one kind in quick succession
GROUP_FAULT_SHARE = 0.25  # of the hits that are several processes at once
MAX_GROUP_SIZE = 3  # processes that are hit at the same moment
ROLL_INTERVAL_S = (1.0, 3.5)  # between two nodes; a stop lasts longer
ROLL_SLOW_S = (3.0, 6.0)  # time for which a node that has started is slow
RELOAD_SHARE = 0.3  # of the nodes, between two that are restarted


class FaultKind(Enum):
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


class ProcessRole(Enum):
    """What a process is."""

    CONTROL = 'control'
    NODE = 'node'
    BACKEND = 'backend'


LINK_FAULTS = (
    FaultKind.RESET,
    FaultKind.FORGET,
    FaultKind.CUT,
    FaultKind.MUTE,
    FaultKind.DELAY,
)
SIGNALS = (FaultKind.KILL, FaultKind.TERM, FaultKind.FREEZE, FaultKind.HUP)
KINDS_BY_ROLE = {
    ProcessRole.CONTROL: (
        *SIGNALS,
        *LINK_FAULTS,
        FaultKind.WIPE,
        FaultKind.TORN,
    ),
    ProcessRole.NODE: (*SIGNALS, *LINK_FAULTS),
    ProcessRole.BACKEND: (
        FaultKind.KILL,
        FaultKind.FREEZE,
        FaultKind.DRAIN,
        FaultKind.DRAIN,
        *LINK_FAULTS,
    ),
}


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault; times in seconds from the start of traffic."""

    at: float
    kind: FaultKind
    target: str
    duration_s: float


@dataclass(slots=True, frozen=True)
class Target:
    """A process that may be hit."""

    name: str
    role: ProcessRole


def node_name(server: str) -> str:
    """Returns the name of the node beside a backend server."""
    return f'node-{server}'


def draw_faults(
    seed: int, seconds: float, targets: list[Target]
) -> list[Fault]:
    """Returns the faults of a run in order; the last has ended in time.

    Only one disk is lost in a run: more than the deployment is to bear would
    prove nothing.
    """
    rng = random.Random(seed)
    end = seconds - QUIET_S
    faults: list[Fault] = []
    at = WARM_UP_S
    wiped = False
    while at < end:
        role = rng.choice(
            (ProcessRole.CONTROL, ProcessRole.NODE, ProcessRole.BACKEND)
        )
        kind = rng.choice(KINDS_BY_ROLE[role])
        if kind is FaultKind.WIPE and wiped:
            kind = FaultKind.KILL
        wiped = wiped or kind is FaultKind.WIPE
        for target in _choose_targets(rng, kind, role, targets):
            duration_s = min(rng.uniform(0.2, 4.0), end - at)
            faults.append(Fault(at, kind, target, duration_s))
            at = min(end, at + rng.choice((0.0, 0.0, rng.uniform(0.05, 0.8))))
        at += rng.choice((0.1, rng.uniform(0.3, 2.5)))
    return faults


def draw_rolling_restarts(
    seed: int, seconds: float, targets: list[Target]
) -> list[Fault]:
    """Returns restarts of the nodes in turn that overlap, beside reloads."""
    rng = random.Random(f'{seed} roll')
    nodes = [
        target.name for target in targets if target.role is ProcessRole.NODE
    ]
    faults: list[Fault] = []
    to_restart: list[str] = []
    at = WARM_UP_S
    end = seconds - QUIET_S - ROLL_SLOW_S[1]
    while at < end:
        if not to_restart:
            to_restart = rng.sample(nodes, len(nodes))
        slow_s = rng.uniform(*ROLL_SLOW_S)
        faults.append(Fault(at, FaultKind.ROLL, to_restart.pop(), slow_s))
        at += rng.uniform(*ROLL_INTERVAL_S)
        if rng.random() < RELOAD_SHARE:
            faults.append(
                Fault(min(at, end), FaultKind.HUP, rng.choice(nodes), 0)
            )
    return faults


def _choose_targets(
    rng: random.Random,
    kind: FaultKind,
    role: ProcessRole,
    targets: list[Target],
) -> list[str]:
    """Returns the processes that a fault, or a series of it, hits in turn."""
    names = [target.name for target in targets if target.role is role]
    if kind is FaultKind.WIPE:
        return [rng.choice(names)]
    hit_group = rng.random() < GROUP_FAULT_SHARE
    if hit_group and role is not ProcessRole.CONTROL:
        return rng.sample(names, min(MAX_GROUP_SIZE, len(names)))
    chosen = rng.choice(names)
    return [chosen for _ in range(rng.randint(1, MAX_SERIES))]
