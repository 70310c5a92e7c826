"""Quotas of customers: what callers and servers see, over all nodes."""

import asyncio
import random

import msgspec

from papayalock.config import make_settings
from papayalock.core.controlselector import ControlSelector
from papayalock.core.customers import key_digest
from papayalock.core.hostroutes import HostRouteTable
from papayalock.core.quota import QuotaOwner
from papayalock.core.routesets import RouteSetStore
from papayalock.httpclient import TransportError
from papayalock.messages import Customer, QuotaReq
from papayalock.native import API_KEY_HEADER, CALL_HEADER, REMAINING_HEADER
from papayalock.node.http import Call
from papayalock.node.outcome import NoResponse, ServerResponse
from papayalock.node.quotaclient import QuotaClient
from papayalock.result import Code
from test.hostmesh import HostMesh, play
from test.test_routesets import route, route_set
from test.wires import LoopClock

RATE = 10.0
BURST = 10.0
SECONDS = 5.0
NODES = 6
CONTACT_S = 1.0
TAKEOVER_S = 1.0
HOP_S = 0.002


def customer(name: str, **limits: float) -> Customer:
    """Returns a customer whose API key is its name."""
    return Customer(name, [key_digest(name, b'')], **limits)


class OwnerVm:
    """The control VM that owns the quotas, and the way to it."""

    def __init__(self) -> None:
        self.owner = QuotaOwner(CONTACT_S, TAKEOVER_S)
        self.customers: dict[str, Customer] = {}
        self.reachable = True
        self.requests = 0
        self.term = 1

    async def exchange(self, address, req, timeout_ms, limit):
        await asyncio.sleep(HOP_S)
        if not self.reachable:
            await asyncio.sleep(timeout_ms / 1000)
            raise TransportError(Code.UNKNOWN_TIMEOUT, 'cut', sent=True)
        self.requests += 1
        now = asyncio.get_running_loop().time()
        self.owner.lead(self.term, now)
        quota_req = msgspec.json.decode(req.body, type=QuotaReq)
        res = self.owner.handle(quota_req, self.customers, now)
        await asyncio.sleep(HOP_S)
        return 200, msgspec.json.encode(res)

    def close_idle(self, address: str) -> None:
        """Keeps no connections."""


def quota_client(vm: OwnerVm, address: str, boot_ms: int = 1) -> QuotaClient:
    """Returns the client of one node."""
    settings = make_settings(
        {
            'role': 'node',
            'listen': address,
            'control': {'addresses': ['10.0.0.9:1']},
            'quotas': {'port': 9, 'contact_ms': int(1000 * CONTACT_S)},
        }
    )
    selector = ControlSelector('a', ['10.0.0.9:1'], random.Random(1))
    return QuotaClient(settings, selector, vm, LoopClock(), boot_ms)


class CustomerMesh(HostMesh):
    """Nodes with customers, whose calls come in at all nodes in turn."""

    def __init__(self, *customers: Customer) -> None:
        super().__init__(NODES)
        self.vm = OwnerVm()
        self.tasks: list[asyncio.Task[None]] = []
        self.set_customers(*customers)
        self.results: dict[str, list[object]] = {}
        for node in self.nodes:
            node.outbound.quotas = quota_client(self.vm, node.address)
            self.start_client(node)

    def start_client(self, node) -> None:
        """Has a node keep in contact with the owner."""
        run = node.outbound.quotas.run()
        self.tasks.append(asyncio.ensure_future(run))

    async def settle(self) -> None:
        """Waits until the owner has filled the buckets."""
        await asyncio.sleep(TAKEOVER_S + BURST / RATE + 1)

    def set_customers(self, *customers: Customer) -> None:
        """Has all nodes and the owner hold a version with these customers."""
        self.vm.customers = {each.name: each for each in customers}
        store = RouteSetStore()
        times = {'timeout_ms': 1200, 'target_ms': 300}
        routes = route_set(1, 0, route('r', tries=2, **times))
        routes.customers = list(customers)
        store.publish(routes)
        for node in self.nodes:
            node.agent.host_table = HostRouteTable(store.parts())

    async def call_as(self, name: str, number: int) -> None:
        """Makes one call of a customer at a node, and keeps its outcome."""
        headers = [
            (b'host', b'a.example'),
            (CALL_HEADER, b'c'),
            (REMAINING_HEADER, b'1200'),
            (API_KEY_HEADER, name.encode()),
        ]
        node = self.nodes[number % len(self.nodes)]
        call = Call(b'GET', b'/r/x', headers)
        outcome = await node.outbound._run(call)
        self.results.setdefault(name, []).append(outcome)

    async def load_as(self, name: str, per_s: float, seconds: float) -> None:
        """Has a customer make calls at all nodes in turn."""
        tasks = []
        for number in range(int(per_s * seconds)):
            await asyncio.sleep(1 / per_s)
            tasks.append(asyncio.ensure_future(self.call_as(name, number)))
        await asyncio.gather(*tasks)

    def served(self, name: str) -> int:
        """Returns how many calls of a customer servers ran."""
        outcomes = self.results.get(name, [])
        return sum(isinstance(out, ServerResponse) for out in outcomes)


