"""A draining server, a planned stop of a node and unresponsive connections.

Calls run throughout. A draining server must get no new calls after a few
seconds, a planned stop must abort no call, and calls must move away from dead
connections without abandoning slow responses.
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

RATE_PER_S = 150.0
SERVERS: list[tuple[str, str, dict[str, Any]]] = [
    ('svc-0', 'a', {'service_ms': 20, 'slots': 64}),
    ('svc-0', 'a', {'service_ms': 20, 'slots': 64}),
    ('svc-0', 'a', {'service_ms': 20, 'slots': 64}),
    ('svc-1', 'a', {}),
]
PHASE_S = 6.0
ACTION_DELAY_S = 2.0


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
        return run_async(lambda: _run_phases(mesh, rng))


async def _run_phases(mesh: Mesh, rng: random.Random) -> dict[str, float]:
    entry_address = mesh.node_address[node_name('svc-1', 3)]
    caller = Caller()
    figures: dict[str, float] = {}
    served_counts: list[tuple[float, int]] = []
    drained = await _call_during(
        caller, entry_address, rng, _drain_server(mesh, served_counts)
    )
    figures['drain_failed'] = _count_failed(drained)
    figures['new_work_after_s'] = _last_increase_s(served_counts)
    stopped = await _call_during(caller, entry_address, rng, _stop_node(mesh))
    figures['cut_in_flight'] = _count_failed(stopped)
    frozen = await _call_during(caller, entry_address, rng, _freeze_node(mesh))
    figures['frozen_failed'] = _count_failed(frozen)
    figures['frozen_slowest_s'] = max(result.latency_s for result in frozen)
    figures['calls'] = len(drained) + len(stopped) + len(frozen)
    caller.close()
    return figures


async def _call_during(
    caller: Caller, entry_address: str, rng: random.Random, action: Any
) -> list[CallResult]:
    """Makes calls for one phase while an action runs."""
    action_task = asyncio.create_task(action)
    results = await run_open_loop(
        poisson_arrivals(RATE_PER_S, PHASE_S, rng),
        lambda: caller.call(entry_address, 'GET', 'svc-0', '/items/1'),
    )
    await action_task
    return results


def _count_failed(results: list[CallResult]) -> int:
    return sum(not result.succeeded for result in results)


async def _drain_server(
    mesh: Mesh, served_counts: list[tuple[float, int]]
) -> None:
    """Drains the first server and samples how many calls it served."""
    backend_address = mesh.backend_address['b-svc-0-0']
    await asyncio.sleep(ACTION_DELAY_S)
    await asyncio.to_thread(get_json, backend_address, '/drain')
    start = time.monotonic()
    while time.monotonic() - start < PHASE_S - ACTION_DELAY_S - 0.5:
        tally = await asyncio.to_thread(get_json, backend_address, '/tally')
        served_counts.append(
            (time.monotonic() - start, int(str(tally['served'])))
        )
        await asyncio.sleep(0.02)


def _last_increase_s(served_counts: list[tuple[float, int]]) -> float:
    """Returns the time of the last increase of the served count."""
    last = 0.0
    for (_, before), (at, after) in zip(
        served_counts, served_counts[1:], strict=False
    ):
        if after > before:
            last = at
    return last


async def _stop_node(mesh: Mesh) -> None:
    """Stops the node of the second server gracefully."""
    await asyncio.sleep(ACTION_DELAY_S)
    process = mesh.nodes[node_name('svc-0', 1)]
    await asyncio.to_thread(process.terminate)


async def _freeze_node(mesh: Mesh) -> None:
    """Restarts the stopped node, then freezes it.

    Its connections stay open but deliver no bytes.
    """
    process = mesh.nodes[node_name('svc-0', 1)]
    process.restart()
    await asyncio.sleep(ACTION_DELAY_S)
    process.suspend()
    await asyncio.sleep(PHASE_S - ACTION_DELAY_S - 0.2)
    process.resume()
