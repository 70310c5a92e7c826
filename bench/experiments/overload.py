"""Okwuosa's auction-floor at 0.5 to 3 times its capacity, history beneath.

The gate itself is real; one gate with six slots, in a loop of its own, so
that the disciplines meet the same arrivals. Bids count when answered within
their deadline; history may be slow but must complete.
"""

import asyncio
import random
from dataclasses import dataclass, field

from bench.load import poisson_arrivals
from papayalock.clock import SystemClock
from papayalock.core.disciplines import (
    Aging,
    Discipline,
    Fifo,
    GuaranteedShare,
    ReservedSlots,
    StrictPriority,
)
from papayalock.core.gate import Gate
from papayalock.messages import Part
from papayalock.node.slotqueue import AdmissionRefused, GateQueue

SLOTS = 6
SECONDS = 4.0
BID_S = 0.006
LOT_S = 0.006
HISTORY_S = 0.06
BID_DEADLINE_S = 0.15
LOT_DEADLINE_S = 0.5
HISTORY_DEADLINE_S = 20.0
HISTORY_SHARE = 0.3  # of the capacity, at every load
LOADS = (0.5, 1.0, 2.0, 3.0)
DISCIPLINES: dict[str, Discipline] = {
    'fifo': Fifo(),
    'strict': StrictPriority(),
    'aging': Aging(300),
    'reserved': ReservedSlots(300, 34),
    'guaranteed': GuaranteedShare({'normal': 10, 'bulk': 15}, 34),
}


@dataclass(slots=True)
class Class:
    """One class of calls and how its calls ended."""

    priority: str
    service_s: float
    deadline_s: float
    latencies: list[float] = field(default_factory=list)
    refused: int = 0

    @property
    def offered(self) -> int:
        """Calls of the class."""
        return len(self.latencies) + self.refused

    def in_time(self) -> float:
        """Returns the share of calls answered within the deadline."""
        good = sum(one <= self.deadline_s for one in self.latencies)
        return good / max(1, self.offered)

    def p99_ms(self) -> float:
        """Returns the 99th percentile of answered calls."""
        ordered = sorted(self.latencies)
        return 1000 * ordered[int(len(ordered) * 0.99)] if ordered else 0.0


def run(seed: int) -> dict[str, float]:
    """Runs every discipline at every load."""
    figures: dict[str, float] = {}
    for name, discipline in DISCIPLINES.items():
        for load in LOADS:
            classes = asyncio.run(_run(discipline, load, seed))
            label = f'{name}_{load:g}x'
            figures[f'{label}_bids_in_time'] = classes['bid'].in_time()
            figures[f'{label}_bid_p99_ms'] = classes['bid'].p99_ms()
            figures[f'{label}_lots_in_time'] = classes['lot'].in_time()
            figures[f'{label}_history_completed'] = classes['history'].in_time()
            figures[f'{label}_history_p99_ms'] = classes['history'].p99_ms()
    chosen = {
        key: found
        for key, found in figures.items()
        if key.startswith('guaranteed_3x')
    }
    figures['bids_in_time'] = chosen['guaranteed_3x_bids_in_time']
    figures['history_completed'] = chosen['guaranteed_3x_history_completed']
    figures['starved'] = sum(
        figures[f'guaranteed_{load:g}x_history_completed'] == 0
        for load in LOADS
    )
    return figures


async def _run(
    discipline: Discipline, load: float, seed: int
) -> dict[str, Class]:
    rng = random.Random(seed)
    queue = GateQueue(Gate(discipline, 256), SystemClock())
    queue.resize(
        Part(
            service='auction-floor',
            slots=SLOTS,
            connections=120,
            callers=['*'],
            routes=[],
        )
    )
    classes = {
        'bid': Class('urgent', BID_S, BID_DEADLINE_S),
        'lot': Class('normal', LOT_S, LOT_DEADLINE_S),
        'history': Class('bulk', HISTORY_S, HISTORY_DEADLINE_S),
    }
    quick = (load - HISTORY_SHARE) * SLOTS / BID_S / 2
    rates = {
        'bid': quick,
        'lot': quick,
        'history': HISTORY_SHARE * SLOTS / HISTORY_S,
    }
    plans = [
        (at, name)
        for name, rate in rates.items()
        for at in poisson_arrivals(rate, SECONDS, rng)
    ]
    loop = asyncio.get_running_loop()
    begun = loop.time()
    tasks = []
    for at, name in sorted(plans):
        delay = begun + at - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(
            asyncio.create_task(_call(queue, classes[name], begun + at))
        )
    await asyncio.gather(*tasks)
    return classes


async def _call(queue: GateQueue, kind: Class, arrived: float) -> None:
    loop = asyncio.get_running_loop()
    try:
        async with queue.slot(kind.priority, arrived + kind.deadline_s):
            await asyncio.sleep(kind.service_s)
    except AdmissionRefused:
        kind.refused += 1
        return
    kind.latencies.append(loop.time() - arrived)
