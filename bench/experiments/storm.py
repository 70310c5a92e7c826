"""All nodes are killed and restart at once while versions are accepted.

Two runs, with and without a limit on snapshots per second: time until the
last node applied the newest version, memory of the control VMs, bytes sent.
"""

import random
import time

from bench.fleet import Fleets, running_fleets
from bench.mesh import Mesh, wait_until
from bench.registers import make_register, with_changed_slots

ZONES = ['a', 'b', 'c']
SERVICES = 300
AGENTS_PER_ZONE = 80
VERSIONS = 10
UNLIMITED_SNAPSHOTS_PER_S = 100_000
LIMITED_SNAPSHOTS_PER_S = 60  # per zone; the restart of all nodes exceeds it


def run(seed: int) -> dict[str, float]:
    """Measures both runs."""
    figures = {
        f'admitted_{name}': figure
        for name, figure in _measure_storm(
            seed, LIMITED_SNAPSHOTS_PER_S
        ).items()
    }
    figures.update(
        (f'open_{name}', figure)
        for name, figure in _measure_storm(
            seed, UNLIMITED_SNAPSHOTS_PER_S
        ).items()
    )
    figures['recover_max_s'] = figures['admitted_recover_max_s']
    return figures


def _measure_storm(seed: int, snapshots_per_s: int) -> dict[str, float]:
    rng = random.Random(seed)
    settings: dict[str, dict[str, object]] = {
        'distribution': {'snapshots_per_s': snapshots_per_s}
    }
    with running_fleets(ZONES, SERVICES, settings) as fleets:
        fleets.start(AGENTS_PER_ZONE, seed=seed)
        fleets.wait_applied(fleets.version)
        return _restart_agents(fleets.mesh, fleets, rng)


def _restart_agents(
    mesh: Mesh, fleets: Fleets, rng: random.Random
) -> dict[str, float]:
    next_register = make_register(SERVICES)
    for process in fleets.processes:
        process.kill()
        process.log_path.write_bytes(b'')
    for process in fleets.processes:
        process.restart()
    start = time.monotonic()
    peak_rss_mb = 0.0
    for _ in range(VERSIONS):
        next_register = with_changed_slots(next_register, rng)
        fleets.submit(next_register)
        peak_rss_mb = max(
            peak_rss_mb, *(vm.rss_mb() for vm in mesh.control.values())
        )
    wait_until(
        lambda: (
            len({number for number, _, _ in fleets.reports()})
            == fleets.agent_count
        ),
        'all nodes back',
    )
    fleets.wait_applied(fleets.version)
    first_report_at: dict[int, float] = {}
    for number, _, at in fleets.reports():
        first_report_at.setdefault(number, at)
    first_node_at = min(first_report_at.values())
    last_applied_at = max(fleets.apply_times()[fleets.version].values())
    peak_rss_mb = max(
        peak_rss_mb, *(vm.rss_mb() for vm in mesh.control.values())
    )
    time.sleep(0.3)
    return {
        'recover_max_s': last_applied_at - start,
        'first_node_s': first_node_at - start,
        'peak_control_rss_mb': peak_rss_mb,
        'bytes_total': fleets.bytes_between(0, time.monotonic()).total,
        'control_cpu_s': sum(vm.cpu_s() for vm in mesh.control.values()),
    }
