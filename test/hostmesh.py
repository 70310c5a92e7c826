"""Nodes with host routing and their backend servers, connected in memory."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from papayalock.config import make_settings
from papayalock.core.admission import Job, ServerGate
from papayalock.core.exposure import Exposure
from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.placement import Placement
from papayalock.httpclient import ClientConn, TransportError
from papayalock.native import CALL_HEADER, REMAINING_HEADER, NativeCalls
from papayalock.node.crashparts import CrashParts
from papayalock.node.http import Call, Reply
from papayalock.node.inbound import InboundProxy
from papayalock.node.lag import LoopLag
from papayalock.node.listener import HttpServer, ServerLimits
from papayalock.node.outbound import OutboundProxy
from papayalock.node.outcome import Outcome
from papayalock.node.runstats import RunStats
from papayalock.node.slotqueue import SlotQueue
from papayalock.result import Code
from test.test_heartbeats import beat
from test.test_hostroutes import table
from test.test_outbound import STARTED_AT, NoMetrics
from test.test_placement import endpoint
from test.test_routesets import route
from test.wires import FakeTransport, FastLoop, LoopClock

SWEEP_S = 0.25
SERVICE_S = 0.1
SLOTS = 6
BORN_MS = 1000
DEADLY_PATH = b'/r/deadly'


class PipeTransport(FakeTransport):
    """One end of a connection within the process."""

    def __init__(self) -> None:
        super().__init__()
        self.peer: PipeTransport | None = None
        self.protocol: asyncio.Protocol | None = None

    def write(self, data: bytes) -> None:
        asyncio.get_running_loop().call_soon(self.peer._arrive, data)

    def close(self) -> None:
        if not self.closed:
            super().close()
            asyncio.get_running_loop().call_soon(self.peer._lose)

    def abort(self) -> None:
        self.aborted = True
        if not self.closed:
            self.close()
            asyncio.get_running_loop().call_soon(self._lose)

    def _arrive(self, data: bytes) -> None:
        if not self.closed:
            self.protocol.data_received(data)

    def _lose(self) -> None:
        self.closed = True
        self.protocol.connection_lost(None)


def connect(server: HttpServer) -> ClientConn:
    """Returns a new connection to a server of this process."""
    conn, accepted = ClientConn(), server.make_conn()
    near, far = PipeTransport(), PipeTransport()
    near.peer, near.protocol = far, conn
    far.peer, far.protocol = near, accepted
    conn.connection_made(near)
    accepted.connection_made(far)
    return conn


class MemoryPool:
    """A pool that connects to servers of this process, by address."""

    def __init__(self, servers: dict[str, HttpServer]) -> None:
        self.servers = servers

    async def acquire(self, address: str, *, fresh: bool = False) -> ClientConn:
        server = self.servers.get(address)
        if server is None:
            raise TransportError(
                Code.NOT_CONNECTED, address, sent=False
            ) from ConnectionRefusedError(address)
        return connect(server)

    async def exchange(self, address, req, timeout_ms, limit):
        conn = await self.acquire(address)
        response = await conn.call(req, timeout_ms)
        body = await response.read_all(limit)
        conn.close()
        return response.status, body

    def release(self, address: str, conn: ClientConn) -> None:
        conn.close()

    def close_idle(self, address: str) -> None:
        """Keeps nothing."""


class StandInServer:
    """A backend server that states headers of the test's choice."""

    def __init__(self) -> None:
        self.notice: list[tuple[bytes, bytes]] = []
        self.arrivals: list[float] = []
        self.completed = 0
        self.hangs = False
        self.on_deadly: Callable[[], None] | None = None

    async def handle(self, call: Call, reply: Reply) -> None:
        self.arrivals.append(asyncio.get_running_loop().time())
        if call.target.startswith(DEADLY_PATH) and self.on_deadly:
            self.on_deadly()
        await asyncio.sleep(float('inf') if self.hangs else SERVICE_S)
        self.completed += 1
        name = (CALL_HEADER, call.header(CALL_HEADER))
        reply.send(200, [name, *self.notice], b'ok')

    def most_in(self, span_s: float, since: float) -> int:
        """Returns the most arrivals in any span that starts after a time."""
        starts = [at for at in self.arrivals if at >= since]
        return max(
            (
                sum(start <= at < start + span_s for at in starts)
                for start in starts
            ),
            default=0,
        )


