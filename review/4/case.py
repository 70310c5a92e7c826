"""One change of all time-outs, of a configuration with many split routes."""

import asyncio
import json
import time
from pathlib import Path

from standins.deployment import ACK_S, CONNECTIVITY_WINDOW_S
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

ROUTES = 1000  # 300 idle ones, and a growth by 350 twice
CALM_S = 4.0
DAY_S = 24.0  # from the change to the end of the day
RESPONSE_S = 1.0 + 0.003 * ROUTES  # a second, and more for a large body
MAX_BACKOFF_S = 3.2
SERVICES = ('shop-a', 'shop-b')


def routes(timeout_ms, changed):
    """Returns the routes, the first ``changed`` of them with a time-out."""
    split = [
        {'service': SERVICES[0], 'weight': 90},
        {'service': SERVICES[1], 'weight': 10},
    ]
    return [
        route(
            f'r-{number:05x}',
            f'/p{number:05x}/',
            'safe',
            timeout_ms if number < changed else 1200,
            traffic_split=split,
        )
        for number in range(ROUTES)
    ]


async def order(deployment, body, until):
    """Sends a change as the operator does; returns the seconds to its ack."""
    began = time.monotonic()
    addresses = deployment.operator_addresses
    backoff_s = 0.2
    turn = 0
    while time.monotonic() < until:
        address = addresses[turn % len(addresses)]
        turn += 1
        sent = time.monotonic()
        status = await put_config(address, body, RESPONSE_S)
        deployment.record.write(
            'operator',
            f'PUT at {address}: {status or "no answer"}'
            f' after {time.monotonic() - sent:.2f} s',
        )
        if status == 200:
            return time.monotonic() - began
        await asyncio.sleep(backoff_s)
        backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
    return None


async def watch_reads(deployment, until):
    """Reads the configuration at every VM by turns, for the record."""
    while time.monotonic() < until:
        for address in deployment.operator_addresses:
            status, body = await get_config(address)
            version = json.loads(body)['version'] if status == 200 else '-'
            deployment.record.write(
                'reader', f'GET at {address}: {status or "no answer"} {version}'
            )
        await asyncio.sleep(1.0)


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
    deployment.start_all()
    servers = [Server(node, 6, deployment.record) for node in deployment.nodes]
    for server in servers:
        await server.start()
    await publish_first(
        deployment, config(3, 0, routes(1200, 0), list(SERVICES))
    )
    await wait_ready(deployment)
    await asyncio.sleep(CALM_S)
    changed = ROUTES if trouble else 1
    body = config(5, 3, routes(1500, changed), list(SERVICES))
    deployment.record.write(
        'operator', f'changes the time-out of {changed} of {ROUTES} routes'
    )
    until = time.monotonic() + DAY_S if trouble else time.monotonic() + 15
    watcher = asyncio.create_task(watch_reads(deployment, until))
    acked_s = await order(deployment, body, until)
    await watcher
    newest = await read_back(deployment)
    for server in servers:
        server.stop()
    bound_s = ACK_S + 0.003 * ROUTES
    text = 'none' if acked_s is None else f'after {acked_s:.1f} s'
    deployment.record.write('operator', f'ack: {text}; bound {bound_s:.1f} s')
    broken = []
    if newest is None:
        broken.append(
            'CONFIG: the configuration did not come when it was read back'
        )
    if acked_s is None or acked_s > bound_s:
        broken.append(f'Acks: acknowledged {text}, not within {bound_s:.1f} s')
    return '; '.join(broken)


if __name__ == '__main__':
    play(
        scene,
        services=['shop-a', 'shop-b', 'shop-a', 'shop-b'],
        zones=['ikeja', 'lekki', 'apapa'],
        folder=Path(__file__).parent,
    )