class TestLimit:
    """Load: one customer sends many times its limit through every node."""

    def test_a_customer_gets_no_more_than_its_limit_over_all_nodes(self):
        async def scene() -> CustomerMesh:
            mesh = CustomerMesh(customer('hot', rate=RATE, burst=BURST))
            await mesh.load_as('hot', 8 * RATE, SECONDS)
            return mesh

        assert play(scene()).served('hot') <= RATE * SECONDS + BURST

    def hot_and_quiet(self) -> CustomerMesh:
        async def scene() -> CustomerMesh:
            mesh = CustomerMesh(
                customer('hot', rate=RATE, burst=BURST),
                customer('quiet', rate=2.0, burst=2.0),
                customer('free'),
            )
            await mesh.settle()
            await asyncio.gather(
                mesh.load_as('hot', 8 * RATE, SECONDS),
                mesh.load_as('quiet', 1.0, SECONDS),
                mesh.load_as('free', 5.0, SECONDS),
            )
            return mesh

        return play(scene())

    def test_a_customer_gets_what_its_limit_allows(self):
        served = self.hot_and_quiet().served('hot')
        assert 0.9 * RATE * SECONDS <= served <= RATE * SECONDS + BURST

    def test_customers_below_their_limit_are_not_refused(self):
        mesh = self.hot_and_quiet()
        assert mesh.served('quiet') == SECONDS
        assert mesh.served('free') == 5 * SECONDS

    def test_the_refused_are_told_when_more_may_be_asked_for(self):
        mesh = self.hot_and_quiet()
        refused = [
            out for out in mesh.results['hot'] if isinstance(out, NoResponse)
        ]
        assert {out.code for out in refused} == {Code.OVER_QUOTA}
        assert all(out.code.not_run for out in refused)
        waits = [out.retry_after_ms for out in refused]
        assert 0 < min(waits) <= max(waits) <= 1000 * NODES / RATE + 10

    def test_a_hot_customer_does_not_flood_the_owner(self):
        assert self.hot_and_quiet().vm.requests < 8 * RATE * SECONDS

    def test_a_call_that_is_not_run_costs_no_token(self):
        async def scene() -> CustomerMesh:
            mesh = CustomerMesh(customer('c', rate=1.0, burst=5.0))
            await mesh.settle()
            await asyncio.sleep(5)
            for server in list(mesh.nodes[0].agent.placement.servers):
                for node in mesh.nodes:
                    node.agent.placement.remove(server, LoopClock().monotonic())
            for number in range(40):
                await mesh.call_as('c', number)
                await asyncio.sleep(0.5)
            return mesh

        codes = {out.code for out in play(scene()).results['c']}
        assert Code.OVER_QUOTA not in codes


class TestOwnerOutOfReach:
    """A lost owner: nodes go on with an equal share each, without a burst."""

    def scene(self, *, lost_s: float, limit: Customer) -> CustomerMesh:
        async def run() -> CustomerMesh:
            mesh = CustomerMesh(limit)
            await mesh.settle()
            mesh.vm.reachable = False
            await asyncio.sleep(lost_s)
            await mesh.load_as(limit.name, 4 * limit.rate, SECONDS)
            return mesh

        return play(run())

    def test_all_nodes_together_stay_within_the_rate(self):
        limit = customer('c', rate=60.0, burst=60.0)
        served = self.scene(lost_s=CONTACT_S, limit=limit).served('c')
        assert 0.8 * 60 * SECONDS <= served <= 60 * (SECONDS + CONTACT_S)

    def test_a_small_limit_is_kept_though_no_node_has_a_whole_token(self):
        limit = customer('c', rate=2.0, burst=2.0)
        served = self.scene(lost_s=30.0, limit=limit).served('c')
        assert served <= 2 * SECONDS + 2

    def test_a_call_waits_no_longer_than_the_contact_lasts(self):
        took: list[float] = []

        async def run() -> None:
            mesh = CustomerMesh(customer('c', rate=60.0, burst=60.0))
            await mesh.settle()
            mesh.vm.reachable = False
            for number in range(NODES):
                began = asyncio.get_running_loop().time()
                await mesh.call_as('c', number)
                took.append(asyncio.get_running_loop().time() - began)

        play(run())
        assert max(took) < CONTACT_S + 0.3

    def test_a_restarted_node_has_no_share_until_it_was_told(self):
        async def run() -> list[object]:
            mesh = CustomerMesh(customer('c', rate=60.0, burst=60.0))
            await mesh.settle()
            mesh.vm.reachable = False
            await asyncio.sleep(2 * CONTACT_S)
            node = mesh.nodes[0]
            node.outbound.quotas = quota_client(mesh.vm, node.address, 2)
            mesh.start_client(node)
            for _ in range(20):
                await mesh.call_as('c', 0)
                await asyncio.sleep(0.2)
            return mesh.results['c']

        refused = play(run())
        assert {out.code for out in refused} == {Code.QUOTA_OWNER_LOST}
        assert all(0 < out.retry_after_ms <= 400 for out in refused)
