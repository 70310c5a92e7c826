"""Host routes: longest prefix match and weighted traffic splits."""

from papayalock.core.hostroutes import HostRouteTable, TrafficSplitter
from papayalock.core.routesets import RouteSetStore
from papayalock.messages import Share
from test.test_routesets import route, route_set


def table(*routes) -> HostRouteTable:
    store = RouteSetStore()
    store.publish(route_set(1, 0, *routes))
    return HostRouteTable(store.parts())


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


class TestSplit:
    def test_shares_stay_within_one_call_of_the_weights(self):
        split = route(shares=[Share('floor', 70), Share('lots', 30)])
        splitter = TrafficSplitter()
        chosen = []
        for count in range(1, 201):
            chosen.append(splitter.choose(split))
            assert abs(chosen.count('floor') - 0.7 * count) <= 1

    def test_service_of_weight_zero_gets_no_calls(self):
        split = route(shares=[Share('floor', 0), Share('lots', 3)])
        splitter = TrafficSplitter()
        assert {splitter.choose(split) for _ in range(20)} == {'lots'}

    def test_changed_weights_apply_at_once(self):
        splitter = TrafficSplitter()
        before = route(shares=[Share('floor', 9), Share('lots', 1)])
        for _ in range(50):
            splitter.choose(before)
        after = route(shares=[Share('floor', 1), Share('lots', 1)])
        chosen = [splitter.choose(after) for _ in range(40)]
        assert abs(chosen.count('floor') - 20) <= 1
