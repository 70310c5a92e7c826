"""Requests that crash each server that runs them, and the harmless beside."""

import asyncio
import contextlib
import logging
import random

import msgspec
import pytest

from papayalock.core.admission import Job, ServerGate
from papayalock.core.crashes import (
    MAX_REQUESTS,
    SUSPICION_S,
    QUARANTINE_S,
    CrashLedger,
    CrashStatus,
    request_digest,
)
from papayalock.core.gate import Queued, Shed, Started
from papayalock.core.unanswered import MAX_GIVEN_UP, UnansweredRequests
from papayalock.messages import CrashReport
from papayalock.node.crashadmin import CrashAdmin
from papayalock.node.crashreports import CrashReports
from papayalock.node.http import Call, Reply
from papayalock.node.outcome import NoResponse, ServerResponse
from papayalock.result import Code
from papayalock.ui import build_parser, crashes
from test.hostmesh import DEADLY_PATH, HostMesh, play
from test.test_admission import gate, job
from test.test_dispatch import Writer
from test.wires import FakeClock

WINDOW_S = 3.0  # in which every node has to learn of a quarantine
MAX_LATER_SENDS = 3
DOWN_S = 3.0
DEADLY_PER_S = 5


def quarantined(request: str = 'bad') -> CrashLedger:
    ledger = CrashLedger()
    ledger.record_end('a@1', [request, 'x', 'y'], 0)
    ledger.record_end('b@1', [request, 'z'], 1)
    return ledger


class TestQuarantine:
    def test_one_end_quarantines_no_request(self):
        ledger = CrashLedger()
        ledger.record_end('a@1', ['bad'], 0)
        assert ledger.status('bad', 0) is CrashStatus.SUSPECT

    def test_an_end_under_the_only_suspect_quarantines_it(self):
        ledger = quarantined()
        assert ledger.status('bad', 1) is CrashStatus.QUARANTINED

    def test_a_suspect_that_ran_there_is_charged_and_no_other_request(self):
        ledger = quarantined()
        assert ledger.status('z', 1) is CrashStatus.CLEAR

    def test_ends_at_the_same_time_quarantine_no_request(self):
        """A popular request ran on all servers when these lost power."""
        nodes = [CrashLedger() for _ in range(3)]
        for number, node in enumerate(nodes):
            node.record_end(f's{number}@1', ['popular'], 0)
            nodes[0].merge(node.newest_reports(9, 0), 0)
        assert nodes[0].status('popular', 0) is CrashStatus.ISOLATED

    def test_the_same_end_counts_once(self):
        ledger = CrashLedger()
        for now in range(5):
            ledger.record_end('a@1', ['x', 'y'], now)
            ledger.record_end('b@1', ['alone'], now)
        assert ledger.status('x', 5) is CrashStatus.SUSPECT
        assert ledger.status('alone', 5) is CrashStatus.SUSPECT

    def test_an_answer_clears_a_request(self):
        ledger = CrashLedger()
        ledger.record_end('a@1', ['x'], 0)
        assert ledger.clear('x')
        assert not ledger.clear('x')
        assert ledger.status('x', 0) is CrashStatus.CLEAR

    def test_a_verdict_ends_and_leaves_a_suspect(self):
        ledger = quarantined()
        assert ledger.quarantine_left_s('bad', 1) == QUARANTINE_S
        assert ledger.status('bad', 2 + QUARANTINE_S) is CrashStatus.ISOLATED
        assert ledger.status('bad', 2 + 2 * QUARANTINE_S) is CrashStatus.CLEAR

    def test_a_suspicion_without_a_verdict_ends_sooner(self):
        ledger = CrashLedger()
        ledger.record_end('a@1', ['x'], 0)
        assert ledger.status('x', SUSPICION_S) is CrashStatus.CLEAR
        ledger.drop_expired(SUSPICION_S)
        assert not len(ledger)

    def test_a_verdict_outlives_many_suspects(self):
        ledger = quarantined()
        for number in range(10 * MAX_REQUESTS):
            ledger.record_end(f'n{number}@1', [f'r{number}'], 2)
        assert len(ledger) == MAX_REQUESTS
        assert ledger.status('bad', 2) is CrashStatus.QUARANTINED

    def test_expired_requests_are_forgotten(self):
        ledger = quarantined()
        ledger.drop_expired(2 + 2 * QUARANTINE_S)
        assert not len(ledger)


