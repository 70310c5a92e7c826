"""Processor time, bytes and memory per node, service and version.

Three control VMs in three zones; three sizes in nodes, then three in
services. Figures are per control VM and per node agent.
"""

import random
import tempfile
import time
from pathlib import Path

from bench.fleet import Fleets, wait_for_leader
from bench.mesh import Mesh
from bench.registers import make_register, with_changed_slots

ZONES = ['a', 'b', 'c']
NODES = (30, 90, 180)
NODES_SERVICES = 100
SERVICES = (100, 400, 1600)
SERVICES_NODES = 30
IDLE_S = 5.0
VERSIONS = 12
PACE_S = 0.4
MS = 1000


def run(seed: int) -> dict[str, float]:
    """Measures each size."""
    figures: dict[str, float] = {}
    for nodes in NODES:
        found = _measure(seed, nodes, NODES_SERVICES)
        figures.update(
            (f'nodes_{nodes}_{name}', one) for name, one in found.items()
        )
    for services in SERVICES:
        found = _measure(seed, SERVICES_NODES, services)
        figures.update(
            (f'services_{services}_{name}', one) for name, one in found.items()
        )
    return figures


def _measure(seed: int, nodes: int, services: int) -> dict[str, float]:
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as name:
        mesh = Mesh(Path(name), ZONES)
        fleets = Fleets(mesh, services)
        try:
            mesh.start_control()
            leader = wait_for_leader(mesh)
            whole = make_register(services)
            fleets.submit(whole)
            fleets.start(nodes // len(ZONES), seed=seed)
            fleets.wait_applied(fleets.version)
            time.sleep(3)
            return _figures(mesh, fleets, leader, rng)
        finally:
            fleets.stop()
            mesh.stop()


def _cpu(mesh: Mesh, fleets: Fleets, leader: str) -> tuple[float, float, float]:
    """Returns the processor time of the leader, a follower and all agents."""
    followers = [
        one.cpu_s() for name, one in mesh.control.items() if name != leader
    ]
    agents = sum(one.cpu_s() for one in fleets.processes)
    return mesh.control[leader].cpu_s(), sum(followers) / len(followers), agents


def _figures(
    mesh: Mesh, fleets: Fleets, leader: str, rng: random.Random
) -> dict[str, float]:
    start = time.monotonic()
    before = _cpu(mesh, fleets, leader)
    time.sleep(IDLE_S)
    idle_s = time.monotonic() - start
    idle = [
        (after - first) / idle_s
        for after, first in zip(_cpu(mesh, fleets, leader), before, strict=True)
    ]
    idle_bytes = fleets.bytes_between(start, time.monotonic()).total / idle_s
    busy_from = time.monotonic()
    before = _cpu(mesh, fleets, leader)
    whole = make_register(fleets.services)
    for _ in range(VERSIONS):
        due = time.monotonic() + PACE_S
        whole = with_changed_slots(whole, rng)
        fleets.submit(whole)
        time.sleep(max(0.0, due - time.monotonic()))
    fleets.wait_applied(fleets.version)
    busy_s = time.monotonic() - busy_from
    busy = [
        after - first
        for after, first in zip(_cpu(mesh, fleets, leader), before, strict=True)
    ]
    per_version = [
        max(0.0, used - rate * busy_s) / VERSIONS * MS
        for used, rate in zip(busy, idle, strict=True)
    ]
    time.sleep(0.3)
    busy_bytes = fleets.bytes_between(busy_from, time.monotonic()).total
    return {
        'leader_idle_cpu': idle[0],
        'follower_idle_cpu': idle[1],
        'agent_idle_cpu': idle[2] / fleets.agent_count,
        'leader_ms_per_version': per_version[0],
        'follower_ms_per_version': per_version[1],
        'agent_ms_per_version': per_version[2] / fleets.agent_count,
        'idle_bytes_s': idle_bytes / fleets.agent_count,
        'bytes_per_version': max(0.0, busy_bytes - idle_bytes * busy_s)
        / VERSIONS
        / fleets.agent_count,
        'leader_rss_mb': mesh.control[leader].rss_mb(),
        'log_mb': sum(
            one.stat().st_size for one in (mesh.folder / leader).glob('config*')
        )
        / 1e6,
    }
