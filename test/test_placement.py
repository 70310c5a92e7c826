"""Placing: expected completion, silence, stale tables and uneven servers."""

import random

from papayalock.core.directory import RETENTION_S, Directory
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
    made = Placement('a', 'own:1', random.Random(1))
    for one in endpoints:
        made.upsert(one, 0)
    return made


def load(made: Placement, name: str, pace_ms: float, jobs: int = 0, **more):
    made.record_load(
        made.servers[name],
        ServerLoad(jobs=jobs, slots=4, pace_ms=pace_ms, **more),
        0,
    )


def chosen(made: Placement, now: float = 0.0, count: int = 40) -> list[str]:
    names = []
    for _ in range(count):
        peer = made.choose('floor', now)
        names.append(peer.endpoint.server)
    return names


class TestChoice:
    def test_nothing_ready_is_none(self):
        made = placement(endpoint('x', state='draining'))
        assert made.choose('floor', 0) is None

    def test_the_faster_of_two_idle_servers_is_chosen(self):
        made = placement(endpoint('slow'), endpoint('fast'))
        load(made, 'slow', 150)
        load(made, 'fast', 50)
        assert set(chosen(made)) == {'fast'}

    def test_a_full_fast_server_gives_way_to_an_idle_slow_one(self):
        made = placement(endpoint('slow'), endpoint('fast'))
        load(made, 'slow', 150)
        load(made, 'fast', 50, jobs=16)
        assert set(chosen(made)) == {'slow'}

    def test_own_calls_under_way_count_at_once(self):
        made = placement(endpoint('x'), endpoint('y'))
        load(made, 'x', 100)
        load(made, 'y', 100)
        counts = {'x': 0, 'y': 0}
        for _ in range(8):
            peer = made.choose('floor', 0)
            made.call_started(peer)
            counts[peer.endpoint.server] += 1
        assert counts == {'x': 4, 'y': 4}

    def test_a_failing_server_is_avoided_though_it_answers_fast(self):
        made = placement(endpoint('grey'), endpoint('sound'))
        load(made, 'grey', 80, failing=0.5)
        load(made, 'sound', 100)
        assert set(chosen(made)) == {'sound'}

    def test_a_server_that_joined_gets_calls(self):
        made = placement(endpoint('old'), endpoint('older'))
        load(made, 'old', 100, jobs=4)
        load(made, 'older', 100, jobs=4)
        made.upsert(endpoint('new'), 0)
        assert 'new' in chosen(made)


class TestFailures:
    def test_silence_shuns_a_server_at_once_and_for_longer_each_time(self):
        made = placement(endpoint('x'), endpoint('y'))
        peer = made.servers['x']
        for _ in range(2):
            made.call_started(peer)
            made.call_finished(peer, Code.UNKNOWN_TIMEOUT, 0)
        assert set(chosen(made, 0.7)) == {'y'}
        assert 'x' in chosen(made, 0.9)

    def test_an_answer_clears_the_failures(self):
        made = placement(endpoint('x'))
        peer = made.servers['x']
        made.call_started(peer)
        made.call_finished(peer, Code.UNKNOWN_TIMEOUT, 0)
        made.call_started(peer)
        made.call_finished(peer, Code.DONE, 0)
        assert peer.backoff_until < 0

    def test_when_all_are_shunned_the_one_due_first_is_tried(self):
        made = placement(endpoint('x'), endpoint('y'))
        for name, at in (('x', 0.0), ('y', 0.2)):
            made.call_started(made.servers[name])
            made.call_finished(made.servers[name], Code.NOT_CONNECTED, at)
        assert made.choose('floor', 0.3).endpoint.server == 'x'

    def test_a_server_without_room_is_not_shunned(self):
        made = placement(endpoint('x'))
        made.call_started(made.servers['x'])
        made.call_finished(made.servers['x'], Code.SHED, 0)
        assert made.servers['x'].backoff_until < 0


class TestTables:
    def test_a_fresh_table_that_lacks_servers_does_not_empty_the_service(self):
        made = placement(endpoint('x'), endpoint('y'))
        made.replace_all([endpoint('x')], 1)
        assert set(made.servers) == {'x', 'y'}
        made.drop_unlisted(1 + RETENTION_S)
        assert set(made.servers) == {'x'}

    def test_a_server_listed_again_is_kept(self):
        made = placement(endpoint('x'), endpoint('y'))
        made.replace_all([], 1)
        made.upsert(endpoint('y'), 2)
        made.drop_unlisted(60)
        assert set(made.servers) == {'y'}

    def test_a_restart_forgets_what_was_seen_of_the_server(self):
        made = placement(endpoint('x'))
        load(made, 'x', 500)
        made.upsert(endpoint('x', incarnation=2), 1)
        assert made.servers['x'].load is None


class TestDistance:
    def test_long_answers_stay_in_the_zone_while_that_costs_little(self):
        made = placement(endpoint('near'), endpoint('far', zone='z2'))
        load(made, 'near', 120)
        load(made, 'far', 40)
        for _ in range(100):
            made.record_response_size('long', 5000)
            made.record_response_size('short', 300)
        long_one = made.choose('floor', 0, route='long')
        short_one = made.choose('floor', 0, route='short')
        assert long_one.endpoint.server == 'near'
        assert short_one.endpoint.server == 'far'

    def test_a_queue_in_the_zone_sends_long_answers_away_too(self):
        made = placement(endpoint('near'), endpoint('far', zone='z2'))
        load(made, 'near', 120, jobs=16)
        load(made, 'far', 120)
        made.record_response_size('long', 5000)
        assert made.choose('floor', 0, route='long').endpoint.server == 'far'


class TestDirectory:
    def test_a_server_that_changes_its_service_is_listed_once(self):
        made = Directory()
        made.upsert(Endpoint('s', 'a', 'z', 'n:1', 1), 0)
        made.upsert(Endpoint('s', 'b', 'z', 'n:2', 1), 1)
        assert made.ready('a') == []
        assert [one.endpoint.server for one in made.ready('b')] == ['s']
        assert made.node_count == 1

    def test_nodes_are_counted_by_address(self):
        made = Directory()
        made.upsert(Endpoint('s', 'a', 'z', 'n:1', 1), 0)
        made.upsert(Endpoint('t', 'a', 'z', 'n:1', 1), 0)
        made.upsert(Endpoint('u', 'a', 'z', 'n:2', 1), 0)
        assert made.node_count == 2
        made.remove('t')
        made.remove('u')
        assert made.node_count == 1


class TestAsking:
    """Whom a call asks for a free slot when most servers are full."""

    def test_a_server_that_was_full_a_moment_ago_is_not_asked(self):
        made = placement(endpoint('full'), endpoint('free'))
        load(made, 'full', 50, jobs=9)
        load(made, 'free', 150, jobs=2)
        found = made.choose_free('floor', 0.1)
        assert found.endpoint.server == 'free'

    def test_when_all_were_full_a_moment_ago_nobody_is(self):
        made = placement(endpoint('x'), endpoint('y'))
        load(made, 'x', 50, jobs=9)
        load(made, 'y', 50, jobs=9)
        assert made.choose_free('floor', 0.1) is None
        assert made.choose('floor', 0.1) is not None

    def test_old_knowledge_is_no_reason_to_pass_a_server_over(self):
        made = placement(endpoint('x'))
        load(made, 'x', 50, jobs=9)
        assert made.choose_free('floor', 0.1 + LOAD_FRESH_S) is not None

    def test_an_unknown_server_is_asked(self):
        assert placement(endpoint('x')).choose_free('floor', 0) is not None