class TestMerge:
    def tell(self, node: CrashLedger, other: CrashLedger, now: float) -> None:
        encoded = msgspec.json.encode(other.newest_reports(99, now))
        node.merge(msgspec.json.decode(encoded, type=list[CrashReport]), now)

    @pytest.mark.parametrize('seed', range(20))
    def test_nodes_agree_whatever_the_order_of_reports(self, seed):
        rng = random.Random(seed)
        nodes = [CrashLedger() for _ in range(4)]
        for step in range(60):
            node = rng.choice(nodes)
            request = f'r{rng.randrange(5)}'
            if rng.random() < 0.2:
                node.clear(request)
            elif rng.random() < 0.3:
                node.record_end(f's{step}@1', [request, 'other'], step)
            else:
                self.tell(node, rng.choice(nodes), step)
        for _ in range(3):
            for node in nodes:
                for other in nodes:
                    self.tell(node, other, 60)
        statuses = [
            [node.status(f'r{number}', 60) for number in range(5)]
            for node in nodes
        ]
        assert all(one == statuses[0] for one in statuses)

    def test_nodes_with_the_same_evidence_have_the_same_digest(self):
        one, other = quarantined(), CrashLedger()
        digests = {one.digest(), other.digest()}
        self.tell(other, one, 1)
        assert other.digest() == one.digest()
        other.clear('bad')
        digests |= {one.digest(), other.digest()}
        assert len(digests) == 3

    def test_a_report_does_not_undo_a_clearance(self):
        ledger = CrashLedger()
        ledger.record_end('a@1', ['x'], 0)
        late = CrashLedger()
        self.tell(late, ledger, 0)
        ledger.clear('x')
        self.tell(ledger, late, 1)
        assert ledger.status('x', 1) is CrashStatus.CLEAR


class TestDigest:
    def test_only_the_same_request_has_the_same_digest(self):
        one = (b'GET', b'a', b'/x', b'body')
        others = [
            (b'PUT', b'a', b'/x', b'body'),
            (b'GET', b'b', b'/x', b'body'),
            (b'GET', b'a', b'/y', b'body'),
            (b'GET', b'a', b'/x', b'bod'),
            (b'GET', b'a', b'/xbody', b''),
        ]
        digests = {request_digest(*parts, b'') for parts in (one, *others)}
        assert len(digests) == len(others) + 1
        assert request_digest(*one, b'k') not in digests
        assert request_digest(b'GET', b'A', *one[2:], b'') in digests


class TestUnanswered:
    def test_running_and_given_up_requests_may_have_ended_the_server(self):
        requests = UnansweredRequests()
        requests.start('running')
        given_up = requests.start('given-up')
        requests.finish(given_up, 1, answered=False)
        answered = requests.start('answered')
        requests.finish(answered, 1.05, answered=True)
        assert requests.take_all() == ['running', 'given-up']

    def test_a_later_answer_shows_that_the_server_survived(self):
        requests = UnansweredRequests()
        requests.finish(requests.start('given-up'), 1, answered=False)
        requests.finish(requests.start('answered'), 2, answered=True)
        assert requests.take_all() == []

    def test_given_up_requests_are_bounded(self):
        requests = UnansweredRequests()
        for number in range(10 * MAX_GIVEN_UP):
            sent = requests.start(f'r{number}')
            requests.finish(sent, 1, answered=False)
        assert len(requests.take_all()) == MAX_GIVEN_UP


class TestSilentEnd:
    """A server that falls silent, and is replaced under another name."""

    async def suspects(self, *, leaves: bool) -> int:
        mesh = HostMesh(1, born_ms=0)
        mesh.servers[0].hangs = True
        call = asyncio.ensure_future(mesh.call(0))
        await asyncio.sleep(0.05)
        if leaves:
            mesh.nodes[0].monitor.record_departure(
                mesh.nodes[0].name, asyncio.get_running_loop().time()
            )
        mesh.start_server(0, 'i-new')
        mesh.nodes[0].beat(1, 0)
        count = len(mesh.nodes[0].crash_reports.ledger)
        await call
        return count

    def test_what_it_ran_is_suspect(self):
        assert play(self.suspects(leaves=False)) == 1

    def test_a_server_that_had_said_that_it_leaves_was_not_crashed(self):
        assert play(self.suspects(leaves=True)) == 0


