"""One availability zone is cut off from the control VMs of the others.

The cut zone keeps its own control VM, nodes and servers. Measured: share of
calls served in each half by class, that a node restarted in the cut zone
serves again, and how soon the cut zone is current after the repair.
"""

import asyncio
import random
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.calls import SETTINGS, node_name, run_async
from bench.fleet import Fleets, wait_for_leader
from bench.load import Caller, CallResult
from bench.mesh import Mesh, get_json, wait_until
from bench.registers import make_service
from papayalock.messages import Register

ZONES = ['a', 'b', 'c']
CALLS = 200


def run(seed: int) -> dict[str, float]:
    """Cuts zone c off, then repairs it."""
    with tempfile.TemporaryDirectory() as name:
        mesh = Mesh(Path(name), ZONES, settings=SETTINGS)
        links = mesh.use_control_links()
        try:
            mesh.start_control()
            wait_for_leader(mesh)
            fleets = Fleets(mesh, 0)
            fleets.submit(_register(8))
            for number, zone in enumerate(ZONES):
                mesh.start_node(node_name('svc-0', number), zone)
                mesh.start_backend(
                    f'b-{number}', 'svc-0', node_name('svc-0', number), slots=64
                )
            for number in range(3):
                wait_until(lambda: _ready(mesh, number), 'ready')
            return run_async(
                lambda: _measure(mesh, links, fleets, random.Random(seed))
            )
        finally:
            mesh.stop()


def _register(slots: int) -> Register:
    return Register(
        mesh='cut', services=[make_service(0, 1, slots=slots, anyone=True)]
    )


def _ready(mesh: Mesh, number: int) -> bool:
    address = mesh.node_address[node_name('svc-0', number)]
    found = get_json(address, '/papayalock/explain?service=svc-0&path=/items/1')
    return found['code'] == 0 and len(found['servers']) == 3  # type: ignore[arg-type]


async def _measure(
    mesh: Mesh, links: Any, fleets: Fleets, rng: random.Random
) -> dict[str, float]:
    caller = Caller()
    cut = mesh.node_address[node_name('svc-0', 2)]
    rest = mesh.node_address[node_name('svc-0', 0)]
    await asyncio.to_thread(links.isolate, 'control-c-0')
    await asyncio.sleep(2)
    figures = {
        'cut_reads_served': await _share(caller, cut, 'GET', 'cut-read'),
        'cut_once_not_run': await _share(
            caller, cut, 'POST', 'cut-once', wanted='not_run'
        ),
        'rest_reads_served': await _share(caller, rest, 'GET', 'rest-read'),
        'rest_once_served': await _share(caller, rest, 'POST', 'rest-once'),
    }
    await asyncio.to_thread(fleets.submit, _register(9))
    version = fleets.version
    process = mesh.nodes[node_name('svc-0', 2)]
    process.kill()
    process.restart()
    start = time.monotonic()
    await asyncio.to_thread(
        wait_until, lambda: _routes(cut), 'restarted node routes'
    )
    figures['cut_restart_s'] = time.monotonic() - start
    held = await asyncio.to_thread(get_json, cut, '/papayalock/status')
    figures['cut_restart_behind'] = version - int(str(held['version']))
    figures['cut_restart_reads_served'] = await _share(
        caller, cut, 'GET', 'cut-again'
    )
    links.restore()
    start = time.monotonic()
    await asyncio.to_thread(
        wait_until,
        lambda: get_json(cut, '/papayalock/status')['version'] == version,
        'current',
    )
    figures['current_after_repair_s'] = time.monotonic() - start
    figures['repaired_once_served'] = await _share(
        caller, cut, 'POST', 'again-once'
    )
    caller.close()
    return figures


def _routes(address: str) -> bool:
    found = get_json(address, '/papayalock/explain?service=svc-0&path=/items/1')
    return found['code'] == 0 and bool(found['servers'])


async def _share(
    caller: Caller, address: str, method: str, name: str, wanted: str = 'done'
) -> float:
    """Returns the share of calls that ended as wanted."""
    results = await asyncio.gather(
        *(
            _call(caller, address, method, f'{name}-{number}')
            for number in range(CALLS)
        )
    )
    if wanted == 'done':
        return sum(one.succeeded for one in results) / CALLS
    return sum(100 <= one.code < 200 for one in results) / CALLS


async def _call(
    caller: Caller, address: str, method: str, key: str
) -> CallResult:
    await asyncio.sleep(random.Random(key).random())
    headers = [(b'idempotency-key', key.encode())] if method == 'POST' else []
    path = '/items' if method == 'POST' else '/items/1'
    body = b'{}' if method == 'POST' else b''
    return await caller.call(
        address, method, 'svc-0', path, headers=headers, body=body
    )
