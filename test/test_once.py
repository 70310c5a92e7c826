"""At most once: second taps, lost outcomes and gates that restart."""

import asyncio
import random

import pytest

from papayalock.core.attempts import AttemptLog
from papayalock.core.claims import Claims
from papayalock.core.derive import derive_parts
from papayalock.core.routing import Balancer, RouteTable
from papayalock.messages import Answer, AttemptFate, Claim, Endpoint, Finish
from papayalock.node.claims import ClaimClient
from papayalock.node.http import Call
from papayalock.node.once import OnceRunner
from papayalock.node.trip import Delivered, Failed, Trip
from papayalock.result import Code
from papayalock.httpclient import TransportError
from test.inventories import example
from test.wires import FastLoop, LoopClock

PART = derive_parts(example('qureshi'), ['enrol-desk'])['enrol-desk']
ROUTE = RouteTable([PART]).match('enrol-desk', 'POST', '/riders/1/deposit')


class FakeReply:
    def __init__(self) -> None:
        self.answers: list[tuple[int, bytes]] = []
        self.started = False

    def whole(self, status: int, headers: list, body: bytes) -> None:
        self.answers.append((status, body))


class Bank:
    """The back end of the fake: counts runs by key."""

    def __init__(self) -> None:
        self.runs: dict[str, int] = {}


class FakeGate:
    """The node of one server, with a real attempt log and a seeded fate."""

    def __init__(
        self, name: str, bank: Bank, rng: random.Random, faults: float
    ) -> None:
        self.name = name
        self.bank = bank
        self.rng = rng
        self.faults = faults
        self.log = AttemptLog(1, 10_000)

    def restart(self) -> None:
        self.log = AttemptLog(self.log.incarnation + 1, 10_000)

    async def run(self, trip: Trip):
        attempt = trip.attempt
        now = asyncio.get_running_loop().time()
        if self.rng.random() < self.faults:
            return Failed(Code.NOT_CONNECTED)
        log = self.log
        code = log.begin(attempt.name, attempt.incarnation, now)
        if code != Code.DONE:
            return Failed(code)
        if self.rng.random() < self.faults:
            log.finish(attempt.name, Code.SHED, None)
            return Failed(Code.SHED)
        key = trip.call.header(b'idempotency-key').decode()
        self.bank.runs[key] = self.bank.runs.get(key, 0) + 1
        await asyncio.sleep(self.rng.random() * 0.1)
        answer = Answer(status=200, body='')
        log.finish(attempt.name, Code.DONE, answer)
        if self.rng.random() < self.faults:
            return Failed(Code.UNKNOWN_BROKEN)
        trip.recorded = answer
        trip.reply.whole(200, [], b'')
        return Delivered()


