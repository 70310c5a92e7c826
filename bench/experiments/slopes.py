"""Processor time, bytes and memory per node, service and version.

Three control VMs in three zones, measured with three numbers of nodes, then
with three numbers of services. Figures are per control VM and per node agent.
"""

import random
import tempfile
import time
from pathlib import Path

from bench.fleet import Fleets, wait_for_leader
from bench.mesh import Mesh
from bench.registers import make_register, with_changed_slots

ZONES = ['a', 'b', 'c']
NODE_COUNTS = (30, 90, 180)
FIXED_SERVICE_COUNT = 100  # while the number of nodes varies
SERVICE_COUNTS = (100, 400, 1600)
FIXED_NODE_COUNT = 30  # while the number of services varies
IDLE_S = 5.0
VERSIONS = 12
VERSION_INTERVAL_S = 0.4
MS_PER_S = 1000


def run(seed: int) -> dict[str, float]:
    """Measures each number of nodes, then each number of services."""
    figures: dict[str, float] = {}
    for nodes in NODE_COUNTS:
        measured = _measure(seed, nodes, FIXED_SERVICE_COUNT)
        figures.update(
            (f'nodes_{nodes}_{name}', figure)
            for name, figure in measured.items()
        )
    for services in SERVICE_COUNTS:
        measured = _measure(seed, FIXED_NODE_COUNT, services)
        figures.update(
            (f'services_{services}_{name}', figure)
            for name, figure in measured.items()
        )
    return figures


def _measure(seed: int, nodes: int, services: int) -> dict[str, float]:
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        mesh = Mesh(Path(folder), ZONES)
        fleets = Fleets(mesh, services)
        try:
            mesh.start_control()
            leader = wait_for_leader(mesh)
            first_register = make_register(services)
            fleets.submit(first_register)
            fleets.start(nodes // len(ZONES), seed=seed)
            fleets.wait_applied(fleets.version)
            time.sleep(3)
            return _figures(mesh, fleets, leader, rng)
        finally:
            fleets.stop()
            mesh.stop()


def _cpu_seconds(
    mesh: Mesh, fleets: Fleets, leader: str
) -> tuple[float, float, float]:
    """Returns processor seconds: leader, mean of followers, all agents."""
    followers_s = [
        process.cpu_s()
        for name, process in mesh.control.items()
        if name != leader
    ]
    agents_s = sum(process.cpu_s() for process in fleets.processes)
    return (
        mesh.control[leader].cpu_s(),
        sum(followers_s) / len(followers_s),
        agents_s,
    )


def _figures(
    mesh: Mesh, fleets: Fleets, leader: str, rng: random.Random
) -> dict[str, float]:
    start = time.monotonic()
    cpu_before = _cpu_seconds(mesh, fleets, leader)
    time.sleep(IDLE_S)
    idle_s = time.monotonic() - start
    idle_cpu = [
        (later - earlier) / idle_s
        for later, earlier in zip(
            _cpu_seconds(mesh, fleets, leader), cpu_before, strict=True
        )
    ]
    idle_bytes_per_s = (
        fleets.bytes_between(start, time.monotonic()).total / idle_s
    )
    busy_from = time.monotonic()
    cpu_before = _cpu_seconds(mesh, fleets, leader)
    next_register = make_register(fleets.services)
    for _ in range(VERSIONS):
        due = time.monotonic() + VERSION_INTERVAL_S
        next_register = with_changed_slots(next_register, rng)
        fleets.submit(next_register)
        time.sleep(max(0.0, due - time.monotonic()))
    fleets.wait_applied(fleets.version)
    busy_s = time.monotonic() - busy_from
    busy_cpu_s = [
        later - earlier
        for later, earlier in zip(
            _cpu_seconds(mesh, fleets, leader), cpu_before, strict=True
        )
    ]
    ms_per_version = [
        max(0.0, used - rate * busy_s) / VERSIONS * MS_PER_S
        for used, rate in zip(busy_cpu_s, idle_cpu, strict=True)
    ]
    time.sleep(0.3)
    busy_bytes = fleets.bytes_between(busy_from, time.monotonic()).total
    return {
        'leader_idle_cpu': idle_cpu[0],
        'follower_idle_cpu': idle_cpu[1],
        'agent_idle_cpu': idle_cpu[2] / fleets.agent_count,
        'leader_ms_per_version': ms_per_version[0],
        'follower_ms_per_version': ms_per_version[1],
        'agent_ms_per_version': ms_per_version[2] / fleets.agent_count,
        'idle_bytes_s': idle_bytes_per_s / fleets.agent_count,
        'bytes_per_version': max(0.0, busy_bytes - idle_bytes_per_s * busy_s)
        / VERSIONS
        / fleets.agent_count,
        'leader_rss_mb': mesh.control[leader].rss_mb(),
        'log_mb': sum(
            path.stat().st_size
            for path in (mesh.folder / leader).glob('config*')
        )
        / 1e6,
    }