class TestFullServer:
    """A full server resets or refuses connections, and runs on."""

    async def suspects(self, *, running_ends: bool) -> int:
        mesh = HostMesh(1, born_ms=0)
        address = mesh.nodes[0].backend_address
        calls = [
            asyncio.ensure_future(mesh.call(0, b'/r/%d' % number))
            for number in range(4)
        ]
        await asyncio.sleep(0.01)
        conns = list(mesh.backends.pop(address).conns)
        for conn in conns if running_ends else conns[:1]:
            conn.transport.abort()
        await asyncio.gather(*calls)
        return len(mesh.nodes[0].crash_reports.ledger)

    def test_a_server_that_runs_other_calls_has_not_ended(self):
        assert play(self.suspects(running_ends=False)) == 0

    def test_a_server_all_of_whose_calls_broke_off_has_ended(self):
        assert play(self.suspects(running_ends=True)) == 4


class TestGate:
    def job(self, request: str, status: CrashStatus) -> Job:
        candidate = job(0)
        candidate.request = request
        candidate.crash_status = status
        return candidate

    def started(self, server_gate: ServerGate, *statuses: CrashStatus):
        """Returns what becomes of different requests with some statuses."""
        return [
            type(server_gate.submit(self.job(f'r{number}', status), 0))
            for number, status in enumerate(statuses)
        ]

    def test_two_suspects_do_not_run_beside_each_other(self):
        results = self.started(
            gate(slots=4),
            CrashStatus.SUSPECT,
            CrashStatus.SUSPECT,
            CrashStatus.CLEAR,
        )
        assert results == [Started, Queued, Started]

    def test_copies_of_one_suspect_run_beside_each_other(self):
        server_gate = gate(slots=4)
        for _ in range(2):
            copy = self.job('r', CrashStatus.SUSPECT)
            assert isinstance(server_gate.submit(copy, 0), Started)

    def test_an_isolated_request_runs_alone(self):
        first = self.started(
            gate(slots=4), CrashStatus.CLEAR, CrashStatus.ISOLATED
        )
        assert first == [Started, Queued]
        alone = self.started(
            gate(slots=4), CrashStatus.ISOLATED, CrashStatus.CLEAR
        )
        assert alone == [Started, Queued]

    def test_an_isolated_request_gets_its_turn_under_load(self):
        server_gate = gate(slots=2)
        running = [job(0), job(0)]
        for one in running:
            server_gate.submit(one, 0)
        isolated = self.job('bad', CrashStatus.ISOLATED)
        server_gate.submit(isolated, 0)
        later = job(0)
        server_gate.submit(later, 0)
        server_gate.finish(running[0], 0.05)
        assert server_gate.start_queued(0.05) == []
        server_gate.finish(running[1], 0.1)
        assert server_gate.start_queued(0.1) == [isolated]
        server_gate.finish(isolated, 0.15)
        assert server_gate.start_queued(0.15) == [later]

    def test_a_request_that_may_not_wait_is_refused_at_once(self):
        server_gate = gate(slots=4)
        self.started(server_gate, CrashStatus.SUSPECT)
        candidate = self.job('other', CrashStatus.SUSPECT)
        candidate.may_wait = False
        assert isinstance(server_gate.submit(candidate, 0), Shed)


class DeadlyScene:
    """A mesh whose callers send a deadly request again and again."""

    def __init__(self, size: int = 6, per_s: float = 150) -> None:
        self.size = size
        self.per_s = per_s
        self.deadly: list[NoResponse | ServerResponse] = []
        self.sent_at: list[float] = []

    async def play(self, seconds: float = 12) -> HostMesh:
        self.mesh = HostMesh(self.size, born_ms=0)
        gossip = asyncio.ensure_future(self.mesh.gossip())
        await self.mesh.load(self.per_s, 1)
        self.mesh.make_deadly(DOWN_S)
        self.mesh.outcomes.clear()
        repeats = asyncio.ensure_future(self.repeat())
        await self.mesh.load(self.per_s, seconds)
        for task in (repeats, gossip):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        return self.mesh

    async def repeat(self) -> None:
        number = 0
        while True:
            number += 1
            self.deadly.append(
                await self.mesh.call(number % self.size, DEADLY_PATH)
            )
            await asyncio.sleep(1 / DEADLY_PER_S)


