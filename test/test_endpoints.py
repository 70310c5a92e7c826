"""Announcements, leases and existence with hysteresis."""

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


def table(name: str = 'c1', lease_ms: int = 1000) -> EndpointTable:
    return EndpointTable(f'epoch-{name}', name, lease_ms)


def everything(_: Endpoint) -> bool:
    return True


class TestLeases:
    def test_a_silent_server_leaves(self):
        one = table()
        one.attach(endpoint('s'), 0.0)
        assert one.expire(0.9) == []
        assert one.expire(1.1) == ['s']
        assert len(one) == 0

    def test_renewal_keeps_it_without_a_change(self):
        one = table()
        assert one.attach(endpoint('s'), 0.0)
        assert not one.attach(endpoint('s'), 0.9)
        assert one.expire(1.5) == []

    def test_an_older_incarnation_is_ignored(self):
        one = table()
        one.attach(endpoint('s', incarnation=5), 0.0)
        assert not one.attach(endpoint('s', incarnation=4), 0.1)
        assert one.endpoints()[0].incarnation == 5

    def test_draining_is_passed_on(self):
        one = table()
        one.attach(endpoint('s'), 0.0)
        cursor = one.cursor
        one.attach(endpoint('s', state='draining'), 0.1)
        assert (
            one.delta(one.epoch, cursor, everything).endpoints[0].state
            == 'draining'
        )


class TestCursor:
    def test_only_changes_are_sent(self):
        one = table()
        for number in range(50):
            one.attach(endpoint(f's{number}'), 0.0)
        cursor = one.cursor
        assert one.delta(one.epoch, cursor, everything) is None
        one.attach(endpoint('s7', state='left'), 0.1)
        delta = one.delta(one.epoch, cursor, everything)
        assert [(found.server, found.state) for found in delta.endpoints] == [
            ('s7', 'left')
        ]

    def test_another_epoch_gets_everything_alive(self):
        one = table()
        one.attach(endpoint('s1'), 0.0)
        one.attach(endpoint('s2'), 0.0)
        one.attach(endpoint('s1', state='left'), 0.1)
        delta = one.delta('other', 99, everything)
        assert delta.full
        assert [found.server for found in delta.endpoints] == ['s2']

    def test_records_of_the_gone_are_bounded(self):
        one = table()
        for number in range(5000):
            one.attach(endpoint(f's{number}'), 0.0)
            one.attach(endpoint(f's{number}', state='left'), 0.0)
        assert one.delta(one.epoch, 1, everything).full
        assert len(one._records) <= 1024 + 256


class TestExchange:
    @pytest.mark.parametrize('seed', range(10))
    def test_tables_agree_after_crossed_and_repeated_deltas(self, seed):
        rng = random.Random(seed)
        tables = {name: table(name) for name in ('c1', 'c2', 'c3')}
        homes = {
            f's{number}': rng.choice(sorted(tables)) for number in range(12)
        }
        old: list[tuple[str, list[Endpoint]]] = []
        now = 0.0
        for _ in range(200):
            now += 0.05
            server = rng.choice(sorted(homes))
            if rng.random() < 0.1:
                homes[server] = rng.choice(sorted(tables))
            state = rng.choice(('ready', 'ready', 'draining'))
            tables[homes[server]].attach(endpoint(server, state=state), now)
            for each in tables.values():
                each.expire(now)
            source, target = rng.sample(sorted(tables), 2)
            delta = tables[source].delta('', 0, everything)
            old.append((target, delta.endpoints))
            late_target, late = rng.choice(old)
            for found in late:
                tables[late_target].merge(found)
        for _ in range(6):
            now += 0.4
            for server, home in homes.items():
                tables[home].attach(endpoint(server), now)
            for source in tables:
                tables[source].expire(now)
                for target in tables.keys() - {source}:
                    for found in tables[source]._records.values():
                        tables[target].merge(found)
        views = [
            sorted((one.server, one.state) for one in each.endpoints())
            for each in tables.values()
        ]
        assert (
            views[0]
            == views[1]
            == views[2]
            == [(server, 'ready') for server in sorted(homes)]
        )

    def test_a_stale_record_does_not_displace_an_attached_server(self):
        here, there = table('c1'), table('c2')
        there.attach(endpoint('s'), 0.0)
        here.merge(there.endpoints()[0])
        here.attach(endpoint('s'), 0.5)
        there.expire(5.0)
        here.merge(next(iter(there._records.values())))
        assert [one.state for one in here.endpoints()] == ['ready']

    def test_orphans_are_dropped(self):
        here, there = table('c1'), table('c2')
        there.attach(endpoint('s'), 0.0)
        here.merge(there.endpoints()[0])
        assert here.drop_origin('c2') == 1
        assert len(here) == 0


class TestExistence:
    def test_a_service_appears_after_a_while(self):
        tracker = ExistenceTracker(200, 600_000)
        assert tracker.decide([], ['desk'], 1.0) == []
        assert tracker.decide([], ['desk'], 1.3) == ['desk']

    def test_the_death_of_a_herd_withdraws_nothing(self):
        tracker = ExistenceTracker(200, 600_000)
        assert tracker.decide(['desk'], [], 0.0) == ['desk']
        assert tracker.decide(['desk'], [], 599.0) == ['desk']
        assert tracker.decide(['desk'], ['desk'], 599.5) == ['desk']
        assert tracker.decide(['desk'], [], 600.0) == ['desk']
        assert tracker.decide(['desk'], [], 1199.0) == ['desk']

    def test_a_service_gone_for_long_is_withdrawn(self):
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
        fresh = self.endpoint('ready', 2, heartbeat=1, born_ms=200)
        assert table.attach(fresh, 1)
        assert table.endpoints()[0].state == 'ready'

    def test_a_node_that_stopped_by_itself_may_return(self):
        table = EndpointTable('e', 'c', 1000)
        table.attach(self.endpoint('draining', 1, heartbeat=2), 0)
        assert table.attach(self.endpoint('ready', 2, heartbeat=2), 1)
