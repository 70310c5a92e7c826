"""Plays one seeded run: traffic, faults, a quiet end, and the checks."""

import asyncio
import json
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from bench.soak.callers import Caller
from bench.soak.checks import broken
from bench.soak.history import Drain, History, Run
from bench.soak.operator import Operator
from bench.soak.plan import QUIET_S, Fault, draw, roll
from bench.soak.world import World

SECONDS = 45.0  # of traffic in one run
CALLERS = 3  # at each node
READ_BACK_S = 15.0
SERVERS = {
    'desk-1': 'desk',
    'desk-2': 'desk',
    'desk-3': 'desk',
    'ledger-1': 'ledger',
    'ledger-2': 'ledger',
}
ROLL_ROUTES = 1500  # in each set while nodes are restarted in turn
AT_ONCE = 32  # faults under way at the same time


@dataclass(slots=True, frozen=True)
class Found:
    """What a run showed."""

    broken: list[str]
    summary: str


def soak(
    seed: int,
    seconds: float,
    folder: Path,
    *,
    timed: bool,
    rolling: bool = False,
) -> Found:
    """Runs a seed and returns what did not hold; see :func:`broken`.

    :param rolling: whether nodes are restarted in turn and nothing else is
        done to them
    """
    folder.mkdir(parents=True, exist_ok=True)
    world = World(folder, SERVERS)
    operator = Operator(
        world.seeds, seed, [], more=ROLL_ROUTES if rolling else 0
    )
    faults = (roll if rolling else draw)(seed, seconds, world.targets)
    try:
        world.start()
        history = asyncio.run(_play(world, operator, seed, seconds, faults))
    finally:
        world.stop()
    history.ended_alone = world.ended_alone
    _read_book(folder / 'book.jsonl', history)
    for node in world.nodes:
        _read_log(folder / f'{node}.log', history)
    _keep(folder, faults, history)
    served = sum(one.served for one in history.attempts)
    accepted = sum(one.acked is not None for one in history.publications)
    summary = (
        f'{len(faults)} faults, {served} of {len(history.attempts)} calls '
        f'served, {accepted} of {len(history.publications)} versions accepted'
    )
    return Found(broken(history, timed=timed), summary)


async def _play(
    world: World,
    operator: Operator,
    seed: int,
    seconds: float,
    faults: list[Fault],
) -> History:
    await operator.first()
    callers = [
        Caller(f'{node}-{number}', node, address, seed, operator.labels)
        for node, address in world.outbound.items()
        for number in range(CALLERS)
    ]
    stop = asyncio.Event()
    tasks = [asyncio.create_task(one.run(stop)) for one in callers]
    tasks.append(asyncio.create_task(operator.run(stop)))
    begin = time.monotonic()
    await _disturb(world, faults, begin)
    quiet_from = time.monotonic()
    left = begin + seconds - quiet_from
    await asyncio.sleep(max(left, QUIET_S))
    stop.set()
    await asyncio.gather(*tasks)
    history = History(
        control=world.control,
        attempts=[one for caller in callers for one in caller.attempts],
        publications=operator.publications,
        readings=operator.readings,
        spans=world.spans,
        starts=world.starts,
        quiet_from=quiet_from,
    )
    history.ended = time.monotonic()
    history.last_label = await operator.read_back(READ_BACK_S)
    return history


async def _disturb(world: World, faults: list[Fault], begin: float) -> None:
    """Does every fault at its time, and waits until the last has ended."""
    loop = asyncio.get_running_loop()
    with ThreadPoolExecutor(AT_ONCE) as pool:
        under_way = []
        for fault in faults:
            wait = begin + fault.at - time.monotonic()
            await asyncio.sleep(max(0.0, wait))
            under_way.append(loop.run_in_executor(pool, world.inflict, fault))
        await asyncio.gather(*under_way)
    world.note_ended()


def _read_book(path: Path, history: History) -> None:
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
    history.drains = [Drain(*pair) for pair in acked.items()]


def _read_log(path: Path, history: History) -> None:
    """Takes in the calls whose refusal or failure a node explains."""
    for line in path.read_text(errors='replace').splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        named = entry.get('reason') or entry.get('status')
        if named and 'call' in entry:
            history.explained.add(entry['call'])


def _keep(folder: Path, faults: list[Fault], history: History) -> None:
    """Writes down what was done and seen, for tracing."""
    lines = [
        f'{one.at:7.2f} {one.kind.value} {one.target} {one.for_s:.2f}'
        for one in faults
    ]
    (folder / 'faults.txt').write_text('\n'.join(lines))
    kept = json.dumps(asdict(history), default=sorted)
    (folder / 'history.json').write_text(kept)
