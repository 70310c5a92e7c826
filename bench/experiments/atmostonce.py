"""At-most-once execution of deposits while nodes and control VMs fail.

Every deposit is requested up to three times with the same idempotency key,
through randomly chosen nodes. The stub backend servers count executions per
key; each response carries its key, so that a response that was delivered to
the wrong call is detected.
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
RATE_PER_S = 120.0
FAULT_PHASE_S = 20.0
CALM_PHASE_S = 4.0
SERVERS = [
    ('svc-0', zone, {'service_ms': 5, 'slots': 64})
    for zone in ('a', 'b', 'c', 'a')
]


@dataclass(slots=True)
class Deposit:
    """An idempotency key and the results of the requests that carry it."""

    key: str
    results: list[CallResult] = field(default_factory=list)


def run(seed: int) -> dict[str, float]:
    """Sends deposits in a phase without faults, then in one with faults."""
    register = Register(
        mesh='once', services=[make_service(0, 1, slots=64, anyone=True)]
    )
    with running_mesh(ZONES, register, SERVERS) as mesh:
        rng = random.Random(seed)
        return run_async(lambda: _measure(mesh, rng))


async def _measure(mesh: Mesh, rng: random.Random) -> dict[str, float]:
    caller = Caller()
    node_addresses = [
        mesh.node_address[node_name('svc-0', number)]
        for number in range(len(SERVERS))
    ]
    reads = await _make_reads(caller, node_addresses, rng)
    cpu_before = _control_cpu_s(mesh)
    calm_deposits = await _send_deposits(
        caller, node_addresses, rng, 'calm', CALM_PHASE_S, max_requests=1
    )
    busiest_cpu_s = max(
        end_s - start_s
        for end_s, start_s in zip(_control_cpu_s(mesh), cpu_before, strict=True)
    )
    faulty_deposits, _ = await asyncio.gather(
        _send_deposits(
            caller, node_addresses, rng, 'fault', FAULT_PHASE_S, max_requests=3
        ),
        _inject_faults(mesh, random.Random(rng.random()), FAULT_PHASE_S),
    )
    await asyncio.sleep(1)
    runs_by_key = await _runs_by_key(mesh)
    caller.close()
    figures = _figures(calm_deposits + faulty_deposits, runs_by_key)
    figures['claims_per_leader_core_s'] = len(calm_deposits) / busiest_cpu_s
    first_results = [deposit.results[0] for deposit in calm_deposits]
    figures['claim_added_p50_ms'] = latency_percentile_ms(
        first_results, 50
    ) - latency_percentile_ms(reads, 50)
    figures['claim_added_p99_ms'] = latency_percentile_ms(
        first_results, 99
    ) - latency_percentile_ms(reads, 99)
    return figures


def _control_cpu_s(mesh: Mesh) -> list[float]:
    return [process.cpu_s() for process in mesh.control.values()]


async def _make_reads(
    caller: Caller, node_addresses: list[str], rng: random.Random
) -> list[CallResult]:
    """Makes read calls, which need no claim, as the latency baseline."""
    calls: list[Awaitable[CallResult]] = []
    for _ in poisson_arrivals(RATE_PER_S, CALM_PHASE_S, rng):
        calls.append(
            asyncio.create_task(
                caller.call(
                    rng.choice(node_addresses), 'GET', 'svc-0', '/items/1'
                )
            )
        )
        await asyncio.sleep(1 / RATE_PER_S)
    return list(await asyncio.gather(*calls))


async def _send_deposits(
    caller: Caller,
    node_addresses: list[str],
    rng: random.Random,
    key_prefix: str,
    duration_s: float,
    max_requests: int,
) -> list[Deposit]:
    """Sends deposits at random times, each 1 to ``max_requests`` times."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    deposits = []
    tasks: list[asyncio.Task[None]] = []
    for number, at in enumerate(poisson_arrivals(RATE_PER_S, duration_s, rng)):
        delay = started + at - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        deposit = Deposit(f'{key_prefix}-{number}')
        deposits.append(deposit)
        request_count = rng.randrange(1, max_requests + 1)
        tasks.extend(
            asyncio.create_task(
                _send_request(caller, rng, node_addresses, deposit)
            )
            for _ in range(request_count)
        )
    await asyncio.gather(*tasks)
    return deposits


