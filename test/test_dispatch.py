"""Dispatcher: outcomes of single tries of relayed calls."""

import asyncio
import random

import pytest

from papayalock.core.attempts import AttemptLog
from papayalock.core.derive import derive_parts
from papayalock.core.disciplines import Fifo
from papayalock.core.gate import Gate
from papayalock.core.routing import Balancer, RouteTable, Server
from papayalock.httpclient import ClientConn, TransportError
from papayalock.messages import Announcement, Endpoint
from papayalock.node.agent import BackendState
from papayalock.node.dispatch import Dispatcher
from papayalock.node.http import Call, Reply
from papayalock.node.relayedcall import Attempt, Delivered, Failed, RelayedCall
from papayalock.node.slotqueue import GateQueue
from papayalock.result import Code
from test.inventories import example
from test.wires import FakeClock, FakeTransport

PART = derive_parts(example('qureshi'), ['enrol-desk'])['enrol-desk']
TABLE = RouteTable([PART])
OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi'


class ScriptedConn(ClientConn):
    """Answers each write with the next bytes of a script; None disconnects."""

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
        if self.conn.closed and self.conn.script:
            self.conn = ScriptedConn(self.conn.script, used=False)
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

    async def wait_writable(self) -> None:
        return

    def abort(self) -> None:
        self.aborted = True

    def stays_open(self) -> bool:
        return True


class Bench:
    """A dispatcher with a scripted peer."""

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

    def relayed(
        self, path: str, body: bytes = b'{}', attempt: Attempt | None = None
    ) -> RelayedCall:
        call = Call(b'POST', path.encode(), [(b'host', b'enrol-desk')], body)
        relayed = RelayedCall(
            call, Reply(self.writer, keep_alive=True), 'enrol-desk', path
        )
        relayed.bind_route(
            PART, TABLE.match('enrol-desk', 'POST', path), self.clock.now
        )
        relayed.attempt = attempt
        return relayed


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
        return await bench.dispatcher.run_locally(
            bench.relayed(path, body, attempt)
        ), bench

    return asyncio.run(work())


class TestGate:
    def test_a_complete_response_is_forwarded(self):
        outcome, bench = gate([OK])
        assert outcome == Delivered()
        assert bench.writer.written.startswith(b'HTTP/1.1 200')
        assert b'papayalock-outcome: 0 DONE' in bench.writer.written
        assert bench.writer.written.endswith(b'hi')

    def test_a_truncated_response_cuts_the_callers_connection(self):
        async def work():
            bench = Bench([b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhi'])
            run = asyncio.create_task(
                bench.dispatcher.run_locally(bench.relayed(DOCUMENTS))
            )
            for _ in range(5):
                await asyncio.sleep(0)
            bench.pool.conn.connection_lost(None)
            return await run, bench

        outcome, bench = asyncio.run(work())
        assert outcome == Delivered(complete=False)
        assert bench.writer.aborted

    def test_a_non_idempotent_call_counts_as_shed_only_by_outcome_header(self):
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

    def test_a_local_server_of_another_service_is_not_used(self):
        async def work():
            bench = Bench([OK])
            bench.dispatcher._agent.backend.announcement.service = 'other'
            return await bench.dispatcher.run_locally(bench.relayed(DOCUMENTS))

        assert asyncio.run(work()).code == Code.NO_SERVER


class TestAttempts:
    def test_a_lost_response_is_unknown_and_recorded(self):
        outcome, bench = gate([None], DEPOSIT, Attempt('a', 7), used=False)
        assert outcome.code == Code.UNKNOWN_BROKEN
        assert bench.log.resolve('a', 7, 0, 200.0).code == Code.UNKNOWN_BROKEN

    def test_no_body_is_sent_on_a_dead_pooled_connection(self):
        outcome, bench = gate([None], DEPOSIT, Attempt('a', 7))
        assert outcome.code == Code.NOT_CONNECTED
        assert b'expect: 100-continue' in bench.pool.conn.sent
        assert not bench.pool.conn.sent.endswith(b'{}')

    def test_a_request_without_a_body_gets_a_fresh_connection(self):
        _, bench = gate([OK], DEPOSIT, Attempt('a', 7), body=b'')
        assert bench.pool.fresh

    def test_an_attempt_for_another_incarnation_is_not_sent(self):
        outcome, bench = gate([OK], DEPOSIT, Attempt('a', 6))
        assert outcome.code == Code.STALE_ATTEMPT
        assert bench.pool.conn.sent == b''

    def test_a_large_response_is_forwarded_but_not_recorded(self):
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
        return await bench.dispatcher.forward_to_node(
            bench.relayed(DOCUMENTS), bench.server
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

    def test_the_code_of_a_refusal_is_returned(self):
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
    def test_a_response_without_a_known_outcome_is_incomplete(self, script):
        assert hop(script)[0].code == Code.INCOMPLETE_ANSWER

    def test_a_refused_connection_counts_against_the_server(self):
        outcome, bench = hop([], refuse=True)
        assert outcome.code == Code.NOT_CONNECTED
        assert bench.server.failures == 1
        assert bench.server.in_flight == 0

    def test_the_load_in_a_response_is_recorded(self):
        _, bench = hop(
            [self.answer(b'0 DONE\r\npapayalock-load: 140', b'200 OK')]
        )
        assert bench.server.load == 140

    def test_internal_headers_of_a_caller_are_not_forwarded(self):
        async def work():
            bench = Bench([self.answer(b'0 DONE', b'200 OK')])
            relayed = bench.relayed(DOCUMENTS)
            relayed.call.add_header(b'papayalock-attempt', b'forged;7')
            await bench.dispatcher.forward_to_node(relayed, bench.server)
            return bench.pool.conn.sent

        sent = asyncio.run(work())
        assert b'forged' not in sent
        assert b'papayalock-hop: 1' in sent
