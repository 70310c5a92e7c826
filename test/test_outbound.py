"""OutboundProxy: tries, hedging on unresponsive nodes, outcomes of calls."""

import asyncio
import logging
import random

import pytest

from papayalock.config import make_settings
from papayalock.core.exposure import Exposure
from papayalock.core.placement import Placement
from papayalock.core.shutdowntimes import ShutdownTimes
from papayalock.httpclient import ClientConn
from papayalock.messages import HopOrder
from papayalock.native import CALL_HEADER, REMAINING_HEADER, NativeCalls
from papayalock.node.crashreports import CrashReports
from papayalock.node.http import Call
from papayalock.node.hopheaders import ORDERS
from papayalock.node.inbound import ORDER_HEADER
from papayalock.node.lag import LoopLag
from papayalock.node.outbound import OutboundProxy
from papayalock.node.outcome import NoResponse, ServerResponse
from papayalock.result import Code
from test.test_hostroutes import table
from test.test_placement import endpoint
from test.test_routesets import route
from test.wires import FakeTransport, FastLoop, LoopClock

LOAD = b'papayalock-load: {"jobs":1,"slots":4,"pace_ms":50.0,"failing":0.0}'
GOOD = (
    b'HTTP/1.1 200 OK\r\npapayalock-outcome: 0 DONE\r\n'
    + LOAD
    + b'\r\ncontent-length: 2\r\n\r\nhi'
)
FAILED = GOOD.replace(b'200 OK', b'500 X')
SHED = (
    b'HTTP/1.1 503 X\r\npapayalock-outcome: 103 SHED\r\n'
    b'papayalock-arrived: 0\r\nretry-after: 50\r\n'
    + LOAD
    + b'\r\ncontent-length: 0\r\n\r\n'
)
SHED_BY_SERVER = SHED.replace(b'arrived: 0', b'arrived: 1')
KEEPALIVE = b'HTTP/1.1 102 Processing\r\n\r\n'
SILENCE_S = 0.24
STARTED_AT = 0.0  # monotonic seconds; long before the first call


def sent_header(conn: 'FarConn') -> bytes:
    """Returns the order header of the call that a connection carried."""
    lines = conn.sent.split(b'\r\n')
    prefix = ORDER_HEADER + b': '
    text = next(line for line in lines if line.startswith(prefix))
    return text.removeprefix(prefix)


def sent_order(conn: 'FarConn') -> HopOrder:
    """Returns the order of the call that a connection carried."""
    return ORDERS.decode(sent_header(conn))


Script = list[tuple[float, bytes | None]]


