"""Resident memory of nodes and control VMs, in a small and a large mesh.

The large mesh is the part of the target that one node sees: a node of one
service among 3,300, with its share of the 23,000 servers (its own service and
five callees, seven servers each).
"""

import random
import tempfile
import time
from pathlib import Path

from bench.fleet import Fleets, wait_for_leader
from bench.mesh import Mesh, get_json, wait_until
from bench.registers import make_register, with_changed_slots

SERVICES = 3300
SERVERS_PER_SERVICE = 7
SERVICES_IN_SCOPE = 6  # its own service and five callees
SETTINGS: dict[str, dict[str, object]] = {'membership': {'announce_ms': 500}}


def run(seed: int) -> dict[str, float]:
    """Measures the small mesh, then the large one."""
    figures = _measure_small(seed)
    figures.update(_measure_large(seed))
    return figures


def _measure_small(seed: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        mesh = Mesh(Path(folder), ['a'], settings=SETTINGS)
        try:
            mesh.start_control()
            wait_for_leader(mesh)
            fleets = Fleets(mesh, 2)
            fleets.submit(make_register(2))
            for number in range(2):
                mesh.start_node(f'n{number}', 'a')
                mesh.start_backend(f'b{number}', f'svc-{number}', f'n{number}')
            wait_until(
                lambda: all(_is_configured(mesh, node) for node in mesh.nodes),
                'nodes current',
            )
            time.sleep(2)
            return {
                'node_rss_mb': mesh.nodes['n0'].rss_mb(),
                'control_rss_mb': mesh.control['control-a-0'].rss_mb(),
            }
        finally:
            mesh.stop()


def _measure_large(seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        mesh = Mesh(Path(folder), ['a'], settings=SETTINGS)
        fleets = Fleets(mesh, SERVICES_IN_SCOPE)
        try:
            mesh.start_control()
            wait_for_leader(mesh)
            next_register = make_register(SERVICES)
            fleets.submit(next_register)
            fleets.start(SERVICES_IN_SCOPE * SERVERS_PER_SERVICE)
            mesh.start_node('n0', 'a')
            mesh.start_backend('b0', 'svc-0', 'n0')
            wait_until(lambda: _is_configured(mesh, 'n0'), 'node current')
            for _ in range(20):
                next_register = with_changed_slots(next_register, rng)
                fleets.submit(next_register)
            time.sleep(2)
            return {
                'node_rss_target_mb': mesh.nodes['n0'].rss_mb(),
                'control_rss_target_services_mb': mesh.control[
                    'control-a-0'
                ].rss_mb(),
            }
        finally:
            fleets.stop()
            mesh.stop()


def _is_configured(mesh: Mesh, node: str) -> bool:
    status = get_json(mesh.node_address[node], '/papayalock/status')
    return bool(status['services'])
