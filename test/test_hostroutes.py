"""Host routes: longest prefix match and weighted traffic splits."""

import random

import pytest

from papayalock.core.hostroutes import HostRouteTable, TrafficSplitter
from papayalock.core.routesets import RouteSetStore
from papayalock.messages import Part, Share
from test.test_routesets import route, route_set


def table(*routes) -> HostRouteTable:
    return HostRouteTable(store_with(*routes).parts())


class TestMatch:
    def test_longest_prefix_of_the_host_wins(self):
        hosts = table(
            route('short', prefix='/a/'),
            route('long', prefix='/a/b/'),
            route('elsewhere', host='b.example', prefix='/a/b/c/'),
        )
        assert hosts.match('a.example', '/a/b/c/d').name == 'long'
        assert hosts.match('a.example', '/a/x').name == 'short'

    def test_unknown_host_or_prefix_has_no_route(self):
        hosts = table(route('r', prefix='/a/'))
        assert hosts.match('a.example', '/b/') is None
        assert hosts.match('c.example', '/a/') is None

    def test_limits_and_policies_are_indexed(self):
        hosts = table()
        assert hosts.limits.idle_timeout_ms == 15000
        assert set(hosts.policies) == {'floor', 'lots'}


def shared(part_route) -> Part:
    return next(
        part
        for part in store_with(part_route).parts()
        if part.host_route is not None
    )


def store_with(*routes) -> RouteSetStore:
    store = RouteSetStore()
    store.publish(route_set(1, 0, *routes))
    return store


class TestUpdate:
    def random_route(self, rng: random.Random):
        depth = rng.randrange(1, 4)
        return route(
            f'r{rng.randrange(12)}',
            host=rng.choice(['a.example', 'b.example']),
            prefix=f'/{"x/" * depth}',
            timeout_ms=rng.randrange(1, 100),
        )

    @pytest.mark.parametrize('seed', range(20))
    def test_a_table_that_was_updated_matches_like_a_new_one(self, seed):
        rng = random.Random(seed)
        updated = HostRouteTable([])
        parts: dict[str, Part] = {}
        for _ in range(30):
            removed = [name for name in parts if rng.random() < 0.2]
            for name in removed:
                parts.pop(name)
            changed = {
                part.service: part
                for part in (shared(self.random_route(rng)) for _ in range(3))
            }
            parts.update(changed)
            updated.update(changed.values(), removed)
            fresh = HostRouteTable(parts.values())
            for host in ('a.example', 'b.example'):
                for path in ('/', '/x/', '/x/x/', '/x/x/x/y', '/y/'):
                    assert updated.match(host, path) == fresh.match(host, path)
            assert updated.routes == fresh.routes

    def test_a_removed_policy_and_removed_limits_are_gone(self):
        hosts = table()
        hosts.update([], ['policy/floor', 'limits/callers'])
        assert set(hosts.policies) == {'lots'}
        assert hosts.limits is None

    def test_a_route_named_like_a_policy_is_not_taken_for_one(self):
        hosts = table(route('policy/floor', prefix='/a/'))
        hosts.update([], ['policy/floor'])
        assert hosts.match('a.example', '/a/') is not None

    def test_a_prefix_without_a_final_slash_matches_as_text(self):
        hosts = table(route('r', prefix='/ab'))
        assert hosts.match('a.example', '/abc') is not None
        assert hosts.match('a.example', '/a') is None


def new_splitter(*unreachable: str, seed: int = 1) -> TrafficSplitter:
    return TrafficSplitter(
        random.Random(seed), lambda service, _: service not in unreachable
    )


class TestSplit:
    def test_shares_stay_within_one_call_of_the_weights(self):
        split = route(shares=[Share('floor', 70), Share('lots', 30)])
        splitter = new_splitter()
        chosen = []
        for count in range(1, 201):
            chosen.append(splitter.choose(split, 0))
            assert abs(chosen.count('floor') - 0.7 * count) <= 1

    def test_service_of_weight_zero_gets_no_calls(self):
        split = route(shares=[Share('floor', 0), Share('lots', 3)])
        splitter = new_splitter()
        assert {splitter.choose(split, 0) for _ in range(20)} == {'lots'}

    def test_changed_weights_apply_at_once(self):
        splitter = new_splitter()
        before = route(shares=[Share('floor', 9), Share('lots', 1)])
        for _ in range(50):
            splitter.choose(before, 0)
        after = route(shares=[Share('floor', 1), Share('lots', 1)])
        chosen = [splitter.choose(after, 0) for _ in range(40)]
        assert abs(chosen.count('floor') - 20) <= 1

    @pytest.mark.parametrize('calls', [1, 2, 3, 4])
    @pytest.mark.parametrize('weight', [10, 40, 50, 75])
    def test_the_first_calls_of_many_nodes_have_the_weights(
        self, calls, weight
    ):
        split = route(
            shares=[Share('floor', weight), Share('lots', 100 - weight)]
        )
        nodes = [new_splitter(seed=seed) for seed in range(188)]
        chosen = [node.choose(split, 0) for node in nodes for _ in range(calls)]
        assert abs(chosen.count('floor') / len(chosen) - weight / 100) < 0.1

    def test_share_of_an_unreachable_service_goes_to_the_others(self):
        shares = [Share('floor', 60), Share('lots', 20), Share('yard', 20)]
        splitter = new_splitter('floor')
        chosen = [splitter.choose(route(shares=shares), 0) for _ in range(40)]
        assert abs(chosen.count('lots') - 20) <= 1
        assert abs(chosen.count('yard') - 20) <= 1

    def test_a_service_that_returns_gets_no_more_than_its_share(self):
        reachable = {'lots'}
        splitter = TrafficSplitter(
            random.Random(1), lambda service, _: service in reachable
        )
        split = route(shares=[Share('floor', 50), Share('lots', 50)])
        for _ in range(100):
            assert splitter.choose(split, 0) == 'lots'
        reachable.add('floor')
        chosen = [splitter.choose(split, 0) for _ in range(40)]
        assert abs(chosen.count('floor') - 20) <= 1

    def test_weights_hold_while_no_service_can_be_reached(self):
        split = route(shares=[Share('floor', 75), Share('lots', 25)])
        splitter = new_splitter('floor', 'lots')
        chosen = [splitter.choose(split, 0) for _ in range(40)]
        assert abs(chosen.count('floor') - 30) <= 1

    def test_without_any_weight_no_service_is_chosen(self):
        split = route(shares=[Share('floor', 0), Share('lots', 0)])
        assert new_splitter().choose(split, 0) == ''
