"""Quotas on control VMs: who answers, and by which version's limits."""

import asyncio

import msgspec

from papayalock.config import make_settings
from papayalock.control.quotaservice import QuotaService
from papayalock.core.endpoints import EndpointTable
from papayalock.core.ledger import Ledger
from papayalock.messages import Customer, Member, Publish, QuotaReq, QuotaRes
from papayalock.node.http import Call
from papayalock.result import Code
from test.test_customers import with_customers
from test.test_placement import endpoint
from test.wires import FakeClock


class FakeLog:
    members = [
        Member(member='vm-a', zone='a', address='10.0.0.1:1'),
        Member(member='vm-b', zone='b', address='10.0.0.2:1'),
    ]


class FakeReplica:
    is_leader = True
    leader = 'vm-a'
    leased = True
    leads_current_log = True
    term = 3
    log = FakeLog

    def has_lease(self, now: float) -> bool:
        return self.leased


class FakeGroup:
    def __init__(self) -> None:
        self.replica = FakeReplica()


class KeptReply:
    def __init__(self) -> None:
        self.status = 0
        self.body = b''

    def send(self, status, headers, body) -> None:
        self.status = status
        self.body = body


class Vm:
    """A control VM and one node that asks it."""

    def __init__(self) -> None:
        settings = make_settings(
            {
                'role': 'control',
                'data': '/data',
                'control': {
                    'members': [
                        {'name': 'n', 'zone': 'a', 'address': '10.0.0.1:1'}
                    ]
                },
                'name': 'n',
                'quotas': {'port': 9},
            }
        )
        self.clock = FakeClock()
        self.group = FakeGroup()
        self.ledger = Ledger(history=5, audit_records=10)
        self.table = EndpointTable('e', 'vm-a', 6000)
        self.service = QuotaService(
            self.group, self.ledger, self.table, self.clock, settings
        )
        self.sequence = 0

    def publish(self, label: int, *customers: Customer) -> None:
        routes = with_customers(label, label - 1, *customers)
        self.ledger.apply(label, Publish(kind='publish', route_set=routes))

    def ask(self, wanted: int = 0, boot_ms: int = 1) -> QuotaRes:
        """Makes the next request of a node that received every response."""
        self.sequence += 1
        req = QuotaReq(
            node='10.0.0.9:1',
            boot_ms=boot_ms,
            sequence=self.sequence,
            term=self.group.replica.term,
            answered=self.sequence - 1,
            wants={'c': wanted} if wanted else {},
        )
        return self.service.answer(req)

    def keep_contact(self, seconds: float) -> None:
        for _ in range(round(seconds * 4)):
            self.clock.now += 0.25
            self.ask()


class TestQuotaService:
    def test_a_follower_names_the_leader(self):
        vm = Vm()
        vm.group.replica.is_leader = False
        vm.group.replica.leads_current_log = False
        res = vm.ask(1)
        assert (res.code, res.leader) == (Code.NO_LEADER, '10.0.0.1:9')
        assert not res.granted

    def test_a_leader_without_a_lease_grants_nothing(self):
        vm = Vm()
        vm.publish(1, Customer('c', [], rate=10.0, burst=10.0))
        vm.keep_contact(5)
        vm.group.replica.leased = False
        assert vm.ask(1).code == Code.NO_LEADER

    def test_a_leader_that_may_not_know_the_newest_limits_grants_nothing(self):
        vm = Vm()
        vm.keep_contact(2)
        vm.group.replica.leads_current_log = False
        assert vm.ask(3).code == Code.NO_LEADER

    def test_a_leader_grants_the_burst_after_a_while(self):
        vm = Vm()
        vm.publish(1, Customer('c', [], rate=10.0, burst=10.0))
        vm.keep_contact(5)
        res = vm.ask(15)
        assert res.granted == {'c': 10}
        assert res.wait_ms['c'] > 0

    def test_a_lowered_limit_binds_at_once(self):
        vm = Vm()
        vm.publish(1, Customer('c', [], rate=10.0, burst=10.0))
        vm.keep_contact(5)
        vm.publish(2, Customer('c', [], rate=2.0, burst=2.0))
        assert vm.ask(15).granted == {'c': 2}

    def test_a_new_term_starts_empty(self):
        vm = Vm()
        vm.publish(1, Customer('c', [], rate=10.0, burst=10.0))
        vm.keep_contact(5)
        vm.group.replica.term = 4
        assert vm.ask(1).code == Code.BUSY
        vm.clock.now += 10
        assert vm.ask(1).granted == {'c': 0}

    def test_known_nodes_that_do_not_ask_keep_their_share(self):
        vm = Vm()
        vm.publish(1, Customer('c', [], rate=10.0, burst=20.0))
        for number in range(4):
            name = f'10.0.1.{number}:1'
            vm.table.attach(endpoint(f's{number}', address=name), 100.0)
        addresses = {known.address for known in vm.table.endpoints()}
        vm.service.owner.observe(addresses, vm.clock.now)
        vm.keep_contact(6)
        granted = vm.ask(50).granted['c']
        assert vm.service.owner.nodes == 5
        assert 8 <= granted <= 12

    def test_a_customer_that_is_not_known_here_yet_is_not_held_back(self):
        vm = Vm()
        vm.keep_contact(2)
        assert vm.ask(3).granted == {'c': 3}

    def test_requests_are_answered_over_http(self):
        vm = Vm()
        reply = KeptReply()
        body = msgspec.json.encode(
            QuotaReq(node='10.0.0.9:1', boot_ms=1, sequence=1)
        )
        call = Call(b'POST', b'/v1/quota', [], body)
        asyncio.run(vm.service.handle(call, reply))
        assert reply.status == 200
        assert msgspec.json.decode(reply.body, type=QuotaRes).term == 3

    def test_an_unreadable_request_is_refused(self):
        vm = Vm()
        reply = KeptReply()
        call = Call(b'POST', b'/v1/quota', [], b'{"node":')
        asyncio.run(vm.service.handle(call, reply))
        assert reply.status == 400
