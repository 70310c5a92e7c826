"""Routes that only the servers of one service call."""

from papayalock.core.routecallers import MAX_ROUTES, MIN_CALLS, RouteCallers


def callers(**calls: tuple[str, ...]) -> RouteCallers:
    """Returns the callers after as many calls as a route is judged by."""
    known = RouteCallers()
    for _ in range(MIN_CALLS):
        for route, services in calls.items():
            for service in services:
                known.record(route, service)
    return known


class TestRouteCallers:
    def test_route_called_from_one_service_is_nested(self):
        known = callers(view=('a', 'b'), lookup=('a',))
        assert known.is_nested('lookup')
        assert not known.is_nested('view')

    def test_nothing_is_nested_where_all_calls_come_from_one_service(self):
        assert not callers(view=('a',), lookup=('a',)).is_nested('lookup')

    def test_route_is_not_judged_by_a_few_calls(self):
        known = callers(view=('a', 'b'))
        known.record('lookup', 'a')
        assert not known.is_nested('lookup')
        assert not known.is_nested('unknown')

    def test_routes_are_bounded(self):
        known = callers(lookup=('a',), view=('a', 'b'))
        for number in range(MAX_ROUTES):
            known.record(f'r{number}', 'b')
        assert not known.is_nested('lookup')
