"""Limits that backend servers state in their responses."""

import asyncio

import pytest

from papayalock.core.admission import Job, ServerGate
from papayalock.core.placement import Placement
from papayalock.core.ratelimit import RateLimit
from papayalock.core.servernotices import MAX_REMEMBERED, ServerNotices
from papayalock.messages import ServerNotice
from papayalock.native import LIMIT_HEADER
from papayalock.node.outcome import NoResponse, ServerResponse
from papayalock.result import Code
from test.hostmesh import HostMesh, play
from test.test_admission import gate, job
from test.test_placement import chosen, endpoint, placement

SPAN_S = 4.0
LEARN_S = 0.5  # from the statement on, until it is judged


def allowed(limit: float) -> float:
    """Returns the most calls that may reach a server within ``SPAN_S``."""
    return 1.5 * limit * SPAN_S + 5


async def play_limit(
    limit: bytes, *, size: int = 4, per_s: float = 160
) -> HostMesh:
    """Plays a load during which one server states a limit."""
    mesh = HostMesh(size)
    await mesh.load(per_s, 2)
    mesh.servers[0].notice = [(LIMIT_HEADER, limit)]
    await mesh.load(per_s, LEARN_S)
    mesh.outcomes.clear()
    mesh.servers[0].arrivals.clear()
    await mesh.load(per_s, 6)
    return mesh


class TestStatedLimit:
    @pytest.mark.parametrize('limit', [16.1, 7.1, 0.5, 0.0])
    def test_a_server_gets_no_more_calls_than_the_limit_that_it_stated(
        self, limit
    ):
        mesh = play(play_limit(b'%.1f' % limit))
        assert mesh.servers[0].most_in(SPAN_S, 0) <= allowed(limit)

    def test_a_limit_holds_when_no_other_server_has_room(self):
        mesh = play(play_limit(b'7.1', size=2, per_s=100))
        assert mesh.servers[0].most_in(SPAN_S, 0) <= allowed(7.1)

    def test_a_restarted_node_keeps_the_limit_that_its_callers_know(self):
        async def scene():
            mesh = await play_limit(b'0.0', size=2, per_s=100)
            mesh.servers[0].arrivals.clear()
            mesh.restart(0)
            await mesh.load(300, 4, at=[1])
            return mesh.servers[0]

        assert play(scene()).most_in(SPAN_S, 0) <= allowed(0.0)

    def test_a_limit_ends_with_the_first_response_that_has_none(self):
        async def scene():
            mesh = await play_limit(b'0.5', size=2, per_s=100)
            mesh.servers[0].notice.clear()
            await mesh.load(100, 4)
            mesh.servers[0].arrivals.clear()
            await mesh.load(100, 4)
            return mesh.servers[0]

        assert play(scene()).most_in(SPAN_S, 0) > 150


class TestCallers:
    def test_a_server_gets_its_share_again_after_its_limit_has_ended(self):
        async def scene():
            mesh = await play_limit(b'0.5')
            mesh.servers[0].notice.clear()
            await mesh.load(160, 4)
            mesh.servers[0].arrivals.clear()
            await mesh.load(160, 2)
            return len(mesh.servers[0].arrivals)

        fair_share = 160 * 2 / 4
        assert play(scene()) > fair_share / 2

    def test_calls_go_to_servers_without_a_limit_while_these_have_room(self):
        mesh = play(play_limit(b'7.1'))
        assert all(isinstance(one, ServerResponse) for one in mesh.outcomes)

    def test_a_limit_is_used_when_no_other_server_has_room(self):
        mesh = play(play_limit(b'7.1', size=2, per_s=100))
        assert len(mesh.servers[0].arrivals) > 0.8 * 7.1 * 6

    def test_a_call_that_the_limit_cannot_serve_is_refused_at_once(self):
        async def scene():
            mesh = await play_limit(b'0.5', size=1, per_s=40)
            loop = asyncio.get_running_loop()
            began = loop.time()
            outcome = await mesh.call(0)
            return outcome, loop.time() - began

        outcome, took_s = play(scene())
        assert isinstance(outcome, NoResponse)
        assert outcome.code == Code.SHED
        assert outcome.retry_after_ms > 500
        assert took_s < 0.01


