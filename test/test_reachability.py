"""Unreachable peers: one log line for the loss and one for the return."""

import logging

from papayalock.reachability import ReachabilityLog


class TestReachabilityLog:
    def test_a_loss_and_a_return_are_logged_once_each(self, caplog):
        caplog.set_level(logging.INFO)
        reachability = ReachabilityLog(logging.getLogger('t'), 'control VM')
        for now in (10.0, 10.5, 12.0):
            reachability.mark_unreachable('a:1', 'refused', now, version=7)
        for now in (12.25, 13.0):
            reachability.mark_reachable('a:1', now)
        reachability.mark_reachable('b:1', 13.0)
        messages = [record.getMessage() for record in caplog.records]
        assert messages == ['control VM lost', 'control VM regained']
        assert caplog.records[0].version == 7
        assert caplog.records[1].lost_ms == 2250
        assert caplog.records[1].failed_tries == 3
