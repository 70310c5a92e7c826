"""Open connections stop delivering bytes for good while new ones work.

Quick and slow calls run through one entry node. Then the link drops all bytes
of the connections that are open to one node, without closing them. Calls with
slow responses (900 ms) must not be abandoned.
"""

import asyncio
import random
from typing import Any

from bench.calls import node_name, run_async, running_mesh
from bench.load import Caller, CallResult, poisson_arrivals, run_open_loop
from bench.mesh import Mesh
from bench.registers import make_service
from papayalock.messages import Register

QUICK_RATE_PER_S = 120.0
SLOW_RATE_PER_S = 10.0
PHASE_S = 6.0
ACTION_DELAY_S = 2.0
AFFECTED_LATENCY_S = 0.25  # a slower quick call used a dead connection
QUICK_SERVER: dict[str, Any] = {'service_ms': 5, 'slots': 64}
SLOW_SERVER: dict[str, Any] = {'service_ms': 900, 'slots': 64, 'spread': 0}
SERVERS = [
    ('svc-0', 'a', QUICK_SERVER),
    ('svc-0', 'a', QUICK_SERVER),
    ('svc-0', 'a', QUICK_SERVER),
    ('svc-1', 'a', SLOW_SERVER),
    ('svc-2', 'a', QUICK_SERVER),
]


def run(seed: int) -> dict[str, float]:
    """Blackholes the open connections to one node of the quick service."""
    services = [
        make_service(number, 3, slots=64, anyone=True) for number in range(3)
    ]
    with running_mesh(
        ['a'],
        Register(mesh='silent', services=services),
        SERVERS,
        node_links=True,
    ) as mesh:
        return run_async(lambda: _measure(mesh, random.Random(seed)))


async def _measure(mesh: Mesh, rng: random.Random) -> dict[str, float]:
    caller = Caller()
    entry_address = mesh.node_address[node_name('svc-2', 4)]
    loop = asyncio.get_running_loop()
    started = loop.time()
    timed_results: list[tuple[float, CallResult]] = []
    quick, slow, _ = await asyncio.gather(
        run_open_loop(
            poisson_arrivals(QUICK_RATE_PER_S, PHASE_S, rng),
            lambda: _timed_call(caller, entry_address, started, timed_results),
        ),
        run_open_loop(
            poisson_arrivals(SLOW_RATE_PER_S, PHASE_S, rng),
            lambda: caller.call(entry_address, 'PUT', 'svc-1', '/items/1'),
        ),
        _blackhole_connections(mesh),
    )
    caller.close()
    affected_at = [
        at
        for at, result in timed_results
        if result.latency_s > AFFECTED_LATENCY_S
    ]
    return {
        'quick_calls': len(quick),
        'quick_failed': sum(not result.succeeded for result in quick),
        'quick_affected': len(affected_at),
        'quick_slowest_s': max(result.latency_s for result in quick),
        'silent_until_s': max(affected_at, default=ACTION_DELAY_S)
        - ACTION_DELAY_S,
        'slow_calls': len(slow),
        'slow_given_up_share': sum(not result.succeeded for result in slow)
        / len(slow),
    }


async def _timed_call(
    caller: Caller,
    entry_address: str,
    started: float,
    timed_results: list[tuple[float, CallResult]],
) -> CallResult:
    result = await caller.call(entry_address, 'GET', 'svc-0', '/items/1')
    timed_results.append((asyncio.get_running_loop().time() - started, result))
    return result


async def _blackhole_connections(mesh: Mesh) -> None:
    await asyncio.sleep(ACTION_DELAY_S)
    assert mesh.node_links is not None
    mesh.node_links.blackhole_connections(node_name('svc-0', 0))