async def _send_request(
    caller: Caller,
    rng: random.Random,
    node_addresses: list[str],
    deposit: Deposit,
) -> None:
    """Sends one request of a deposit, in most cases after a random delay."""
    if deposit.results or rng.randrange(2):
        await asyncio.sleep(rng.random() * 0.8)
    headers = [
        (b'idempotency-key', deposit.key.encode()),
        (b'content-type', b'application/json'),
    ]
    result = await caller.call(
        rng.choice(node_addresses),
        'POST',
        'svc-0',
        '/items',
        headers=headers,
        body=b'{"amount":5}',
        timeout_s=6,
    )
    deposit.results.append(result)


async def _inject_faults(
    mesh: Mesh, rng: random.Random, duration_s: float
) -> None:
    """Kills and restarts or freezes and thaws processes, one at a time."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + duration_s - 3
    while loop.time() < deadline:
        await asyncio.sleep(0.4 + rng.random() * 0.6)
        fault = rng.randrange(4)
        if fault == 0:
            process = mesh.nodes[rng.choice(sorted(mesh.nodes))]
        elif fault == 1:
            process = mesh.control[rng.choice(sorted(mesh.control))]
        elif fault == 2:
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


async def _runs_by_key(mesh: Mesh) -> dict[str, int]:
    """Returns how often the backend servers ran each key."""
    runs: dict[str, int] = {}
    for address in mesh.backend_address.values():
        tally = await asyncio.to_thread(get_json, address, '/tally')
        counts = tally['runs']
        assert isinstance(counts, dict)
        for key, count in counts.items():
            runs[key] = runs.get(key, 0) + count
    return runs


def _figures(
    deposits: list[Deposit], runs_by_key: dict[str, int]
) -> dict[str, float]:
    results = [result for deposit in deposits for result in deposit.results]
    with_code = [result for result in results if result.code >= 0]
    may_have_run = sum(Code(result.code).may_have_run for result in with_code)
    return {
        'deposits': len(deposits),
        'taps': len(results),
        'done': sum(result.succeeded for result in results),
        'run_twice': sum(count > 1 for count in runs_by_key.values()),
        'not_run_but_ran': sum(
            _wrongly_not_run(deposit, runs_by_key) for deposit in deposits
        ),
        'done_but_not_run': sum(
            any(result.succeeded for result in deposit.results)
            and not runs_by_key.get(deposit.key)
            for deposit in deposits
        ),
        'mixed_answers': sum(
            _has_other_key(result, deposit.key)
            for deposit in deposits
            for result in deposit.results
        ),
        'truncated_as_whole': sum(
            result.succeeded and not _is_complete(result) for result in results
        ),
        'unknown_share': may_have_run / max(1, len(results)),
        'not_run_share': sum(Code(result.code).not_run for result in with_code)
        / max(1, len(results)),
        'no_answer_share': sum(result.code < 0 for result in results)
        / max(1, len(results)),
    }


def _wrongly_not_run(deposit: Deposit, runs_by_key: dict[str, int]) -> bool:
    """Whether all requests got a 'not run' code although the deposit ran."""
    codes = [
        Code(result.code) for result in deposit.results if result.code >= 0
    ]
    all_have_code = len(codes) == len(deposit.results) and bool(codes)
    return (
        all_have_code
        and all(code.not_run for code in codes)
        and runs_by_key.get(deposit.key, 0) > 0
    )


def _has_other_key(result: CallResult, key: str) -> bool:
    """Whether a complete response carries the key of another deposit."""
    if not result.succeeded or not _is_complete(result):
        return False
    return bool(json.loads(result.body)['key'] != key)


def _is_complete(result: CallResult) -> bool:
    try:
        return isinstance(json.loads(result.body), dict)
    except ValueError:
        return False
