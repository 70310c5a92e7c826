"""Server choice: expected completion, backoff and stale server lists."""

import random

from papayalock.core.budget import SharedBudget
from papayalock.core.directory import NODE_MEMORY_S, RETENTION_S, Directory
from papayalock.core.placement import LOAD_FRESH_S, Placement
from papayalock.messages import Endpoint, ServerLoad
from papayalock.result import Code


def endpoint(name: str, zone: str = 'a', **changes) -> Endpoint:
    fields = {
        'server': name,
        'service': 'floor',
        'zone': zone,
        'address': f'{name}:1',
        'incarnation': 1,
        'slots': 4,
        **changes,
    }
    return Endpoint(**fields)


def placement(*endpoints: Endpoint) -> Placement:
    selector = Placement('a', 'own:1', random.Random(1))
    for known in endpoints:
        selector.upsert(known, 0)
    return selector


def load(selector: Placement, name: str, pace_ms: float, jobs: int = 0, **more):
    selector.record_load(
        selector.servers[name],
        ServerLoad(jobs=jobs, slots=4, pace_ms=pace_ms, **more),
        0,
    )


def chosen(selector: Placement, now: float = 0.0, count: int = 40) -> list[str]:
    names = []
    for _ in range(count):
        server = selector.choose('floor', now)
        names.append(server.endpoint.server)
    return names


class TestChoice:
    def test_no_ready_server_returns_none(self):
        selector = placement(endpoint('x', state='draining'))
        assert selector.choose('floor', 0) is None

    def test_faster_of_two_idle_servers_is_chosen(self):
        selector = placement(endpoint('slow'), endpoint('fast'))
        load(selector, 'slow', 150)
        load(selector, 'fast', 50)
        assert set(chosen(selector)) == {'fast'}

    def test_idle_slow_server_is_preferred_to_full_fast_one(self):
        selector = placement(endpoint('slow'), endpoint('fast'))
        load(selector, 'slow', 150)
        load(selector, 'fast', 50, jobs=16)
        assert set(chosen(selector)) == {'slow'}

    def test_own_calls_in_flight_count_immediately(self):
        selector = placement(endpoint('x'), endpoint('y'))
        load(selector, 'x', 100)
        load(selector, 'y', 100)
        counts = {'x': 0, 'y': 0}
        for _ in range(8):
            server = selector.choose('floor', 0)
            selector.call_started(server)
            counts[server.endpoint.server] += 1
        assert counts == {'x': 4, 'y': 4}

    def test_fast_but_failing_server_is_avoided(self):
        selector = placement(endpoint('grey'), endpoint('sound'))
        load(selector, 'grey', 80, failing=0.5)
        load(selector, 'sound', 100)
        assert set(chosen(selector)) == {'sound'}

    def test_new_server_gets_calls(self):
        selector = placement(endpoint('old'), endpoint('older'))
        load(selector, 'old', 100, jobs=4)
        load(selector, 'older', 100, jobs=4)
        selector.upsert(endpoint('new'), 0)
        assert 'new' in chosen(selector)


class TestFailures:
    def test_unresponsive_server_is_backed_off_at_once_and_exponentially(self):
        selector = placement(endpoint('x'), endpoint('y'))
        server = selector.servers['x']
        for _ in range(2):
            selector.call_started(server)
            selector.call_finished(server, Code.UNKNOWN_TIMEOUT, 0)
        assert set(chosen(selector, 0.7)) == {'y'}
        assert 'x' in chosen(selector, 0.9)

    def test_response_clears_failures(self):
        selector = placement(endpoint('x'))
        server = selector.servers['x']
        selector.call_started(server)
        selector.call_finished(server, Code.UNKNOWN_TIMEOUT, 0)
        selector.call_started(server)
        selector.call_finished(server, Code.DONE, 0)
        assert server.backoff_until < 0

    def test_first_out_of_backoff_is_chosen_when_all_are_backed_off(self):
        selector = placement(endpoint('x'), endpoint('y'))
        for name, at in (('x', 0.0), ('y', 0.2)):
            selector.call_started(selector.servers[name])
            selector.call_finished(
                selector.servers[name], Code.NOT_CONNECTED, at
            )
        assert selector.choose('floor', 0.3).endpoint.server == 'x'

    def test_shedding_server_is_not_backed_off(self):
        selector = placement(endpoint('x'))
        selector.call_started(selector.servers['x'])
        selector.call_finished(selector.servers['x'], Code.SHED, 0)
        assert selector.servers['x'].backoff_until < 0


class TestFullLists:
    def test_unlisted_server_is_kept_for_the_retention_time(self):
        selector = placement(endpoint('x'), endpoint('y'))
        selector.replace_all([endpoint('x')], 1)
        assert set(selector.servers) == {'x', 'y'}
        selector.drop_unlisted(1 + RETENTION_S)
        assert set(selector.servers) == {'x'}

    def test_server_that_is_listed_again_is_kept(self):
        selector = placement(endpoint('x'), endpoint('y'))
        selector.replace_all([], 1)
        selector.upsert(endpoint('y'), 2)
        selector.drop_unlisted(60)
        assert set(selector.servers) == {'y'}

    def test_restart_drops_the_observations(self):
        selector = placement(endpoint('x'))
        load(selector, 'x', 500)
        selector.upsert(endpoint('x', incarnation=2), 1)
        assert selector.servers['x'].load is None


