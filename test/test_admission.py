"""The gate by priority and target: order, refusal at once, and honest waits."""

import heapq
import itertools
import random

from papayalock.core.admission import Job, ServerGate
from papayalock.core.gate import Queued, Shed, Started
from papayalock.result import Code

NUMBERS = itertools.count()


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


def gate(slots: int = 2, pace: float = 0.1) -> ServerGate:
    made = ServerGate()
    made.slots = slots
    warm = job()
    made.submit(warm, 0)
    warm.served = True
    made.finish(warm, pace)
    return made


class TestSlots:
    def test_without_a_server_everything_is_refused(self):
        answer = ServerGate().submit(job(), 0)
        assert answer.code == Code.NO_SERVER

    def test_no_more_calls_run_than_there_are_slots(self):
        one = gate(slots=2)
        answers = [one.submit(job(), 0) for _ in range(3)]
        kinds = [type(answer) for answer in answers]
        assert kinds == [Started, Started, Queued]
        assert len(one.running) == 2

    def test_a_failed_call_teaches_no_pace(self):
        one = gate(pace=0.1)
        quick = job()
        one.submit(quick, 1)
        one.finish(quick, 1.001)
        assert one.service_times.expected('r') == 0.1


class TestOrder:
    def test_the_higher_rank_goes_first(self):
        one = gate(slots=1)
        running = job()
        one.submit(running, 0)
        low, high = job(priority=2), job(priority=1)
        one.submit(low, 0)
        one.submit(high, 0)
        one.finish(running, 0.05)
        assert one.start_queued(0.05) == [high]

    def test_one_that_came_back_goes_before_new_ones_of_its_rank(self):
        one = gate(slots=1, pace=0.05)
        running = job()
        one.submit(running, 0)
        new, back = job(), job(returning=True)
        one.submit(new, 0)
        one.submit(back, 0)
        one.finish(running, 0.05)
        assert one.start_queued(0.05) == [back]


class TestShortUrgentCalls:
    """Long calls of a low priority beside short ones of servers that wait."""

    def test_long_calls_leave_slots_to_short_urgent_ones(self):
        one = busy_with_short_calls(slots=6, in_use=2.0, pace=0.02)
        long_calls = [
            one.submit(job(route='long', target=9, deadline_at=9), 0)
            for _ in range(6)
        ]
        kinds = [type(answer) for answer in long_calls]
        assert kinds.count(Started) == 3
        short = one.submit(job(priority=1, route='short', target=0.1), 0)
        assert isinstance(short, Started)

    def test_calls_of_like_length_share_all_slots(self):
        one = busy_with_short_calls(slots=6, in_use=3.0, pace=0.15)
        answers = [
            one.submit(job(route='long', target=9, deadline_at=9), 0)
            for _ in range(6)
        ]
        assert {type(answer) for answer in answers} == {Started}

    def test_one_long_call_may_always_run(self):
        one = busy_with_short_calls(slots=2, in_use=5.0, pace=0.02)
        assert isinstance(one.submit(job(route='long'), 0), Started)

    def test_slots_are_given_back_when_the_short_calls_stop(self):
        one = busy_with_short_calls(slots=6, in_use=2.0, pace=0.02)
        for _ in range(6):
            one.submit(job(route='long', target=99, deadline_at=99), 0)
        assert len(one.running) == 3
        assert len(one.start_queued(4.0)) == 3

    def test_play_of_a_busy_second_serves_more_of_both(self):
        """Short calls every 9 ms and long ones every 40 ms on six slots."""
        waits = play_short_and_long(seconds=20)
        assert sum(one > 0.1 for one in waits) < 0.02 * len(waits)


def busy_with_short_calls(slots: int, in_use: float, pace: float):
    """Returns a gate whose short urgent calls used some slots of late."""
    one = gate(slots=slots, pace=0.2)
    one.service_times.record('long', 0.2)
    one.service_times.record('short', pace)
    one.usage.record(1, 0, 0)
    for _ in range(int(in_use / pace)):
        one.usage.record(1, pace, 0)
    return one


def play_short_and_long(seconds: float) -> list[float]:
    """Plays arrivals on six slots; returns the short calls' waits."""
    rng = random.Random(1)
    one = gate(slots=6, pace=0.22)
    service = {'short': 0.025, 'long': 0.3}
    arrivals = []
    for route, gap, priority in (('short', 0.009, 1), ('long', 0.04, 2)):
        at = 0.5
        while at < seconds:
            at += rng.expovariate(1 / gap)
            arrivals.append((at, next(NUMBERS), route, priority))
    heapq.heapify(arrivals)
    waits = []
    while arrivals:
        now, _, what, priority = heapq.heappop(arrivals)
        started = []
        if isinstance(what, Job):
            what.served = True
            one.finish(what, now)
            started = one.start_queued(now)
        else:
            fresh = job(
                priority, now=now, route=what, target=0.6 * priority - 0.5
            )
            fresh.deadline_at = now + 0.7 * priority - 0.4
            if isinstance(one.submit(fresh, now), Started):
                started = [fresh]
        for ready in started:
            taken = service[ready.route] * rng.uniform(0.5, 1.5)
            end = (now + taken, next(NUMBERS), ready, 0)
            heapq.heappush(arrivals, end)
            if ready.route == 'short':
                waits.append(now - ready.arrived)
    return waits


