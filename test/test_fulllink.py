"""A node beside a server whose large responses are more than its link carries."""

import asyncio
import random

import msgspec

from papayalock.control.distributor import SyncReply
from papayalock.core.admission import Job, ServerGate
from papayalock.core.controlselector import ControlSelector
from papayalock.core.distribute import DeltaSource, held_config
from papayalock.core.exposure import Exposure
from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.ledger import Ledger
from papayalock.core.placement import Placement
from papayalock.httpclient import Request, TransportError
from papayalock.messages import Publish, RouteSet, SyncReq
from papayalock.native import CALL_HEADER, NativeCalls
from papayalock.node.crashreports import CrashReports
from papayalock.node.hopheaders import ORDERS
from papayalock.node.hostagent import HostAgent
from papayalock.node.http import OUTCOME_HEADER, Call, Reply
from papayalock.node.inbound import ORDER_HEADER, InboundProxy
from papayalock.node.lag import LoopLag
from papayalock.node.listener import HttpServer, ServerLimits
from papayalock.node.runstats import RunStats
from papayalock.node.slotqueue import SlotQueue
from papayalock.result import Code
from test.hostmesh import MemoryPool, play
from test.links import Link, connect_over
from test.test_heartbeats import beat
from test.test_inbound import order
from test.test_routesets import route, route_set
from test.wires import LoopClock

LINK_MBPS = 5.5
LINK_BYTES_PER_S = LINK_MBPS * 125_000
LARGE_BYTES = 90_000
SERVICE_S = 0.13
TARGET_MS = 1500
DEADLINE_MS = 2000
APPLY_S = 2.0  # from the acceptance of a version until nodes have applied it
POLL_MS = 800
POLL_MARGIN_MS = 400
SLOTS = 6
GIVE_UP_S = 30.0


class Archive:
    """A backend server with large responses, and short ones on request."""

    def __init__(self) -> None:
        self.completed = 0
        self.server = HttpServer(
            self.handle, ServerLimits(65536, 65536, 4096, pipelined=2)
        )

    async def handle(self, call: Call, reply: Reply) -> None:
        await asyncio.sleep(SERVICE_S)
        self.completed += 1
        size = 500 if call.target == b'/short' else LARGE_BYTES
        name = (CALL_HEADER, call.header(CALL_HEADER))
        reply.send(200, [name], b'x' * size)


