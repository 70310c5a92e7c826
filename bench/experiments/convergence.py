"""Time from acceptance until in force on every node, and control bytes.

Three control VMs and 100 agents (34, 33 and 33 in one process a zone) with
endpoint churn. Versions come at the target's pace, then twice a second, then
in bursts. The baseline sends every node the whole configuration each time:
its nodes subscribe to all services, and without a history no delta starts.
"""

import random
import time

from bench.fleet import Fleets, percentile, running_fleets
from bench.registers import make_register, with_changed_slots

ZONES = ['a', 'b', 'c']
SERVICES = 60
PER_ZONE = 34
CHURN_MS = 6000  # one change in a zone, three times the target's rate
TARGET_PACE_S = 4.8
TARGET_VERSIONS = 8
STEADY_PACE_S = 0.5
STEADY_VERSIONS = 32
BURSTS = 8
BURST_VERSIONS = 20
BASELINE_VERSIONS = 12
SETTLE_S = 2.0
BASELINE_SETTINGS: dict[str, dict[str, object]] = {
    'distribution': {'snapshots_per_s': 100_000, 'history': 1}
}


def run(seed: int) -> dict[str, float]:
    """Measures this system, then the baseline."""
    figures = _measure(seed, full_push=False)
    baseline = _measure(seed, full_push=True)
    figures['baseline_bytes_per_version_per_node'] = baseline[
        'bytes_per_version_per_node'
    ]
    figures['full_push_ratio'] = (
        figures['bytes_per_version_per_node']
        / baseline['bytes_per_version_per_node']
    )
    return figures


def _measure(seed: int, *, full_push: bool) -> dict[str, float]:
    settings = BASELINE_SETTINGS if full_push else {}
    with running_fleets(ZONES, SERVICES, settings) as fleets:
        fleets.start(
            PER_ZONE,
            churn_ms=0 if full_push else CHURN_MS,
            seed=seed,
            full_push=full_push,
        )
        fleets.wait_applied(fleets.version)
        time.sleep(SETTLE_S)
        chosen = _baseline if full_push else _paces
        return chosen(fleets, random.Random(seed))


def submit_paced(
    fleets: Fleets,
    rng: random.Random,
    services: int,
    versions: int,
    pace_s: float,
) -> dict[int, float]:
    """Submits versions at a pace and returns when each was accepted."""
    accepted: dict[int, float] = {}
    whole = make_register(services)
    due = time.monotonic()
    for _ in range(versions):
        time.sleep(max(0.0, due - time.monotonic()))
        due += pace_s
        whole = with_changed_slots(whole, rng)
        at = fleets.submit(whole)
        accepted[fleets.version] = at
    return accepted


def _submit(
    fleets: Fleets, rng: random.Random, versions: int, pace_s: float
) -> dict[int, float]:
    return submit_paced(fleets, rng, SERVICES, versions, pace_s)


def _baseline(fleets: Fleets, rng: random.Random) -> dict[str, float]:
    start = time.monotonic()
    idle = _idle_rate(fleets)
    accepted = _submit(fleets, rng, BASELINE_VERSIONS, STEADY_PACE_S)
    fleets.wait_applied(fleets.version)
    time.sleep(1)
    return {
        'bytes_per_version_per_node': _per_version(
            fleets, start, idle, len(accepted)
        )
    }


def _idle_rate(fleets: Fleets) -> float:
    """Returns bytes a second of all agents while nothing is submitted."""
    start = time.monotonic()
    time.sleep(4)
    return fleets.bytes_between(start, time.monotonic()).total / 4


def _per_version(
    fleets: Fleets, start: float, idle: float, versions: int
) -> float:
    end = time.monotonic()
    extra = fleets.bytes_between(start, end).total - idle * (end - start)
    return max(0.0, extra) / versions / fleets.agent_count


def _paces(fleets: Fleets, rng: random.Random) -> dict[str, float]:
    start = time.monotonic()
    accepted = _submit(fleets, rng, TARGET_VERSIONS, TARGET_PACE_S)
    pace_end = time.monotonic()
    pace_bytes = fleets.bytes_between(start, pace_end).total
    idle = _idle_rate(fleets)
    start = time.monotonic()
    steady = _submit(fleets, rng, STEADY_VERSIONS, STEADY_PACE_S)
    fleets.wait_applied(fleets.version)
    time.sleep(1)
    per_version = _per_version(fleets, start, idle, len(steady))
    accepted.update(steady)
    for _ in range(BURSTS):
        accepted.update(_submit(fleets, rng, BURST_VERSIONS, 0.0))
        time.sleep(0.5)
    fleets.wait_applied(fleets.version)
    time.sleep(0.5)
    found = delays(fleets, accepted)
    return {
        'p50_s': percentile(found, 0.5),
        'p99_s': percentile(found, 0.99),
        'max_s': max(found),
        'versions': len(accepted),
        'control_bytes_per_node_s': pace_bytes
        / fleets.agent_count
        / (TARGET_VERSIONS * TARGET_PACE_S),
        'bytes_per_version_per_node': per_version,
    }


def delays(fleets: Fleets, accepted: dict[int, float]) -> list[float]:
    """Returns for each version the time until the last agent held it."""
    applied = fleets.apply_times()
    found = []
    for version, at in accepted.items():
        held = applied.get(version, {})
        assert len(held) == fleets.agent_count, (
            f'version {version} held by {len(held)}'
        )
        found.append(max(held.values()) - at)
    return found
