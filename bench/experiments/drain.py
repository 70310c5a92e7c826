"""A draining server, a planned stop and connections that went silent.

Calls run all the while; a drained server must get no new work after a few
seconds, a planned stop must cut nothing, and calls must leave dead
connections without giving up slow answers.
"""

import asyncio
import random
import time
from typing import Any

from bench.calls import node_name, run_async, running_mesh
from bench.load import Caller, CallResult, poisson_arrivals, run_open_loop
from bench.mesh import Mesh, get_json
from bench.registers import make_service
from papayalock.messages import Register

RATE = 150.0
SERVERS: list[tuple[str, str, dict[str, Any]]] = [
    ('svc-0', 'a', {'service_ms': 20, 'slots': 64}),
    ('svc-0', 'a', {'service_ms': 20, 'slots': 64}),
    ('svc-0', 'a', {'service_ms': 20, 'slots': 64}),
    ('svc-1', 'a', {}),
]
PHASE_S = 6.0
ACT_AT_S = 2.0


def run(seed: int) -> dict[str, float]:
    """Runs the three phases over one mesh."""
    services = [
        make_service(0, 2, slots=64, anyone=True),
        make_service(1, 2, anyone=True),
    ]
    with running_mesh(
        ['a'], Register(mesh='drain', services=services), SERVERS
    ) as mesh:
        rng = random.Random(seed)
        return run_async(lambda: _phases(mesh, rng))


async def _phases(mesh: Mesh, rng: random.Random) -> dict[str, float]:
    entry = mesh.node_address[node_name('svc-1', 3)]
    caller = Caller()
    figures: dict[str, float] = {}
    served: list[tuple[float, int]] = []
    drained = await _with_calls(caller, entry, rng, _drain(mesh, served))
    figures['drain_failed'] = _failed(drained)
    figures['new_work_after_s'] = _last_growth(served)
    stopped = await _with_calls(caller, entry, rng, _stop(mesh))
    figures['cut_in_flight'] = _failed(stopped)
    killed = await _with_calls(caller, entry, rng, _freeze(mesh))
    figures['frozen_failed'] = _failed(killed)
    figures['frozen_slowest_s'] = max(one.latency_s for one in killed)
    figures['calls'] = len(drained) + len(stopped) + len(killed)
    caller.close()
    return figures


async def _with_calls(
    caller: Caller, entry: str, rng: random.Random, act: Any
) -> list[CallResult]:
    acting = asyncio.create_task(act)
    results = await run_open_loop(
        poisson_arrivals(RATE, PHASE_S, rng),
        lambda: caller.call(entry, 'GET', 'svc-0', '/items/1'),
    )
    await acting
    return results


def _failed(results: list[CallResult]) -> int:
    return sum(not one.succeeded for one in results)


async def _drain(mesh: Mesh, served: list[tuple[float, int]]) -> None:
    """Drains the first server and follows what it serves."""
    backend = mesh.backend_address['b-svc-0-0']
    await asyncio.sleep(ACT_AT_S)
    await asyncio.to_thread(get_json, backend, '/drain')
    start = time.monotonic()
    while time.monotonic() - start < PHASE_S - ACT_AT_S - 0.5:
        tally = await asyncio.to_thread(get_json, backend, '/tally')
        served.append((time.monotonic() - start, int(str(tally['served']))))
        await asyncio.sleep(0.02)


def _last_growth(served: list[tuple[float, int]]) -> float:
    """Returns when the served count last grew."""
    last = 0.0
    for (_, before), (at, after) in zip(served, served[1:], strict=False):
        if after > before:
            last = at
    return last


async def _stop(mesh: Mesh) -> None:
    """Stops the node of the second server gracefully."""
    await asyncio.sleep(ACT_AT_S)
    process = mesh.nodes[node_name('svc-0', 1)]
    await asyncio.to_thread(process.terminate)


async def _freeze(mesh: Mesh) -> None:
    """Restarts the stopped node, then freezes it: its connections go silent."""
    process = mesh.nodes[node_name('svc-0', 1)]
    process.restart()
    await asyncio.sleep(ACT_AT_S)
    process.suspend()
    await asyncio.sleep(PHASE_S - ACT_AT_S - 0.2)
    process.resume()