class TestNetworkCost:
    def test_long_responses_stay_in_the_zone_when_the_delay_is_small(self):
        selector = placement(endpoint('near'), endpoint('far', zone='z2'))
        load(selector, 'near', 120)
        load(selector, 'far', 40)
        for _ in range(100):
            selector.record_response_size('long', 5000)
            selector.record_response_size('short', 300)
        for_long = selector.choose('floor', 0, route='long')
        for_short = selector.choose('floor', 0, route='short')
        assert for_long.endpoint.server == 'near'
        assert for_short.endpoint.server == 'far'

    def test_queue_in_the_zone_sends_long_responses_to_another_zone(self):
        selector = placement(endpoint('near'), endpoint('far', zone='z2'))
        load(selector, 'near', 120, jobs=16)
        load(selector, 'far', 120)
        selector.record_response_size('long', 5000)
        assert (
            selector.choose('floor', 0, route='long').endpoint.server == 'far'
        )


class TestDirectory:
    def test_server_that_changes_its_service_is_listed_once(self):
        directory = Directory()
        directory.upsert(Endpoint('s', 'a', 'z', 'n:1', 1), 0)
        directory.upsert(Endpoint('s', 'b', 'z', 'n:2', 1), 1)
        assert directory.ready('a') == []
        assert [server.endpoint.server for server in directory.ready('b')] == [
            's'
        ]
        assert directory.count_nodes(1) == 2
        assert directory.count_nodes(1 + NODE_MEMORY_S) == 1

    def test_nodes_cut_off_from_others_do_not_share_the_budget_with_less(self):
        floor = 62
        granted = 0
        for zone in range(4):
            own_zone = range(4 * zone, 4 * zone + 4)
            directory = Directory()
            for node in range(16):
                directory.upsert(endpoint(f's{node}'), 0)
            directory.replace_all(
                [endpoint(f's{node}') for node in own_zone], 20
            )
            directory.drop_unlisted(20 + RETENTION_S)
            for _ in own_zone:
                budget = SharedBudget(10_000, 0.2, floor, float('-inf'))
                granted += sum(
                    budget.try_spend(30, directory.count_nodes(30))
                    for _ in range(floor)
                )
        assert 0 < granted <= floor

    def test_nodes_are_counted_by_address(self):
        directory = Directory()
        directory.upsert(Endpoint('s', 'a', 'z', 'n:1', 1), 0)
        directory.upsert(Endpoint('t', 'a', 'z', 'n:1', 1), 0)
        directory.upsert(Endpoint('u', 'a', 'z', 'n:2', 1), 0)
        assert directory.count_nodes(0) == 2
        directory.remove('t', 1)
        directory.remove('u', 1)
        assert directory.count_nodes(NODE_MEMORY_S) == 2
        assert directory.count_nodes(1 + NODE_MEMORY_S) == 1
        directory.upsert(Endpoint('v', 'a', 'z', 'n:2', 1), 700)
        assert directory.count_nodes(700) == 2


class TestChooseFree:
    """The search for a free slot when most servers are full."""

    def test_recently_full_server_is_skipped(self):
        selector = placement(endpoint('full'), endpoint('free'))
        load(selector, 'full', 50, jobs=9)
        load(selector, 'free', 150, jobs=2)
        chosen_server = selector.choose_free('floor', 0.1)
        assert chosen_server.endpoint.server == 'free'

    def test_no_server_is_returned_when_all_were_recently_full(self):
        selector = placement(endpoint('x'), endpoint('y'))
        load(selector, 'x', 50, jobs=9)
        load(selector, 'y', 50, jobs=9)
        assert selector.choose_free('floor', 0.1) is None
        assert selector.choose('floor', 0.1) is not None

    def test_stale_report_does_not_rule_out_a_server(self):
        selector = placement(endpoint('x'))
        load(selector, 'x', 50, jobs=9)
        assert selector.choose_free('floor', 0.1 + LOAD_FRESH_S) is not None

    def test_server_without_a_report_is_returned(self):
        assert placement(endpoint('x')).choose_free('floor', 0) is not None


class TestHopTimes:
    """Links so full that servers with free slots answer late."""

    def test_server_behind_a_full_link_is_avoided(self):
        selector = placement(endpoint('near'), endpoint('clogged'))
        load(selector, 'near', 100)
        load(selector, 'clogged', 50)
        for _ in range(10):
            selector.record_hop(selector.servers['clogged'], 0.3, 0.0)
        assert set(chosen(selector)) == {'near'}

    def test_old_hop_times_fade_out(self):
        selector = placement(endpoint('near'), endpoint('clogged'))
        load(selector, 'near', 100)
        load(selector, 'clogged', 50)
        selector.record_hop(selector.servers['clogged'], 3.0, 0.0)
        assert set(chosen(selector, now=12.0)) == {'clogged'}

    def test_one_slow_hop_does_not_decide(self):
        selector = placement(endpoint('near'), endpoint('clogged'))
        load(selector, 'near', 100)
        load(selector, 'clogged', 50)
        selector.record_hop(selector.servers['clogged'], 0.1, 0.0)
        assert set(chosen(selector)) == {'clogged'}
