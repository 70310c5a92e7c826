"""Endpoint announcements, leases, and service existence with hysteresis."""

import random

import pytest

from papayalock.core.endpoints import EndpointTable, ExistenceTracker
from papayalock.messages import Endpoint


def endpoint(
    server: str,
    incarnation: int = 1,
    state: str = 'ready',
    service: str = 'desk',
) -> Endpoint:
    return Endpoint(
        server=server,
        service=service,
        zone='z',
        address=server,
        incarnation=incarnation,
        state=state,
    )


def make_table(name: str = 'c1', lease_ms: int = 1000) -> EndpointTable:
    return EndpointTable(f'epoch-{name}', name, lease_ms)


def everything(_: Endpoint) -> bool:
    return True


class TestLeases:
    def test_a_server_whose_lease_expires_is_removed(self):
        table = make_table()
        table.attach(endpoint('s'), 0.0)
        assert table.expire(0.9) == []
        assert table.expire(1.1) == ['s']
        assert len(table) == 0

    def test_a_renewal_changes_no_record(self):
        table = make_table()
        assert table.attach(endpoint('s'), 0.0)
        assert not table.attach(endpoint('s'), 0.9)
        assert table.expire(1.5) == []

    def test_an_older_incarnation_is_ignored(self):
        table = make_table()
        table.attach(endpoint('s', incarnation=5), 0.0)
        assert not table.attach(endpoint('s', incarnation=4), 0.1)
        assert table.endpoints()[0].incarnation == 5

    def test_draining_is_part_of_the_delta(self):
        table = make_table()
        table.attach(endpoint('s'), 0.0)
        cursor = table.cursor
        table.attach(endpoint('s', state='draining'), 0.1)
        assert (
            table.delta(table.epoch, cursor, everything).endpoints[0].state
            == 'draining'
        )


class TestCursor:
    def test_only_changes_are_sent(self):
        table = make_table()
        for number in range(50):
            table.attach(endpoint(f's{number}'), 0.0)
        cursor = table.cursor
        assert table.delta(table.epoch, cursor, everything) is None
        table.attach(endpoint('s7', state='left'), 0.1)
        delta = table.delta(table.epoch, cursor, everything)
        assert [
            (record.server, record.state) for record in delta.endpoints
        ] == [('s7', 'left')]

    def test_another_epoch_gets_all_live_endpoints(self):
        table = make_table()
        table.attach(endpoint('s1'), 0.0)
        table.attach(endpoint('s2'), 0.0)
        table.attach(endpoint('s1', state='left'), 0.1)
        delta = table.delta('other', 99, everything)
        assert delta.full
        assert [record.server for record in delta.endpoints] == ['s2']

    def test_records_of_departed_servers_are_bounded(self):
        table = make_table()
        for number in range(5000):
            table.attach(endpoint(f's{number}'), 0.0)
            table.attach(endpoint(f's{number}', state='left'), 0.0)
        assert table.delta(table.epoch, 1, everything).full
        assert len(table._records) <= 1024 + 256


class TestExchange:
    @pytest.mark.parametrize('seed', range(10))
    def test_tables_agree_after_reordered_and_duplicate_deltas(self, seed):
        rng = random.Random(seed)
        tables = {name: make_table(name) for name in ('c1', 'c2', 'c3')}
        attached_to = {
            f's{number}': rng.choice(sorted(tables)) for number in range(12)
        }
        old: list[tuple[str, list[Endpoint]]] = []
        now = 0.0
        for _ in range(200):
            now += 0.05
            server = rng.choice(sorted(attached_to))
            if rng.random() < 0.1:
                attached_to[server] = rng.choice(sorted(tables))
            state = rng.choice(('ready', 'ready', 'draining'))
            tables[attached_to[server]].attach(
                endpoint(server, state=state), now
            )
            for table in tables.values():
                table.expire(now)
            source, target = rng.sample(sorted(tables), 2)
            delta = tables[source].delta('', 0, everything)
            old.append((target, delta.endpoints))
            delayed_target, delayed = rng.choice(old)
            for record in delayed:
                tables[delayed_target].merge(record)
        for _ in range(6):
            now += 0.4
            for server, attached in attached_to.items():
                tables[attached].attach(endpoint(server), now)
            for source in tables:
                tables[source].expire(now)
                for target in tables.keys() - {source}:
                    for record in tables[source]._records.values():
                        tables[target].merge(record)
        views = [
            sorted(
                (record.server, record.state) for record in table.endpoints()
            )
            for table in tables.values()
        ]
        assert (
            views[0]
            == views[1]
            == views[2]
            == [(server, 'ready') for server in sorted(attached_to)]
        )

    def test_a_stale_record_does_not_displace_an_attached_server(self):
        own, peer = make_table('c1'), make_table('c2')
        peer.attach(endpoint('s'), 0.0)
        own.merge(peer.endpoints()[0])
        own.attach(endpoint('s'), 0.5)
        peer.expire(5.0)
        own.merge(next(iter(peer._records.values())))
        assert [record.state for record in own.endpoints()] == ['ready']

    def test_endpoints_of_a_lost_origin_are_dropped(self):
        own, peer = make_table('c1'), make_table('c2')
        peer.attach(endpoint('s'), 0.0)
        own.merge(peer.endpoints()[0])
        assert own.drop_origin('c2') == 1
        assert len(own) == 0


class TestExistence:
    def test_a_service_exists_after_the_appear_time(self):
        tracker = ExistenceTracker(200, 600_000)
        assert tracker.decide([], ['desk'], 1.0) == []
        assert tracker.decide([], ['desk'], 1.3) == ['desk']

    def test_failure_of_all_servers_withdraws_no_service(self):
        tracker = ExistenceTracker(200, 600_000)
        assert tracker.decide(['desk'], [], 0.0) == ['desk']
        assert tracker.decide(['desk'], [], 599.0) == ['desk']
        assert tracker.decide(['desk'], ['desk'], 599.5) == ['desk']
        assert tracker.decide(['desk'], [], 600.0) == ['desk']
        assert tracker.decide(['desk'], [], 1199.0) == ['desk']

    def test_a_service_without_servers_for_long_is_withdrawn(self):
        tracker = ExistenceTracker(200, 600_000)
        tracker.decide(['desk'], [], 0.0)
        assert tracker.decide(['desk'], [], 600.0) == []


class TestHeartbeatOrder:
    def drained(self) -> EndpointTable:
        table = EndpointTable('e', 'c', 1000)
        table.attach(self.endpoint('draining', 1, heartbeat=5), 0)
        return table

    def endpoint(self, state: str, incarnation: int, **order: int) -> Endpoint:
        return Endpoint(
            server='s',
            service='svc',
            zone='z',
            address='a:1',
            incarnation=incarnation,
            state=state,
            **{'born_ms': 100, **order},
        )

    def test_a_restarted_node_cannot_revive_a_drained_server(self):
        table = self.drained()
        assert not table.attach(self.endpoint('ready', 2, heartbeat=3), 1)
        assert table.endpoints()[0].state == 'draining'

    def test_a_later_start_of_the_server_is_ready(self):
        table = self.drained()
        restarted = self.endpoint('ready', 2, heartbeat=1, born_ms=200)
        assert table.attach(restarted, 1)
        assert table.endpoints()[0].state == 'ready'

    def test_a_node_that_drained_without_a_new_heartbeat_may_return(self):
        table = EndpointTable('e', 'c', 1000)
        table.attach(self.endpoint('draining', 1, heartbeat=2), 0)
        assert table.attach(self.endpoint('ready', 2, heartbeat=2), 1)