class FarConn(ClientConn):
    """A connection to another node that replies by a script of the test."""

    def __init__(self, script: Script) -> None:
        super().__init__()
        self.script = script
        self.sent = b''
        self.connection_made(FakeTransport())

    def _write(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        for after_s, answer in [] if self.sent else self.script:
            if answer is None:
                loop.call_later(after_s, self.connection_lost, None)
            else:
                loop.call_later(after_s, self._arrive, answer)
        self.sent += data

    def _arrive(self, answer: bytes) -> None:
        if not self.closed:
            self.data_received(answer)


class FarNodes:
    """A pool whose connections use the scripts in order."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = scripts
        self.names = [f'n{number}' for number, _ in enumerate(scripts)]
        self.asked: list[str] = []
        self.dropped: list[str] = []
        self.conns: list[FarConn] = []

    async def acquire(self, address: str, *, fresh: bool = False) -> FarConn:
        self.asked.append(address.split(':')[0])
        self.conns.append(FarConn(self.scripts[len(self.conns)]))
        return self.conns[-1]

    def release(self, address: str, conn: FarConn) -> None:
        """Keeps nothing."""

    def close_idle(self, address: str) -> None:
        self.dropped.append(address.split(':')[0])


class FakeAgent:
    """The parts of the agent that a call uses."""

    control_selector = None
    pool = None
    incarnation = 7

    class configuration:
        version = 1

    def __init__(self, names: list[str], **changes) -> None:
        self.host_table = table(route('r', tries=2, **changes))
        self.placement = Placement('a', 'own:1', random.Random(1))
        self.exposure = Exposure(random.Random(1))
        for name in names:
            self.placement.upsert(endpoint(name), 0)


class FakeInbound:
    callee_failures = 0
    busy = False


class NoMetrics:
    def count_retry(self, service: str) -> None:
        """Counts nothing."""

    def count(self, *counted: object) -> None:
        """Counts nothing."""


class Caller:
    """A caller at a node that knows other nodes."""

    def __init__(
        self, far: FarNodes, *, window_floor: float = 60, **changes
    ) -> None:
        settings = make_settings(
            {
                'role': 'node',
                'control': {'addresses': ['10.0.0.9:1']},
                'retry': {'window_floor': window_floor},
            }
        )
        self.far = far
        self.shutdown_times = ShutdownTimes()
        self.agent = FakeAgent(far.names, **changes)
        self.outbound = OutboundProxy(
            settings,
            self.agent,
            FakeInbound(),
            far,
            NativeCalls(),
            LoopClock(),
            NoMetrics(),
            LoopLag(0.25),
            self.shutdown_times,
            random.Random(1),
            CrashReports(LoopClock()),
            started_at=STARTED_AT,
        )

    async def call(self, deadline_ms: int = 1000, body: bytes = b''):
        headers = [
            (b'host', b'a.example'),
            (CALL_HEADER, b'c'),
            (REMAINING_HEADER, b'%d' % deadline_ms),
        ]
        call = Call(b'POST', b'/r/x', headers, body)
        return await self.outbound._run(call)


def play(far: FarNodes, **changes):
    """Returns the outcome of one call and the seconds that it took."""
    body = changes.pop('body', b'')

    async def run():
        loop = asyncio.get_running_loop()
        began = loop.time()
        caller = Caller(far, timeout_ms=1000, **changes)
        outcome = await caller.call(body=body)
        return outcome, loop.time() - began

    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(run())


class TestUnresponsiveNode:
    def test_a_try_at_an_unresponsive_node_continues(self):
        outcome, took = play(FarNodes([(0.6, GOOD)]), window_floor=0)
        assert isinstance(outcome, ServerResponse)
        assert 0.59 < took < 0.7

    def test_a_non_idempotent_call_is_not_hedged(self):
        far = FarNodes([(0.6, GOOD)], [(0.0, GOOD)])
        outcome, took = play(far, repeatable=False)
        assert isinstance(outcome, ServerResponse)
        assert len(far.asked) == 1
        assert took > 0.59

    def test_a_second_server_is_tried_beside_an_unresponsive_one(self):
        far = FarNodes([(0.9, GOOD)], [(0.05, GOOD)])
        outcome, took = play(far)
        assert isinstance(outcome, ServerResponse)
        assert took < SILENCE_S + 0.1
        assert far.conns[0].closed
        assert far.dropped == far.asked[:1]

    def test_the_unresponsive_server_may_respond_first(self):
        far = FarNodes([(0.3, GOOD)], [(0.3, GOOD)])
        outcome, took = play(far)
        assert isinstance(outcome, ServerResponse)
        assert 0.29 < took < 0.35
        assert len(far.asked) == 2
        assert far.conns[1].closed

    def test_a_refusal_elsewhere_does_not_end_an_unresponsive_try(self):
        far = FarNodes([(0.6, GOOD)], [(0.01, SHED)])
        outcome, took = play(far)
        assert isinstance(outcome, ServerResponse)
        assert 0.59 < took < 0.7

    def test_no_response_until_the_deadline_is_unknown(self):
        outcome, took = play(FarNodes([]), window_floor=0)
        assert isinstance(outcome, NoResponse)
        assert outcome.code == Code.UNKNOWN_TIMEOUT
        assert 0.9 < took < 1.1

    def test_an_unresponsive_server_is_not_chosen_while_its_try_continues(self):
        far = FarNodes([(0.6, GOOD)], [])

        async def run():
            caller = Caller(far, window_floor=0, timeout_ms=1000)
            task = asyncio.create_task(caller.call())
            await asyncio.sleep(SILENCE_S + 0.05)
            now = asyncio.get_running_loop().time()
            placement = caller.agent.placement
            chosen = {
                placement.choose('floor', now).endpoint.server
                for _ in range(20)
            }
            await task
            return chosen

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            chosen = runner.run(run())
        assert far.asked[0] not in chosen


class TestTries:
    def test_a_refusal_without_budget_cost_leads_to_the_next_server(self):
        far = FarNodes([(0.01, SHED)], [(0.01, GOOD)])
        outcome, _ = play(far, window_floor=0)
        assert isinstance(outcome, ServerResponse)

    def test_a_lost_connection_fails_at_once(self):
        far = FarNodes([(0.05, None)])
        outcome, took = play(far, window_floor=0)
        assert outcome.code == Code.UNKNOWN_BROKEN
        assert took < 0.1

    def test_keepalives_prevent_hedging(self):
        keepalives = [(0.1 * step, KEEPALIVE) for step in range(1, 7)]
        far = FarNodes([*keepalives, (0.65, GOOD)], [])
        outcome, _ = play(far)
        assert isinstance(outcome, ServerResponse)
        assert len(far.asked) == 1

    def test_a_failure_is_returned_if_no_try_succeeds(self):
        far = FarNodes([(0.01, FAILED)], [(0.01, FAILED)])
        outcome, _ = play(far)
        assert outcome.status == 500
        assert len(far.asked) == 2


class TestRunsCounted:
    """An unresponsive try counts as one run from then on."""

    def test_an_unresponsive_try_that_fails_starts_no_run_beyond_the_limit(
        self,
    ):
        far = FarNodes([(0.3, FAILED)], [(0.6, GOOD)], [(0.6, GOOD)])
        outcome, _ = play(far)
        assert outcome.status == 200
        assert len(far.asked) == 2

    def test_an_unresponsive_try_that_is_lost_starts_no_run_beyond_the_limit(
        self,
    ):
        far = FarNodes([(0.3, None)], [(0.5, GOOD)], [(0.5, GOOD)])
        outcome, _ = play(far)
        assert isinstance(outcome, ServerResponse)
        assert len(far.asked) == 2


class TestAtTheDeadline:
    def test_an_earlier_failure_response_is_returned(self):
        far = FarNodes([(0.01, FAILED)], [])
        outcome, _ = play(far)
        assert isinstance(outcome, ServerResponse)
        assert outcome.status == 500


class TestFailureBesideUnresponsiveTry:
    def test_a_failure_elsewhere_does_not_end_an_unresponsive_try(self):
        far = FarNodes([(0.6, GOOD)], [(0.01, FAILED)])
        outcome, took = play(far)
        assert outcome.status == 200
        assert 0.59 < took < 0.7


class TestCostOfUnresponsiveness:
    def after(self, far: FarNodes):
        async def run():
            caller = Caller(far, timeout_ms=1000)
            await caller.call()
            return caller

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            return runner.run(run())

    def test_without_another_server_the_budget_is_not_charged(self):
        caller = self.after(FarNodes([(0.6, GOOD)]))
        budget = caller.outbound._budgets.find('floor')
        assert (
            budget.remaining(1001, caller.agent.placement.count_nodes(1001))
            >= 60
        )

    def test_a_lost_connection_later_is_not_a_second_failure(self):
        caller = self.after(FarNodes([(0.3, None)]))
        (peer,) = caller.agent.placement.servers.values()
        assert peer.failures == 1


class TestHopTimes:
    def hop_s(self, answer: bytes) -> float:
        async def run():
            caller = Caller(FarNodes([(0.2, answer)]))
            await caller.call()
            (server,) = caller.agent.placement.servers.values()
            return server.hop_s

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            return runner.run(run())

    def test_time_at_the_node_of_the_server_is_no_hop_time(self):
        took = b'papayalock-took: 150\r\n' + LOAD
        assert 0.009 < self.hop_s(GOOD.replace(LOAD, took)) < 0.02

    def test_node_that_does_not_tell_its_time_leaves_the_hop_time(self):
        assert self.hop_s(GOOD) == 0


class TestShortHeaders:
    """Links full of small calls: names are left out where both nodes can."""

    def order_headers(self, answer: bytes) -> list[bytes]:
        far = FarNodes([(0.01, answer)], [(0.01, answer)])

        async def run():
            caller = Caller(far)
            caller.agent.placement.remove(far.names[1], LoopClock().monotonic())
            for _ in far.scripts:
                await caller.call()

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            runner.run(run())
        return [sent_header(conn) for conn in far.conns]

    def test_order_is_short_once_the_node_is_known_to_read_it(self):
        took = b'papayalock-took: 5\r\n' + LOAD
        first, second = self.order_headers(GOOD.replace(LOAD, took))
        assert first.startswith(b'{')
        assert second.startswith(b'[')
        assert len(second) < len(first) / 2

    def test_order_stays_long_for_a_node_of_an_earlier_version(self):
        assert all(
            header.startswith(b'{') for header in self.order_headers(GOOD)
        )


class TestReturningCallers:
    """Overload: callers of uneven patience, of whom some were refused."""

    def orders(self, *calls: tuple[float, int], answer: bytes):
        """Returns the hop orders of calls of one request.

        :param calls: seconds before each call, and the deadline it states
        """
        far = FarNodes([(0.01, answer)], [(0.01, answer)], [(0.01, answer)])

        async def run():
            caller = Caller(far, timeout_ms=1000, target_ms=500)
            # The first server is the only one left to ask.
            for name in far.names[1:]:
                caller.agent.placement.remove(name, LoopClock().monotonic())
            for delay_s, deadline_ms in calls:
                await asyncio.sleep(delay_s)
                await caller.call(deadline_ms)

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            runner.run(run())
        return [sent_order(conn) for conn in far.conns]

    def test_impatience_does_not_shorten_the_latency_objective(self):
        impatient = self.orders((0, 4000), (0, 3400), answer=GOOD)[1]
        assert impatient.target_ms >= 499
        assert not impatient.returning

    def test_returning_caller_is_known_and_its_objective_goes_on(self):
        returning = self.orders((0, 900), (0.1, 760), answer=FAILED)[-1]
        assert returning.returning
        assert 340 <= returning.target_ms <= 390


class TestMissingRoute:
    """A caller that is told that there is no route does not come back."""

    def call_elsewhere(self, *, contact_s_ago: float | None):
        async def run():
            caller = Caller(FarNodes())
            now = asyncio.get_running_loop().time()
            if contact_s_ago is not None:
                caller.outbound.checks.record_contact(now - contact_s_ago)
            headers = [(b'host', b'a.example'), (CALL_HEADER, b'c')]
            return await caller.outbound._run(Call(b'GET', b'/new/', headers))

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            return runner.run(run())

    def test_it_is_missing_only_for_a_node_in_touch(self):
        assert self.call_elsewhere(contact_s_ago=0.5).code == Code.NO_ROUTE

    @pytest.mark.parametrize('contact_s_ago', [None, 10.9, 60.0])
    def test_a_node_out_of_touch_does_not_deny_a_newer_route(
        self, contact_s_ago
    ):
        outcome = self.call_elsewhere(contact_s_ago=contact_s_ago)
        assert outcome.code == Code.ROUTES_OUTDATED
        assert outcome.code.not_run
        assert outcome.retry_after_ms > 0


class TestRetryLog:
    """Each retry is counted where it is decided, whatever ends the node."""

    def lines(self, caplog, *scripts: Script) -> list[logging.LogRecord]:
        caplog.set_level(logging.INFO)
        play(FarNodes(*scripts))
        return caplog.records

    def test_a_retry_is_logged_before_the_call_ends(self, caplog):
        lines = self.lines(caplog, [(0.1, SHED_BY_SERVER)], [(0.1, GOOD)])
        retry = next(line for line in lines if line.message == 'call retried')
        assert (retry.call, retry.code, retry.retries_spent) == ('c', 'SHED', 1)
        assert retry.running_ms >= 100
        assert lines[-1].message == 'call answered after more than one try'

    def test_a_try_that_no_server_saw_is_told_from_one_that_a_server_refused(
        self, caplog
    ):
        for first, arrived in ((SHED, False), (SHED_BY_SERVER, True)):
            caplog.clear()
            failed = [(0.1, FAILED)]
            lines = self.lines(caplog, [(0.1, first)], failed, failed)
            tries = [
                line.tries for line in lines if line.message != 'call retried'
            ]
            assert tries[-1][0]['arrived'] is arrived