class FakeAgent:
    """The parts of the agent that a call uses."""

    control_selector = None
    pool = None
    incarnation = 7

    class configuration:
        version = 1

    def __init__(self, address: str, seed: int) -> None:
        times = {'timeout_ms': 1200, 'target_ms': 300}
        self.host_table = table(
            route('r', tries=2, **times),
            route('once', tries=2, repeatable=False, **times),
        )
        self.placement = Placement('a', address, random.Random(seed))
        self.exposure = Exposure(random.Random(seed))


class MeshNode:
    """One node; ``i-N`` is the server beside the N-th node."""

    def __init__(self, mesh: 'HostMesh', number: int) -> None:
        self.name = f'i-{number}'
        self.backend_address = self.name
        self.address = f'10.0.0.{number + 1}:1'
        clock = LoopClock()
        settings = make_settings(
            {
                'role': 'node',
                'listen': self.address,
                'control': {'addresses': ['10.0.0.9:1']},
            }
        )
        self.agent = FakeAgent(self.address, number)
        self.monitor = BackendMonitor(lease_ms=10**9, drain_ms=2000)
        self.crashes = CrashParts(
            self.agent.placement,
            MemoryPool(mesh.gates),
            self.address,
            clock,
            random.Random(number),
        )
        self.crash_reports = self.crashes.reports
        self.gate = ServerGate()
        self.inbound = InboundProxy(
            self.monitor,
            SlotQueue[Job](self.gate, clock),
            self.gate,
            MemoryPool(mesh.backends),
            NativeCalls(),
            clock,
            settings.hosts.alive_ms,
            LoopLag(SWEEP_S),
            self.crash_reports,
            RunStats(self.agent.exposure, self.monitor, 'a', 7),
        )
        self.outbound = OutboundProxy(
            settings,
            self.agent,
            self.inbound,
            MemoryPool(mesh.gates),
            NativeCalls(),
            clock,
            NoMetrics(),
            LoopLag(SWEEP_S),
            self.gate.shutdown_times,
            random.Random(number),
            self.crash_reports,
            started_at=STARTED_AT,
        )
        limits = ServerLimits(65536, 65536, 4096)
        mesh.gates[self.address] = HttpServer(
            self.crashes.exchange_or(self.inbound.handle), limits
        )

    def announce(self) -> None:
        """Records the first heartbeat of the server beside the node."""
        self.beat(1, BORN_MS)

    def beat(self, sequence: int, born_ms: int) -> None:
        """Records a heartbeat of the server beside the node."""
        heartbeat = beat(
            sequence,
            born=born_ms,
            server=self.name,
            address=self.backend_address,
            slots=SLOTS,
        )
        now = asyncio.get_running_loop().time()
        self.monitor.record_heartbeat(heartbeat, now)
        self.inbound.update_slots()


