"""The gate: slots, classes, deadlines and draining."""

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
from papayalock.core.limits import Gate, Queued, Shed, Started
from papayalock.messages import Part
from papayalock.node.slotqueue import GateQueue, AdmissionRefused
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
    made = Gate(discipline or Aging(300), queue)
    made.slots = slots
    made.connections = 100
    return made


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
        one = gate(discipline, slots=3, queue=1000)
        running: list[Job] = []
        done = 0
        submitted = 0
        now = 0.0
        for _ in range(600):
            now += 0.001
            if submitted < 300 and rng.random() < 0.6:
                fresh = job(rng.choice(('urgent', 'normal', 'bulk')), now=now)
                submitted += 1
                if isinstance(one.submit(fresh, now), Started):
                    running.append(fresh)
            elif running:
                one.finish(running.pop(rng.randrange(len(running))), now)
                done += 1
            running.extend(one.startable(now))
            assert len(one.running) <= 3
        while running:
            one.finish(running.pop(), now)
            done += 1
            running.extend(one.startable(now))
        assert done == submitted

    def test_connections_bound_too(self):
        one = gate(slots=9)
        one.connections = 1
        assert isinstance(one.submit(job(), 0.0), Started)
        assert isinstance(one.submit(job(), 0.0), Queued)

    def test_a_full_queue_sheds_and_tells_when_to_come_back(self):
        one = gate(slots=1, queue=1)
        one.submit(job(), 0.0)
        one.submit(job(), 0.0)
        refused = one.submit(job(), 0.0)
        assert isinstance(refused, Shed)
        assert refused.code == Code.SHED
        assert refused.retry_after_ms > 0

    def test_a_call_that_cannot_be_served_in_time_is_refused_at_once(self):
        one = gate(slots=1)
        one.service_times = [1.0, 1.0, 1.0]
        one.submit(job(), 0.0)
        one.submit(job(), 0.0)
        assert isinstance(one.submit(job(deadline=1.5), 0.0), Shed)
        assert isinstance(one.submit(job(deadline=4.5), 0.0), Queued)

    def test_a_draining_gate_refuses(self):
        one = gate()
        one.draining = True
        assert one.submit(job(), 0.0) == Shed(Code.DRAINING, 0)

    def test_a_gate_without_a_server_refuses(self):
        assert one_code(Gate(Fifo(), 10)) == Code.NO_SERVER


def one_code(one: Gate) -> Code:
    refused = one.submit(job(), 0.0)
    assert isinstance(refused, Shed)
    return refused.code


class TestOrder:
    def order(self, discipline, jobs: list[Job]) -> list[Job]:
        one = gate(discipline, slots=1)
        blocker = job()
        one.submit(blocker, 0.0)
        for each in jobs:
            one.submit(each, each.arrived)
        one.finish(blocker, 10.0)
        started: list[Job] = []
        while one.waiting:
            started.extend(one.startable(10.0))
            one.finish(one.running[0], 10.0)
        return started

    def test_urgent_goes_first(self):
        bulk, normal, urgent = job('bulk'), job('normal'), job('urgent')
        for discipline in (StrictPriority(), Aging(300)):
            assert self.order(discipline, [bulk, normal, urgent]) == [
                urgent,
                normal,
                bulk,
            ]

    def test_aging_lets_an_old_bulk_job_pass_a_new_urgent_one(self):
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
        one = gate(ReservedSlots(300, 20), slots=6)
        started = [one.submit(job('bulk'), 0.0) for _ in range(6)]
        assert sum(isinstance(each, Started) for each in started) == 4
        assert isinstance(one.submit(job('urgent'), 0.0), Queued)
        assert len(one.startable(0.0)) == 1


class TestGuaranteedShare:
    @pytest.mark.parametrize('slots', [1, 2, 6])
    def test_no_class_starves_and_urgent_gets_the_most(self, slots):
        one = gate(
            GuaranteedShare({'normal': 20, 'bulk': 20}, 34),
            slots=slots,
            queue=10_000,
        )
        served = Counter()
        now = 0.0
        for _ in range(2000):
            now += 0.01
            for priority in ('urgent', 'normal', 'bulk'):
                while len(one._waiting[PRIORITIES[priority]]) < 3 * slots:
                    one.submit(job(priority, now=now), now)
            for each in list(one.running):
                one.finish(each, now)
                served[each.priority] += 1
            one.startable(now)
        total = sum(served.values())
        assert served[0] > total * 0.4
        assert served[1] > total * 0.15
        assert served[2] > total * 0.15

    def test_a_job_that_cannot_end_in_time_gets_no_slot(self):
        one = gate(slots=1)
        one.service_times = [1.0, 1.0, 1.0]
        blocker, late = job(), job(deadline=4.0)
        one.submit(blocker, 0.0)
        one.submit(late, 0.0)
        assert one.overdue(2.4) == []
        assert one.overdue(2.6) == [late]

    def test_a_wrong_estimate_cannot_refuse_a_fresh_job(self):
        one = gate(slots=1)
        one.service_times = [50.0, 50.0, 50.0]
        assert isinstance(one.submit(job(deadline=1.0), 0.0), Started)


class TestQueue:
    def test_a_waiting_call_is_refused_at_its_deadline(self):
        async def run() -> Code:
            clock = FakeClock(0.0)
            one = GateQueue(gate(slots=1), clock)
            async with one.slot('normal', 100.0):
                waiting = asyncio.create_task(hold(one, deadline=50.0))
                await asyncio.sleep(0)
                clock.now = 51.0
                one.expire(next(iter(one._waiting)))
                with pytest.raises(AdmissionRefused) as caught:
                    await waiting
            return caught.value.code

        assert asyncio.run(run()) == Code.DEADLINE_BEFORE_RUN

    def test_a_drain_refuses_the_waiting_and_lets_the_running_end(self):
        async def run() -> Code:
            one = GateQueue(gate(slots=1), FakeClock(0.0))
            async with one.slot('normal', 100.0):
                waiting = asyncio.create_task(hold(one))
                await asyncio.sleep(0)
                one.drain()
                with pytest.raises(AdmissionRefused) as caught:
                    await waiting
                assert len(one.gate.running) == 1
            return caught.value.code

        assert asyncio.run(run()) == Code.DRAINING

    def test_a_cancelled_waiter_frees_its_place(self):
        async def run() -> tuple[int, int]:
            one = GateQueue(gate(slots=1), FakeClock(0.0))
            async with one.slot('normal', 100.0):
                waiting = asyncio.create_task(hold(one))
                await asyncio.sleep(0)
                waiting.cancel()
                await asyncio.gather(waiting, return_exceptions=True)
                assert not one.gate.waiting
            return len(one.gate.running), one.gate.waiting

        assert asyncio.run(run()) == (0, 0)

    def test_new_slots_start_waiting_calls(self):
        async def run() -> int:
            one = GateQueue(gate(slots=1), FakeClock(0.0))
            tasks = [
                asyncio.create_task(hold(one, seconds=5)) for _ in range(3)
            ]
            await asyncio.sleep(0)
            one.resize(
                Part(service='s', slots=3, connections=9, callers=[], routes=[])
            )
            await asyncio.sleep(0)
            running = len(one.gate.running)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return running

        assert asyncio.run(run()) == 3


async def hold(
    one: GateQueue, deadline: float = 100.0, seconds: float = 0
) -> None:
    async with one.slot('normal', deadline):
        await asyncio.sleep(seconds)