class LinkedControl:
    """A control VM that a node polls over its link; the way back is free."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.ledger = Ledger(history=5, audit_records=10)
        self.source = DeltaSource(self.ledger)
        self.changed = asyncio.Event()
        self.publish(1, route('r'))

    def publish(self, label: int, *routes) -> None:
        encoded = msgspec.json.encode(route_set(label, label - 1, *routes))
        routes = msgspec.json.decode(encoded, type=RouteSet)
        self.ledger.apply(label, Publish(kind='publish', route_set=routes))
        self.changed.set()

    async def exchange(self, address, req, timeout_ms, limit, *, total_ms=None):
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self.link.carry(len(req.head() + req.body))
                sync_req = msgspec.json.decode(req.body, type=SyncReq)
                res = await self.answer(sync_req)
        except TimeoutError as exc:
            raise TransportError(
                Code.UNKNOWN_TIMEOUT, 'no progress', sent=True
            ) from exc
        return 200, msgspec.json.encode(res)

    async def answer(self, sync_req: SyncReq) -> SyncReply:
        """Holds a poll open until there is a newer version."""
        if sync_req.version == self.ledger.version:
            self.changed.clear()
            try:
                async with asyncio.timeout(sync_req.wait_ms / 1000):
                    await self.changed.wait()
            except TimeoutError:
                return SyncReply(Code.DONE, zone='a')
        held = held_config(sync_req)
        info = self.ledger.version_info(self.ledger.version)
        delta = self.source.encoded_delta(held, info)
        return SyncReply(Code.DONE, delta=delta, zone='a')

    def close_idle(self, address: str) -> None:
        """Keeps no connections."""


class ArchiveNode:
    """The node beside the archive, and callers that reach it over its link."""

    def __init__(self) -> None:
        clock = LoopClock()
        rng = random.Random(1)
        self.link = Link(LINK_MBPS)
        self.archive = Archive()
        self.control = LinkedControl(self.link)
        monitor = BackendMonitor(lease_ms=10**9, drain_ms=2000)
        monitor.record_heartbeat(
            beat(1, address='i-1', slots=SLOTS),
            asyncio.get_running_loop().time(),
        )
        self.gate = ServerGate(link_mbps=LINK_MBPS)
        self.inbound = InboundProxy(
            monitor,
            SlotQueue[Job](self.gate, clock),
            self.gate,
            MemoryPool({'i-1': self.archive.server}),
            NativeCalls(),
            clock,
            60,
            LoopLag(0.25),
            CrashReports(clock),
            RunStats(Exposure(rng), monitor, 'a', 7),
        )
        self.inbound.update_slots()
        self.server = HttpServer(
            self.inbound.handle, ServerLimits(65536, 65536, 4096)
        )
        self.server.on_written = lambda size: self.gate.link.budget.charge(
            size, clock.monotonic()
        )
        self.agent = HostAgent(
            'n',
            'a',
            '10.0.0.9:1',
            ControlSelector('a', ['10.0.0.1:1'], rng),
            monitor,
            Placement('a', '10.0.0.9:1', rng),
            self.control,
            clock,
            rng,
            poll_ms=POLL_MS,
            margin_ms=POLL_MARGIN_MS,
        )
        self.outcomes: list[tuple[str, float]] = []

    async def load(self, per_s: float, seconds: float, target=b'/x') -> None:
        """Has callers make calls, and records the result and time of each."""
        tasks = []
        for _ in range(int(per_s * seconds)):
            await asyncio.sleep(1 / per_s)
            tasks.append(asyncio.ensure_future(self.call(target)))
        await asyncio.gather(*tasks)

    async def call(self, target: bytes) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = await self.call_to_deadline(target)
        self.outcomes.append((result, loop.time() - began))

    async def call_to_deadline(self, target: bytes) -> str:
        conn = connect_over(self.link, self.server)
        wanted = order(
            route=target.decode(),
            target_ms=TARGET_MS,
            remaining_ms=DEADLINE_MS,
        )
        content = ORDERS.encode(wanted, short=True)
        headers = [
            (b'host', b'a'),
            (CALL_HEADER, b'c'),
            (ORDER_HEADER, content),
        ]
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                response = await conn.call(
                    Request(b'GET', target, headers), DEADLINE_MS
                )
                await response.read_all(2 * LARGE_BYTES)
        except (TimeoutError, TransportError):
            return 'failed'
        finally:
            conn.close()
        return response.header(OUTCOME_HEADER).decode()

    def results(self) -> list[str]:
        return [result for result, _ in self.outcomes]


async def under_load(seconds: float, scene=None) -> ArchiveNode:
    """Plays twice as many large responses as the link carries."""
    node = ArchiveNode()
    polls = asyncio.ensure_future(node.agent.run())
    per_s = 2 * LINK_BYTES_PER_S / LARGE_BYTES
    load = asyncio.ensure_future(node.load(per_s, seconds))
    if scene is not None:
        await scene(node)
    await load
    polls.cancel()
    return node


class TestVersionBehindLargeResponses:
    """Load: responses of 90 KB at twice the rate of the VM's own link."""

    def test_a_version_is_applied_in_time_at_a_node_whose_link_is_full(self):
        late: list[float] = []

        async def publish(node: ArchiveNode) -> None:
            loop = asyncio.get_running_loop()
            for version in range(2, 7):
                await asyncio.sleep(1.3)
                node.control.publish(version, route('r'), route(f'r{version}'))
                accepted_at = loop.time()
                while node.agent.configuration.version < version:
                    await asyncio.sleep(0.01)
                    assert loop.time() < accepted_at + GIVE_UP_S
                late.append(loop.time() - accepted_at)

        play(under_load(10.0, publish))
        assert max(late) < APPLY_S


class TestCallersOfLargeResponses:
    """The same load: what the callers get, and how long it takes."""

    def test_refused_callers_know_at_once_and_the_others_are_served(self):
        node = play(under_load(10.0))
        served = [took for result, took in node.outcomes if result[:1] == '0']
        refused = [took for result, took in node.outcomes if 'SHED' in result]
        assert len(served) + len(refused) == len(node.outcomes)
        assert max(refused) < 0.1
        assert max(served) < DEADLINE_MS / 1000
        in_time = [took for took in served if took < TARGET_MS / 1000]
        capacity = 10.0 * LINK_BYTES_PER_S / LARGE_BYTES
        assert len(in_time) > 0.7 * capacity

    def test_the_archive_runs_nothing_whose_response_is_not_sent(self):
        node = play(under_load(10.0))
        served = sum(result[:1] == '0' for result in node.results())
        assert node.archive.completed == served

    def test_short_responses_do_not_wait_behind_large_ones(self):
        took: list[float] = []

        async def short_calls(node: ArchiveNode) -> None:
            loop = asyncio.get_running_loop()
            for _ in range(20):
                await asyncio.sleep(0.4)
                began = loop.time()
                assert await node.call_to_deadline(b'/short') == '0 DONE'
                took.append(loop.time() - began - SERVICE_S)

        play(under_load(9.0, short_calls))
        assert max(took) < TARGET_MS / 1000
        assert sorted(took)[len(took) // 2] < SERVICE_S

    def test_without_large_responses_nothing_is_refused(self):
        async def calm() -> ArchiveNode:
            node = ArchiveNode()
            await node.load(30.0, 5.0, b'/short')
            return node

        assert set(play(calm()).results()) == {'0 DONE'}