class TestRateLimit:
    def limit(self, per_s: float) -> RateLimit:
        rate_limit = RateLimit()
        rate_limit.change(per_s, 0)
        return rate_limit

    def test_without_a_rate_every_call_may_start(self):
        assert RateLimit().allows(0)

    def test_calls_start_at_the_rate(self):
        rate_limit = self.limit(4)
        started = 0
        for step in range(1001):
            if rate_limit.allows(step / 100):
                rate_limit.take(step / 100)
                started += 1
        assert started == 40

    def test_few_tokens_are_saved_up(self):
        rate_limit = self.limit(4)
        for _ in range(2):
            assert rate_limit.allows(100)
            rate_limit.take(100)
        assert not rate_limit.allows(100)

    def test_a_wait_counts_the_calls_ahead(self):
        assert self.limit(4).wait_s(3, 0) == 1

    def test_a_limit_that_is_stated_again_saves_nothing_up(self):
        rate_limit = self.limit(4)
        rate_limit.change(None, 50)
        rate_limit.change(4, 100)
        assert not rate_limit.allows(100)


class TestQueue:
    def queued(self, count: int) -> tuple[ServerGate, list[Job]]:
        """Returns a gate with one call running and others queued."""
        server_gate = gate(slots=1)
        server_gate.submit(job(), 0)
        jobs = [job(target=9, deadline_at=2) for _ in range(count)]
        for queued in jobs:
            server_gate.submit(queued, 0)
        return server_gate, jobs

    def test_a_stated_limit_refuses_what_it_will_start_too_late(self):
        server_gate, jobs = self.queued(4)
        server_gate.rate_limit.change(1.5, 0)
        assert server_gate.drop_overdue(0) == jobs[2:]

    def test_the_refused_are_told_when_the_limit_has_room(self):
        server_gate, _ = self.queued(2)
        server_gate.rate_limit.change(2, 0)
        assert server_gate.retry_after_ms(0) == 1500

    def test_a_queued_call_starts_when_the_limit_allows_it(self):
        server_gate, jobs = self.queued(1)
        server_gate.rate_limit.change(2, 0)
        server_gate.slots = 2
        assert server_gate.start_queued(0) == []
        assert server_gate.next_start_s(0) == 0.5
        assert server_gate.start_queued(0.5) == jobs


class TestChoice:
    def limited(self, limit: float) -> Placement:
        selector = placement(endpoint('x'), endpoint('y'))
        selector.notices.record('x', 0, ServerNotice(limit=limit), 0)
        return selector

    def test_a_server_with_a_limit_counts_as_slower(self):
        assert set(chosen(self.limited(2))) == {'y'}

    def test_refusals_of_a_server_with_a_limit_space_out_the_next_tries(self):
        selector = self.limited(4)
        server = selector.servers['x']
        for expected_s in (0.25, 0.5, 1.0, 2.0, 2.0):
            selector.call_started(server)
            selector.call_finished(server, Code.SHED, 10)
            assert server.backoff_until == 10 + expected_s
        selector.call_started(server)
        selector.call_finished(server, Code.DONE, 10)
        assert server.backoff_until < 10

    def test_a_limit_outlives_the_node_beside_the_server(self):
        selector = self.limited(2)
        selector.remove('x', 1.0)
        selector.upsert(endpoint('x', incarnation=2), 1)
        known = selector.servers['x'].endpoint
        assert selector.notices.find(known).limit == 2

    def test_the_next_start_of_a_server_has_no_limit(self):
        selector = placement(endpoint('x', born_ms=1))
        known = selector.servers['x'].endpoint
        selector.notices.record('x', 1, ServerNotice(limit=2), 0)
        assert selector.notices.find(known).limit == 2
        restarted = endpoint('x', born_ms=2)
        assert selector.notices.find(restarted).limit is None

    def test_notices_are_bounded(self):
        notices = ServerNotices()
        for number in range(MAX_REMEMBERED + 1):
            notices.record(f's{number}', 1, ServerNotice(limit=1), 0)
        assert notices.find(endpoint('s0')).limit is None
        assert notices.find(endpoint('s1')).limit == 1
