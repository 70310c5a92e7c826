"""At-most-once calls: repeated requests, lost outcomes, gates that restart."""

import asyncio
import random

import pytest

from papayalock.core.attempts import AttemptLog
from papayalock.core.claims import Claims
from papayalock.core.derive import derive_parts
from papayalock.core.routing import Balancer, RouteTable
from papayalock.httpclient import TransportError
from papayalock.messages import Answer, AttemptFate, Claim, Endpoint, Finish
from papayalock.node.atmostonce import AtMostOnceRunner
from papayalock.node.claims import ClaimClient
from papayalock.node.http import Call
from papayalock.node.relayedcall import Delivered, Failed, RelayedCall
from papayalock.result import Code
from test.inventories import example
from test.wires import FastLoop, LoopClock

PART = derive_parts(example('qureshi'), ['enrol-desk'])['enrol-desk']
ROUTE = RouteTable([PART]).match('enrol-desk', 'POST', '/riders/1/deposit')


class FakeReply:
    def __init__(self) -> None:
        self.answers: list[tuple[int, bytes]] = []
        self.started = False

    def send(self, status: int, headers: list, body: bytes) -> None:
        self.answers.append((status, body))


class Bank:
    """The fake backend: counts the runs of each key."""

    def __init__(self) -> None:
        self.runs: dict[str, int] = {}


class FakeGate:
    """The node of one server, with a real attempt log and seeded faults."""

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

    async def run(self, relayed: RelayedCall):
        attempt = relayed.attempt
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
        key = relayed.call.header(b'idempotency-key').decode()
        self.bank.runs[key] = self.bank.runs.get(key, 0) + 1
        await asyncio.sleep(self.rng.random() * 0.1)
        answer = Answer(status=200, body='')
        log.finish(attempt.name, Code.DONE, answer)
        if self.rng.random() < self.faults:
            return Failed(Code.UNKNOWN_BROKEN)
        relayed.recorded_response = answer
        relayed.reply.send(200, [], b'')
        return Delivered()


class FakeMesh:
    """Gates, claims and calling nodes, with one seed."""

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

    # The methods that an AtMostOnceRunner uses.

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

    async def forward_to_node(self, relayed: RelayedCall, server):
        if self.rng.random() < self.faults:
            await asyncio.sleep(self.rng.random())
        return await self.gates[server.endpoint.address].run(relayed)

    async def run_locally(self, relayed: RelayedCall):
        return await self.gates['g1'].run(relayed)

    def runner(self) -> AtMostOnceRunner:
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
        return AtMostOnceRunner(
            self,
            self,
            balancer,
            LoopClock(),
            self.rng,
            tries=3,
            own_address='entry',
            incarnation=1,
        )

    async def send_request(
        self, key: str, body: bytes = b'{}', deadline_s: float = 3.0
    ):
        call = Call(
            method=b'POST',
            target=b'/riders/1/deposit',
            headers=[(b'idempotency-key', key.encode())] if key else [],
            body=body,
        )
        reply = FakeReply()
        relayed = RelayedCall(call, reply, 'enrol-desk', '/riders/1/deposit')
        relayed.bind_route(PART, ROUTE, asyncio.get_running_loop().time())
        relayed.deadline.at = asyncio.get_running_loop().time() + deadline_s
        outcome = await self.runner().run(relayed, prefer_local=False)
        return outcome, reply


def run(work):
    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(work)


