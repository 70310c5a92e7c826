"""Draws the faults of one run and their times from a seed.

:func:`draw_faults` draws faults of every kind but rolling restarts.
:func:`draw_rolling_restarts` draws planned work only, so that the guarantees
that hold during planned work are checked all the time.
"""

import random
from dataclasses import dataclass
from enum import Enum

WARM_UP_S = 5.0  # of traffic before the first fault
QUIET_S = 19.0  # without faults at the end; longer than MAX_RECOVERY_S
MAX_SERIES = 3  # faults of one kind on one process in quick succession
GROUP_FAULT_SHARE = 0.25  # of the faults hit several processes together
MAX_GROUP_SIZE = 3  # processes that one group fault hits
ROLL_INTERVAL_S = (1.0, 3.5)  # shorter than a stop, so restarts overlap
ROLL_SLOW_S = (3.0, 6.0)  # time for which a restarted node is slow
RELOAD_SHARE = 0.3  # of the restarts are followed by a reload of a node


class FaultKind(Enum):
    """A fault to inject into a process or its link."""

    KILL = 'kill'
    TERM = 'term'
    FREEZE = 'freeze'  # suspend the process for a time
    HUP = 'hup'  # reload its settings
    RESET = 'reset'  # close its open connections
    FORGET = 'forget'  # pass nothing more on its open connections
    CUT = 'cut'  # pass nothing on its link for a time
    MUTE = 'mute'  # pass nothing from the process for a time
    DELAY = 'delay'
    WIPE = 'wipe'  # kill it and delete its data
    TORN = 'torn'  # kill it and append half of a record to its logs
    DRAIN = 'drain'  # let a backend server drain, then kill it
    ROLL = 'roll'  # restart a node that is slow at first


class ProcessRole(Enum):
    """The role of a process in the cluster."""

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
    """A fault on one process; ``at`` counts seconds from the traffic start."""

    at: float
    kind: FaultKind
    target: str
    duration_s: float


@dataclass(slots=True, frozen=True)
class Target:
    """A process that faults may be injected into."""

    name: str
    role: ProcessRole


def node_name(server: str) -> str:
    """Returns the name of the node beside a backend server."""
    return f'node-{server}'


def draw_faults(
    seed: int, seconds: float, targets: list[Target]
) -> list[Fault]:
    """Returns the faults of a run by time; all end QUIET_S before its end.

    At most one disk is wiped in a run: the deployment is not meant to survive
    more, so a failure after two would prove nothing.
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
    """Returns overlapping restarts of all nodes in turn, and reloads."""
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
    """Returns the targets of a fault or of a series of one kind, in order."""
    names = [target.name for target in targets if target.role is role]
    if kind is FaultKind.WIPE:
        return [rng.choice(names)]
    hit_group = rng.random() < GROUP_FAULT_SHARE
    if hit_group and role is not ProcessRole.CONTROL:
        return rng.sample(names, min(MAX_GROUP_SIZE, len(names)))
    chosen = rng.choice(names)
    return [chosen for _ in range(rng.randint(1, MAX_SERIES))]
