"""Single tries: what an answer, a refusal and a loss become."""

import asyncio
import random

import pytest

from papayalock.core.attempts import AttemptLog
from papayalock.core.derive import derive_parts
from papayalock.core.disciplines import Fifo
from papayalock.core.limits import Gate
from papayalock.core.routing import Balancer, RouteTable, Server
from papayalock.messages import Announcement, Endpoint
from papayalock.node.agent import BackendState
from papayalock.node.dispatch import Dispatcher
from papayalock.node.gate import GateQueue
from papayalock.node.http import Call, Reply
from papayalock.node.trip import Attempt, Delivered, Failed, Trip
from papayalock.result import Code
from papayalock.httpclient import ClientConn, TransportError
from test.inventories import example
from test.wires import FakeClock, FakeTransport

PART = derive_parts(example('qureshi'), ['enrol-desk'])['enrol-desk']
TABLE = RouteTable([PART])
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'


class ScriptedConn(ClientConn):
    """Answers every write with the next scripted bytes; None loses the connection."""

    def __init__(self, script: list[bytes | None], used: bool) -> None:
        super().__init__()
        self.script = list(script)
        self.used = used
        self.sent = b''
        self.connection_made(FakeTransport())

    def _write(self, data: bytes) -> None:
        self.sent += data
        if not self.script:
            return
        answer = self.script.pop(0)
        loop = asyncio.get_running_loop()
        if answer is None:
            loop.call_soon(self.connection_lost, None)
        else:
            loop.call_soon(self.data_received, answer)


class FakePool:
    def __init__(
        self, script: list[bytes | None], *, used: bool = True
    ) -> None:
        self.conn = ScriptedConn(script, used)
        self.refuse = False
        self.fresh = False
        self.dropped: list[str] = []

    async def acquire(self, address: str, *, fresh: bool = False) -> ClientConn:
        if self.refuse:
            raise TransportError(Code.NOT_CONNECTED, address, sent=False)
        self.fresh = fresh
        if fresh:
            self.conn.used = False
        return self.conn

    def release(self, address: str, conn: ClientConn) -> None:
        if not conn.reusable:
            conn.close()

    def close_idle(self, address: str) -> None:
        self.dropped.append(address)


class FakeAgent:
    def __init__(self) -> None:
        self.backend = BackendState()
        self.backend.announcement = Announcement(
            server='s', service='enrol-desk', address='b'
        )


class Writer:
    def __init__(self) -> None:
        self.written = b''
        self.aborted = False

    def write(self, data: bytes) -> None:
        self.written += data

    async def drained(self) -> None:
        return

    def abort(self) -> None:
        self.aborted = True

    def stays_open(self) -> bool:
        return True


class Bench:
    """A dispatcher with a scripted far end."""

    def __init__(
        self, script: list[bytes | None], *, used: bool = True
    ) -> None:
        self.clock = FakeClock()
        self.pool = FakePool(script, used=used)
        self.balancer = Balancer(
            'z', random.Random(1), ramp_ms=0, eject_ms=1000, eject_percent=50
        )
        self.log = AttemptLog(7, 100)
        queue = GateQueue(Gate(Fifo(), 10), self.clock)
        queue.resize(PART)
        self.dispatcher = Dispatcher(
            FakeAgent(),
            queue,
            self.balancer,
            self.log,
            self.pool,
            self.clock,
            progress_ms=500,
            silence_ms=300,
            answer_bytes=64,
        )
        self.writer = Writer()
        self.server = Server(
            Endpoint(
                server='s',
                service='enrol-desk',
                zone='z',
                address='n',
                incarnation=7,
            ),
            0.0,
        )

    def trip(
        self, path: str, body: bytes = b'{}', attempt: Attempt | None = None
    ) -> Trip:
        call = Call(b'POST', path.encode(), [(b'host', b'enrol-desk')], body)
        trip = Trip(
            call, Reply(self.writer, keep_alive=True), 'enrol-desk', path
        )
        trip.bind(PART, TABLE.match('enrol-desk', 'POST', path), self.clock.now)
        trip.attempt = attempt
        return trip


DOCUMENTS = '/riders/1/documents'
DEPOSIT = '/riders/1/deposit'


def gate(
    script: list[bytes | None],
    path: str = DOCUMENTS,
    attempt: Attempt | None = None,
    body: bytes = b'{}',
    used: bool = True,
):
    async def work():
        bench = Bench(script, used=used)
        return await bench.dispatcher.through_gate(
            bench.trip(path, body, attempt)
        ), bench

    return asyncio.run(work())


