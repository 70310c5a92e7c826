"""The gate for declared operations: slots, classes, deadlines, draining."""

import asyncio
import random
from collections import Counter

import pytest

from papayalock.core.disciplines import (
    PRIORITIES,
    Aging,
    Fifo,
    GuaranteedShare,
    Job,
    ReservedSlots,
    StrictPriority,
)
from papayalock.core.gate import Gate, Queued, Shed, Started
from papayalock.messages import Part
from papayalock.node.slotqueue import AdmissionRefused, GateQueue
from papayalock.result import Code
from test.wires import FakeClock

DISCIPLINES = [
    Fifo(),
    StrictPriority(),
    Aging(300),
    ReservedSlots(300, 20),
    GuaranteedShare({'normal': 20, 'bulk': 20}, 34),
]


def gate(discipline=None, slots: int = 2, queue: int = 100) -> Gate:
    new_gate = Gate(discipline or Aging(300), queue)
    new_gate.slots = slots
    new_gate.connections = 100
    return new_gate


def job(
    priority: str = 'normal', deadline: float = 1e9, now: float = 0.0
) -> Job:
    return Job(priority, deadline, now)


class TestBounds:
    @pytest.mark.parametrize('discipline', DISCIPLINES)
    @pytest.mark.parametrize('seed', range(5))
    def test_slots_are_never_exceeded_and_no_job_is_lost(
        self, discipline, seed
    ):
        rng = random.Random(seed)
        server_gate = gate(discipline, slots=3, queue=1000)
        running: list[Job] = []
        done = 0
        submitted = 0
        now = 0.0
        for _ in range(600):
            now += 0.001
            if submitted < 300 and rng.random() < 0.6:
                fresh = job(rng.choice(('urgent', 'normal', 'bulk')), now=now)
                submitted += 1
                if isinstance(server_gate.submit(fresh, now), Started):
                    running.append(fresh)
            elif running:
                server_gate.finish(
                    running.pop(rng.randrange(len(running))), now
                )
                done += 1
            running.extend(server_gate.start_queued(now))
            assert len(server_gate.running) <= 3
        while running:
            server_gate.finish(running.pop(), now)
            done += 1
            running.extend(server_gate.start_queued(now))
        assert done == submitted

    def test_connections_limit_running_calls_too(self):
        server_gate = gate(slots=9)
        server_gate.connections = 1
        assert isinstance(server_gate.submit(job(), 0.0), Started)
        assert isinstance(server_gate.submit(job(), 0.0), Queued)

    def test_full_queue_sheds_with_a_retry_after_delay(self):
        server_gate = gate(slots=1, queue=1)
        server_gate.submit(job(), 0.0)
        server_gate.submit(job(), 0.0)
        refused = server_gate.submit(job(), 0.0)
        assert isinstance(refused, Shed)
        assert refused.code == Code.SHED
        assert refused.retry_after_ms > 0

    def test_call_that_cannot_end_in_time_is_refused_on_arrival(self):
        server_gate = gate(slots=1)
        server_gate.service_times = [1.0, 1.0, 1.0]
        server_gate.submit(job(), 0.0)
        server_gate.submit(job(), 0.0)
        assert isinstance(server_gate.submit(job(deadline=1.5), 0.0), Shed)
        assert isinstance(server_gate.submit(job(deadline=4.5), 0.0), Queued)

    def test_draining_gate_refuses(self):
        server_gate = gate()
        server_gate.draining = True
        assert server_gate.submit(job(), 0.0) == Shed(Code.DRAINING, 0)

    def test_gate_without_slots_refuses(self):
        assert refusal_code(Gate(Fifo(), 10)) == Code.NO_SERVER


def refusal_code(server_gate: Gate) -> Code:
    refused = server_gate.submit(job(), 0.0)
    assert isinstance(refused, Shed)
    return refused.code


class TestOrder:
    def order(self, discipline, jobs: list[Job]) -> list[Job]:
        server_gate = gate(discipline, slots=1)
        blocker = job()
        server_gate.submit(blocker, 0.0)
        for queued in jobs:
            server_gate.submit(queued, queued.arrived)
        server_gate.finish(blocker, 10.0)
        started: list[Job] = []
        while server_gate.waiting:
            started.extend(server_gate.start_queued(10.0))
            server_gate.finish(server_gate.running[0], 10.0)
        return started

    def test_urgent_goes_first(self):
        bulk, normal, urgent = job('bulk'), job('normal'), job('urgent')
        for discipline in (StrictPriority(), Aging(300)):
            assert self.order(discipline, [bulk, normal, urgent]) == [
                urgent,
                normal,
                bulk,
            ]

    def test_aging_lets_an_old_bulk_job_overtake_a_new_urgent_one(self):
        bulk = job('bulk', now=0.0)
        early = job('urgent', now=0.5)
        late = job('urgent', now=0.7)
        assert self.order(Aging(300), [bulk, early, late]) == [
            early,
            bulk,
            late,
        ]
        assert self.order(StrictPriority(), [bulk, early, late])[-1] is bulk

    def test_reserved_slots_are_kept_free_of_bulk(self):
        server_gate = gate(ReservedSlots(300, 20), slots=6)
        started = [server_gate.submit(job('bulk'), 0.0) for _ in range(6)]
        assert sum(isinstance(result, Started) for result in started) == 4
        assert isinstance(server_gate.submit(job('urgent'), 0.0), Queued)
        assert len(server_gate.start_queued(0.0)) == 1


