"""What the two nodes of a host-routed call add to its time on a calm mesh.

The same kind of call goes to a backend server itself and through the node of
the caller and the node of the server, one after the other.
"""

import asyncio
import statistics
import tempfile
import time
from pathlib import Path

import httpx

from bench.soak.operator import Operator
from bench.soak.cluster import Cluster
from papayalock.native import CALL_HEADER, REMAINING_HEADER

SERVERS = {'desk-1': 'desk', 'ledger-1': 'ledger'}
CALLS = 1500
WARM = 100
SETTLE_S = 2.0
MS = 1000  # milliseconds in a second


def run(seed: int) -> dict[str, float]:
    """Returns medians and 99th percentiles in ms."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), SERVERS, linked=False)
        try:
            cluster.start()
            direct, through = asyncio.run(_measure(cluster, seed))
        finally:
            cluster.stop()
    figures = {}
    for name, times in (('direct', direct), ('through two nodes', through)):
        cuts = statistics.quantiles(times, n=100)
        figures[f'{name} p50 ms'] = cuts[49] * MS
        figures[f'{name} p99 ms'] = cuts[98] * MS
    for cut in ('p50 ms', 'p99 ms'):
        added = figures[f'through two nodes {cut}'] - figures[f'direct {cut}']
        figures[f'added {cut}'] = added
    return figures


async def _measure(
    cluster: Cluster, seed: int
) -> tuple[list[float], list[float]]:
    await Operator(cluster.control_addresses, seed, []).publish_first()
    await asyncio.sleep(SETTLE_S)
    server = f'http://{cluster.listen_address("ledger-1")}'
    node = f'http://{cluster.outbound["node-desk-1"]}'
    direct: list[float] = []
    through: list[float] = []
    async with httpx.AsyncClient(trust_env=False) as http:
        for number in range(WARM + CALLS):
            direct.append(await _time(http, server, f'd-{number}'))
            through.append(await _time(http, node, f't-{number}'))
    return direct[WARM:], through[WARM:]


async def _time(http: httpx.AsyncClient, base: str, call: str) -> float:
    headers = {
        'host': 'mesh.example',
        CALL_HEADER.decode(): call,
        REMAINING_HEADER.decode(): '1000',
    }
    began = time.perf_counter()
    answer = await http.get(f'{base}/status/1', headers=headers)
    answer.raise_for_status()
    return time.perf_counter() - began
