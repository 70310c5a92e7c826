"""Which calls a node that stops still takes."""

from papayalock.core.shutdowntimes import ShutdownTimes

GRACE_S = 6.0


def closing(now: float = 100.0) -> ShutdownTimes:
    one = ShutdownTimes()
    one.begin(now, GRACE_S)
    return one


class TestTimes:
    def test_a_node_that_does_not_stop_takes_every_call(self):
        assert not ShutdownTimes().refuses_local(2e9, 1e9)
        assert not ShutdownTimes().refuses_hop(2e9, 1e9)

    def test_callers_have_been_told_long_before_the_end(self):
        one = closing()
        assert (one.notified_at, one.ends_at) == (102.6, 105.6)

    def test_a_short_grace_time_shortens_the_notice(self):
        one = ShutdownTimes()
        one.begin(100.0, 1.0)
        assert one.notified_at == one.ends_at == 100.6

    def test_without_grace_time_the_node_ends_at_once(self):
        one = ShutdownTimes()
        one.begin(100.0, 0.0)
        assert one.notified_at == one.ends_at == 100.0

    def test_a_node_that_was_quiet_ends_sooner(self):
        one = closing()
        one.end(103.0)
        assert one.ends_at == 103.0
        assert one.refuses_hop(103.1, 103.0)

    def test_the_end_is_never_put_off(self):
        one = closing()
        one.end(105.7)
        assert one.ends_at == 105.6


class TestCallers:
    def test_all_calls_are_taken_until_callers_have_been_told(self):
        assert not closing().refuses_local(200.0, 102.59)
        assert closing().refuses_local(200.0, 102.6)

    def test_then_those_that_may_outlast_the_node_are_refused(self):
        assert not closing().refuses_local(105.59, 103.0)
        assert closing().refuses_local(105.6, 103.0)

    def test_the_usual_deadline_fits_until_callers_have_been_told(self):
        arrived = 102.59
        assert not closing().may_cut_off(arrived + 3.0)

    def test_shortly_before_the_end_no_call_is_taken(self):
        assert not closing().refuses_local(104.5, 104.39)
        assert closing().refuses_local(104.5, 104.41)

    def test_a_short_grace_time_still_leaves_the_notice(self):
        one = ShutdownTimes()
        one.begin(100.0, 1.0)
        assert not one.refuses_local(100.55, 100.5)
        assert one.refuses_local(100.65, 100.6)


class TestOtherNodes:
    def test_their_calls_are_taken_until_they_have_been_told(self):
        assert not closing().refuses_hop(200.0, 102.59)
        assert closing().refuses_hop(200.0, 102.6)

    def test_calls_that_end_before_the_node_are_taken_to_the_end(self):
        assert not closing().refuses_hop(105.59, 105.5)
        assert closing().refuses_hop(105.6, 105.5)


class TestQueued:
    def test_without_a_stop_the_deadline_counts(self):
        assert ShutdownTimes().start_deadline(103.0, 0.5) == 102.5

    def test_a_call_that_ends_before_the_node_may_wait_as_ever(self):
        assert closing().start_deadline(105.5, 0.5) == 105.0

    def test_one_that_may_be_cut_must_start_well_before_the_end(self):
        assert round(closing().start_deadline(110.0, 0.5), 3) == 104.4

    def test_a_long_one_must_start_sooner(self):
        assert round(closing().start_deadline(110.0, 2.0), 3) == 103.6