class HostMesh:
    """Nodes that know each other's servers, without control VMs."""

    def __init__(self, size: int, born_ms: int = BORN_MS) -> None:
        self.born_ms = born_ms
        self.gates: dict[str, HttpServer] = {}
        self.backends: dict[str, HttpServer] = {}
        self.servers = [StandInServer() for _ in range(size)]
        limits = ServerLimits(65536, 65536, 4096, pipelined=2)
        for number, server in enumerate(self.servers):
            self.backends[f'i-{number}'] = HttpServer(server.handle, limits)
        self.nodes = [MeshNode(self, number) for number in range(size)]
        self.outcomes: list[Outcome] = []
        self.crashed_at: list[float] = []
        for node in self.nodes:
            node.beat(1, born_ms)
            self.introduce(node)

    def introduce(self, node: MeshNode, **changes: object) -> None:
        """Tells all nodes of the endpoint of one of them."""
        fields = {
            'address': node.address,
            'slots': SLOTS,
            'born_ms': self.born_ms,
        }
        known = endpoint(node.name, **{**fields, **changes})
        for other in self.nodes:
            other.agent.placement.upsert(
                known, asyncio.get_running_loop().time()
            )

    def restart(self, number: int) -> None:
        """Replaces a node by one that has just started beside its server."""
        placement = self.nodes[number].agent.placement
        node = MeshNode(self, number)
        self.nodes[number] = node
        node.beat(1, self.born_ms)
        for known in placement.servers.values():
            node.agent.placement.upsert(
                known.endpoint, asyncio.get_running_loop().time()
            )
        self.introduce(node, incarnation=2)

    def start_server(self, number: int, name: str) -> None:
        """Replaces a silent server by one with another name, unannounced."""
        node = self.nodes[number]
        self.servers[number] = StandInServer()
        limits = ServerLimits(65536, 65536, 4096, pipelined=2)
        self.backends[node.backend_address] = HttpServer(
            self.servers[number].handle, limits
        )
        for other in self.nodes:
            other.agent.placement.remove(node.name, LoopClock().monotonic())
        node.name = name
        self.introduce(node)

    def make_deadly(self, down_s: float) -> None:
        """Has requests to ``DEADLY_PATH`` crash each server that runs them.

        :param down_s: time until the server is back, under a new name
        """
        for number in range(len(self.nodes)):
            self._arm(number, down_s)

    def _arm(self, number: int, down_s: float) -> None:
        loop = asyncio.get_running_loop()
        address = self.nodes[number].backend_address

        def crash() -> None:
            self.crashed_at.append(loop.time())
            for conn in list(self.backends.pop(address).conns):
                conn.transport.abort()
            loop.call_later(down_s, come_back)

        def come_back() -> None:
            self.start_server(number, f'i-{number}-{len(self.crashed_at)}')
            self.nodes[number].beat(1, 0)
            self._arm(number, down_s)

        self.servers[number].on_deadly = crash

    async def gossip(self) -> None:
        """Exchanges crash reports until cancelled."""
        await asyncio.gather(
            *(node.crashes.gossip.run() for node in self.nodes)
        )

    async def load(
        self, per_s: float, seconds: float, at: Sequence[int] = ()
    ) -> None:
        """Makes calls at some nodes in turn, and sweeps all queues.

        :param at: numbers of the nodes; all of them by default
        """
        callers = at or range(len(self.nodes))
        loop = asyncio.get_running_loop()
        tasks = []
        began = loop.time()
        swept_at = began
        for number in range(int(per_s * seconds)):
            await asyncio.sleep(max(0.0, began + number / per_s - loop.time()))
            caller = callers[number % len(callers)]
            tasks.append(asyncio.ensure_future(self.call(caller)))
            if loop.time() - swept_at >= SWEEP_S:
                swept_at = loop.time()
                for node in self.nodes:
                    node.inbound.update_slots()
        self.outcomes += await asyncio.gather(*tasks)

    async def call(self, number: int, path: bytes = b'/r/x') -> Outcome:
        """Makes one call at a node."""
        headers = [
            (b'host', b'a.example'),
            (CALL_HEADER, b'c'),
            (REMAINING_HEADER, b'1200'),
        ]
        node = self.nodes[number]
        return await node.outbound._run(Call(b'GET', path, headers))


def play(scene: Coroutine[Any, Any, Any]) -> Any:
    """Runs a scene on an event loop that does not wait."""
    with asyncio.Runner(loop_factory=FastLoop) as runner:
        return runner.run(scene)