class TestGuaranteedShare:
    @pytest.mark.parametrize('slots', [1, 2, 6])
    def test_no_class_starves_and_urgent_gets_the_most(self, slots):
        server_gate = gate(
            GuaranteedShare({'normal': 20, 'bulk': 20}, 34),
            slots=slots,
            queue=10_000,
        )
        served = Counter()
        now = 0.0
        for _ in range(2000):
            now += 0.01
            for priority in ('urgent', 'normal', 'bulk'):
                while (
                    len(server_gate._waiting[PRIORITIES[priority]]) < 3 * slots
                ):
                    server_gate.submit(job(priority, now=now), now)
            for finished in list(server_gate.running):
                server_gate.finish(finished, now)
                served[finished.priority] += 1
            server_gate.start_queued(now)
        total = sum(served.values())
        assert served[0] > total * 0.4
        assert served[1] > total * 0.15
        assert served[2] > total * 0.15

    def test_job_that_cannot_end_in_time_is_dropped(self):
        server_gate = gate(slots=1)
        server_gate.service_times = [1.0, 1.0, 1.0]
        blocker, late = job(), job(deadline=4.0)
        server_gate.submit(blocker, 0.0)
        server_gate.submit(late, 0.0)
        assert server_gate.drop_overdue(2.4) == []
        assert server_gate.drop_overdue(2.6) == [late]

    def test_wrong_estimate_cannot_refuse_a_new_job(self):
        server_gate = gate(slots=1)
        server_gate.service_times = [50.0, 50.0, 50.0]
        assert isinstance(server_gate.submit(job(deadline=1.0), 0.0), Started)


class TestQueue:
    def test_waiting_call_is_refused_at_its_deadline(self):
        async def run() -> Code:
            clock = FakeClock(0.0)
            queue = GateQueue(gate(slots=1), clock)
            async with queue.slot('normal', 100.0):
                waiting = asyncio.create_task(hold(queue, deadline=50.0))
                await asyncio.sleep(0)
                clock.now = 51.0
                queue.expire(next(iter(queue._waiting)))
                with pytest.raises(AdmissionRefused) as caught:
                    await waiting
            return caught.value.code

        assert asyncio.run(run()) == Code.DEADLINE_BEFORE_RUN

    def test_drain_refuses_waiting_calls_and_lets_running_ones_end(self):
        async def run() -> Code:
            queue = GateQueue(gate(slots=1), FakeClock(0.0))
            async with queue.slot('normal', 100.0):
                waiting = asyncio.create_task(hold(queue))
                await asyncio.sleep(0)
                queue.drain()
                with pytest.raises(AdmissionRefused) as caught:
                    await waiting
                assert len(queue.gate.running) == 1
            return caught.value.code

        assert asyncio.run(run()) == Code.DRAINING

    def test_cancelled_waiter_leaves_the_queue(self):
        async def run() -> tuple[int, int]:
            queue = GateQueue(gate(slots=1), FakeClock(0.0))
            async with queue.slot('normal', 100.0):
                waiting = asyncio.create_task(hold(queue))
                await asyncio.sleep(0)
                waiting.cancel()
                await asyncio.gather(waiting, return_exceptions=True)
                assert not queue.gate.waiting
            return len(queue.gate.running), queue.gate.waiting

        assert asyncio.run(run()) == (0, 0)

    def test_added_slots_start_waiting_calls(self):
        async def run() -> int:
            queue = GateQueue(gate(slots=1), FakeClock(0.0))
            tasks = [
                asyncio.create_task(hold(queue, seconds=5)) for _ in range(3)
            ]
            await asyncio.sleep(0)
            queue.resize(
                Part(service='s', slots=3, connections=9, callers=[], routes=[])
            )
            await asyncio.sleep(0)
            running = len(queue.gate.running)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return running

        assert asyncio.run(run()) == 3


async def hold(
    queue: GateQueue, deadline: float = 100.0, seconds: float = 0
) -> None:
    async with queue.slot('normal', deadline):
        await asyncio.sleep(seconds)
