"""Latency and processor time that nodes add to a call.

The same calls go to the server directly, through one node, through two nodes,
through a bare relay without routing decisions and through a blacksheep relay.
Short blocks of each are interleaved within one run, at the target's 265 calls
per second.
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

RATE_PER_S = 265.0  # per node
BLOCK_S = 1.0
BLOCKS = 12
SERVERS = [
    ('svc-0', 'a', {'service_ms': 0, 'slots': 64}),
    ('svc-1', 'a', {'service_ms': 0}),
]


@dataclass(slots=True)
class CallPath:
    """A path to the server, with the results and processor time of its calls."""

    address: str
    processes: list[Process]
    results: list[list[CallResult]] = field(default_factory=list)
    cpu_s: float = 0.0

    def total_cpu_s(self) -> float:
        """Returns the processor time that its processes have used so far."""
        return sum(process.cpu_s() for process in self.processes)


def run(seed: int) -> dict[str, float]:
    """Measures every path."""
    services = [
        make_service(0, 2, slots=64, anyone=True),
        make_service(1, 2, anyone=True),
    ]
    register = Register(mesh='relay', services=services)
    with running_mesh(['a'], register, SERVERS) as mesh:
        paths = _start_paths(mesh)
        return run_async(lambda: _measure(paths, random.Random(seed)))


def _start_paths(mesh: Mesh) -> dict[str, CallPath]:
    backend_address = mesh.backend_address['b-svc-0-0']
    server_node, caller_node = node_name('svc-0', 0), node_name('svc-1', 1)
    paths = {
        'direct': CallPath(backend_address, []),
        'one_hop': CallPath(
            mesh.node_address[server_node], [mesh.nodes[server_node]]
        ),
        'two_hops': CallPath(
            mesh.node_address[caller_node],
            [mesh.nodes[server_node], mesh.nodes[caller_node]],
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
            backend_address,
        ]
        process = Process(kind, command, mesh.folder / f'{kind}.log')
        mesh.backends[kind] = process
        paths[kind] = CallPath(address, [process])
        wait_until(lambda: bool(get_json(address, '/items/1')), kind)
    return paths


async def _measure(
    paths: dict[str, CallPath], rng: random.Random
) -> dict[str, float]:
    caller = Caller()
    for path in paths.values():
        await _run_block(caller, path, rng)
        path.results.clear()
        path.cpu_s = 0.0
    for _ in range(BLOCKS):
        order = list(paths.values())
        rng.shuffle(order)
        for path in order:
            await _run_block(caller, path, rng)
    caller.close()
    return _figures(paths)


async def _run_block(
    caller: Caller, path: CallPath, rng: random.Random
) -> None:
    cpu_before_s = path.total_cpu_s()
    results = await run_open_loop(
        poisson_arrivals(RATE_PER_S, BLOCK_S, rng),
        lambda: caller.call(path.address, 'GET', 'svc-0', '/items/1'),
    )
    path.cpu_s += path.total_cpu_s() - cpu_before_s
    path.results.append(results)


def _figures(paths: dict[str, CallPath]) -> dict[str, float]:
    direct = paths['direct']
    for direct_result in (
        result for block in direct.results for result in block
    ):
        direct_result.outcome = '0 DONE'
    figures: dict[str, float] = {}
    for name, path in paths.items():
        calls = sum(len(block) for block in path.results)
        figures[f'{name}_p50_ms'] = statistics.median(
            latency_percentile_ms(block, 50) for block in path.results
        )
        figures[f'{name}_failed'] = sum(
            not result.succeeded for block in path.results for result in block
        )
        if name == 'direct':
            continue
        figures[f'{name}_cpu_ms_per_call'] = path.cpu_s * 1000 / calls
        for percent in (50, 99):
            added = [
                latency_percentile_ms(block, percent)
                - latency_percentile_ms(direct_block, percent)
                for block, direct_block in zip(
                    path.results, direct.results, strict=True
                )
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