class FakeMesh:
    """Gates, claims and entry nodes under one seed."""

    def __init__(self, seed: int, faults: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.bank = Bank()
        self.claims = Claims(10_000_000)
        self.gates = {
            name: FakeGate(name, self.bank, self.rng, faults)
            for name in ('g1', 'g2', 'g3')
        }
        self.faults = faults
        self.quorum = True

    # The parts that a OnceRunner uses.

    async def claim(self, command):
        await asyncio.sleep(self.rng.random() * 0.01)
        if not self.quorum or self.rng.random() < self.faults / 2:
            return None
        command.at_ms = int(asyncio.get_running_loop().time() * 1000)
        answer = self.claims.apply(0, command)
        return None if self.rng.random() < self.faults / 2 else answer

    finish = claim

    async def query_gate(self, record, age_ms: int) -> AttemptFate:
        await asyncio.sleep(0)
        if self.rng.random() < self.faults:
            return AttemptFate(code=Code.UNKNOWN_ATTEMPT)
        now = asyncio.get_running_loop().time()
        seen = self.gates[record.gate].log.resolve(
            record.attempt, record.incarnation, age_ms, now
        )
        return AttemptFate(code=seen.code, answer=seen.answer)

    async def to_server(self, trip: Trip, server):
        if self.rng.random() < self.faults:
            await asyncio.sleep(self.rng.random())
        return await self.gates[server.endpoint.address].run(trip)

    async def through_gate(self, trip: Trip):
        return await self.gates['g1'].run(trip)

    def runner(self) -> OnceRunner:
        balancer = Balancer(
            'z', self.rng, ramp_ms=0, eject_ms=1, eject_percent=50
        )
        for name, gate in self.gates.items():
            balancer.upsert(
                Endpoint(
                    server=name,
                    service='enrol-desk',
                    zone='z',
                    address=name,
                    incarnation=gate.log.incarnation,
                ),
                0.0,
            )
        return OnceRunner(
            self,
            self,
            balancer,
            LoopClock(),
            self.rng,
            tries=3,
            listen='entry',
            incarnation=1,
        )

    async def tap(self, key: str, body: bytes = b'{}', deadline_s: float = 3.0):
        call = Call(
            method=b'POST',
            target=b'/riders/1/deposit',
            headers=[(b'idempotency-key', key.encode())] if key else [],
            body=body,
        )
        reply = FakeReply()
        trip = Trip(call, reply, 'enrol-desk', '/riders/1/deposit')
        trip.bind(PART, ROUTE, asyncio.get_running_loop().time())
        trip.deadline.at = asyncio.get_running_loop().time() + deadline_s
        outcome = await self.runner().run(trip, prefer_own=False)
        return outcome, reply


def run(work):
    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(work)


class TestTaps:
    def test_a_second_tap_gets_the_first_answer(self):
        async def work():
            mesh = FakeMesh(1)
            first, _ = await mesh.tap('k')
            second, reply = await mesh.tap('k')
            return mesh.bank.runs, first, second, reply.answers

        runs, first, second, answers = run(work())
        assert runs == {'k': 1}
        assert first == second == Delivered()
        assert answers == [(200, b'')]

    def test_taps_at_the_same_time_join(self):
        async def work():
            mesh = FakeMesh(2)
            outcomes = await asyncio.gather(*(mesh.tap('k') for _ in range(8)))
            return mesh.bank.runs, [outcome for outcome, _ in outcomes]

        runs, outcomes = run(work())
        assert runs == {'k': 1}
        assert outcomes == [Delivered()] * 8

    def test_without_a_quorum_nothing_runs(self):
        async def work():
            mesh = FakeMesh(3)
            mesh.quorum = False
            return (await mesh.tap('k'))[0], mesh.bank.runs

        outcome, runs = run(work())
        assert outcome.code == Code.NO_QUORUM
        assert runs == {}

    def test_a_key_is_needed(self):
        outcome, _ = run(FakeMesh(4).tap(''))
        assert outcome.code == Code.KEY_MISSING

    def test_a_key_with_another_body_is_refused(self):
        async def work():
            mesh = FakeMesh(5)
            await mesh.tap('k')
            return (await mesh.tap('k', b'other'))[0], mesh.bank.runs

        outcome, runs = run(work())
        assert outcome.code == Code.KEY_REUSED
        assert runs == {'k': 1}


class TestLostOutcomes:
    def claimed(self, mesh: FakeMesh, began: bool, done: bool) -> None:
        log = mesh.gates['g1'].log
        mesh.claims.apply(
            0,
            Claim(
                kind='claim',
                key='enrol-desk/pay-deposit/external/k',
                attempt='lost',
                gate='g1',
                incarnation=1,
                fingerprint=self.fingerprint(),
                at_ms=0,
            ),
        )
        if began:
            log.begin('lost', 1, 1000.0)
            mesh.bank.runs['k'] = 1
        if done:
            log.finish('lost', Code.DONE, Answer(status=200))

    def fingerprint(self) -> str:
        call = Call(method=b'POST', target=b'/riders/1/deposit', body=b'{}')
        return Trip(call, FakeReply(), 'enrol-desk', '').fingerprint()

    def second_tap(self, *, began: bool, done: bool, restart: bool = False):
        async def work():
            mesh = FakeMesh(6)
            self.claimed(mesh, began, done)
            if restart:
                mesh.gates['g1'].restart()
            return (await mesh.tap('k'))[0], mesh.bank.runs

        return run(work())

    def test_an_entry_node_killed_before_dispatch_lets_the_second_tap_run(self):
        assert self.second_tap(began=False, done=False) == (
            Delivered(),
            {'k': 1},
        )

    def test_one_killed_before_the_answer_lets_the_gate_answer(self):
        assert self.second_tap(began=True, done=True) == (Delivered(), {'k': 1})

    def test_one_still_running_is_not_run_again(self):
        outcome, runs = self.second_tap(began=True, done=False)
        assert outcome.code == Code.STILL_RUNNING
        assert runs == {'k': 1}

    def test_a_gate_that_restarted_makes_it_unknown(self):
        outcome, runs = self.second_tap(began=True, done=False, restart=True)
        assert outcome.code == Code.UNKNOWN_ATTEMPT
        assert runs == {'k': 1}


class GonePool:
    """Asks a gate that gives no answer, and notes how often."""

    def __init__(self, code: Code) -> None:
        self.code = code
        self.asked = 0

    async def exchange(self, address, req, timeout_ms, limit):
        self.asked += 1
        if self.code == Code.UNKNOWN_TIMEOUT:
            await asyncio.sleep(timeout_ms / 1000)
        raise TransportError(self.code, address, sent=True)


class TestGateWithoutAnswer:
    KEY = 'enrol-desk/pay-deposit/external/k'

    def second_tap(self, code: Code, *, done_s: float = 9.0):
        """Taps for a key whose first attempt is recorded after some time."""

        async def work():
            loop = asyncio.get_running_loop()
            mesh = FakeMesh(7)
            TestLostOutcomes().claimed(mesh, began=True, done=False)
            pool = GonePool(code)
            mesh.query_gate = ClaimClient([], pool, 100).query_gate
            done = Finish(
                kind='finish',
                key=self.KEY,
                attempt='lost',
                code=Code.DONE,
                answer=Answer(status=200),
            )
            loop.call_later(done_s, mesh.claims.apply, 0, done)
            began = loop.time()
            outcome, _ = await mesh.tap('k')
            return outcome, loop.time() - began, pool.asked

        return run(work())

    def test_silence_does_not_end_a_call_whose_attempt_runs(self):
        outcome, took, asked = self.second_tap(Code.UNKNOWN_TIMEOUT, done_s=1.2)
        assert outcome == Delivered()
        assert 1.2 < took < 2.1
        assert asked > 1

    def test_silence_to_the_end_is_unknown_at_the_deadline(self):
        outcome, took, _ = self.second_tap(Code.UNKNOWN_TIMEOUT)
        assert outcome.code == Code.STILL_RUNNING
        assert 2.99 < took < 3.1

    @pytest.mark.parametrize('code', [Code.NOT_CONNECTED, Code.UNKNOWN_BROKEN])
    def test_a_lost_gate_makes_it_unknown_at_once(self, code):
        outcome, took, asked = self.second_tap(code)
        assert outcome.code == Code.UNKNOWN_ATTEMPT
        assert took < 0.1
        assert asked == 1


class TestUnderFaults:
    @pytest.mark.parametrize('seed', range(25))
    def test_no_key_runs_twice_and_not_run_is_true(self, seed):
        async def work():
            mesh = FakeMesh(seed, faults=0.15)
            told: dict[str, list] = {}

            async def taps(key: str) -> None:
                for _ in range(mesh.rng.randrange(1, 5)):
                    outcome, _ = await mesh.tap(key)
                    told.setdefault(key, []).append(
                        (outcome, mesh.bank.runs.get(key, 0))
                    )

            async def chaos() -> None:
                for _ in range(30):
                    await asyncio.sleep(mesh.rng.random() * 0.2)
                    mesh.rng.choice(list(mesh.gates.values())).restart()

            keys = [f'k{number}' for number in range(20)]
            await asyncio.gather(
                chaos(),
                *(taps(key) for key in keys),
                *(taps(key) for key in keys),
            )
            return mesh.bank.runs, told

        runs, told = run(work())
        assert max(runs.values()) == 1
        delivered = 0
        for key, outcomes in told.items():
            for outcome, _ in outcomes:
                if isinstance(outcome, Delivered):
                    delivered += 1
                    assert runs[key] == 1
            if all(
                isinstance(outcome, Failed) and outcome.code.not_run
                for outcome, _ in outcomes
            ):
                assert runs.get(key, 0) == 0
        assert delivered > 10


class TestClaimClient:
    def test_the_next_control_vm_is_asked_when_one_is_silent(self):
        asked: list[str] = []

        class FakePool:
            async def exchange(self, address, req, timeout_ms, limit):
                asked.append(address)
                return (503, b'') if address == 'c1' else (200, b'{"code":0}')

            def close_idle(self, address):
                raise AssertionError

        async def work():
            client = ClaimClient(['c1', 'c2'], FakePool(), 100)
            return await client.claim(
                Claim(
                    kind='claim', key='k', attempt='a', gate='g', incarnation=1
                )
            )

        assert asyncio.run(work()).code == Code.DONE
        assert asked == ['c1', 'c2']
