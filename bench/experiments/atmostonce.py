"""Deposits with second taps while nodes, control VMs and links fail.

Every deposit is tapped up to three times through different nodes. The
stand-ins count runs by key; each answer carries its key, so that a crossed
one is seen.
"""

import asyncio
import json
import random
from collections.abc import Awaitable
from dataclasses import dataclass, field

from bench.calls import node_name, run_async, running_mesh
from bench.fleet import find_leader
from bench.load import (
    Caller,
    CallResult,
    latency_percentile_ms,
    poisson_arrivals,
)
from bench.mesh import Mesh, get_json
from bench.registers import make_service
from papayalock.messages import Register
from papayalock.result import Code

ZONES = ['a', 'b', 'c']
RATE = 120.0
SECONDS = 20.0
CALM_S = 4.0
SERVERS = [
    ('svc-0', zone, {'service_ms': 5, 'slots': 64})
    for zone in ('a', 'b', 'c', 'a')
]


@dataclass(slots=True)
class Deposit:
    """One key and the answers to its taps."""

    key: str
    results: list[CallResult] = field(default_factory=list)


def run(seed: int) -> dict[str, float]:
    """Taps through calm, then through faults."""
    register = Register(
        mesh='once', services=[make_service(0, 1, slots=64, anyone=True)]
    )
    with running_mesh(ZONES, register, SERVERS) as mesh:
        rng = random.Random(seed)
        return run_async(lambda: _measure(mesh, rng))


async def _measure(mesh: Mesh, rng: random.Random) -> dict[str, float]:
    caller = Caller()
    entries = [
        mesh.node_address[node_name('svc-0', number)]
        for number in range(len(SERVERS))
    ]
    reads = await _reads(caller, entries, rng)
    before = _cpu(mesh)
    calm = await _taps(caller, entries, rng, 'calm', CALM_S, taps=1)
    busiest = max(
        after - first for after, first in zip(_cpu(mesh), before, strict=True)
    )
    faulty, _ = await asyncio.gather(
        _taps(caller, entries, rng, 'fault', SECONDS, taps=3),
        _chaos(mesh, random.Random(rng.random()), SECONDS),
    )
    await asyncio.sleep(1)
    runs = await _runs(mesh)
    caller.close()
    figures = _verdict(calm + faulty, runs)
    figures['claims_per_leader_core_s'] = len(calm) / busiest
    first = [one.results[0] for one in calm]
    figures['claim_added_p50_ms'] = latency_percentile_ms(
        first, 50
    ) - latency_percentile_ms(reads, 50)
    figures['claim_added_p99_ms'] = latency_percentile_ms(
        first, 99
    ) - latency_percentile_ms(reads, 99)
    return figures


def _cpu(mesh: Mesh) -> list[float]:
    return [one.cpu_s() for one in mesh.control.values()]


async def _reads(
    caller: Caller, entries: list[str], rng: random.Random
) -> list[CallResult]:
    """Makes calls of the same length that need no claim."""
    calls: list[Awaitable[CallResult]] = []
    for _ in poisson_arrivals(RATE, CALM_S, rng):
        calls.append(
            asyncio.create_task(
                caller.call(rng.choice(entries), 'GET', 'svc-0', '/items/1')
            )
        )
        await asyncio.sleep(1 / RATE)
    return list(await asyncio.gather(*calls))


async def _taps(
    caller: Caller,
    entries: list[str],
    rng: random.Random,
    name: str,
    seconds: float,
    taps: int,
) -> list[Deposit]:
    loop = asyncio.get_running_loop()
    begun = loop.time()
    deposits = []
    tasks: list[asyncio.Task[None]] = []
    for number, at in enumerate(poisson_arrivals(RATE, seconds, rng)):
        delay = begun + at - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        deposit = Deposit(f'{name}-{number}')
        deposits.append(deposit)
        count = rng.randrange(1, taps + 1)
        tasks.extend(
            asyncio.create_task(_tap(caller, rng, entries, deposit))
            for _ in range(count)
        )
    await asyncio.gather(*tasks)
    return deposits


