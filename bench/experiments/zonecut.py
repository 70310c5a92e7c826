"""One availability zone is partitioned from the other zones' control VMs.

The partitioned zone keeps its own control VM, nodes and servers. Measured:
the share of calls served on each side, for reads and for at-most-once calls;
how soon a node that restarts in the partitioned zone serves again; and how
soon that zone has the newest version after the repair.
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
CALLS_PER_SHARE = 200


def run(seed: int) -> dict[str, float]:
    """Partitions zone c, then repairs the links."""
    with tempfile.TemporaryDirectory() as folder:
        mesh = Mesh(Path(folder), ZONES, settings=SETTINGS)
        links = mesh.use_control_links()
        try:
            mesh.start_control()
            wait_for_leader(mesh)
            fleets = Fleets(mesh, 0)
            fleets.submit(_one_service(8))
            for number, zone in enumerate(ZONES):
                mesh.start_node(node_name('svc-0', number), zone)
                mesh.start_backend(
                    f'b-{number}', 'svc-0', node_name('svc-0', number), slots=64
                )
            for number in range(3):
                wait_until(lambda: _sees_all_servers(mesh, number), 'ready')
            return run_async(
                lambda: _measure(mesh, links, fleets, random.Random(seed))
            )
        finally:
            mesh.stop()


def _one_service(slots: int) -> Register:
    return Register(
        mesh='cut', services=[make_service(0, 1, slots=slots, anyone=True)]
    )


def _sees_all_servers(mesh: Mesh, number: int) -> bool:
    address = mesh.node_address[node_name('svc-0', number)]
    explanation = get_json(
        address, '/papayalock/explain?service=svc-0&path=/items/1'
    )
    return explanation['code'] == 0 and len(explanation['servers']) == 3  # type: ignore[arg-type]


async def _measure(
    mesh: Mesh, links: Any, fleets: Fleets, rng: random.Random
) -> dict[str, float]:
    caller = Caller()
    cut_address = mesh.node_address[node_name('svc-0', 2)]
    rest_address = mesh.node_address[node_name('svc-0', 0)]
    await asyncio.to_thread(links.isolate, 'control-c-0')
    await asyncio.sleep(2)
    figures = {
        'cut_reads_served': await _call_share(
            caller, cut_address, 'GET', 'cut-read'
        ),
        'cut_once_not_run': await _call_share(
            caller, cut_address, 'POST', 'cut-once', expected='not_run'
        ),
        'rest_reads_served': await _call_share(
            caller, rest_address, 'GET', 'rest-read'
        ),
        'rest_once_served': await _call_share(
            caller, rest_address, 'POST', 'rest-once'
        ),
    }
    await asyncio.to_thread(fleets.submit, _one_service(9))
    version = fleets.version
    process = mesh.nodes[node_name('svc-0', 2)]
    process.kill()
    process.restart()
    start = time.monotonic()
    await asyncio.to_thread(
        wait_until, lambda: _can_route(cut_address), 'restarted node routes'
    )
    figures['cut_restart_s'] = time.monotonic() - start
    status = await asyncio.to_thread(
        get_json, cut_address, '/papayalock/status'
    )
    figures['cut_restart_behind'] = version - int(str(status['version']))
    figures['cut_restart_reads_served'] = await _call_share(
        caller, cut_address, 'GET', 'cut-again'
    )
    links.restore()
    start = time.monotonic()
    await asyncio.to_thread(
        wait_until,
        lambda: (
            get_json(cut_address, '/papayalock/status')['version'] == version
        ),
        'current',
    )
    figures['current_after_repair_s'] = time.monotonic() - start
    figures['repaired_once_served'] = await _call_share(
        caller, cut_address, 'POST', 'again-once'
    )
    caller.close()
    return figures


def _can_route(address: str) -> bool:
    explanation = get_json(
        address, '/papayalock/explain?service=svc-0&path=/items/1'
    )
    return explanation['code'] == 0 and bool(explanation['servers'])


async def _call_share(
    caller: Caller,
    address: str,
    method: str,
    key_prefix: str,
    expected: str = 'done',
) -> float:
    """Returns the share of calls that ended as expected.

    :param expected: ``done``, or any other word for a 'not run' code
    """
    results = await asyncio.gather(
        *(
            _call(caller, address, method, f'{key_prefix}-{number}')
            for number in range(CALLS_PER_SHARE)
        )
    )
    if expected == 'done':
        return sum(result.succeeded for result in results) / CALLS_PER_SHARE
    return sum(100 <= result.code < 200 for result in results) / CALLS_PER_SHARE


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
