"""Many changes of the time-outs of all routes, one after the other."""

import asyncio
import json
import time
from collections import Counter
from pathlib import Path

from standins.deployment import CONNECTIVITY_WINDOW_S
from standins.memory import MemoryLimit
from standins.people import (
    config,
    get_config,
    publish_first,
    put_config,
    route,
    wait_ready,
)
from standins.play import play
from standins.server import Server

MEMORY_MB = 296  # of a core machine's process; see SYSTEM.md
RESTART_S = 0.5
ROUTES = 1000  # 300 idle ones, and a growth by 350 twice
CHANGES = 250
LONGEST_S = 60.0  # of the changes
RESPONSE_S = 1.0 + 0.003 * ROUTES  # a second, and more for a large body
BACKOFF_S = 0.3
CALM_S = 4.0
PAUSE_S = 8.0  # between the last change and the end of the day


def document(version, base, changed):
    """Returns a configuration; ``changed`` routes have a new time-out."""
    routes = [
        route(
            f'r-{number:05x}',
            f'/p{number:05x}/',
            'safe',
            1200 + (version if number < changed else 0),
            service='shop',
        )
        for number in range(ROUTES)
    ]
    return config(version, base, routes, ['shop'])


async def change_often(deployment, changed):
    """Sends changes as the operator does; returns the last one acknowledged."""
    addresses = deployment.operator_addresses
    until = time.monotonic() + LONGEST_S
    acked = 1
    turn = 0
    for version in range(2, CHANGES + 2):
        body = document(version, acked, changed)
        while True:
            if time.monotonic() > until:
                return acked
            address = addresses[turn % len(addresses)]
            status = await put_config(address, body, RESPONSE_S)
            if status == 200:
                acked = version
                break
            deployment.record.write(
                'operator',
                f'version {version} at {address}: {status or "no answer"}',
            )
            turn += 1
            await asyncio.sleep(BACKOFF_S)
    return acked


async def read_back(deployment):
    """Returns the version read at the end of the day, None if none came."""
    until = time.monotonic() + 2 * CONNECTIVITY_WINDOW_S
    newest = None
    while time.monotonic() < until:
        for address in deployment.operator_addresses:
            status, body = await get_config(address)
            if status == 200:
                newest = max(newest or 0, json.loads(body)['version'])
            deployment.record.write(
                'operator', f'reads back: {status or "no answer"} {newest}'
            )
        await asyncio.sleep(0.2)
    return newest


async def scene(deployment, trouble):
    """Returns what broke the rule, or ''."""
    record = deployment.record
    deployment.start_all()
    servers = [Server(node, 6, record) for node in deployment.nodes]
    for server in servers:
        await server.start()
    limit = MemoryLimit(deployment, deployment.core, MEMORY_MB, RESTART_S)
    watch = asyncio.create_task(limit.run())
    await publish_first(deployment, document(1, 0, 0))
    await wait_ready(deployment)
    await asyncio.sleep(CALM_S)
    acked = await change_often(deployment, ROUTES if trouble else 1)
    record.write('operator', f'version {acked} was acknowledged last')
    await asyncio.sleep(PAUSE_S)
    newest = await read_back(deployment)
    watch.cancel()
    for server in servers:
        server.stop()
    record.write('platform', f'most memory: {limit.most}')
    ends = dict(Counter(limit.killed))
    record.write('platform', f'ended over the limit: {ends}')
    if newest is not None and newest >= acked:
        return ''
    return (
        f'CONFIG: version {acked} was acknowledged, and read back came '
        f'{newest or "nothing"}; ended over {MEMORY_MB} MB: {ends}'
    )


if __name__ == '__main__':
    play(
        scene,
        services=['shop', 'shop'],
        zones=['ikeja', 'lekki', 'apapa'],
        folder=Path(__file__).parent,
    )
