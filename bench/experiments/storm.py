"""All nodes killed and back at once while versions are accepted.

Two runs, with storm admission and without it: time until the last node holds
what was newest when it came back, memory of the control VMs, bytes sent.
"""

import random
import time

from bench.fleet import Fleets, running_fleets
from bench.mesh import Mesh, wait_until
from bench.registers import make_register, with_changed_slots

ZONES = ['a', 'b', 'c']
SERVICES = 300
PER_ZONE = 80
VERSIONS = 10
UNBOUNDED = 100_000
BOUNDED = 60  # a second and zone, so that the storm exceeds it


def run(seed: int) -> dict[str, float]:
    """Measures both runs."""
    figures = {
        f'admitted_{name}': found
        for name, found in _storm(seed, BOUNDED).items()
    }
    figures.update(
        (f'open_{name}', found)
        for name, found in _storm(seed, UNBOUNDED).items()
    )
    figures['recover_max_s'] = figures['admitted_recover_max_s']
    return figures


def _storm(seed: int, per_second: int) -> dict[str, float]:
    rng = random.Random(seed)
    settings: dict[str, dict[str, object]] = {
        'distribution': {'snapshots_per_s': per_second}
    }
    with running_fleets(ZONES, SERVICES, settings) as fleets:
        fleets.start(PER_ZONE, seed=seed)
        fleets.wait_applied(fleets.version)
        return _kill_and_return(fleets.mesh, fleets, rng)


def _kill_and_return(
    mesh: Mesh, fleets: Fleets, rng: random.Random
) -> dict[str, float]:
    whole = make_register(SERVICES)
    for process in fleets.processes:
        process.kill()
        process.log_path.write_bytes(b'')
    for process in fleets.processes:
        process.restart()
    start = time.monotonic()
    peak = 0.0
    for _ in range(VERSIONS):
        whole = with_changed_slots(whole, rng)
        fleets.submit(whole)
        peak = max(peak, *(one.rss_mb() for one in mesh.control.values()))
    wait_until(
        lambda: (
            len({number for number, _, _ in fleets.reports()})
            == fleets.agent_count
        ),
        'all nodes back',
    )
    fleets.wait_applied(fleets.version)
    first: dict[int, float] = {}
    for number, _, at in fleets.reports():
        first.setdefault(number, at)
    came_up = min(first.values())
    last = max(fleets.apply_times()[fleets.version].values())
    peak = max(peak, *(one.rss_mb() for one in mesh.control.values()))
    time.sleep(0.3)
    return {
        'recover_max_s': last - start,
        'first_node_s': came_up - start,
        'peak_control_rss_mb': peak,
        'bytes_total': fleets.bytes_between(0, time.monotonic()).total,
        'control_cpu_s': sum(one.cpu_s() for one in mesh.control.values()),
    }
