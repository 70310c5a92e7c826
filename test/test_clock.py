"""SystemClock: what its monotonic time counts."""

import time

import pytest

from papayalock.clock import SystemClock
from papayalock.core.heartbeats import BackendMonitor
from test.test_heartbeats import beat

SUSPENDED_S = 3.0


class Machine:
    """The kernel's clocks of a VM that may be suspended."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.running_s = 100.0
        self.suspended_s = 0.0
        monkeypatch.setattr(time, 'monotonic', lambda: self.running_s)
        monkeypatch.setattr(time, 'clock_gettime', self._gettime)

    def _gettime(self, clock_id: int) -> float:
        if clock_id == time.CLOCK_BOOTTIME:
            return self.running_s + self.suspended_s
        return self.running_s


class TestSuspendedVm:
    def test_a_drain_ends_while_the_vm_is_suspended(self, monkeypatch):
        machine = Machine(monkeypatch)
        clock = SystemClock()
        monitor = BackendMonitor(lease_ms=10_000, drain_ms=2000)
        monitor.record_heartbeat(beat(1, draining=True), clock.monotonic())
        machine.suspended_s += SUSPENDED_S
        assert monitor.serving(clock.monotonic()) is None

    def test_a_lease_ends_while_the_vm_is_suspended(self, monkeypatch):
        machine = Machine(monkeypatch)
        clock = SystemClock()
        monitor = BackendMonitor(lease_ms=2000, drain_ms=2000)
        monitor.record_heartbeat(beat(1), clock.monotonic())
        machine.suspended_s += SUSPENDED_S
        assert monitor.lease_expired(clock.monotonic())
