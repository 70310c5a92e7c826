"""Heartbeats: order, leaving for good, and servers that fall silent."""

from papayalock.core.heartbeats import BackendMonitor, HeartbeatEffect
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


def watch() -> BackendMonitor:
    return BackendMonitor(lease_ms=4000, drain_ms=2000)


class TestOrder:
    def test_a_renewal_is_no_news(self):
        known = watch()
        assert known.record_heartbeat(beat(1), 0) is HeartbeatEffect.CHANGED
        assert known.record_heartbeat(beat(2), 1) is HeartbeatEffect.RENEWED

    def test_a_late_heartbeat_renews_nothing(self):
        known = watch()
        known.record_heartbeat(beat(5), 0)
        assert known.record_heartbeat(beat(4), 3) is HeartbeatEffect.STALE
        assert known.lease_expired(4)

    def test_a_late_heartbeat_of_an_earlier_start_changes_nothing(self):
        known = watch()
        known.record_heartbeat(beat(1, born=2000), 0)
        late = beat(90, born=1000, server='i-0')
        assert known.record_heartbeat(late, 1) is HeartbeatEffect.STALE
        assert known.serving(1).server == 'i-1'

    def test_a_new_start_under_the_same_name_counts_anew(self):
        known = watch()
        known.record_heartbeat(beat(50), 0)
        assert (
            known.record_heartbeat(beat(1, born=2000), 1)
            is HeartbeatEffect.CHANGED
        )
        assert known.serving(1).born_ms == 2000


class TestLeaving:
    def test_calls_may_pass_for_part_of_the_drain_time_only(self):
        known = watch()
        known.record_heartbeat(beat(1), 0)
        known.record_heartbeat(beat(2, draining=True), 1)
        assert known.serving(2.0) is not None
        assert known.serving(2.9) is None

    def test_leaving_is_final_for_a_start(self):
        known = watch()
        known.record_heartbeat(beat(1), 0)
        known.record_departure('i-1', 1)
        known.record_heartbeat(beat(7), 1.5)
        assert known.is_draining()
        assert known.serving(3) is None
        assert (
            known.record_heartbeat(beat(1, born=2000), 3)
            is HeartbeatEffect.CHANGED
        )
        assert known.serving(3) is not None

    def test_the_departure_of_another_server_changes_nothing(self):
        known = watch()
        known.record_heartbeat(beat(1), 0)
        assert known.record_departure('i-9', 1) is HeartbeatEffect.STALE
        assert known.serving(1) is not None

    def test_a_repeated_drain_does_not_extend_the_time(self):
        known = watch()
        known.record_heartbeat(beat(1), 0)
        known.record_heartbeat(beat(2, draining=True), 1)
        known.record_heartbeat(beat(3, draining=True), 2)
        assert known.is_closed(2.3)


class TestSilence:
    def test_a_silent_server_gets_no_calls(self):
        known = watch()
        known.record_heartbeat(beat(1), 0)
        assert known.serving(3.9) is not None
        assert known.serving(4.0) is None

    def test_a_server_that_is_heard_again_is_news(self):
        known = watch()
        known.record_heartbeat(beat(1), 0)
        assert known.record_heartbeat(beat(2), 9) is HeartbeatEffect.CHANGED

    def test_a_mistaken_address_is_closed_until_the_next_heartbeat(self):
        known = watch()
        known.record_heartbeat(beat(1), 0)
        known.invalidate()
        assert known.serving(0.1) is None
        known.record_heartbeat(beat(2), 1)
        assert known.serving(1) is not None
