"""Open connections go silent for good while new ones work.

Quick and slow calls run through one entry node; then the connections to one
node are forgotten by the link. Slow answers (900 ms) must not be given up.
"""

import asyncio
import random
from typing import Any

from bench.calls import node_name, run_async, running_mesh
from bench.load import Caller, CallResult, poisson_arrivals, run_open_loop
from bench.mesh import Mesh
from bench.registers import make_service
from papayalock.messages import Register

QUICK_RATE = 120.0
SLOW_RATE = 10.0
PHASE_S = 6.0
ACT_AT_S = 2.0
AFFECTED_S = 0.25  # a quick call that took longer met a dead connection
QUICK: dict[str, Any] = {'service_ms': 5, 'slots': 64}
SLOW: dict[str, Any] = {'service_ms': 900, 'slots': 64, 'spread': 0}
SERVERS = [
    ('svc-0', 'a', QUICK),
    ('svc-0', 'a', QUICK),
    ('svc-0', 'a', QUICK),
    ('svc-1', 'a', SLOW),
    ('svc-2', 'a', QUICK),
]


def run(seed: int) -> dict[str, float]:
    """Forgets the connections to a quick node, then to the slow one."""
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
    entry = mesh.node_address[node_name('svc-2', 4)]
    loop = asyncio.get_running_loop()
    begun = loop.time()
    marks: list[tuple[float, CallResult]] = []
    quick, slow, _ = await asyncio.gather(
        run_open_loop(
            poisson_arrivals(QUICK_RATE, PHASE_S, rng),
            lambda: _marked(caller, entry, begun, marks),
        ),
        run_open_loop(
            poisson_arrivals(SLOW_RATE, PHASE_S, rng),
            lambda: caller.call(entry, 'PUT', 'svc-1', '/items/1'),
        ),
        _forget(mesh),
    )
    caller.close()
    late = [at for at, one in marks if one.latency_s > AFFECTED_S]
    return {
        'quick_calls': len(quick),
        'quick_failed': sum(not one.succeeded for one in quick),
        'quick_affected': len(late),
        'quick_slowest_s': max(one.latency_s for one in quick),
        'silent_until_s': max(late, default=ACT_AT_S) - ACT_AT_S,
        'slow_calls': len(slow),
        'slow_given_up_share': sum(not one.succeeded for one in slow)
        / len(slow),
    }


async def _marked(
    caller: Caller,
    entry: str,
    begun: float,
    marks: list[tuple[float, CallResult]],
) -> CallResult:
    result = await caller.call(entry, 'GET', 'svc-0', '/items/1')
    marks.append((asyncio.get_running_loop().time() - begun, result))
    return result


async def _forget(mesh: Mesh) -> None:
    await asyncio.sleep(ACT_AT_S)
    assert mesh.node_links is not None
    mesh.node_links.blackhole_connections(node_name('svc-0', 0))