class TestDeadlyRequest:
    @pytest.mark.parametrize('size', [3, 6, 12])
    def test_a_deadly_request_does_not_crash_server_after_server(self, size):
        mesh = play(DeadlyScene(size).play())
        third = mesh.crashed_at[2] if len(mesh.crashed_at) > 2 else 0
        later = [at for at in mesh.crashed_at if at > third + WINDOW_S]
        assert len(mesh.crashed_at) >= 2
        assert len(mesh.crashed_at) <= 3 + MAX_LATER_SENDS
        assert len(later) <= MAX_LATER_SENDS

    def test_it_is_told_not_run_only_in_attempts_that_reached_no_server(self):
        scene = DeadlyScene()
        play(scene.play())
        codes = [one.code for one in scene.deadly]
        assert codes[0] == Code.UNKNOWN_BROKEN
        assert set(codes[3:]) == {Code.QUARANTINED}
        assert scene.deadly[-1].retry_after_ms > 500_000

    def test_a_refused_call_is_logged_with_its_route_and_request(self, caplog):
        with caplog.at_level(logging.INFO):
            play(DeadlyScene().play(4))
        refused = [
            one for one in caplog.records if one.message == 'call refused'
        ]
        assert refused[-1].route == 'r'
        quarantined = next(
            one
            for one in caplog.records
            if one.message == 'request quarantined'
        )
        assert quarantined.request in refused[-1].reason

    def test_the_calls_beside_it_are_served(self):
        mesh = play(DeadlyScene().play())
        served = [isinstance(one, ServerResponse) for one in mesh.outcomes]
        assert sum(served) > 0.97 * len(served)
        assert (
            mesh.nodes[0].crash_reports.ledger.count(
                CrashStatus.QUARANTINED, mesh.crashed_at[-1]
            )
            == 1
        )

    def test_one_crash_quarantines_nothing(self):
        async def scene():
            mesh = HostMesh(4, born_ms=0)
            mesh.make_deadly(DOWN_S)
            loop = asyncio.get_running_loop()
            crash = mesh.servers[0].on_deadly
            loop.call_later(1, crash)
            await mesh.load(150, 6)
            return mesh

        mesh = play(scene())
        quarantined = [
            one
            for one in mesh.outcomes
            if isinstance(one, NoResponse) and one.code == Code.QUARANTINED
        ]
        assert quarantined == []


class TestGossip:
    async def told_after(
        self, seconds: float, *, cut: bool
    ) -> list[CrashStatus]:
        """Returns what each node knows some time after a quarantine at one."""
        mesh = HostMesh(12)
        gossip = asyncio.ensure_future(mesh.gossip())
        gates = dict(mesh.gates)
        if cut:
            mesh.gates.clear()
        reports = mesh.nodes[0].crash_reports
        reports.merge(quarantined().newest_reports(9, 0))
        await asyncio.sleep(1)
        mesh.gates.update(gates)
        await asyncio.sleep(seconds)
        gossip.cancel()
        return [node.crash_reports.status('bad') for node in mesh.nodes]

    def test_every_node_knows_a_verdict_at_once(self):
        known = play(self.told_after(0, cut=False))
        assert set(known) == {CrashStatus.QUARANTINED}

    def test_nodes_that_were_cut_off_learn_of_it_within_the_window(self):
        known = play(self.told_after(WINDOW_S, cut=True))
        assert set(known) == {CrashStatus.QUARANTINED}


class TestAdmin:
    def handle(self, reports: CrashReports, method: bytes, path: bytes):
        writer = Writer()
        admin = CrashAdmin(reports, FakeClock(), self.fallback)
        asyncio.run(admin.handle(Call(method, path), Reply(writer, True)))
        return writer.written

    async def fallback(self, call: Call, reply: Reply) -> None:
        reply.send(200, [], b'metrics')

    def test_an_operator_sees_and_lifts_a_quarantine(self):
        reports = CrashReports(FakeClock())
        reports.merge(quarantined().newest_reports(9, 1))
        assert b'"status":"quarantined"' in self.handle(
            reports, b'GET', b'/crashes'
        )
        assert b'200' in self.handle(reports, b'DELETE', b'/crashes/bad')
        assert reports.status('bad') is CrashStatus.CLEAR
        assert b'404' in self.handle(reports, b'DELETE', b'/crashes/none')

    def test_metrics_are_still_served(self):
        reports = CrashReports(FakeClock())
        assert b'metrics' in self.handle(reports, b'GET', b'/metrics')

    def test_the_command_lists_what_a_node_knows(self, monkeypatch, capsys):
        reports = CrashReports(FakeClock())
        reports.merge(quarantined().newest_reports(1, 1))
        written = self.handle(reports, b'GET', b'/crashes')
        views = msgspec.json.decode(written.split(b'\r\n\r\n')[1])
        monkeypatch.setattr(crashes, 'send_request', lambda *_: views)
        args = build_parser().parse_args(['crashes', '10.0.0.1:1'])
        assert args.run(args) == Code.DONE
        assert capsys.readouterr().out == 'bad quarantined 0s a@1 b@1\n'