class TestRepeatedRequests:
    def test_a_repeated_request_gets_the_first_response(self):
        async def work():
            mesh = FakeMesh(1)
            first, _ = await mesh.send_request('k')
            second, reply = await mesh.send_request('k')
            return mesh.bank.runs, first, second, reply.answers

        runs, first, second, answers = run(work())
        assert runs == {'k': 1}
        assert first == second == Delivered()
        assert answers == [(200, b'')]

    def test_concurrent_requests_share_one_run(self):
        async def work():
            mesh = FakeMesh(2)
            outcomes = await asyncio.gather(
                *(mesh.send_request('k') for _ in range(8))
            )
            return mesh.bank.runs, [outcome for outcome, _ in outcomes]

        runs, outcomes = run(work())
        assert runs == {'k': 1}
        assert outcomes == [Delivered()] * 8

    def test_without_a_quorum_nothing_runs(self):
        async def work():
            mesh = FakeMesh(3)
            mesh.quorum = False
            return (await mesh.send_request('k'))[0], mesh.bank.runs

        outcome, runs = run(work())
        assert outcome.code == Code.NO_QUORUM
        assert runs == {}

    def test_a_key_is_needed(self):
        outcome, _ = run(FakeMesh(4).send_request(''))
        assert outcome.code == Code.KEY_MISSING

    def test_a_key_with_another_body_is_refused(self):
        async def work():
            mesh = FakeMesh(5)
            await mesh.send_request('k')
            return (await mesh.send_request('k', b'other'))[0], mesh.bank.runs

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
        return RelayedCall(call, FakeReply(), 'enrol-desk', '').fingerprint()

    def repeat_request(self, *, began: bool, done: bool, restart: bool = False):
        async def work():
            mesh = FakeMesh(6)
            self.claimed(mesh, began, done)
            if restart:
                mesh.gates['g1'].restart()
            return (await mesh.send_request('k'))[0], mesh.bank.runs

        return run(work())

    def test_a_repeated_request_runs_if_the_first_was_not_dispatched(self):
        assert self.repeat_request(began=False, done=False) == (
            Delivered(),
            {'k': 1},
        )

    def test_the_gate_gives_the_response_if_the_calling_node_was_killed(self):
        assert self.repeat_request(began=True, done=True) == (
            Delivered(),
            {'k': 1},
        )

    def test_an_attempt_that_still_runs_is_not_repeated(self):
        outcome, runs = self.repeat_request(began=True, done=False)
        assert outcome.code == Code.STILL_RUNNING
        assert runs == {'k': 1}

    def test_the_outcome_is_unknown_if_the_gate_restarted(self):
        outcome, runs = self.repeat_request(
            began=True, done=False, restart=True
        )
        assert outcome.code == Code.UNKNOWN_ATTEMPT
        assert runs == {'k': 1}


class UnresponsivePool:
    """A pool for a gate that does not respond; counts the requests."""

    def __init__(self, code: Code) -> None:
        self.code = code
        self.asked = 0

    async def exchange(self, address, req, timeout_ms, limit):
        self.asked += 1
        if self.code == Code.UNKNOWN_TIMEOUT:
            await asyncio.sleep(timeout_ms / 1000)
        raise TransportError(self.code, address, sent=True)


class TestUnresponsiveGate:
    KEY = 'enrol-desk/pay-deposit/external/k'

    def repeat_request(self, code: Code, *, done_s: float = 9.0):
        """Repeats a request whose first attempt is recorded after some time."""

        async def work():
            loop = asyncio.get_running_loop()
            mesh = FakeMesh(7)
            TestLostOutcomes().claimed(mesh, began=True, done=False)
            pool = UnresponsivePool(code)
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
            outcome, _ = await mesh.send_request('k')
            return outcome, loop.time() - began, pool.asked

        return run(work())

    def test_a_call_waits_for_its_attempt_while_the_gate_does_not_respond(self):
        outcome, took, asked = self.repeat_request(
            Code.UNKNOWN_TIMEOUT, done_s=1.2
        )
        assert outcome == Delivered()
        assert 1.2 < took < 2.1
        assert asked > 1

    def test_no_response_until_the_deadline_is_still_running(self):
        outcome, took, _ = self.repeat_request(Code.UNKNOWN_TIMEOUT)
        assert outcome.code == Code.STILL_RUNNING
        assert 2.99 < took < 3.1

    @pytest.mark.parametrize('code', [Code.NOT_CONNECTED, Code.UNKNOWN_BROKEN])
    def test_the_outcome_is_unknown_at_once_if_the_gate_is_lost(self, code):
        outcome, took, asked = self.repeat_request(code)
        assert outcome.code == Code.UNKNOWN_ATTEMPT
        assert took < 0.1
        assert asked == 1


class TestUnderFaults:
    @pytest.mark.parametrize('seed', range(25))
    def test_no_key_runs_twice_and_not_run_codes_are_true(self, seed):
        async def work():
            mesh = FakeMesh(seed, faults=0.15)
            reported: dict[str, list] = {}

            async def send_requests(key: str) -> None:
                for _ in range(mesh.rng.randrange(1, 5)):
                    outcome, _ = await mesh.send_request(key)
                    reported.setdefault(key, []).append(
                        (outcome, mesh.bank.runs.get(key, 0))
                    )

            async def chaos() -> None:
                for _ in range(30):
                    await asyncio.sleep(mesh.rng.random() * 0.2)
                    mesh.rng.choice(list(mesh.gates.values())).restart()

            keys = [f'k{number}' for number in range(20)]
            await asyncio.gather(
                chaos(),
                *(send_requests(key) for key in keys),
                *(send_requests(key) for key in keys),
            )
            return mesh.bank.runs, reported

        runs, reported = run(work())
        assert max(runs.values()) == 1
        delivered = 0
        for key, outcomes in reported.items():
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
    def test_the_next_control_vm_is_asked_if_one_does_not_respond(self):
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
