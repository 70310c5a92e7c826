"""Decides on the next step of a roll-out.

The load that it answers: a service whose servers have little room to spare,
so the new version may only take what its ready servers can carry, and a bad
version that shows it at once, late, on one route, or only under load.
"""

import math
from dataclasses import dataclass

from papayalock.core.rollouts import (
    COMPLETED,
    ROLLED_BACK,
    RUNNING,
    RolloutState,
)
from papayalock.messages import Rollout

# Shares of the calls before all of them, for each share that a bad version
# may get over the whole time limit.
STAGES_PER_EXPOSURE = (0.7, 2.0, 4.0)
MAX_UNPROVEN_SHARE = 0.5
# Smallest share of the time limit that each stage lasts.
STAGE_TIME_SHARES = (0.2, 0.1, 0.1)
MIN_STAGE_MS = 1200  # so that the evidence of a stage is from that stage
# Ready new servers for each old one, by the share of the calls.
CAPACITY_PER_SHARE = 0.7
UNPROVEN_LIMIT_SHARE = 0.9  # of the time limit, for a version not proven
MIN_MOVED_MS = 700  # at a share of 1, before old servers may stop
MAX_MOVED_MS = 2500  # after which calls at old servers are not waited for
IDLE_STAGES = 2  # stage times after which a service without calls goes on


@dataclass(slots=True, frozen=True)
class Observed:
    """What the leader knows of a roll-out that runs."""

    elapsed_ms: int  # since the order
    stage_ms: int  # since the newest step
    new_servers: int  # ready servers of the new version
    old_servers: int  # most ready servers of the other versions so far
    old_running: int | None  # calls at the latter; None if unknown
    is_bad: bool
    passed: bool  # whether the evidence of this stage is good enough
    has_calls: bool  # whether the service got calls in this stage
    evidence: str


@dataclass(slots=True, frozen=True)
class NextStep:
    """A step to commit."""

    state: RolloutState
    share: float
    proven: bool
    reason: str


def stage_shares(exposure_share: float) -> list[float]:
    """Returns the share of the calls in each stage.

    :param exposure_share: share of a service's calls that a bad version may
        get
    """
    unproven = [
        round(min(MAX_UNPROVEN_SHARE, factor * exposure_share), 4)
        for factor in STAGES_PER_EXPOSURE
    ]
    return [*unproven, 1.0]


def next_step(
    rollout: Rollout, observed: Observed, shares: list[float]
) -> NextStep | None:
    """Returns the step that is due, or None.

    :param shares: of each stage; each step but the last begins the next stage
    """
    if observed.is_bad:
        return _end(ROLLED_BACK, f'bad: {observed.evidence}')
    if rollout.proven:
        return _finish(rollout, observed)
    if observed.elapsed_ms >= rollout.duration_ms * UNPROVEN_LIMIT_SHARE:
        return _end(ROLLED_BACK, f'not proven in time: {observed.evidence}')
    if rollout.step and not _stage_is_over(rollout, observed):
        return None
    share = shares[rollout.step]
    if not _can_carry(share, observed):
        return None
    return NextStep(RUNNING, share, share == 1, observed.evidence)


def _finish(rollout: Rollout, observed: Observed) -> NextStep | None:
    """Completes a proven roll-out once the old servers are free."""
    left_ms = rollout.duration_ms - observed.elapsed_ms
    moved = observed.stage_ms >= MIN_MOVED_MS and observed.old_running == 0
    if moved or observed.stage_ms >= MAX_MOVED_MS or left_ms <= MIN_MOVED_MS:
        return _end(COMPLETED, f'proven: {observed.evidence}')
    return None


def _end(state: RolloutState, reason: str) -> NextStep:
    return NextStep(state, 0.0, state == COMPLETED, reason)


def _stage_is_over(rollout: Rollout, observed: Observed) -> bool:
    time_share = STAGE_TIME_SHARES[rollout.step - 1]
    least_ms = max(MIN_STAGE_MS, rollout.duration_ms * time_share)
    if observed.has_calls:
        return observed.passed and observed.stage_ms >= least_ms
    return observed.stage_ms >= least_ms * IDLE_STAGES


def _can_carry(share: float, observed: Observed) -> bool:
    needed = math.ceil(share * observed.old_servers * CAPACITY_PER_SHARE)
    return observed.new_servers >= max(1, needed)
