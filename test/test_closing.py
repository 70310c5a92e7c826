"""Which calls a node that stops still takes."""

from papayalock.core.closing import Closing

GRACE_S = 6.0


def closing(now: float = 100.0) -> Closing:
    one = Closing()
    one.begin(now, GRACE_S)
    return one


class TestTimes:
    def test_a_node_that_does_not_stop_takes_every_call(self):
        assert not Closing().refuses_all(1e9)

    def test_callers_have_been_told_long_before_the_end(self):
        one = closing()
        assert (one.told_at, one.ends_at) == (102.6, 105.6)

    def test_a_short_grace_time_shortens_the_notice(self):
        one = Closing()
        one.begin(100.0, 1.0)
        assert one.told_at == one.ends_at == 100.6

    def test_without_grace_time_the_node_ends_at_once(self):
        one = Closing()
        one.begin(100.0, 0.0)
        assert one.told_at == one.ends_at == 100.0


class TestRefusesAll:
    def test_shortly_before_the_end_no_call_is_taken(self):
        assert not closing().refuses_all(104.39)
        assert closing().refuses_all(104.41)

    def test_a_short_grace_time_still_leaves_the_notice(self):
        one = Closing()
        one.begin(100.0, 1.0)
        assert not one.refuses_all(100.5)
        assert one.refuses_all(100.6)
