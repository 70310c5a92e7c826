"""The lateness of the event loop."""

from papayalock.node.lag import LoopLag


class TestLoopLag:
    def test_a_timer_in_time_shows_none(self):
        lag = LoopLag(0.25)
        for step in range(4):
            lag.record_run(step * 0.25)
        assert lag.max_lag_ms(0.8) == 0

    def test_a_stall_is_seen_during_it_and_for_a_while_after(self):
        lag = LoopLag(0.25)
        lag.record_run(0.0)
        assert lag.max_lag_ms(0.75) == 500
        lag.record_run(0.75)
        assert lag.max_lag_ms(0.75) == 500
        lag.record_run(1.0)
        assert lag.max_lag_ms(1.0) == 500
        lag.record_run(1.25)
        assert lag.max_lag_ms(1.25) == 0
