"""Plays one seeded run: traffic, faults, a quiet end, and the checks."""

import asyncio
import json
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from bench.soak.callers import Caller
from bench.soak.checks import find_violations
from bench.soak.cluster import Cluster
from bench.soak.faults import QUIET_S, Fault, draw_faults, draw_rolling_restarts
from bench.soak.history import DrainAck, History, Run
from bench.soak.operator import Operator

DEFAULT_TRAFFIC_S = 45.0  # of traffic in one run
CALLERS_PER_NODE = 3  # at each node
READ_BACK_S = 15.0
SERVICE_BY_SERVER = {
    'desk-1': 'desk',
    'desk-2': 'desk',
    'desk-3': 'desk',
    'ledger-1': 'ledger',
    'ledger-2': 'ledger',
}
ROLLING_EXTRA_ROUTES = 1500  # in each set while nodes are restarted in turn
MAX_CONCURRENT_FAULTS = 32  # faults under way at the same time


@dataclass(slots=True, frozen=True)
class SoakResult:
    """What a run showed."""

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
    """Runs a seed and returns what did not hold; see :func:`find_violations`.

    :param rolling: whether nodes are restarted in turn and nothing else is
        done to them
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
    _write_records(folder, faults, history)
    served = sum(one.served for one in history.attempts)
    accepted = sum(one.acked is not None for one in history.publications)
    summary = (
        f'{len(faults)} faults, {served} of {len(history.attempts)} calls '
        f'served, {accepted} of {len(history.publications)} versions accepted'
    )
    return SoakResult(find_violations(history, timed=timed), summary)


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
    tasks = [asyncio.create_task(one.run(stop)) for one in callers]
    tasks.append(asyncio.create_task(operator.run(stop)))
    started = time.monotonic()
    await _inject_faults(cluster, faults, started)
    quiet_from = time.monotonic()
    remaining_s = started + seconds - quiet_from
    await asyncio.sleep(max(remaining_s, QUIET_S))
    stop.set()
    await asyncio.gather(*tasks)
    history = History(
        control=cluster.control,
        attempts=[one for caller in callers for one in caller.attempts],
        publications=operator.publications,
        readings=operator.readings,
        spans=cluster.spans,
        starts=cluster.starts,
        quiet_from=quiet_from,
    )
    history.ended = time.monotonic()
    history.last_label = await operator.read_back(READ_BACK_S)
    return history


async def _inject_faults(
    cluster: Cluster, faults: list[Fault], started: float
) -> None:
    """Does every fault at its time, and waits until the last has ended."""
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
    """Takes in what the backend servers wrote down."""
    acked: dict[str, float] = {}
    runs: dict[tuple[str, int], Run] = {}
    for line in path.read_text().splitlines():
        entry = json.loads(line)
        if 'drained' in entry:
            acked.setdefault(entry['drained'], entry['at'])
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
    """Takes in the calls whose refusal or failure a node explains."""
    for line in path.read_text(errors='replace').splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        explanation = entry.get('reason') or entry.get('status')
        if explanation and 'call' in entry:
            history.explained.add(entry['call'])


def _write_records(folder: Path, faults: list[Fault], history: History) -> None:
    """Writes down what was done and seen, for tracing."""
    lines = [
        f'{one.at:7.2f} {one.kind.value} {one.target} {one.duration_s:.2f}'
        for one in faults
    ]
    (folder / 'faults.txt').write_text('\n'.join(lines))
    records = json.dumps(asdict(history), default=sorted)
    (folder / 'history.json').write_text(records)
