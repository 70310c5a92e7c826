"""Backend servers that reset a connection instead of taking one call more."""

import asyncio
from collections import Counter

from papayalock.native import CALL_HEADER, REMAINING_HEADER
from papayalock.node.http import Call, Reply
from papayalock.node.outcome import NoResponse, Outcome
from papayalock.result import Code
from test.hostmesh import (
    SERVICE_S,
    SLOTS,
    HostMesh,
    StandInServer,
    play,
)


class ResettingServer(StandInServer):
    """Has no queue, and does not notice when a caller has left."""

    def __init__(self) -> None:
        super().__init__()
        self.running = 0
        self.resets = 0
        self.most_running = 0
        self.runs: Counter[bytes] = Counter()

    async def handle(self, call: Call, reply: Reply) -> None:
        if self.running >= SLOTS:
            self.resets += 1
            reply.abort()
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.runs[call.header(CALL_HEADER)] += 1
        try:
            await asyncio.shield(
                asyncio.ensure_future(super().handle(call, reply))
            )
        finally:
            self.running -= 1


class ResettingMesh(HostMesh):
    """A mesh whose servers reset when they are full; each call has an id."""

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self.servers = [ResettingServer() for _ in range(size)]
        for number, server in enumerate(self.servers):
            self.backends[f'i-{number}'].handler = server.handle
        self.by_call: dict[bytes, Outcome] = {}
        self.path = b'/r/x'

    async def call(self, number: int, path: bytes = b'') -> Outcome:
        name = b'c-%d' % len(self.by_call)
        self.by_call[name] = NoResponse(Code.STILL_RUNNING, '')
        headers = [
            (b'host', b'a.example'),
            (CALL_HEADER, name),
            (REMAINING_HEADER, b'1200'),
        ]
        call = Call(b'GET', path or self.path, headers)
        outcome = await self.nodes[number].outbound._run(call)
        self.by_call[name] = outcome
        return outcome

    def runs(self, name: bytes) -> int:
        return sum(server.runs[name] for server in self.servers)


class TestOverload:
    def test_no_server_is_ever_handed_more_than_it_bears(self):
        async def scene():
            mesh = ResettingMesh(4)
            capacity_per_s = 4 * SLOTS / SERVICE_S
            await mesh.load(2 * capacity_per_s, 2)
            return mesh

        mesh = play(scene())
        assert not any(server.resets for server in mesh.servers)
        assert {server.most_running for server in mesh.servers} == {SLOTS}


class TestRestartOfTheNode:
    """The new process does not know the calls of the old one."""

    def mesh_after_restarts(
        self, path: bytes, per_s: float = 300
    ) -> ResettingMesh:
        async def scene():
            mesh = ResettingMesh(4)
            mesh.path = path
            loading = asyncio.ensure_future(mesh.load(per_s, 2))
            for _ in range(6):
                await asyncio.sleep(0.3)
                mesh.restart(0)
            await loading
            mesh.after = len(mesh.servers[0].arrivals)
            await mesh.load(200, 1)
            mesh.after = len(mesh.servers[0].arrivals) - mesh.after
            return mesh

        return play(scene())

    def test_a_call_that_runs_once_never_runs_twice_and_no_refusal_lies(self):
        mesh = self.mesh_after_restarts(b'/once/x')
        assert sum(server.resets for server in mesh.servers)
        for name, outcome in mesh.by_call.items():
            assert mesh.runs(name) <= 1
            if isinstance(outcome, NoResponse) and outcome.code.not_run:
                assert mesh.runs(name) == 0

    def test_a_call_that_was_reset_is_run_by_another_server(self):
        """As far as the others have room; four servers bear 240 a second."""
        mesh = self.mesh_after_restarts(b'/r/x', per_s=200)
        resets = sum(server.resets for server in mesh.servers)
        broken = [
            outcome
            for outcome in mesh.by_call.values()
            if isinstance(outcome, NoResponse) and outcome.code.may_have_run
        ]
        assert resets
        assert len(broken) < resets / 2

    def test_a_server_that_was_full_gets_its_share_of_the_next_calls(self):
        mesh = self.mesh_after_restarts(b'/r/x')
        assert mesh.after > 200 / 4 / 2
