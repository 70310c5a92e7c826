"""Roll-outs at the gate: which versions it admits, and its evidence."""

import asyncio

import pytest

from papayalock.core.endpoints import EndpointTable
from papayalock.core.heartbeats import BackendMonitor
from papayalock.messages import Endpoint
from papayalock.node.outcome import NoResponse, ServerResponse
from papayalock.result import Code
from test.test_heartbeats import beat
from test.test_inbound import FAILED, OK, SHED, Side
from test.test_placement import endpoint
from test.test_rollouts import versions_at


def serve(*responses, version: str = 'v2', share: float = 0.1):
    """Makes a call for each response, at a gate whose server has a version."""

    async def play():
        side = Side(*responses)
        side.monitor.record_heartbeat(beat(2, version=version), side.clock.now)
        side.exposure.services = versions_at(share=share)
        outcomes = [await side.run() for _ in responses]
        return outcomes, side

    return asyncio.run(play())


class TestGate:
    @pytest.mark.parametrize(
        ('version', 'share', 'runs'),
        [
            ('v1', 0.0, True),
            ('v2', 0.1, True),
            ('v2', 0.0, False),
            ('', 1, False),
        ],
    )
    def test_it_refuses_versions_that_may_get_no_calls(
        self, version, share, runs
    ):
        (outcome,), _ = serve(OK, version=version, share=share)
        assert isinstance(outcome, ServerResponse) == runs
        if isinstance(outcome, NoResponse):
            assert outcome.code == Code.NO_SERVER
            assert not outcome.arrived


class TestEvidence:
    def counts(self, *responses):
        _, side = serve(*responses)
        report = side.inbound.run_stats.report()
        (counts,) = report.routes
        return counts.ended, counts.failed

    def test_answers_and_failures_are_counted_and_refusals_are_not(self):
        assert self.counts(OK, FAILED, SHED, OK) == (3, 1)

    def test_a_server_that_breaks_off_has_failed(self):
        assert self.counts(OK, None) == (2, 1)

    def test_a_failure_of_a_call_that_the_server_made_says_nothing(self):
        async def play():
            side = Side(OK, FAILED)
            side.exposure.services = versions_at(share=0.1)
            stats = side.inbound.run_stats
            side.monitor.announcement.version = 'v2'
            await side.run()
            failed = ServerResponse(500, [], b'', callee_failed=True)
            serving = side.monitor.announcement
            stats.record(serving, 'r', failed, 0.1)
            return stats.report().routes

        (counts,) = asyncio.run(play())
        assert (counts.ended, counts.failed) == (1, 0)

    def test_nothing_is_reported_without_a_roll_out(self):
        _, side = serve(OK)
        assert side.inbound.run_stats.report() is not None
        side.exposure.services = {}
        assert side.inbound.run_stats.report() is None

    def test_another_start_of_the_server_counts_from_zero(self):
        _, side = serve(OK)
        side.monitor.record_heartbeat(
            beat(1, born=2000, version='v2'), side.clock.now
        )
        assert side.inbound.run_stats.report().routes == []


class TestRestartedNode:
    """A server found by a health check has not told its version."""

    def test_the_endpoint_table_keeps_the_version_of_the_same_start(self):
        table = EndpointTable('e', 'c', 1000)
        table.attach(endpoint('s', version='v1', state='left'), 0)
        table.attach(endpoint('s', incarnation=2), 1)
        assert table.endpoints()[0].version == 'v1'
        table.attach(endpoint('t', incarnation=2), 1)
        versions = {one.server: one.version for one in table.endpoints()}
        assert versions == {'s': 'v1', 't': ''}

    def test_the_node_adopts_it_for_that_start_only(self):
        monitor = BackendMonitor(lease_ms=4000, drain_ms=2000)
        monitor.record_discovery(beat(0, born=0), 1)
        monitor.adopt_version(endpoint('other', version='v1'))
        assert monitor.announcement.version == ''
        known: Endpoint = endpoint('i-1', version='v1')
        monitor.adopt_version(known)
        assert monitor.announcement.version == 'v1'