class TestRefusal:
    def test_a_call_that_would_miss_its_target_is_refused_at_once(self):
        one = gate(slots=1, pace=0.1)
        answers = [one.submit(job(target=0.41), 0) for _ in range(6)]
        kinds = [type(answer) for answer in answers]
        assert kinds[:3] == [Started, Queued, Queued]
        assert kinds[-1] is Shed
        assert answers[-1].retry_after_ms > 0

    def test_a_queue_of_lower_rank_does_not_refuse_a_higher_one(self):
        one = gate(slots=1, pace=0.1)
        for _ in range(6):
            one.submit(job(priority=2), 0)
        assert isinstance(one.submit(job(priority=1), 0), Queued)

    def test_one_that_is_late_already_waits_only_for_a_near_slot(self):
        one = gate(slots=4, pace=0.1)
        for _ in range(4):
            one.submit(job(), 0)
        assert isinstance(one.submit(job(target=-1), 0), Queued)
        for _ in range(3):
            one.submit(job(), 0)
        assert isinstance(one.submit(job(target=-1), 0), Shed)

    def test_a_call_is_not_sent_away_from_a_slot_that_is_free_soon(self):
        one = gate(slots=9, pace=0.164)
        for _ in range(9):
            one.submit(job(), 0)
        tight = job(target=0.246, deadline_at=0.903)
        assert isinstance(one.submit(tight, 0), Queued)

    def test_a_passed_deadline_is_refused(self):
        answer = gate().submit(job(deadline_at=-1.0), 0)
        assert answer.code == Code.DEADLINE_BEFORE_RUN


class TestLateCalls:
    def test_a_queued_call_that_only_waits_behind_others_is_refused(self):
        one = gate(slots=1, pace=0.1)
        running = job()
        one.submit(running, 0)
        first, second, third = (
            job(target=0.41),
            job(target=0.45, returning=True),
            job(priority=1, target=0.41),
        )
        for waiting in (first, second, third):
            assert isinstance(one.submit(waiting, 0), Queued)
        assert one.drop_overdue(0.2) == []
        assert one.drop_overdue(0.33) == [first]

    def test_a_short_queue_keeps_its_late_calls(self):
        one = gate(slots=1, pace=0.1)
        one.submit(job(), 0)
        late = job(target=0.41)
        one.submit(late, 0)
        assert one.drop_overdue(0.5) == []

    def test_a_rank_counts_only_on_what_higher_ones_leave(self):
        one = gate(slots=1, pace=0.1)
        for start in (0.1, 0.2, 0.3):
            high = job(priority=1)
            one.submit(high, start)
            one.finish(high, start + 0.1)
        one.submit(job(priority=1), 0.4)
        low = one.expected_wait_s(job(priority=2))
        assert low > 2 * one.expected_wait_s(job(priority=1))


class TestLoad:
    def play(self, rate_s: float, seconds: float) -> tuple[int, int, int]:
        """Plays calls of 100 ms on 2 slots; returns in time, late, refused."""
        one = gate(slots=2, pace=0.1)
        ends: list[tuple[float, Job]] = []
        counts = [0, 0, 0]
        at = 0.0
        while at < seconds:
            while ends and ends[0][0] <= at:
                end, done = ends.pop(0)
                done.served = True
                one.finish(done, end)
                counts[end > done.target_at] += 1
                ends += [
                    (end + 0.1, next_job) for next_job in one.start_queued(end)
                ]
                ends.sort(key=lambda pair: pair[0])
            call = job(now=at)
            answer = one.submit(call, at)
            if isinstance(answer, Started):
                ends.append((at + 0.1, call))
                ends.sort(key=lambda pair: pair[0])
            counts[2] += isinstance(answer, Shed)
            at += 1 / rate_s
        return counts[0], counts[1], counts[2]

    def test_twice_the_load_keeps_the_slots_busy_and_the_served_in_time(self):
        in_time, late, refused = self.play(rate_s=40, seconds=20)
        assert in_time >= 0.95 * 20 * 20
        assert late <= 0.02 * in_time
        assert refused >= 300

    def test_a_light_load_is_served_whole(self):
        in_time, late, refused = self.play(rate_s=15, seconds=20)
        assert (late, refused) == (0, 0)
        assert in_time >= 295
