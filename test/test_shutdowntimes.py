"""Which calls a node still accepts while it shuts down."""

from papayalock.core.shutdowntimes import ShutdownTimes

GRACE_S = 6.0


def shutdown_times(now: float = 100.0) -> ShutdownTimes:
    times = ShutdownTimes()
    times.begin(now, GRACE_S)
    return times


class TestTimes:
    def test_all_calls_are_accepted_without_a_shutdown(self):
        assert not ShutdownTimes().refuses_local(2e9, 1e9)
        assert not ShutdownTimes().refuses_hop(2e9, 1e9)

    def test_callers_are_notified_well_before_the_end(self):
        times = shutdown_times()
        assert (times.notified_at, times.ends_at) == (102.6, 105.6)

    def test_short_grace_period_shortens_the_notice(self):
        times = ShutdownTimes()
        times.begin(100.0, 1.0)
        assert times.notified_at == times.ends_at == 100.6

    def test_node_ends_at_once_without_a_grace_period(self):
        times = ShutdownTimes()
        times.begin(100.0, 0.0)
        assert times.notified_at == times.ends_at == 100.0

    def test_idle_node_ends_sooner(self):
        times = shutdown_times()
        times.end(103.0)
        assert times.ends_at == 103.0
        assert times.refuses_hop(103.1, 103.0)

    def test_end_is_never_postponed(self):
        times = shutdown_times()
        times.end(105.7)
        assert times.ends_at == 105.6


class TestLocalCalls:
    def test_all_calls_are_accepted_until_callers_are_notified(self):
        assert not shutdown_times().refuses_local(200.0, 102.59)
        assert shutdown_times().refuses_local(200.0, 102.6)

    def test_calls_that_may_outlast_the_node_are_then_refused(self):
        assert not shutdown_times().refuses_local(105.59, 103.0)
        assert shutdown_times().refuses_local(105.6, 103.0)

    def test_usual_deadline_fits_until_callers_are_notified(self):
        arrived = 102.59
        assert not shutdown_times().may_cut_off(arrived + 3.0)

    def test_no_call_is_accepted_shortly_before_the_end(self):
        assert not shutdown_times().refuses_local(104.5, 104.39)
        assert shutdown_times().refuses_local(104.5, 104.41)

    def test_short_grace_period_still_leaves_the_notice(self):
        times = ShutdownTimes()
        times.begin(100.0, 1.0)
        assert not times.refuses_local(100.55, 100.5)
        assert times.refuses_local(100.65, 100.6)


class TestHops:
    def test_hops_are_accepted_until_callers_are_notified(self):
        assert not shutdown_times().refuses_hop(200.0, 102.59)
        assert shutdown_times().refuses_hop(200.0, 102.6)

    def test_hops_that_end_before_the_node_are_accepted_until_the_end(self):
        assert not shutdown_times().refuses_hop(105.59, 105.5)
        assert shutdown_times().refuses_hop(105.6, 105.5)


class TestQueuedCalls:
    def test_deadline_applies_without_a_shutdown(self):
        assert ShutdownTimes().start_deadline(103.0, 0.5) == 102.5

    def test_deadline_applies_to_a_call_that_ends_before_the_node(self):
        assert shutdown_times().start_deadline(105.5, 0.5) == 105.0

    def test_call_that_may_be_cut_off_must_start_well_before_the_end(self):
        assert round(shutdown_times().start_deadline(110.0, 0.5), 3) == 104.4

    def test_long_call_must_start_sooner(self):
        assert round(shutdown_times().start_deadline(110.0, 2.0), 3) == 103.6
