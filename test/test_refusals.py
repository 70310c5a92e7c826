"""Callers that were refused before are known by their request and deadline."""

from papayalock.core.refusals import (
    MAX_REMEMBERED,
    RefusedCall,
    RefusedCalls,
)


def refused(request='a', first_arrived=0.0, deadline_at=4.0):
    return RefusedCall(request, first_arrived, deadline_at)


class TestRefusedCalls:
    def test_first_call_has_no_earlier_arrival(self):
        assert RefusedCalls().find_first_arrival('a', 4.0, 0.0) is None

    def test_returning_call_has_the_arrival_of_the_first(self):
        calls = RefusedCalls()
        calls.remember(refused(first_arrived=1.0))
        assert calls.find_first_arrival('a', 4.0, 1.5) == 1.0

    def test_small_delays_do_not_hide_a_returning_call(self):
        calls = RefusedCalls()
        calls.remember(refused(first_arrived=1.0))
        assert calls.find_first_arrival('a', 4.02, 1.5) == 1.0

    def test_same_request_of_another_caller_is_a_first_call(self):
        calls = RefusedCalls()
        calls.remember(refused(deadline_at=4.0))
        assert calls.find_first_arrival('a', 5.0, 1.0) is None
        assert calls.find_first_arrival('a', 4.0, 1.0) == 0.0

    def test_other_request_with_the_same_deadline_is_a_first_call(self):
        calls = RefusedCalls()
        calls.remember(refused())
        assert calls.find_first_arrival('b', 4.0, 1.0) is None

    def test_each_refusal_is_found_once(self):
        calls = RefusedCalls()
        calls.remember(refused())
        calls.find_first_arrival('a', 4.0, 1.0)
        assert calls.find_first_arrival('a', 4.0, 1.0) is None
        assert not len(calls)

    def test_call_is_forgotten_after_its_deadline(self):
        calls = RefusedCalls()
        calls.remember(refused())
        calls.find_first_arrival('b', 9.0, 4.1)
        assert not len(calls)

    def test_number_of_calls_is_bounded(self):
        calls = RefusedCalls()
        for number in range(MAX_REMEMBERED + 10):
            calls.remember(refused(request=str(number)))
        assert len(calls) == MAX_REMEMBERED
        assert calls.find_first_arrival('0', 4.0, 1.0) is None
