"""Latency that two nodes add to a host-routed call on an idle mesh.

Calls of the same kind alternate between a direct connection to a backend
server and the way through the caller's node and the server's node.
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
WARMUP_CALLS = 100
SETTLE_S = 2.0
MS_PER_S = 1000


def run(seed: int) -> dict[str, float]:
    """Returns medians and 99th percentiles in ms."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), SERVERS, linked=False)
        try:
            cluster.start()
            direct, through_nodes = asyncio.run(_measure(cluster, seed))
        finally:
            cluster.stop()
    figures = {}
    for name, times in (
        ('direct', direct),
        ('through two nodes', through_nodes),
    ):
        percentiles = statistics.quantiles(times, n=100)
        figures[f'{name} p50 ms'] = percentiles[49] * MS_PER_S
        figures[f'{name} p99 ms'] = percentiles[98] * MS_PER_S
    for percentile in ('p50 ms', 'p99 ms'):
        added = (
            figures[f'through two nodes {percentile}']
            - figures[f'direct {percentile}']
        )
        figures[f'added {percentile}'] = added
    return figures


async def _measure(
    cluster: Cluster, seed: int
) -> tuple[list[float], list[float]]:
    await Operator(cluster.control_addresses, seed, []).publish_first()
    await asyncio.sleep(SETTLE_S)
    server_url = f'http://{cluster.listen_address("ledger-1")}'
    node_url = f'http://{cluster.outbound["node-desk-1"]}'
    direct: list[float] = []
    through_nodes: list[float] = []
    async with httpx.AsyncClient(trust_env=False) as http:
        for number in range(WARMUP_CALLS + CALLS):
            direct.append(await _time_call(http, server_url, f'd-{number}'))
            through_nodes.append(
                await _time_call(http, node_url, f't-{number}')
            )
    return direct[WARMUP_CALLS:], through_nodes[WARMUP_CALLS:]


async def _time_call(
    http: httpx.AsyncClient, base_url: str, call_id: str
) -> float:
    headers = {
        'host': 'mesh.example',
        CALL_HEADER.decode(): call_id,
        REMAINING_HEADER.decode(): '1000',
    }
    started = time.perf_counter()
    response = await http.get(f'{base_url}/status/1', headers=headers)
    response.raise_for_status()
    return time.perf_counter() - started