class TestGate:
    def test_a_whole_answer_is_passed_on(self):
        outcome, bench = gate([OK])
        assert outcome == Delivered()
        assert bench.writer.written.startswith(b'HTTP/1.1 200')
        assert b'papayalock-outcome: 0 DONE' in bench.writer.written
        assert bench.writer.written.endswith(b'hi')

    def test_an_answer_that_ends_short_cuts_the_caller(self):
        async def work():
            bench = Bench([b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhi'])
            run = asyncio.create_task(
                bench.dispatcher.through_gate(bench.trip(DOCUMENTS))
            )
            for _ in range(5):
                await asyncio.sleep(0)
            bench.pool.conn.connection_lost(None)
            return await run, bench

        outcome, bench = asyncio.run(work())
        assert outcome == Delivered(whole=False)
        assert bench.writer.aborted

    def test_a_shed_call_is_not_run_only_when_that_is_sure(self):
        hint = (
            b'HTTP/1.1 503 Busy\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n'
        )
        assert gate([hint])[0] == Failed(
            Code.SHED, 'shed by the backend server', 2000
        )
        once, bench = gate([hint], DEPOSIT, Attempt('a', 7), used=False)
        assert once == Delivered()
        assert bench.log.resolve('a', 7, 0, 200.0).code == Code.DONE
        sure = hint.replace(
            b'retry-after', b'papayalock-outcome: 103 SHED\r\nretry-after'
        )
        assert (
            gate([sure], DEPOSIT, Attempt('a', 7), used=False)[0].code
            == Code.SHED
        )

    def test_another_service_beside_the_node_is_no_server(self):
        async def work():
            bench = Bench([OK])
            bench.dispatcher._agent.backend.announcement.service = 'other'
            return await bench.dispatcher.through_gate(bench.trip(DOCUMENTS))

        assert asyncio.run(work()).code == Code.NO_SERVER


class TestAttempts:
    def test_a_lost_answer_is_unknown_and_recorded(self):
        outcome, bench = gate([None], DEPOSIT, Attempt('a', 7), used=False)
        assert outcome.code == Code.UNKNOWN_BROKEN
        assert bench.log.resolve('a', 7, 0, 200.0).code == Code.UNKNOWN_BROKEN

    def test_a_dead_pooled_connection_sends_no_body(self):
        outcome, bench = gate([None], DEPOSIT, Attempt('a', 7))
        assert outcome.code == Code.NOT_CONNECTED
        assert b'expect: 100-continue' in bench.pool.conn.sent
        assert not bench.pool.conn.sent.endswith(b'{}')

    def test_a_request_without_a_body_gets_a_fresh_connection(self):
        _, bench = gate([OK], DEPOSIT, Attempt('a', 7), body=b'')
        assert bench.pool.fresh

    def test_an_attempt_for_another_process_is_not_sent(self):
        outcome, bench = gate([OK], DEPOSIT, Attempt('a', 6))
        assert outcome.code == Code.STALE_ATTEMPT
        assert bench.pool.conn.sent == b''

    def test_a_large_answer_is_passed_on_but_not_kept(self):
        body = b'x' * 100
        outcome, bench = gate(
            [b'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n' + body],
            DEPOSIT,
            Attempt('a', 7),
            used=False,
        )
        assert outcome == Delivered()
        seen = bench.log.resolve('a', 7, 0, 200.0)
        assert (seen.code, seen.answer) == (Code.DONE, None)


def hop(script: list[bytes | None], **changes):
    async def work():
        bench = Bench(script)
        bench.pool.refuse = changes.get('refuse', False)
        return await bench.dispatcher.to_server(
            bench.trip(DOCUMENTS), bench.server
        ), bench

    return asyncio.run(work())


class TestHop:
    def answer(self, outcome: bytes, status: bytes = b'503 X') -> bytes:
        return (
            b'HTTP/1.1 '
            + status
            + b'\r\npapayalock-outcome: '
            + outcome
            + b'\r\ncontent-length: 0\r\n\r\n'
        )

    def test_a_numbered_refusal_is_taken_over(self):
        outcome, bench = hop([self.answer(b'105 DRAINING')])
        assert outcome.code == Code.DRAINING
        assert bench.server.failures == 0

    @pytest.mark.parametrize(
        'script',
        [
            [b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'],
            [
                b'HTTP/1.1 200 OK\r\npapayalock-outcome: 9999 X\r\ncontent-length: 0\r\n\r\n'
            ],
        ],
    )
    def test_an_answer_without_a_known_outcome_is_not_trusted(self, script):
        assert hop(script)[0].code == Code.INCOMPLETE_ANSWER

    def test_a_refused_connection_counts_against_the_server(self):
        outcome, bench = hop([], refuse=True)
        assert outcome.code == Code.NOT_CONNECTED
        assert bench.server.failures == 1
        assert bench.server.in_flight == 0

    def test_the_load_that_an_answer_carries_is_kept(self):
        _, bench = hop(
            [self.answer(b'0 DONE\r\npapayalock-load: 140', b'200 OK')]
        )
        assert bench.server.load == 140

    def test_internal_headers_of_a_caller_are_not_passed_on(self):
        async def work():
            bench = Bench([self.answer(b'0 DONE', b'200 OK')])
            trip = bench.trip(DOCUMENTS)
            trip.call.add_header(b'papayalock-attempt', b'forged;7')
            await bench.dispatcher.to_server(trip, bench.server)
            return bench.pool.conn.sent

        sent = asyncio.run(work())
        assert b'forged' not in sent
        assert b'papayalock-hop: 1' in sent
