"""Quotas of customers: what callers and servers see, over all nodes."""

import asyncio

from papayalock.core.customers import key_digest
from papayalock.core.hostroutes import HostRouteTable
from papayalock.core.routesets import RouteSetStore
from papayalock.messages import Customer
from papayalock.native import API_KEY_HEADER, CALL_HEADER, REMAINING_HEADER
from papayalock.node.http import Call
from papayalock.node.outcome import ServerResponse
from test.hostmesh import HostMesh, play
from test.test_routesets import route, route_set

RATE = 10.0
BURST = 10.0
SECONDS = 5.0
NODES = 6


def customer(name: str, **limits: float) -> Customer:
    """Returns a customer whose API key is its name."""
    return Customer(name, [key_digest(name, b'')], **limits)


class CustomerMesh(HostMesh):
    """Nodes with customers, whose calls come in at all nodes in turn."""

    def __init__(self, *customers: Customer) -> None:
        super().__init__(NODES)
        self.set_customers(*customers)
        self.results: dict[str, list[object]] = {}

    def set_customers(self, *customers: Customer) -> None:
        """Has all nodes hold a version with these customers."""
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
