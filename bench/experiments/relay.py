"""Time and processor time that nodes add to a call.

The same calls go directly, through one node, through two, through a bare
relay without decisions and through a blacksheep relay, in short interleaved
blocks within one run at the target's 265 calls a second.
"""

import random
import statistics
import sys
from dataclasses import dataclass, field

from bench.calls import node_name, run_async, running_mesh
from bench.load import (
    Caller,
    CallResult,
    latency_percentile_ms,
    poisson_arrivals,
    run_open_loop,
)
from bench.mesh import Mesh, Process, free_port, get_json, wait_until
from bench.registers import make_service
from papayalock.messages import Register

RATE = 265.0  # calls a second and node
BLOCK_S = 1.0
BLOCKS = 12
SERVERS = [
    ('svc-0', 'a', {'service_ms': 0, 'slots': 64}),
    ('svc-1', 'a', {'service_ms': 0}),
]


@dataclass(slots=True)
class Way:
    """One way to the server, and what was measured on it."""

    address: str
    processes: list[Process]
    results: list[list[CallResult]] = field(default_factory=list)
    cpu_s: float = 0.0

    def cpu(self) -> float:
        """Returns the processor time of its processes so far."""
        return sum(one.cpu_s() for one in self.processes)


def run(seed: int) -> dict[str, float]:
    """Measures every way."""
    services = [
        make_service(0, 2, slots=64, anyone=True),
        make_service(1, 2, anyone=True),
    ]
    register = Register(mesh='relay', services=services)
    with running_mesh(['a'], register, SERVERS) as mesh:
        ways = _ways(mesh)
        return run_async(lambda: _measure(ways, random.Random(seed)))


def _ways(mesh: Mesh) -> dict[str, Way]:
    backend = mesh.backend_address['b-svc-0-0']
    own, other = node_name('svc-0', 0), node_name('svc-1', 1)
    ways = {
        'direct': Way(backend, []),
        'one_hop': Way(mesh.node_address[own], [mesh.nodes[own]]),
        'two_hops': Way(
            mesh.node_address[other], [mesh.nodes[own], mesh.nodes[other]]
        ),
    }
    for kind in ('bare', 'blacksheep'):
        address = f'127.0.0.1:{free_port()}'
        command = [
            sys.executable,
            '-m',
            'bench.relays',
            kind,
            '--listen',
            address,
            '--target',
            backend,
        ]
        process = Process(kind, command, mesh.folder / f'{kind}.log')
        mesh.backends[kind] = process
        ways[kind] = Way(address, [process])
        wait_until(lambda: bool(get_json(address, '/items/1')), kind)
    return ways


async def _measure(
    ways: dict[str, Way], rng: random.Random
) -> dict[str, float]:
    caller = Caller()
    for way in ways.values():
        await _block(caller, way, rng)
        way.results.clear()
        way.cpu_s = 0.0
    for _ in range(BLOCKS):
        order = list(ways.values())
        rng.shuffle(order)
        for way in order:
            await _block(caller, way, rng)
    caller.close()
    return _figures(ways)


async def _block(caller: Caller, way: Way, rng: random.Random) -> None:
    before = way.cpu()
    results = await run_open_loop(
        poisson_arrivals(RATE, BLOCK_S, rng),
        lambda: caller.call(way.address, 'GET', 'svc-0', '/items/1'),
    )
    way.cpu_s += way.cpu() - before
    way.results.append(results)


def _figures(ways: dict[str, Way]) -> dict[str, float]:
    direct = ways['direct']
    for one in (result for block in direct.results for result in block):
        one.outcome = '0 DONE'
    figures: dict[str, float] = {}
    for name, way in ways.items():
        calls = sum(len(block) for block in way.results)
        figures[f'{name}_p50_ms'] = statistics.median(
            latency_percentile_ms(block, 50) for block in way.results
        )
        figures[f'{name}_failed'] = sum(
            not one.succeeded for block in way.results for one in block
        )
        if name == 'direct':
            continue
        figures[f'{name}_cpu_ms_per_call'] = way.cpu_s * 1000 / calls
        for percent in (50, 99):
            added = [
                latency_percentile_ms(block, percent)
                - latency_percentile_ms(base, percent)
                for block, base in zip(way.results, direct.results, strict=True)
            ]
            figures[f'{name}_added_p{percent}_ms'] = statistics.median(added)
            figures[f'{name}_added_p{percent}_low_ms'] = min(added)
            figures[f'{name}_added_p{percent}_high_ms'] = max(added)
    figures['added_p50_ms'] = figures['one_hop_added_p50_ms']
    figures['added_p99_ms'] = figures['one_hop_added_p99_ms']
    figures['cpu_ms_per_call'] = figures['one_hop_cpu_ms_per_call']
    figures['cpu_ratio_to_bare'] = (
        figures['one_hop_cpu_ms_per_call'] / figures['bare_cpu_ms_per_call']
    )
    figures['cpu_ratio_to_blacksheep'] = (
        figures['one_hop_cpu_ms_per_call']
        / figures['blacksheep_cpu_ms_per_call']
    )
    return figures
