"""A register-routed call at a node: tries, silence and what ends a call."""

import asyncio
import random

import pytest

from papayalock.core.attempts import AttemptLog
from papayalock.core.disciplines import Fifo
from papayalock.core.limits import Gate
from papayalock.core.retry import RetryPolicy
from papayalock.core.routing import Balancer, Server
from papayalock.messages import Announcement, Endpoint
from papayalock.node.agent import BackendState
from papayalock.node.counters import Counters
from papayalock.node.dispatch import Dispatcher
from papayalock.node.gate import GateQueue
from papayalock.node.http import Call, Reply
from papayalock.node.relay import Relay
from papayalock.result import Code
from test.test_dispatch import DOCUMENTS, PART, TABLE, Writer
from test.test_outbound import GOOD, SHED, SIGN, FarNodes, Script
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
    """What a call needs of the agent."""

    routes = TABLE

    def __init__(self) -> None:
        self.backend = BackendState()

    def touch(self, service: str) -> None:
        """Notes nothing."""


class Node:
    """A node whose far ends play their scripts in the order of use."""

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
        """Puts a backend server beside the node."""
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
        """Returns a far server in the order of use."""
        return self.balancer.servers[self.far.asked[number]]

    @property
    def outcome(self) -> Code:
        """The outcome that the caller was told."""
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
        if own:
            node.serve()
        return node, await node.call(*headers)

    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(run())


class TestSilentNode:
    def test_without_a_budget_the_call_goes_on(self):
        node, took = play([(0.9, GOOD)], floor=0)
        assert node.outcome == Code.DONE
        assert 0.89 < took < 1.0

    def test_a_call_below_another_call_goes_on(self):
        node, took = play([(0.9, GOOD)], headers=[INNER])
        assert node.outcome == Code.DONE
        assert took > 0.89

    def test_without_another_server_the_call_goes_on(self):
        node, took = play([(0.9, GOOD)], servers=1)
        assert node.outcome == Code.DONE
        assert took > 0.89

    def test_it_is_given_up_for_another_try(self):
        node, took = play([(0.9, GOOD)], [(0.05, GOOD)])
        assert node.outcome == Code.DONE
        assert took < SILENCE_S + 0.1
        assert node.far.conns[0].closed
        assert len(set(node.far.asked)) == 2

    def test_the_last_try_goes_on(self):
        node, took = play([], [(0.9, GOOD)])
        assert node.outcome == Code.DONE
        assert took > SILENCE_S + 0.89

    def test_a_try_granted_at_the_silence_costs_one_of_the_budget(self):
        node, _ = play([], [(0.05, GOOD)], floor=1)
        assert node.outcome == Code.DONE
        assert len(node.far.asked) == 2

    def test_silence_to_the_end_is_unknown_at_the_deadline(self):
        node, took = play([], floor=0)
        assert node.outcome == Code.UNKNOWN_TIMEOUT
        assert DEADLINE_S - 0.01 < took < DEADLINE_S + 0.1
        assert node.far.conns[0].closed

    def test_a_break_after_the_silence_ends_the_try(self):
        node, took = play([(0.9, BROKEN)], floor=0)
        assert node.outcome == Code.UNKNOWN_BROKEN
        assert took < 1.0

    @pytest.mark.parametrize('pause_s', [SILENCE_S + 0.3, DEADLINE_S - 0.3])
    def test_a_pause_within_an_answer_does_not_cut_it(self, pause_s):
        node, _ = play([(0.1, HEAD), (0.1 + pause_s, BODY)])
        assert node.writer.written.endswith(BODY)
        assert not node.writer.aborted

    def test_an_answer_silent_to_the_deadline_is_cut(self):
        node, took = play([(0.1, HEAD)])
        assert node.writer.aborted
        assert DEADLINE_S - 0.01 < took < DEADLINE_S + 0.1

    def test_signs_of_life_are_no_silence(self):
        signs = [(0.1 * step, SIGN) for step in range(1, 9)]
        node, _ = play([*signs, (0.9, GOOD)])
        assert node.outcome == Code.DONE
        assert len(node.far.asked) == 1
        assert node.server().failures == 0


class TestBalancer:
    @pytest.mark.parametrize('answers', [True, False])
    def test_it_learns_of_silence_when_it_is_noticed(self, answers):
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

    def test_silence_of_a_whole_short_deadline_counts_once(self):
        node, took = play([], headers=[(b'papayalock-remaining-ms', b'200')])
        assert node.outcome == Code.UNKNOWN_TIMEOUT
        assert took < 0.21
        assert node.server().failures == 1

    def test_signs_of_life_to_the_deadline_do_not_count(self):
        signs = [(0.1 * step, SIGN) for step in range(1, 25)]
        node, _ = play(signs)
        assert node.outcome == Code.UNKNOWN_TIMEOUT
        assert node.server().failures == 0


class TestSilentBackend:
    def test_without_a_budget_the_call_goes_on(self):
        node, took = play([(1.5, GOOD)], own=True, floor=0)
        assert node.outcome == Code.DONE
        assert took > 1.49

    def test_it_is_not_tried_again_in_place_of_another(self):
        node, took = play([(1.5, GOOD)], [(0.05, GOOD)], own=True)
        assert node.outcome == Code.DONE
        assert took < PROGRESS_S + 0.1
        assert node.far.asked[0] == 'own'
        assert node.far.asked[1] != 'own'

    def test_a_call_from_another_node_goes_on(self):
        node, took = play([(1.5, GOOD)], own=True, headers=[HOP, INNER])
        assert node.outcome == Code.DONE
        assert took > 1.49

    def test_the_calling_node_is_told_by_silence(self):
        node, _ = play([(1.5, GOOD)], own=True, headers=[HOP])
        assert node.outcome == Code.DONE
        assert node.writer.written.count(SIGN) in {4, 5}


class TestOwnServer:
    def test_a_try_that_failed_there_is_repeated_elsewhere(self):
        node, _ = play([(0.01, BROKEN)], [(0.01, GOOD)], own=True)
        assert node.outcome == Code.DONE
        assert node.far.asked == ['own', 'n0']

    def test_it_is_tried_again_when_there_is_no_other(self):
        node, _ = play([(0.01, BROKEN)], [(0.01, GOOD)], own=True, servers=0)
        assert node.outcome == Code.DONE
        assert node.far.asked == ['own', 'own']


class TestWhatIsTold:
    def test_a_refusal_does_not_hide_that_an_earlier_try_may_have_run(self):
        node, took = play([], [(0.01, SHED)])
        assert node.outcome == Code.UNKNOWN_TIMEOUT
        assert took < SILENCE_S + 0.1

    def test_nor_does_it_hide_a_broken_try(self):
        node, _ = play([(0.01, BROKEN)], [(0.01, SHED)])
        assert node.outcome == Code.UNKNOWN_BROKEN

    def test_a_try_that_may_have_run_goes_before_an_earlier_refusal(self):
        node, _ = play([(0.01, SHED)], [(0.01, BROKEN)])
        assert node.outcome == Code.UNKNOWN_BROKEN

    def test_two_refusals_are_a_refusal(self):
        node, _ = play([(0.01, SHED)], [(0.01, SHED)])
        assert node.outcome == Code.SHED
