"""Relay: tries, retries on unresponsive peers, outcomes of calls."""

import asyncio
import random

import pytest

from papayalock.core.attempts import AttemptLog
from papayalock.core.disciplines import Fifo
from papayalock.core.gate import Gate
from papayalock.core.retry import RetryPolicy
from papayalock.core.routing import Balancer, Server
from papayalock.messages import Announcement, Endpoint
from papayalock.node.agent import BackendState
from papayalock.node.counters import Counters
from papayalock.node.dispatch import Dispatcher
from papayalock.node.http import Call, Reply
from papayalock.node.relay import Relay
from papayalock.node.slotqueue import GateQueue
from papayalock.result import Code
from test.test_dispatch import DOCUMENTS, PART, TABLE, Writer
from test.test_outbound import GOOD, KEEPALIVE, SHED, FarNodes, Script
from test.wires import FastLoop, LoopClock

DEADLINE_S = 2.5  # of the route of DOCUMENTS
SILENCE_S = 0.3
PROGRESS_S = 0.5
ALIVE_S = 0.1
HEAD = GOOD[:-2]
BODY = GOOD[-2:]
BROKEN = None
ZONES = 'zy'  # of the far servers, the node's own first


class FakeAgent:
    """The parts of the agent that a call uses."""

    routes = TABLE

    def __init__(self) -> None:
        self.backend = BackendState()

    def touch(self, service: str) -> None:
        """Does nothing."""


