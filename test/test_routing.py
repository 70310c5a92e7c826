"""Matching of calls and choice of servers."""

import random
from collections import Counter

import pytest

from papayalock.core.derive import derive_parts
from papayalock.core.routing import Balancer, RouteTable
from papayalock.messages import Endpoint, Part
from test.inventories import example

QURESHI = derive_parts(example('qureshi'), ['enrol-desk', 'rider-ledger'])
DESK = QURESHI['enrol-desk']


def endpoint(
    name: str, zone: str = 'here', incarnation: int = 1, state: str = 'ready'
) -> Endpoint:
    return Endpoint(
        server=name,
        service='enrol-desk',
        zone=zone,
        address=name,
        incarnation=incarnation,
        state=state,
    )


def balancer(*endpoints: Endpoint, ramp_ms: int = 0, seed: int = 1) -> Balancer:
    made = Balancer(
        'here',
        random.Random(seed),
        ramp_ms=ramp_ms,
        eject_ms=1000,
        eject_percent=50,
    )
    made.replace_all(endpoints, 0.0)
    return made


def spread(
    one: Balancer, part: Part = DESK, now: float = 10.0, calls: int = 400
) -> Counter:
    return Counter(one.choose(part, now).endpoint.server for _ in range(calls))


class TestMatch:
    @pytest.mark.parametrize(
        ('method', 'path', 'operation'),
        [
            ('POST', '/riders', 'sign-up'),
            ('POST', '/riders/7/deposit', 'pay-deposit'),
            ('POST', '/riders/7/activation', 'activate'),
        ],
    )
    def test_a_call_finds_its_operation(self, method, path, operation):
        assert (
            RouteTable(QURESHI.values())
            .match('enrol-desk', method, path)
            .operation
            == operation
        )

    @pytest.mark.parametrize(
        ('method', 'path'),
        [
            ('GET', '/riders'),
            ('POST', '/riders/'),
            ('POST', '/riders//deposit'),
            ('POST', '/riders/7/deposit/8'),
            ('POST', '/'),
        ],
    )
    def test_other_calls_find_none(self, method, path):
        assert (
            RouteTable(QURESHI.values()).match('enrol-desk', method, path)
            is None
        )

    def test_a_denied_caller_is_refused(self):
        table = RouteTable(QURESHI.values())
        route = table.match('rider-ledger', 'PUT', '/riders/1/record')
        assert not table.allowed(route, 'enrol-desk')


class TestChoice:
    def test_the_own_zone_goes_first(self):
        one = balancer(
            endpoint('a'), endpoint('b'), endpoint('far', zone='there')
        )
        assert set(spread(one)) == {'a', 'b'}

    def test_a_full_zone_spills(self):
        one = balancer(endpoint('a'), endpoint('far', zone='there'))
        one.servers['a'].in_flight = DESK.slots
        assert spread(one)['far'] > 200

    def test_an_empty_zone_spills(self):
        assert set(spread(balancer(endpoint('far', zone='there')))) == {'far'}

    def test_a_draining_server_gets_no_new_call(self):
        one = balancer(endpoint('a'), endpoint('b', state='draining'))
        assert set(spread(one)) == {'a'}

    def test_a_zone_of_weight_zero_gets_none(self):
        part = Part(
            service='enrol-desk',
            slots=9,
            connections=9,
            callers=['*'],
            routes=[],
            weights={'there': 0},
        )
        one = balancer(endpoint('far', zone='there'))
        assert one.choose(part, 1.0) is None

    def test_the_less_loaded_of_two_is_chosen(self):
        one = balancer(endpoint('a'), endpoint('b'))
        one.servers['a'].in_flight = 5
        assert spread(one)['b'] > 250

    def test_a_cold_server_is_ramped_up(self):
        one = balancer(endpoint('a'), ramp_ms=5000)
        one.upsert(endpoint('new'), 100.0)
        for server in one.servers.values():
            server.in_flight = 2
        assert spread(one, now=100.1)['new'] < 150
        assert spread(one, now=110.0)['new'] > 150

    def test_an_old_load_report_counts_for_nothing(self):
        one = balancer(endpoint('a'), endpoint('b'))
        one.servers['a'].load = 500
        assert spread(one, now=0.1)['a'] < 150
        assert spread(one, now=60.0)['a'] > 150


class TestEjection:
    def fail(
        self, one: Balancer, name: str, now: float, times: int = 3
    ) -> None:
        for _ in range(times):
            one.call_started(one.servers[name])
            one.call_finished(one.servers[name], now, healthy=False)

    def test_a_failing_server_is_left_out_and_tried_again(self):
        one = balancer(*(endpoint(name) for name in 'abcd'))
        self.fail(one, 'a', 10.0)
        assert 'a' not in spread(one, now=10.5)
        assert 'a' in spread(one, now=11.5)

    def test_a_misleading_signal_cannot_empty_a_service(self):
        one = balancer(*(endpoint(name) for name in 'abcd'))
        for name in 'abcd':
            self.fail(one, name, 10.0, times=10)
        assert len(spread(one, now=10.1)) == 2

    def test_a_cancelled_call_tells_nothing(self):
        one = balancer(endpoint('a'), endpoint('b'))
        for _ in range(10):
            one.call_started(one.servers['a'])
            one.call_finished(one.servers['a'], 10.0, healthy=None)
        assert one.servers['a'].failures == 0

    def test_no_retry_goes_into_a_zone_that_sheds(self):
        one = balancer(endpoint('a', zone='there'), endpoint('b', zone='third'))
        one.record_shed(one.servers['a'], 10.0, 1000)
        chosen = {
            one.choose(DESK, 10.1, retrying=True).endpoint.server
            for _ in range(100)
        }
        assert chosen == {'b'}
        assert set(spread(one, now=10.1)) == {'a', 'b'}

    def test_a_restarted_server_starts_afresh(self):
        one = balancer(endpoint('a'), endpoint('b'), endpoint('c'))
        self.fail(one, 'a', 10.0)
        one.upsert(endpoint('a', incarnation=2), 10.1)
        assert 'a' in spread(one, now=10.2)
