"""Heartbeats: order, leaving for good, and servers that fall silent."""

from papayalock.core.heartbeats import BackendWatch, Heard
from papayalock.messages import Announcement


def beat(sequence: int, *, born: int = 1000, **changes) -> Announcement:
    fields = {
        'server': 'i-1',
        'service': 'floor',
        'address': '10.0.0.1:80',
        'slots': 6,
        'born_ms': born,
        'sequence': sequence,
        **changes,
    }
    return Announcement(**fields)


def watch() -> BackendWatch:
    return BackendWatch(lease_ms=4000, drain_ms=2000)


class TestOrder:
    def test_a_renewal_is_no_news(self):
        known = watch()
        assert known.hear(beat(1), 0) is Heard.NEWS
        assert known.hear(beat(2), 1) is Heard.RENEWED

    def test_a_late_heartbeat_renews_nothing(self):
        known = watch()
        known.hear(beat(5), 0)
        assert known.hear(beat(4), 3) is Heard.STALE
        assert known.lost(4)

    def test_a_late_heartbeat_of_an_earlier_start_changes_nothing(self):
        known = watch()
        known.hear(beat(1, born=2000), 0)
        late = beat(90, born=1000, server='i-0')
        assert known.hear(late, 1) is Heard.STALE
        assert known.serving(1).server == 'i-1'

    def test_a_new_start_under_the_same_name_counts_anew(self):
        known = watch()
        known.hear(beat(50), 0)
        assert known.hear(beat(1, born=2000), 1) is Heard.NEWS
        assert known.serving(1).born_ms == 2000


class TestLeaving:
    def test_calls_may_pass_for_part_of_the_drain_time_only(self):
        known = watch()
        known.hear(beat(1), 0)
        known.hear(beat(2, draining=True), 1)
        assert known.serving(2.0) is not None
        assert known.serving(2.9) is None

    def test_leaving_is_final_for_a_start(self):
        known = watch()
        known.hear(beat(1), 0)
        known.depart('i-1', 1)
        known.hear(beat(7), 1.5)
        assert known.leaving()
        assert known.serving(3) is None
        assert known.hear(beat(1, born=2000), 3) is Heard.NEWS
        assert known.serving(3) is not None

    def test_the_departure_of_another_server_changes_nothing(self):
        known = watch()
        known.hear(beat(1), 0)
        assert known.depart('i-9', 1) is Heard.STALE
        assert known.serving(1) is not None

    def test_a_repeated_drain_does_not_extend_the_time(self):
        known = watch()
        known.hear(beat(1), 0)
        known.hear(beat(2, draining=True), 1)
        known.hear(beat(3, draining=True), 2)
        assert known.closed(2.3)


class TestSilence:
    def test_a_silent_server_gets_no_calls(self):
        known = watch()
        known.hear(beat(1), 0)
        assert known.serving(3.9) is not None
        assert known.serving(4.0) is None

    def test_a_server_that_is_heard_again_is_news(self):
        known = watch()
        known.hear(beat(1), 0)
        assert known.hear(beat(2), 9) is Heard.NEWS

    def test_a_mistaken_address_is_closed_until_the_next_heartbeat(self):
        known = watch()
        known.hear(beat(1), 0)
        known.mistaken()
        assert known.serving(0.1) is None
        known.hear(beat(2), 1)
        assert known.serving(1) is not None
