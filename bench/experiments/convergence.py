"""Time from acceptance of a version until every node applied it, and bytes.

Three control VMs and 34 agents in each of three zones (one process per zone)
with endpoint churn. Versions are submitted at the target's rate, then twice a
second, then in bursts. The baseline sends every node the full configuration
each time: its agents subscribe to all services, and the control VMs keep no
older version from which they could build a delta.
"""

import random
import time

from bench.fleet import Fleets, percentile, running_fleets
from bench.registers import make_register, with_changed_slots

ZONES = ['a', 'b', 'c']
SERVICES = 60
AGENTS_PER_ZONE = 34
# One endpoint change per zone and interval; three times the target's rate.
CHURN_INTERVAL_MS = 6000
TARGET_INTERVAL_S = 4.8
TARGET_VERSIONS = 8
STEADY_INTERVAL_S = 0.5
STEADY_VERSIONS = 32
BURSTS = 8
VERSIONS_PER_BURST = 20
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
            AGENTS_PER_ZONE,
            churn_ms=0 if full_push else CHURN_INTERVAL_MS,
            seed=seed,
            full_push=full_push,
        )
        fleets.wait_applied(fleets.version)
        time.sleep(SETTLE_S)
        measure = _measure_baseline if full_push else _measure_rates
        return measure(fleets, random.Random(seed))


def submit_at_interval(
    fleets: Fleets,
    rng: random.Random,
    service_count: int,
    version_count: int,
    interval_s: float,
) -> dict[int, float]:
    """Submits versions at an interval; returns when each was accepted."""
    accepted_at: dict[int, float] = {}
    next_register = make_register(service_count)
    due = time.monotonic()
    for _ in range(version_count):
        time.sleep(max(0.0, due - time.monotonic()))
        due += interval_s
        next_register = with_changed_slots(next_register, rng)
        at = fleets.submit(next_register)
        accepted_at[fleets.version] = at
    return accepted_at


def _submit(
    fleets: Fleets, rng: random.Random, version_count: int, interval_s: float
) -> dict[int, float]:
    return submit_at_interval(fleets, rng, SERVICES, version_count, interval_s)


def _measure_baseline(fleets: Fleets, rng: random.Random) -> dict[str, float]:
    start = time.monotonic()
    idle_rate = _idle_bytes_per_s(fleets)
    accepted_at = _submit(fleets, rng, BASELINE_VERSIONS, STEADY_INTERVAL_S)
    fleets.wait_applied(fleets.version)
    time.sleep(1)
    return {
        'bytes_per_version_per_node': _bytes_per_version(
            fleets, start, idle_rate, len(accepted_at)
        )
    }


def _idle_bytes_per_s(fleets: Fleets) -> float:
    """Returns bytes per second of all agents while nothing is submitted."""
    start = time.monotonic()
    time.sleep(4)
    return fleets.bytes_between(start, time.monotonic()).total / 4


def _bytes_per_version(
    fleets: Fleets, start: float, idle_rate: float, version_count: int
) -> float:
    """Returns bytes per version and node beyond the idle traffic."""
    end = time.monotonic()
    extra_bytes = fleets.bytes_between(start, end).total - idle_rate * (
        end - start
    )
    return max(0.0, extra_bytes) / version_count / fleets.agent_count


def _measure_rates(fleets: Fleets, rng: random.Random) -> dict[str, float]:
    start = time.monotonic()
    accepted_at = _submit(fleets, rng, TARGET_VERSIONS, TARGET_INTERVAL_S)
    target_end = time.monotonic()
    target_bytes = fleets.bytes_between(start, target_end).total
    idle_rate = _idle_bytes_per_s(fleets)
    start = time.monotonic()
    steady_accepted_at = _submit(
        fleets, rng, STEADY_VERSIONS, STEADY_INTERVAL_S
    )
    fleets.wait_applied(fleets.version)
    time.sleep(1)
    bytes_per_version = _bytes_per_version(
        fleets, start, idle_rate, len(steady_accepted_at)
    )
    accepted_at.update(steady_accepted_at)
    for _ in range(BURSTS):
        accepted_at.update(_submit(fleets, rng, VERSIONS_PER_BURST, 0.0))
        time.sleep(0.5)
    fleets.wait_applied(fleets.version)
    time.sleep(0.5)
    delays = convergence_delays(fleets, accepted_at)
    return {
        'p50_s': percentile(delays, 0.5),
        'p99_s': percentile(delays, 0.99),
        'max_s': max(delays),
        'versions': len(accepted_at),
        'control_bytes_per_node_s': target_bytes
        / fleets.agent_count
        / (TARGET_VERSIONS * TARGET_INTERVAL_S),
        'bytes_per_version_per_node': bytes_per_version,
    }


def convergence_delays(
    fleets: Fleets, accepted_at: dict[int, float]
) -> list[float]:
    """Returns for each version the seconds until the last agent applied it."""
    applied_by_version = fleets.apply_times()
    delays = []
    for version, at in accepted_at.items():
        applied_by_agent = applied_by_version.get(version, {})
        assert len(applied_by_agent) == fleets.agent_count, (
            f'version {version} applied by {len(applied_by_agent)} agents'
        )
        delays.append(max(applied_by_agent.values()) - at)
    return delays
