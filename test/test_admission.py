"""Admission of host-routed calls: order, early refusal, expected waits."""

import heapq
import itertools
import random

from papayalock.core.admission import Job, ServerGate
from papayalock.core.gate import Queued, Shed, Started
from papayalock.core.routecallers import MIN_CALLS
from papayalock.result import Code

SEQUENCE = itertools.count()


def job(priority: int = 2, *, now: float = 0.0, target: float = 0.3, **changes):
    fields = {
        'route': 'r',
        'priority': priority,
        'arrived': now,
        'target_at': now + target,
        'deadline_at': now + 1.2,
        **changes,
    }
    return Job(**fields)


def gate(slots: int = 2, service_s: float = 0.1) -> ServerGate:
    server_gate = ServerGate()
    server_gate.slots = slots
    warm = job()
    server_gate.submit(warm, 0)
    warm.served = True
    server_gate.finish(warm, service_s)
    return server_gate


class TestSlots:
    def test_all_calls_are_refused_without_a_server(self):
        result = ServerGate().submit(job(), 0)
        assert result.code == Code.NO_SERVER

    def test_running_calls_do_not_exceed_the_slots(self):
        server_gate = gate(slots=2)
        results = [server_gate.submit(job(), 0) for _ in range(3)]
        kinds = [type(result) for result in results]
        assert kinds == [Started, Started, Queued]
        assert len(server_gate.running) == 2

    def test_failed_call_does_not_change_the_service_time(self):
        server_gate = gate(service_s=0.1)
        quick = job()
        server_gate.submit(quick, 1)
        server_gate.finish(quick, 1.001)
        assert server_gate.service_times.expected('r') == 0.1


class TestOrder:
    def test_more_urgent_call_goes_first(self):
        server_gate = gate(slots=1)
        running = job()
        server_gate.submit(running, 0)
        low, high = job(priority=2), job(priority=1)
        server_gate.submit(low, 0)
        server_gate.submit(high, 0)
        server_gate.finish(running, 0.05)
        assert server_gate.start_queued(0.05) == [high]

    def test_returning_call_goes_before_new_ones_of_its_priority(self):
        server_gate = gate(slots=1, service_s=0.05)
        running = job()
        server_gate.submit(running, 0)
        new, returning_job = job(), job(returning=True)
        server_gate.submit(new, 0)
        server_gate.submit(returning_job, 0)
        server_gate.finish(running, 0.05)
        assert server_gate.start_queued(0.05) == [returning_job]


class TestCallsOfServers:
    """Servers that wait, in a slot of their own, for calls that they make."""

    def test_call_of_a_server_goes_before_others_of_its_priority(self):
        server_gate = gate(slots=1)
        for caller in ('a', 'b'):
            server_gate.route_callers.record('view', caller)
        for _ in range(MIN_CALLS):
            server_gate.route_callers.record('lookup', 'a')
        running = job(route='view', caller='b')
        server_gate.submit(running, 0)
        first, lookup = (
            job(route='view', caller='a', now=0.01),
            job(route='lookup', caller='a', now=0.02),
        )
        urgent = job(priority=1, route='view', caller='b', now=0.03)
        for waiting in (first, lookup, urgent):
            server_gate.submit(waiting, waiting.arrived)
        order = []
        for at in (0.05, 0.1, 0.15):
            server_gate.finish(running, at)
            (running,) = server_gate.start_queued(at)
            order.append(running)
        assert order == [urgent, lookup, first]


class TestShortUrgentCalls:
    """Long calls beside short, more urgent ones that other servers wait for."""

    def test_long_calls_leave_slots_to_short_urgent_ones(self):
        server_gate = busy_with_short_calls(slots=6, in_use=2.0, service_s=0.02)
        long_calls = [
            server_gate.submit(job(route='long', target=9, deadline_at=9), 0)
            for _ in range(6)
        ]
        kinds = [type(result) for result in long_calls]
        assert kinds.count(Started) == 3
        short = server_gate.submit(
            job(priority=1, route='short', target=0.1), 0
        )
        assert isinstance(short, Started)

    def test_calls_of_similar_length_share_all_slots(self):
        server_gate = busy_with_short_calls(slots=6, in_use=3.0, service_s=0.15)
        results = [
            server_gate.submit(job(route='long', target=9, deadline_at=9), 0)
            for _ in range(6)
        ]
        assert {type(result) for result in results} == {Started}

    def test_a_single_long_call_may_always_run(self):
        server_gate = busy_with_short_calls(slots=2, in_use=5.0, service_s=0.02)
        assert isinstance(server_gate.submit(job(route='long'), 0), Started)

    def test_reservation_decays_when_the_short_calls_stop(self):
        server_gate = busy_with_short_calls(slots=6, in_use=2.0, service_s=0.02)
        for _ in range(6):
            server_gate.submit(job(route='long', target=99, deadline_at=99), 0)
        assert len(server_gate.running) == 3
        assert len(server_gate.start_queued(4.0)) == 3

    def test_short_calls_rarely_wait_beside_long_ones(self):
        """Short calls every 9 ms and long ones every 40 ms on six slots."""
        waits = simulate_short_and_long(seconds=20)
        assert sum(wait > 0.1 for wait in waits) < 0.02 * len(waits)


def busy_with_short_calls(slots: int, in_use: float, service_s: float):
    """Returns a gate whose short urgent calls have used some slots lately."""
    server_gate = gate(slots=slots, service_s=0.2)
    server_gate.service_times.record('long', 0.2)
    server_gate.service_times.record('short', service_s)
    server_gate.usage.record(1, 0, 0)
    for _ in range(int(in_use / service_s)):
        server_gate.usage.record(1, service_s, 0)
    return server_gate


