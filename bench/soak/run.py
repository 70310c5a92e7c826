"""Runs one seed: traffic, faults, a period without faults, and the checks."""

import asyncio
import json
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from bench.soak.callers import Caller
from bench.soak.checks import find_violations
from bench.soak.cluster import Cluster
from bench.soak.customers import find_leaks
from bench.soak.faults import QUIET_S, Fault, draw_faults, draw_rolling_restarts
from bench.soak.history import (
    DrainAck,
    History,
    Refusal,
    Run,
    StatedLimit,
)
from bench.soak.operator import Operator
from bench.soak.rollouts import READY_S, RolloutOperator

DEFAULT_TRAFFIC_S = 45.0
CALLERS_PER_NODE = 3
READ_BACK_S = 15.0
SERVICE_BY_SERVER = {
    'desk-1': 'desk',
    'desk-2': 'desk',
    'desk-3': 'desk',
    'ledger-1': 'ledger',
    'ledger-2': 'ledger',
}
ROLLING_EXTRA_ROUTES = 1500  # in each set of a run of rolling restarts
MAX_CONCURRENT_FAULTS = 32  # worker threads; each injects one fault


@dataclass(slots=True, frozen=True)
class SoakResult:
    """The violations that a run showed, and its figures in one line."""

    violations: list[str]
    summary: str


def run_soak(
    seed: int,
    seconds: float,
    folder: Path,
    *,
    timed: bool,
    rolling: bool = False,
) -> SoakResult:
    """Runs a seed and returns its violations; see :func:`find_violations`.

    :param timed: whether to run the checks of time bounds too
    :param rolling: whether to draw rolling restarts and reloads of nodes only
    """
    folder.mkdir(parents=True, exist_ok=True)
    cluster = Cluster(folder, SERVICE_BY_SERVER)
    operator = Operator(
        cluster.control_addresses,
        seed,
        [],
        min_extra_routes=ROLLING_EXTRA_ROUTES if rolling else 0,
    )
    faults = (draw_rolling_restarts if rolling else draw_faults)(
        seed, seconds, cluster.targets
    )
    try:
        cluster.start()
        history = asyncio.run(
            _run_traffic(cluster, operator, seed, seconds, faults)
        )
    finally:
        cluster.stop()
    history.ended_alone = cluster.unexpected_exits
    _read_backend_records(folder / 'book.jsonl', history)
    for node in cluster.nodes:
        _read_node_log(folder / f'{node}.log', history)
    history.leaking_logs = find_leaks(folder)
    _write_records(folder, faults, history)
    served = sum(record.served for record in history.attempts)
    accepted = sum(
        publication.acked is not None for publication in history.publications
    )
    summary = (
        f'{len(faults)} faults, {served} of {len(history.attempts)} calls '
        f'served, {accepted} of {len(history.publications)} versions accepted'
    )
    return SoakResult(find_violations(history, timed=timed), summary)


async def _start_new_version(
    cluster: Cluster, rollout: RolloutOperator
) -> None:
    """Starts the server of the new version once the old ones are recorded."""
    await rollout.versions_recorded.wait()
    await asyncio.to_thread(
        cluster.start_new_version, bad=rollout.record.is_bad
    )
    await asyncio.sleep(READY_S)
    rollout.new_server_started.set()


async def _run_traffic(
    cluster: Cluster,
    operator: Operator,
    seed: int,
    seconds: float,
    faults: list[Fault],
) -> History:
    await operator.publish_first()
    callers = [
        Caller(f'{node}-{number}', node, address, seed, operator.labels)
        for node, address in cluster.outbound.items()
        for number in range(CALLERS_PER_NODE)
    ]
    stop = asyncio.Event()
    rollout = RolloutOperator(cluster.control_addresses, seed)
    tasks = [asyncio.create_task(caller.run(stop)) for caller in callers]
    tasks.append(asyncio.create_task(operator.run(stop)))
    tasks.append(asyncio.create_task(rollout.run(stop)))
    tasks.append(asyncio.create_task(_start_new_version(cluster, rollout)))
    started = time.monotonic()
    await _inject_faults(cluster, faults, started)
    quiet_from = time.monotonic()
    remaining_s = started + seconds - quiet_from
    await asyncio.sleep(max(remaining_s, QUIET_S))
    stop.set()
    tasks.pop().cancel()
    await asyncio.gather(*tasks)
    history = History(
        control=cluster.control,
        attempts=[record for caller in callers for record in caller.attempts],
        publications=operator.publications,
        readings=operator.readings,
        spans=cluster.spans,
        starts=cluster.starts,
        quiet_from=quiet_from,
    )
    history.ended = time.monotonic()
    history.last_label = await operator.read_back(READ_BACK_S)
    await rollout.read_back()
    history.rollout = rollout.record
    return history


async def _inject_faults(
    cluster: Cluster, faults: list[Fault], started: float
) -> None:
    """Injects each fault at its time and waits for the last to end."""
    loop = asyncio.get_running_loop()
    with ThreadPoolExecutor(MAX_CONCURRENT_FAULTS) as pool:
        pending = []
        for fault in faults:
            wait_s = started + fault.at - time.monotonic()
            await asyncio.sleep(max(0.0, wait_s))
            pending.append(loop.run_in_executor(pool, cluster.inject, fault))
        await asyncio.gather(*pending)
    cluster.record_unexpected_exits()


def _read_backend_records(path: Path, history: History) -> None:
    """Adds the runs, refusals and drains that the servers recorded."""
    acked: dict[str, float] = {}
    runs: dict[tuple[str, int], Run] = {}
    for line in path.read_text().splitlines():
        entry = json.loads(line)
        if 'drained' in entry:
            acked.setdefault(entry['drained'], entry['at'])
        elif 'limit' in entry:
            history.limits.append(StatedLimit(**entry))
        elif 'refused' in entry:
            history.refusals.append(Refusal(**entry))
        elif 'ended' in entry:
            run = runs[entry['server'], entry['ended']]
            run.ended = entry['at']
            run.whole = entry['whole']
        else:
            run = Run(**entry)
            runs[run.server, run.number] = run
    history.runs = list(runs.values())
    history.drains = [DrainAck(*pair) for pair in acked.items()]


def _read_node_log(path: Path, history: History) -> None:
    """Adds the ids of calls whose refusal or failure a node log explains."""
    for line in path.read_text(errors='replace').splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        explanation = entry.get('reason') or entry.get('status')
        if explanation and 'call' in entry:
            history.explained.add(entry['call'])


def _write_records(folder: Path, faults: list[Fault], history: History) -> None:
    """Writes the faults and the history to files for diagnosis."""
    lines = [
        f'{fault.at:7.2f} {fault.kind.value} {fault.target} '
        f'{fault.duration_s:.2f}'
        for fault in faults
    ]
    (folder / 'faults.txt').write_text('\n'.join(lines))
    records = json.dumps(asdict(history), default=sorted)
    (folder / 'history.json').write_text(records)