class Node:
    """A node whose peers use the scripts in order."""

    def __init__(
        self, *scripts: Script, servers: int = 2, percent: int = 0, floor: int
    ) -> None:
        clock = LoopClock()
        now = clock.monotonic()
        self.far = FarNodes(*scripts)
        self.agent = FakeAgent()
        self.balancer = Balancer(
            'z', random.Random(1), ramp_ms=0, eject_ms=1000, eject_percent=50
        )
        for number in range(servers):
            self.balancer.upsert(endpoint(f'n{number}', ZONES[number]), now)
        gate = Gate(Fifo(), 10)
        queue = GateQueue(gate, clock)
        queue.resize(PART)
        dispatcher = Dispatcher(
            self.agent,
            queue,
            self.balancer,
            AttemptLog(7, 100),
            self.far,
            clock,
            progress_ms=int(PROGRESS_S * 1000),
            silence_ms=int(SILENCE_S * 1000),
            answer_bytes=64,
        )
        self.relay = Relay(
            self.agent,
            self.balancer,
            gate,
            dispatcher,
            None,
            RetryPolicy(2, 1, random.Random(1)),
            None,
            Counters(),
            clock,
            alive_ms=int(ALIVE_S * 1000),
            budget_percent=percent,
            budget_floor=floor,
        )
        self.writer = Writer()

    def serve(self) -> None:
        """Adds a local backend server."""
        self.agent.backend.announcement = Announcement(
            server='own', service='enrol-desk', address='own'
        )
        self.balancer.upsert(endpoint('own'), LoopClock().monotonic())

    async def call(self, *headers: tuple[bytes, bytes]) -> float:
        """Handles one call and returns how long that took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        call = Call(
            b'POST',
            DOCUMENTS.encode(),
            [(b'host', b'enrol-desk'), *headers],
            b'{}',
        )
        await self.relay.handle(call, Reply(self.writer, keep_alive=True))
        return loop.time() - began

    def server(self, number: int = 0) -> Server:
        """Returns the server of a try, by its number."""
        return self.balancer.servers[self.far.asked[number]]

    @property
    def outcome(self) -> Code:
        """The outcome that was sent to the caller."""
        _, _, rest = self.writer.written.partition(b'papayalock-outcome: ')
        return Code(int(rest.split(b' ', 1)[0]))


def endpoint(name: str, zone: str = 'z') -> Endpoint:
    return Endpoint(
        server=name,
        service='enrol-desk',
        zone=zone,
        address=name,
        incarnation=7,
    )


HOP = (b'papayalock-hop', b'1')
INNER = (b'papayalock-depth', b'1')


def play(*scripts: Script, headers=(), own: bool = False, **changes):
    async def run() -> tuple[Node, float]:
        node = Node(*scripts, **{'floor': 10, **changes})
        await asyncio.sleep(1)  # in which its budget gets its floor
        if own:
            node.serve()
        return node, await node.call(*headers)

    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(run())


class TestUnresponsiveNode:
    def test_without_a_budget_the_try_continues(self):
        node, took = play([(0.9, GOOD)], floor=0)
        assert node.outcome == Code.DONE
        assert 0.89 < took < 1.0

    def test_a_try_of_a_nested_call_continues(self):
        node, took = play([(0.9, GOOD)], headers=[INNER])
        assert node.outcome == Code.DONE
        assert took > 0.89

    def test_without_another_server_the_try_continues(self):
        node, took = play([(0.9, GOOD)], servers=1)
        assert node.outcome == Code.DONE
        assert took > 0.89

    def test_its_try_is_cancelled_for_another(self):
        node, took = play([(0.9, GOOD)], [(0.05, GOOD)])
        assert node.outcome == Code.DONE
        assert took < SILENCE_S + 0.1
        assert node.far.conns[0].closed
        assert len(set(node.far.asked)) == 2

    def test_the_last_try_continues(self):
        node, took = play([], [(0.9, GOOD)])
        assert node.outcome == Code.DONE
        assert took > SILENCE_S + 0.89

    def test_a_retry_after_unresponsiveness_is_charged_once(self):
        node, _ = play([], [(0.05, GOOD)], floor=1)
        assert node.outcome == Code.DONE
        assert len(node.far.asked) == 2

    def test_no_response_until_the_deadline_is_unknown(self):
        node, took = play([], floor=0)
        assert node.outcome == Code.UNKNOWN_TIMEOUT
        assert DEADLINE_S - 0.01 < took < DEADLINE_S + 0.1
        assert node.far.conns[0].closed

    def test_a_lost_connection_later_ends_the_try(self):
        node, took = play([(0.9, BROKEN)], floor=0)
        assert node.outcome == Code.UNKNOWN_BROKEN
        assert took < 1.0

    @pytest.mark.parametrize('pause_s', [SILENCE_S + 0.3, DEADLINE_S - 0.3])
    def test_a_pause_within_a_response_does_not_cut_it(self, pause_s):
        node, _ = play([(0.1, HEAD), (0.1 + pause_s, BODY)])
        assert node.writer.written.endswith(BODY)
        assert not node.writer.aborted

    def test_a_response_without_a_byte_until_the_deadline_is_cut(self):
        node, took = play([(0.1, HEAD)])
        assert node.writer.aborted
        assert DEADLINE_S - 0.01 < took < DEADLINE_S + 0.1

    def test_keepalives_prevent_a_retry(self):
        keepalives = [(0.1 * step, KEEPALIVE) for step in range(1, 9)]
        node, _ = play([*keepalives, (0.9, GOOD)])
        assert node.outcome == Code.DONE
        assert len(node.far.asked) == 1
        assert node.server().failures == 0


class TestBalancer:
    @pytest.mark.parametrize('answers', [True, False])
    def test_unresponsiveness_is_recorded_when_it_is_detected(self, answers):
        async def run() -> tuple[int, int]:
            script = [(0.9, GOOD)] if answers else []
            node = Node(script, floor=0)
            task = asyncio.create_task(node.call())
            await asyncio.sleep(SILENCE_S + 0.05)
            early = node.server().failures
            await task
            assert node.server().in_flight == 0
            return early, node.server().failures

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            failures = runner.run(run())
        assert failures == (1, 0 if answers else 1)

    def test_no_response_within_a_short_deadline_counts_once(self):
        node, took = play([], headers=[(b'papayalock-remaining-ms', b'200')])
        assert node.outcome == Code.UNKNOWN_TIMEOUT
        assert took < 0.21
        assert node.server().failures == 1

    def test_keepalives_until_the_deadline_do_not_count_as_failure(self):
        keepalives = [(0.1 * step, KEEPALIVE) for step in range(1, 25)]
        node, _ = play(keepalives)
        assert node.outcome == Code.UNKNOWN_TIMEOUT
        assert node.server().failures == 0


class TestUnresponsiveBackend:
    def test_without_a_budget_the_try_continues(self):
        node, took = play([(1.5, GOOD)], own=True, floor=0)
        assert node.outcome == Code.DONE
        assert took > 1.49

    def test_the_retry_uses_another_server(self):
        node, took = play([(1.5, GOOD)], [(0.05, GOOD)], own=True)
        assert node.outcome == Code.DONE
        assert took < PROGRESS_S + 0.1
        assert node.far.asked[0] == 'own'
        assert node.far.asked[1] != 'own'

    def test_a_try_from_another_node_continues(self):
        node, took = play([(1.5, GOOD)], own=True, headers=[HOP, INNER])
        assert node.outcome == Code.DONE
        assert took > 1.49

    def test_keepalives_to_the_calling_node_stop(self):
        node, _ = play([(1.5, GOOD)], own=True, headers=[HOP])
        assert node.outcome == Code.DONE
        assert node.writer.written.count(KEEPALIVE) in {4, 5}


class TestLocalServer:
    def test_a_failed_try_is_retried_elsewhere(self):
        node, _ = play([(0.01, BROKEN)], [(0.01, GOOD)], own=True)
        assert node.outcome == Code.DONE
        assert node.far.asked == ['own', 'n0']

    def test_it_is_retried_if_there_is_no_other(self):
        node, _ = play([(0.01, BROKEN)], [(0.01, GOOD)], own=True, servers=0)
        assert node.outcome == Code.DONE
        assert node.far.asked == ['own', 'own']


class TestReportedFailure:
    def test_a_refusal_does_not_hide_that_an_earlier_try_may_have_run(self):
        node, took = play([], [(0.01, SHED)])
        assert node.outcome == Code.UNKNOWN_TIMEOUT
        assert took < SILENCE_S + 0.1

    def test_a_refusal_does_not_hide_a_broken_try(self):
        node, _ = play([(0.01, BROKEN)], [(0.01, SHED)])
        assert node.outcome == Code.UNKNOWN_BROKEN

    def test_a_try_that_may_have_run_takes_precedence_over_a_refusal(self):
        node, _ = play([(0.01, SHED)], [(0.01, BROKEN)])
        assert node.outcome == Code.UNKNOWN_BROKEN

    def test_two_refusals_are_reported_as_a_refusal(self):
        node, _ = play([(0.01, SHED)], [(0.01, SHED)])
        assert node.outcome == Code.SHED