def simulate_short_and_long(seconds: float) -> list[float]:
    """Simulates arrivals on six slots; returns the waits of the short calls."""
    rng = random.Random(1)
    server_gate = gate(slots=6, service_s=0.22)
    service = {'short': 0.025, 'long': 0.3}
    arrivals = []
    for route, gap, priority in (('short', 0.009, 1), ('long', 0.04, 2)):
        at = 0.5
        while at < seconds:
            at += rng.expovariate(1 / gap)
            arrivals.append((at, next(SEQUENCE), route, priority))
    heapq.heapify(arrivals)
    waits = []
    while arrivals:
        now, _, what, priority = heapq.heappop(arrivals)
        started = []
        if isinstance(what, Job):
            what.served = True
            server_gate.finish(what, now)
            started = server_gate.start_queued(now)
        else:
            fresh = job(
                priority, now=now, route=what, target=0.6 * priority - 0.5
            )
            fresh.deadline_at = now + 0.7 * priority - 0.4
            if isinstance(server_gate.submit(fresh, now), Started):
                started = [fresh]
        for ready in started:
            service_s = service[ready.route] * rng.uniform(0.5, 1.5)
            end = (now + service_s, next(SEQUENCE), ready, 0)
            heapq.heappush(arrivals, end)
            if ready.route == 'short':
                waits.append(now - ready.arrived)
    return waits


class TestRefusal:
    def test_call_that_would_miss_its_objective_is_refused_on_arrival(self):
        server_gate = gate(slots=1, service_s=0.1)
        results = [server_gate.submit(job(target=0.41), 0) for _ in range(6)]
        kinds = [type(result) for result in results]
        assert kinds[:3] == [Started, Queued, Queued]
        assert kinds[-1] is Shed
        assert results[-1].retry_after_ms > 0

    def test_less_urgent_queue_does_not_refuse_a_more_urgent_call(self):
        server_gate = gate(slots=1, service_s=0.1)
        for _ in range(6):
            server_gate.submit(job(priority=2), 0)
        assert isinstance(server_gate.submit(job(priority=1), 0), Queued)

    def test_call_past_its_objective_queues_only_for_a_short_wait(self):
        server_gate = gate(slots=4, service_s=0.1)
        for _ in range(4):
            server_gate.submit(job(), 0)
        assert isinstance(server_gate.submit(job(target=-1), 0), Queued)
        for _ in range(3):
            server_gate.submit(job(), 0)
        assert isinstance(server_gate.submit(job(target=-1), 0), Shed)

    def test_call_is_not_refused_when_the_wait_is_short(self):
        server_gate = gate(slots=9, service_s=0.164)
        for _ in range(9):
            server_gate.submit(job(), 0)
        tight = job(target=0.246, deadline_at=0.903)
        assert isinstance(server_gate.submit(tight, 0), Queued)

    def test_call_past_its_deadline_is_refused(self):
        result = gate().submit(job(deadline_at=-1.0), 0)
        assert result.code == Code.DEADLINE_BEFORE_RUN


class TestOverdueCalls:
    def test_queued_call_that_will_miss_its_objective_is_dropped(self):
        server_gate = gate(slots=1, service_s=0.1)
        running = job()
        server_gate.submit(running, 0)
        first, second, third = (
            job(target=0.41),
            job(target=0.45, returning=True),
            job(priority=1, target=0.41),
        )
        for waiting in (first, second, third):
            assert isinstance(server_gate.submit(waiting, 0), Queued)
        assert server_gate.drop_overdue(0.2) == []
        assert server_gate.drop_overdue(0.33) == [first]

    def test_short_queue_keeps_calls_past_their_objective(self):
        server_gate = gate(slots=1, service_s=0.1)
        server_gate.submit(job(), 0)
        late = job(target=0.41)
        server_gate.submit(late, 0)
        assert server_gate.drop_overdue(0.5) == []

    def test_expected_wait_grows_with_more_urgent_usage(self):
        server_gate = gate(slots=1, service_s=0.1)
        for start in (0.1, 0.2, 0.3):
            high = job(priority=1)
            server_gate.submit(high, start)
            server_gate.finish(high, start + 0.1)
        server_gate.submit(job(priority=1), 0.4)
        low = server_gate.expected_wait_s(job(priority=2))
        assert low > 2 * server_gate.expected_wait_s(job(priority=1))


class TestLoad:
    def simulate(self, rate_s: float, seconds: float) -> tuple[int, int, int]:
        """Simulates 100 ms calls on 2 slots; counts timely, late, refused."""
        server_gate = gate(slots=2, service_s=0.1)
        ends: list[tuple[float, Job]] = []
        counts = [0, 0, 0]
        at = 0.0
        while at < seconds:
            while ends and ends[0][0] <= at:
                end, done = ends.pop(0)
                done.served = True
                server_gate.finish(done, end)
                counts[end > done.target_at] += 1
                ends += [
                    (end + 0.1, next_job)
                    for next_job in server_gate.start_queued(end)
                ]
                ends.sort(key=lambda pair: pair[0])
            call = job(now=at)
            result = server_gate.submit(call, at)
            if isinstance(result, Started):
                ends.append((at + 0.1, call))
                ends.sort(key=lambda pair: pair[0])
            counts[2] += isinstance(result, Shed)
            at += 1 / rate_s
        return counts[0], counts[1], counts[2]

    def test_double_load_keeps_slots_busy_and_served_calls_in_time(self):
        in_time, late, refused = self.simulate(rate_s=40, seconds=20)
        assert in_time >= 0.95 * 20 * 20
        assert late <= 0.02 * in_time
        assert refused >= 300

    def test_light_load_is_served_in_full(self):
        in_time, late, refused = self.simulate(rate_s=15, seconds=20)
        assert (late, refused) == (0, 0)
        assert in_time >= 295
