"""Disciplines of a gate's queue at 0.5 to 3 times the gate's capacity.

The calls are those of the service auction-floor in the deployment Okwuosa:
bids and lots above a constant rate of bulk history calls. The gate is the
production class, with six slots, in an event loop of its own, so that every
discipline gets the same arrivals. Bids count when they are answered within
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
DURATION_S = 4.0
BID_SERVICE_S = 0.006
LOT_SERVICE_S = 0.006
HISTORY_SERVICE_S = 0.06
BID_DEADLINE_S = 0.15
LOT_DEADLINE_S = 0.5
HISTORY_DEADLINE_S = 20.0
HISTORY_SHARE = 0.3  # share of the capacity at every load
LOADS = (0.5, 1.0, 2.0, 3.0)
DISCIPLINES: dict[str, Discipline] = {
    'fifo': Fifo(),
    'strict': StrictPriority(),
    'aging': Aging(300),
    'reserved': ReservedSlots(300, 34),
    'guaranteed': GuaranteedShare({'normal': 10, 'bulk': 15}, 34),
}


@dataclass(slots=True)
class CallClass:
    """A class of calls, with the latencies and refusals of its calls."""

    priority: str
    service_s: float
    deadline_s: float
    latencies_s: list[float] = field(default_factory=list)
    refused: int = 0

    @property
    def offered(self) -> int:
        """Number of calls of the class."""
        return len(self.latencies_s) + self.refused

    def in_time_share(self) -> float:
        """Returns the share of calls answered within the deadline."""
        in_time_count = sum(
            latency_s <= self.deadline_s for latency_s in self.latencies_s
        )
        return in_time_count / max(1, self.offered)

    def p99_ms(self) -> float:
        """Returns the 99th percentile of the latency of answered calls."""
        ordered = sorted(self.latencies_s)
        return 1000 * ordered[int(len(ordered) * 0.99)] if ordered else 0.0


def run(seed: int) -> dict[str, float]:
    """Runs every discipline at every load."""
    figures: dict[str, float] = {}
    for name, discipline in DISCIPLINES.items():
        for load in LOADS:
            classes = asyncio.run(_run_discipline(discipline, load, seed))
            label = f'{name}_{load:g}x'
            figures[f'{label}_bids_in_time'] = classes['bid'].in_time_share()
            figures[f'{label}_bid_p99_ms'] = classes['bid'].p99_ms()
            figures[f'{label}_lots_in_time'] = classes['lot'].in_time_share()
            figures[f'{label}_history_completed'] = classes[
                'history'
            ].in_time_share()
            figures[f'{label}_history_p99_ms'] = classes['history'].p99_ms()
    guaranteed = {
        key: figure
        for key, figure in figures.items()
        if key.startswith('guaranteed_3x')
    }
    figures['bids_in_time'] = guaranteed['guaranteed_3x_bids_in_time']
    figures['history_completed'] = guaranteed['guaranteed_3x_history_completed']
    figures['starved'] = sum(
        figures[f'guaranteed_{load:g}x_history_completed'] == 0
        for load in LOADS
    )
    return figures


async def _run_discipline(
    discipline: Discipline, load: float, seed: int
) -> dict[str, CallClass]:
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
        'bid': CallClass('urgent', BID_SERVICE_S, BID_DEADLINE_S),
        'lot': CallClass('normal', LOT_SERVICE_S, LOT_DEADLINE_S),
        'history': CallClass('bulk', HISTORY_SERVICE_S, HISTORY_DEADLINE_S),
    }
    quick_rate = (load - HISTORY_SHARE) * SLOTS / BID_SERVICE_S / 2
    rates = {
        'bid': quick_rate,
        'lot': quick_rate,
        'history': HISTORY_SHARE * SLOTS / HISTORY_SERVICE_S,
    }
    schedule = [
        (at, name)
        for name, rate in rates.items()
        for at in poisson_arrivals(rate, DURATION_S, rng)
    ]
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = []
    for at, name in sorted(schedule):
        delay = started + at - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(
            asyncio.create_task(_call(queue, classes[name], started + at))
        )
    await asyncio.gather(*tasks)
    return classes


async def _call(
    queue: GateQueue, call_class: CallClass, arrived: float
) -> None:
    loop = asyncio.get_running_loop()
    try:
        async with queue.slot(
            call_class.priority, arrived + call_class.deadline_s
        ):
            await asyncio.sleep(call_class.service_s)
    except AdmissionRefused:
        call_class.refused += 1
        return
    call_class.latencies_s.append(loop.time() - arrived)
