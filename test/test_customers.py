"""Customers: their API keys from publication to the backend server."""

import asyncio
import logging

import pytest

from papayalock.core.customers import (
    MAX_REMOVED,
    CustomerTable,
    KeyCheck,
    key_digest,
)
from papayalock.core.hostroutes import HostRouteTable
from papayalock.core.ledger import Ledger
from papayalock.core.revision import apply_revision, make_revision
from papayalock.core.routesets import (
    RouteSetStore,
    check_route_set,
    part_changes,
    route_set_digest,
)
from papayalock.dialect import BackendMetadata
from papayalock.messages import Customer, Publish, RouteSet
from papayalock.native import (
    API_KEY_HEADER,
    CALL_HEADER,
    CUSTOMER_HEADER,
    NativeCalls,
)
from papayalock.node.http import Call
from papayalock.node.outcome import NoResponse, ServerResponse
from papayalock.result import Code
from test.test_inbound import OK, Side
from test.test_outbound import GOOD, Caller, FarNodes
from test.test_routesets import route, route_set
from test.wires import FastLoop

KEY = 'correct-horse'
DIGEST = key_digest(KEY, b'')


def with_customers(label: int, base: int, *customers: Customer) -> RouteSet:
    routes = route_set(label, base, route('r'), route('open', public=True))
    routes.customers = list(customers)
    return routes


class TestKeyDigest:
    def test_it_depends_on_the_key_and_on_the_secret_of_the_mesh(self):
        assert key_digest('a', b'') != key_digest('b', b'')
        assert key_digest('a', b'') != key_digest('a', b'mesh')
        assert KEY not in DIGEST


class TestValidation:
    def test_a_shared_key_names_both_entries_and_no_key(self):
        routes = with_customers(
            1, 0, Customer('c1', [DIGEST]), Customer('c2', [DIGEST])
        )
        (problem,) = check_route_set(routes)
        assert problem.code == Code.DUPLICATE
        assert 'c2' in problem.where
        assert 'c1' in problem.message
        assert DIGEST not in problem.where + problem.message

    def test_a_name_is_used_once(self):
        routes = with_customers(1, 0, Customer('c1'), Customer('c1'))
        assert [problem.code for problem in check_route_set(routes)] == [
            Code.DUPLICATE
        ]

    def test_an_invalid_set_changes_nothing(self):
        store = RouteSetStore()
        store.publish(with_customers(1, 0, Customer('c1', [DIGEST])))
        bad = with_customers(
            2, 1, Customer('c1', [DIGEST]), Customer('c2', [DIGEST])
        )
        answer, changed = store.publish(bad)
        assert (answer.code, changed, store.label) == (Code.INVALID, False, 1)


class TestRevision:
    @pytest.mark.parametrize(
        'names', [('c1', 'c2', 'c3'), ('c2',), (), ('c3', 'c1')]
    )
    def test_customers_are_added_changed_and_removed(self, names):
        current = with_customers(
            1, 0, Customer('c1', ['x']), Customer('c2', ['y'])
        )
        changed = [Customer(name, [f'{name}-new']) for name in names]
        new = with_customers(2, 1, *changed)
        revision = make_revision(current, new, route_set_digest(new))
        assert apply_revision(current, revision) == new

    def test_an_unchanged_customer_is_not_sent_again(self):
        current = with_customers(
            1, 0, Customer('c1', ['x']), Customer('c2', ['y'])
        )
        new = with_customers(2, 1, Customer('c1', ['x']), Customer('c2', ['z']))
        revision = make_revision(current, new, route_set_digest(new))
        assert [customer.name for customer in revision.customers] == ['c2']
        assert revision.customer_order is None


class TestDistribution:
    def test_nodes_hold_the_customers_and_drop_a_removed_key(self):
        store = RouteSetStore()
        store.publish(
            with_customers(1, 0, Customer('c1', [DIGEST, 'd2'], rate=5))
        )
        table = HostRouteTable(store.parts())
        assert table.customers.find(DIGEST).rate == 5
        previous = store.current
        store.publish(with_customers(2, 1, Customer('c1', ['d2'])))
        changes = part_changes(previous, store.current)
        table.update(changes.changed, changes.removed)
        assert table.customers.find(DIGEST) is None
        assert table.customers.find('d2').name == 'c1'

    def test_a_moved_key_belongs_to_its_new_holder_in_any_order(self):
        for order in (('c1', 'c2'), ('c2', 'c1')):
            table = CustomerTable()
            table.add(Customer('c1', [DIGEST]))
            table.add(Customer('c2', []))
            moved = {
                'c1': Customer('c1', []),
                'c2': Customer('c2', [DIGEST]),
            }
            for name in order:
                table.add(moved[name])
            assert table.find(DIGEST).name == 'c2'

    def test_a_snapshot_of_the_ledger_keeps_the_customers(self):
        ledger = Ledger(history=5, audit_records=10)
        routes = with_customers(1, 0, Customer('c1', [DIGEST], rank=0))
        ledger.apply(1, Publish(kind='publish', route_set=routes))
        restored = Ledger(history=5, audit_records=10)
        restored.load(ledger.dump())
        assert restored.route_sets.current.customers == routes.customers


