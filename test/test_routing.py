"""Route matching, server choice and ejection."""

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
    new_balancer = Balancer(
        'here',
        random.Random(seed),
        ramp_ms=ramp_ms,
        eject_ms=1000,
        eject_percent=50,
    )
    new_balancer.replace_all(endpoints, 0.0)
    return new_balancer


def choices(
    lb: Balancer, part: Part = DESK, now: float = 10.0, calls: int = 400
) -> Counter:
    return Counter(lb.choose(part, now).endpoint.server for _ in range(calls))


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
    def test_unmatched_calls_have_no_operation(self, method, path):
        assert (
            RouteTable(QURESHI.values()).match('enrol-desk', method, path)
            is None
        )

    def test_a_denied_caller_is_refused(self):
        table = RouteTable(QURESHI.values())
        route = table.match('rider-ledger', 'PUT', '/riders/1/record')
        assert not table.allowed(route, 'enrol-desk')


class TestChoice:
    def test_own_zone_is_preferred(self):
        lb = balancer(
            endpoint('a'), endpoint('b'), endpoint('far', zone='there')
        )
        assert set(choices(lb)) == {'a', 'b'}

    def test_full_zone_spills_over(self):
        lb = balancer(endpoint('a'), endpoint('far', zone='there'))
        lb.servers['a'].in_flight = DESK.slots
        assert choices(lb)['far'] > 200

    def test_empty_zone_spills_over(self):
        assert set(choices(balancer(endpoint('far', zone='there')))) == {'far'}

    def test_draining_server_gets_no_calls(self):
        lb = balancer(endpoint('a'), endpoint('b', state='draining'))
        assert set(choices(lb)) == {'a'}

    def test_zone_of_weight_zero_gets_no_calls(self):
        part = Part(
            service='enrol-desk',
            slots=9,
            connections=9,
            callers=['*'],
            routes=[],
            weights={'there': 0},
        )
        lb = balancer(endpoint('far', zone='there'))
        assert lb.choose(part, 1.0) is None

    def test_less_loaded_of_two_is_preferred(self):
        lb = balancer(endpoint('a'), endpoint('b'))
        lb.servers['a'].in_flight = 5
        assert choices(lb)['b'] > 250

    def test_new_server_is_ramped_up(self):
        lb = balancer(endpoint('a'), ramp_ms=5000)
        lb.upsert(endpoint('new'), 100.0)
        for server in lb.servers.values():
            server.in_flight = 2
        assert choices(lb, now=100.1)['new'] < 150
        assert choices(lb, now=110.0)['new'] > 150

    def test_old_load_report_is_ignored(self):
        lb = balancer(endpoint('a'), endpoint('b'))
        lb.servers['a'].load = 500
        assert choices(lb, now=0.1)['a'] < 150
        assert choices(lb, now=60.0)['a'] > 150


class TestEjection:
    def fail(self, lb: Balancer, name: str, now: float, times: int = 3) -> None:
        for _ in range(times):
            lb.call_started(lb.servers[name])
            lb.call_finished(lb.servers[name], now, healthy=False)

    def test_failing_server_is_ejected_for_a_while(self):
        lb = balancer(*(endpoint(name) for name in 'abcd'))
        self.fail(lb, 'a', 10.0)
        assert 'a' not in choices(lb, now=10.5)
        assert 'a' in choices(lb, now=11.5)

    def test_ejection_never_empties_a_service(self):
        lb = balancer(*(endpoint(name) for name in 'abcd'))
        for name in 'abcd':
            self.fail(lb, name, 10.0, times=10)
        assert len(choices(lb, now=10.1)) == 2

    def test_cancelled_call_is_not_a_failure(self):
        lb = balancer(endpoint('a'), endpoint('b'))
        for _ in range(10):
            lb.call_started(lb.servers['a'])
            lb.call_finished(lb.servers['a'], 10.0, healthy=None)
        assert lb.servers['a'].failures == 0

    def test_retries_avoid_a_shedding_zone(self):
        lb = balancer(endpoint('a', zone='there'), endpoint('b', zone='third'))
        lb.record_shed(lb.servers['a'], 10.0, 1000)
        chosen = {
            lb.choose(DESK, 10.1, retrying=True).endpoint.server
            for _ in range(100)
        }
        assert chosen == {'b'}
        assert set(choices(lb, now=10.1)) == {'a', 'b'}

    def test_restart_drops_the_observations(self):
        lb = balancer(endpoint('a'), endpoint('b'), endpoint('c'))
        self.fail(lb, 'a', 10.0)
        lb.upsert(endpoint('a', incarnation=2), 10.1)
        assert 'a' in choices(lb, now=10.2)
