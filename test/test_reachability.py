"""Unreachable peers: one log line for the loss and one for the return."""

import logging

from papayalock.reachability import ReachabilityLog


class TestReachabilityLog:
    def test_a_loss_and_a_return_are_logged_once_each(self, caplog):
        caplog.set_level(logging.INFO)
        reachability = ReachabilityLog(logging.getLogger('t'), 'control VM')
        for _ in range(3):
            reachability.mark_unreachable('a:1', 'refused', version=7)
        for _ in range(2):
            reachability.mark_reachable('a:1')
        reachability.mark_reachable('b:1')
        messages = [record.getMessage() for record in caplog.records]
        assert messages == ['control VM lost', 'control VM regained']
        assert caplog.records[0].version == 7