async def _tap(
    caller: Caller, rng: random.Random, entries: list[str], deposit: Deposit
) -> None:
    if deposit.results or rng.randrange(2):
        await asyncio.sleep(rng.random() * 0.8)
    headers = [
        (b'idempotency-key', deposit.key.encode()),
        (b'content-type', b'application/json'),
    ]
    result = await caller.call(
        rng.choice(entries),
        'POST',
        'svc-0',
        '/items',
        headers=headers,
        body=b'{"amount":5}',
        timeout_s=6,
    )
    deposit.results.append(result)


async def _chaos(mesh: Mesh, rng: random.Random, seconds: float) -> None:
    """Kills, freezes and restarts processes, one at a time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds - 3
    while loop.time() < until:
        await asyncio.sleep(0.4 + rng.random() * 0.6)
        kind = rng.randrange(4)
        if kind == 0:
            process = mesh.nodes[rng.choice(sorted(mesh.nodes))]
        elif kind == 1:
            process = mesh.control[rng.choice(sorted(mesh.control))]
        elif kind == 2:
            leader = await asyncio.to_thread(find_leader, mesh)
            process = mesh.control.get(leader, mesh.control['control-a-0'])
        else:
            process = mesh.nodes[rng.choice(sorted(mesh.nodes))]
            process.suspend()
            await asyncio.sleep(0.2 + rng.random())
            process.resume()
            continue
        process.kill()
        await asyncio.sleep(rng.random() * 0.6)
        process.restart()


async def _runs(mesh: Mesh) -> dict[str, int]:
    runs: dict[str, int] = {}
    for address in mesh.backend_address.values():
        tally = await asyncio.to_thread(get_json, address, '/tally')
        found = tally['runs']
        assert isinstance(found, dict)
        for key, count in found.items():
            runs[key] = runs.get(key, 0) + count
    return runs


def _verdict(deposits: list[Deposit], runs: dict[str, int]) -> dict[str, float]:
    results = [one for deposit in deposits for one in deposit.results]
    told = [one for one in results if one.code >= 0]
    unknown = sum(Code(one.code).may_have_run for one in told)
    return {
        'deposits': len(deposits),
        'taps': len(results),
        'done': sum(one.succeeded for one in results),
        'run_twice': sum(count > 1 for count in runs.values()),
        'not_run_but_ran': sum(_falsely_not_run(one, runs) for one in deposits),
        'done_but_not_run': sum(
            any(one.succeeded for one in deposit.results)
            and not runs.get(deposit.key)
            for deposit in deposits
        ),
        'mixed_answers': sum(
            _is_mixed(one, deposit.key)
            for deposit in deposits
            for one in deposit.results
        ),
        'truncated_as_whole': sum(
            one.succeeded and not _is_whole(one) for one in results
        ),
        'unknown_share': unknown / max(1, len(results)),
        'not_run_share': sum(Code(one.code).not_run for one in told)
        / max(1, len(results)),
        'no_answer_share': sum(one.code < 0 for one in results)
        / max(1, len(results)),
    }


def _falsely_not_run(deposit: Deposit, runs: dict[str, int]) -> bool:
    """Whether every tap was told 'not run' although the key ran."""
    codes = [Code(one.code) for one in deposit.results if one.code >= 0]
    all_told = len(codes) == len(deposit.results) and bool(codes)
    return (
        all_told
        and all(code.not_run for code in codes)
        and runs.get(deposit.key, 0) > 0
    )


def _is_mixed(result: CallResult, key: str) -> bool:
    if not result.succeeded or not _is_whole(result):
        return False
    return bool(json.loads(result.body)['key'] != key)


def _is_whole(result: CallResult) -> bool:
    try:
        return isinstance(json.loads(result.body), dict)
    except ValueError:
        return False
