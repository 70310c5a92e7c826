"""The event loop lag that a periodic timer measures."""

from papayalock.node.lag import LoopLag


class TestLoopLag:
    def test_a_punctual_timer_shows_no_lag(self):
        lag = LoopLag(0.25)
        for step in range(4):
            lag.record_run(step * 0.25)
        assert lag.max_lag_ms(0.8) == 0

    def test_a_stall_shows_until_the_second_timely_run(self):
        lag = LoopLag(0.25)
        lag.record_run(0.0)
        assert lag.max_lag_ms(0.75) == 500
        lag.record_run(0.75)
        assert lag.max_lag_ms(0.75) == 500
        lag.record_run(1.0)
        assert lag.max_lag_ms(1.0) == 500
        lag.record_run(1.25)
        assert lag.max_lag_ms(1.25) == 0