class TestRemovedKeys:
    def test_only_a_key_that_was_known_counts_as_removed(self):
        table = CustomerTable()
        table.add(Customer('c1', [DIGEST, 'd2']))
        table.add(Customer('c1', ['d2']))
        assert table.is_removed(DIGEST)
        assert not table.is_removed('d2')
        assert not table.is_removed('new')

    def test_a_key_that_is_added_again_is_not_removed(self):
        table = CustomerTable()
        table.add(Customer('c1', [DIGEST]))
        table.remove('c1')
        table.add(Customer('c2', [DIGEST]))
        assert not table.is_removed(DIGEST)

    def test_a_full_configuration_does_not_make_a_node_forget(self):
        former = CustomerTable()
        former.add(Customer('c1', [DIGEST, 'd2', 'd3']))
        former.add(Customer('c1', [DIGEST, 'd2']))
        table = CustomerTable()
        table.add(Customer('c1', ['d2']))
        table.adopt_removed(former)
        assert table.is_removed(DIGEST)
        assert table.is_removed('d3')
        assert not table.is_removed('d2')

    def test_what_is_remembered_is_bounded(self):
        table = CustomerTable()
        for number in range(MAX_REMOVED + 1):
            table.add(Customer('c1', [f'd{number}']))
        table.remove('c1')
        assert not table.is_removed('d0')
        assert table.is_removed(f'd{MAX_REMOVED}')

    def test_a_queued_call_does_not_outlive_its_key(self):
        """The key is removed while the call waits for a slot."""

        async def play():
            side = Side(OK, OK)
            removed = set()
            side.inbound.is_key_removed = removed.__contains__
            side.gate.slots = 1
            first = asyncio.create_task(side.run(key='kept'))
            await asyncio.sleep(0)
            waiting = asyncio.create_task(side.run(key='gone'))
            await asyncio.sleep(0)
            assert side.gate.jobs == 2
            removed.add('gone')
            return await asyncio.gather(first, waiting)

        served, refused = asyncio.run(play())
        assert isinstance(served, ServerResponse)
        assert isinstance(refused, NoResponse)
        assert refused.code == Code.UNKNOWN_API_KEY
        assert not refused.arrived


class TestKeyCheck:
    def test_keys_are_trusted_without_contact_unless_it_fails_closed(self):
        check = KeyCheck(fail_closed=False, revoke_ms=5000)
        assert not check.is_outdated(1e9)

    def test_a_node_out_of_touch_refuses_before_a_removal_is_due(self):
        check = KeyCheck(fail_closed=True, revoke_ms=5000)
        assert check.is_outdated(0)
        check.record_contact(10)
        assert not check.is_outdated(12.9)
        assert check.is_outdated(13.1)


class TestCallers:
    def call(self, path: bytes, headers=(), **settings):
        """Makes one call at a node with one customer, ``c1``."""
        nodes = FarNodes([(0.01, GOOD)])
        call = Call(b'GET', path, [(b'host', b'a.example'), *headers])
        store = RouteSetStore()
        store.publish(with_customers(1, 0, Customer('c1', [DIGEST], rank=0)))

        async def run():
            caller = Caller(nodes)
            caller.agent.host_table = HostRouteTable(store.parts())
            if settings:
                caller.outbound.checks.key_check = KeyCheck(**settings)
            return await caller.outbound._run(call)

        with asyncio.Runner(loop_factory=FastLoop) as runner:
            return runner.run(run()), nodes

    def test_a_known_key_goes_on_as_the_customer_without_the_key(self):
        outcome, nodes = self.call(
            b'/r/x', [(API_KEY_HEADER, KEY.encode()), (CALL_HEADER, b'1')]
        )
        assert isinstance(outcome, ServerResponse)
        sent = nodes.conns[0].sent
        assert b'"customer":"c1"' in sent
        assert b'"rank":0' in sent
        assert KEY.encode() not in sent

    @pytest.mark.parametrize('headers', [(), ((API_KEY_HEADER, b'other'),)])
    def test_without_a_known_key_nothing_is_sent(self, headers):
        outcome, nodes = self.call(b'/r/x', headers)
        assert isinstance(outcome, NoResponse)
        assert outcome.code == Code.UNKNOWN_API_KEY
        assert not nodes.conns

    def test_a_public_route_needs_no_key(self):
        outcome, _ = self.call(b'/open/x')
        assert isinstance(outcome, ServerResponse)

    def test_out_of_touch_only_calls_that_need_a_key_are_refused(self):
        closed = {'fail_closed': True, 'revoke_ms': 5000}
        key = [(API_KEY_HEADER, KEY.encode())]
        outcome, nodes = self.call(b'/r/x', key, **closed)
        assert outcome.code == Code.KEYS_OUTDATED
        assert outcome.retry_after_ms
        assert not nodes.conns
        outcome, _ = self.call(b'/open/x', key, **closed)
        assert isinstance(outcome, ServerResponse)

    @pytest.mark.parametrize('key', [KEY, 'wrong-secret'])
    def test_no_log_line_has_a_key(self, caplog, key):
        caplog.set_level(logging.DEBUG)
        self.call(b'/r/x', [(API_KEY_HEADER, key.encode())])
        lines = [str(record.__dict__) for record in caplog.records]
        assert lines
        assert not any(key in line for line in lines)

    def test_the_customer_of_the_node_replaces_that_of_the_caller(self):
        headers = NativeCalls().backend_headers(
            [(CUSTOMER_HEADER, b'forged'), (API_KEY_HEADER, KEY.encode())],
            BackendMetadata('1', 's', 'caller', 5, 'c1'),
        )
        customers = [text for name, text in headers if name == CUSTOMER_HEADER]
        assert customers == [b'c1']
        assert KEY.encode() not in [text for _, text in headers]
