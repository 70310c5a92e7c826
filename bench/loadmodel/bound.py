"""An upper bound on the worth that any policy can get from a scenario.

A fluid model: every call that is served ends in time, queues cost nothing,
and calls are divided without end. Only the servers' slots bind. Each served
call takes its own work and that of the calls its server makes, at the mean
speed of the service, and a slot is held while the slowest of its inner calls
is awaited. Faults and bursts are left out. So no policy can reach the bound;
what lies beyond it cannot be won.
"""

import itertools

import numpy as np

from bench.loadmodel.scenario import CallKind, Scenario, Service

MS_PER_S = 1000
ROUNDING = 1e-9  # allowed beyond a constraint
Vector = np.ndarray[tuple[int], np.dtype[np.float64]]


def upper_bound(scenario: Scenario) -> dict[str, float]:
    """Returns the share of each outer kind of call that is best served.

    Maximizes the sum of the worth of the served calls, a linear programme:
    its optimum is a corner, and the kinds are few enough to try them all.
    """
    kinds = [kind for kind in scenario.kinds if kind.per_s]
    rates = np.array(
        [kind.per_s * len(scenario.zones) * scenario.load for kind in kinds]
    )
    worths = rates * np.array([kind.worth for kind in kinds])
    used = np.array(
        [
            [slot_s(scenario, kind, service) for kind in kinds]
            for service in scenario.services
        ]
    )
    size = len(kinds)
    left = np.vstack([used * rates, np.eye(size), -np.eye(size)])
    right = np.concatenate(
        [
            [total_slots(service) for service in scenario.services],
            np.ones(size),
            np.zeros(size),
        ]
    )
    shares = max(_corners(left, right), key=lambda corner: worths @ corner)
    return {
        kind.name: float(share)
        for kind, share in zip(kinds, shares, strict=True)
    }


def bound_share(scenario: Scenario) -> float:
    """Returns the upper bound as a share of the worth of all calls."""
    shares = upper_bound(scenario)
    kinds = [kind for kind in scenario.kinds if kind.per_s]
    total = sum(kind.per_s * kind.worth for kind in kinds)
    won = sum(kind.per_s * kind.worth * shares[kind.name] for kind in kinds)
    return won / total


def total_slots(service: Service) -> int:
    """Returns the slots of all servers of a service."""
    return service.slots * sum(service.servers.values())


def slot_s(scenario: Scenario, kind: CallKind, service: Service) -> float:
    """Returns the slot seconds of a service that a served call takes."""
    by_name = {other.name: other for other in scenario.kinds}
    inner_kinds = [(inner, by_name[inner.kind]) for inner in kind.inner]
    held = sum(
        inner.share * inner.times * slot_s(scenario, inner_kind, service)
        for inner, inner_kind in inner_kinds
    )
    if kind.service != service.name:
        return held
    awaited_s = sum(
        inner.share * _run_s(scenario, inner_kind)
        for inner, inner_kind in inner_kinds
    )
    return held + _run_s(scenario, kind) + awaited_s


def _run_s(scenario: Scenario, kind: CallKind) -> float:
    """Returns the mean time that a call's own work takes, in seconds.

    Every slot is kept busy, so fast servers run more of the calls.
    """
    service = next(
        service for service in scenario.services if service.name == kind.service
    )
    count = sum(service.servers.values())
    speeds = itertools.islice(itertools.cycle(service.speeds), count)
    return kind.work_ms / MS_PER_S / (sum(speeds) / count)


def _corners(left: np.ndarray, right: Vector) -> list[Vector]:
    """Returns the corners of the shares that satisfy ``left @ x <= right``."""
    size = left.shape[1]
    corners = []
    for rows in itertools.combinations(range(len(right)), size):
        matrix = left[list(rows)]
        if np.linalg.matrix_rank(matrix) < size:
            continue
        corner = np.linalg.solve(matrix, right[list(rows)])
        if (left @ corner <= right + ROUNDING).all():
            corners.append(corner)
    return corners
