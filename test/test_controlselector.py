"""Which control VM a node polls."""

import random

from papayalock.core.controlselector import ControlSelector
from papayalock.messages import ControlPeer

SEEDS = ['a:1', 'b:1', 'c:1']


def choice() -> ControlSelector:
    return ControlSelector('z1', SEEDS, random.Random(2))


def learned() -> ControlSelector:
    made = choice()
    for address, zone in (('a:1', 'z1'), ('b:1', 'z2'), ('c:1', 'z3')):
        made.record_response(address, zone, [])
    return made


class TestControlChoice:
    def test_the_own_zone_is_preferred_once_known(self):
        made = learned()
        assert {made.choose(now) for now in range(10)} == {'a:1'}

    def test_unknown_zones_are_explored_before_other_ones(self):
        made = choice()
        made.record_response('b:1', 'z2', [])
        assert made.choose(0) in {'a:1', 'c:1'}

    def test_a_silent_one_is_passed_over_and_comes_back(self):
        made = learned()
        made.record_failure('a:1', 0)
        assert made.choose(0.1) in {'b:1', 'c:1'}
        assert made.choose(0.6) == 'a:1'

    def test_silence_doubles_the_time(self):
        made = learned()
        made.record_failure('a:1', 0)
        made.record_failure('a:1', 1)
        assert made.choose(1.9) in {'b:1', 'c:1'}
        assert made.choose(2.1) == 'a:1'

    def test_when_all_are_silent_the_one_asked_longest_ago_is_next(self):
        made = learned()
        for at, address in enumerate(SEEDS):
            made.record_failure(address, at / 10)
        assert made.choose(0.25) == 'a:1'

    def test_one_that_only_refuses_does_not_keep_a_node_from_the_others(self):
        """After a restart of all, one that lost its disk may be up first."""
        made = choice()
        for now in (0.0, 0.05, 0.1):
            for address in ('b:1', 'c:1'):
                made.record_failure(address, now)
        asked = []
        for step in range(4):
            now = 0.7 + step * 0.1
            asked.append(made.choose(now))
            made.record_failure(asked[-1], now)
        assert set(asked) == set(SEEDS)

    def test_listed_peers_replace_those_that_left(self):
        made = learned()
        made.record_response(
            'a:1', 'z1', [ControlPeer('a:1', 'z1'), ControlPeer('d:1', 'z2')]
        )
        made.record_failure('a:1', 0)
        assert made.choose(0.1) == 'd:1'

    def test_seeds_come_back_when_all_else_is_silent(self):
        made = learned()
        made.record_response('d:1', 'z1', [ControlPeer('d:1', 'z1')])
        made.record_failure('d:1', 0)
        assert made.choose(0.1) in set(SEEDS)
