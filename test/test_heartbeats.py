"""Heartbeats: order, final draining, and servers that stop sending them."""

from papayalock.core.heartbeats import BackendMonitor, HeartbeatEffect
from papayalock.messages import Announcement, ServerNotice


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


def make_monitor() -> BackendMonitor:
    return BackendMonitor(lease_ms=4000, drain_ms=2000)


class TestOrder:
    def test_a_renewal_changes_nothing(self):
        monitor = make_monitor()
        assert monitor.record_heartbeat(beat(1), 0) is HeartbeatEffect.CHANGED
        assert monitor.record_heartbeat(beat(2), 1) is HeartbeatEffect.RENEWED

    def test_a_delayed_heartbeat_renews_nothing(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(5), 0)
        assert monitor.record_heartbeat(beat(4), 3) is HeartbeatEffect.STALE
        assert monitor.lease_expired(4)

    def test_a_delayed_heartbeat_of_an_earlier_start_changes_nothing(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1, born=2000), 0)
        delayed = beat(90, born=1000, server='i-0')
        assert monitor.record_heartbeat(delayed, 1) is HeartbeatEffect.STALE
        assert monitor.serving(1).server == 'i-1'

    def test_a_restart_under_the_same_name_resets_the_sequence(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(50), 0)
        assert (
            monitor.record_heartbeat(beat(1, born=2000), 1)
            is HeartbeatEffect.CHANGED
        )
        assert monitor.serving(1).born_ms == 2000


class TestDraining:
    def test_calls_are_forwarded_for_part_of_the_drain_time_only(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1), 0)
        monitor.record_heartbeat(beat(2, draining=True), 1)
        assert monitor.serving(2.0) is not None
        assert monitor.serving(2.9) is None

    def test_draining_is_final_until_the_next_start(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1), 0)
        monitor.record_departure('i-1', 1)
        monitor.record_heartbeat(beat(7), 1.5)
        assert monitor.is_draining()
        assert monitor.serving(3) is None
        assert (
            monitor.record_heartbeat(beat(1, born=2000), 3)
            is HeartbeatEffect.CHANGED
        )
        assert monitor.serving(3) is not None

    def test_the_departure_of_another_server_changes_nothing(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1), 0)
        assert monitor.record_departure('i-9', 1) is HeartbeatEffect.STALE
        assert monitor.serving(1) is not None

    def test_a_repeated_drain_does_not_extend_the_time(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1), 0)
        monitor.record_heartbeat(beat(2, draining=True), 1)
        monitor.record_heartbeat(beat(3, draining=True), 2)
        assert monitor.is_closed(2.3)


class TestMissingHeartbeats:
    def test_a_server_without_heartbeats_gets_no_calls(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1), 0)
        assert monitor.serving(3.9) is not None
        assert monitor.serving(4.0) is None

    def test_a_heartbeat_after_an_expired_lease_is_a_change(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1), 0)
        assert monitor.record_heartbeat(beat(2), 9) is HeartbeatEffect.CHANGED

    def test_an_expired_lease_blocks_calls_until_the_next_heartbeat(self):
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1), 0)
        monitor.expire_lease()
        assert monitor.serving(0.1) is None
        monitor.record_heartbeat(beat(2), 1)
        assert monitor.serving(1) is not None


class TestDiscovery:
    """A server found by a health check, whose start time is not known."""

    def found(self) -> BackendMonitor:
        monitor = make_monitor()
        monitor.record_discovery(beat(0, born=0), 0)
        return monitor

    def test_a_late_heartbeat_does_not_undo_a_departure(self):
        monitor = self.found()
        monitor.record_departure('i-1', 1)
        monitor.record_heartbeat(beat(7), 1.5)
        assert monitor.is_draining()
        assert monitor.serving(2.5) is None

    def test_the_first_heartbeat_keeps_the_limit(self):
        monitor = self.found()
        monitor.record_notice(beat(0, born=0), ServerNotice(limit=2), 0, 1)
        monitor.record_heartbeat(beat(7), 1.5)
        assert monitor.limit == 2

    def test_another_server_at_the_address_is_a_new_start(self):
        monitor = self.found()
        monitor.record_departure('i-1', 1)
        monitor.record_heartbeat(beat(1, server='i-2'), 1.5)
        assert not monitor.is_draining()


class TestNotice:
    def play(self, *notices: tuple[float | None, float]) -> BackendMonitor:
        """Records limits with the times at which their calls were sent."""
        monitor = make_monitor()
        monitor.record_heartbeat(beat(1), 0)
        for now, (limit, sent_at) in enumerate(notices, start=10):
            notice = ServerNotice(limit=limit)
            monitor.record_notice(beat(1), notice, sent_at, now)
        return monitor

    def test_a_limit_holds_until_a_response_to_a_later_call_has_none(self):
        assert self.play((8, 9)).limit == 8
        assert self.play((8, 9), (3.5, 9)).limit == 3.5
        assert self.play((8, 9), (None, 10.5)).limit is None

    def test_a_response_that_was_overtaken_does_not_lift_the_limit(self):
        assert self.play((8, 9), (None, 9.5)).limit == 8

    def test_the_next_start_of_the_server_has_no_limit(self):
        monitor = self.play((8, 9))
        monitor.record_heartbeat(beat(1, born=2000), 20)
        assert monitor.limit is None
        monitor.record_notice(beat(1), ServerNotice(limit=8), 19, 21)
        assert monitor.limit is None
