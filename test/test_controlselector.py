"""Which control VM a node polls."""

import random

from papayalock.core.controlselector import ControlSelector
from papayalock.messages import ControlPeer

SEEDS = ['a:1', 'b:1', 'c:1']


def make_selector() -> ControlSelector:
    return ControlSelector('z1', SEEDS, random.Random(2))


def selector_with_known_zones() -> ControlSelector:
    selector = make_selector()
    for address, zone in (('a:1', 'z1'), ('b:1', 'z2'), ('c:1', 'z3')):
        selector.record_response(address, zone, [])
    return selector


class TestControlSelector:
    def test_the_own_zone_is_preferred_once_known(self):
        selector = selector_with_known_zones()
        assert {selector.choose(now) for now in range(10)} == {'a:1'}

    def test_unknown_zones_are_tried_before_other_zones(self):
        selector = make_selector()
        selector.record_response('b:1', 'z2', [])
        assert selector.choose(0) in {'a:1', 'c:1'}

    def test_a_failed_control_vm_is_retried_after_its_backoff(self):
        selector = selector_with_known_zones()
        selector.record_failure('a:1', 0)
        assert selector.choose(0.1) in {'b:1', 'c:1'}
        assert selector.choose(0.6) == 'a:1'

    def test_a_second_failure_doubles_the_backoff(self):
        selector = selector_with_known_zones()
        selector.record_failure('a:1', 0)
        selector.record_failure('a:1', 1)
        assert selector.choose(1.9) in {'b:1', 'c:1'}
        assert selector.choose(2.1) == 'a:1'

    def test_if_all_failed_the_earliest_failure_is_retried_first(self):
        selector = selector_with_known_zones()
        for at, address in enumerate(SEEDS):
            selector.record_failure(address, at / 10)
        assert selector.choose(0.25) == 'a:1'

    def test_a_control_vm_that_always_refuses_does_not_block_the_others(self):
        """After a restart of all VMs, one without its disk may be up first."""
        selector = make_selector()
        for now in (0.0, 0.05, 0.1):
            for address in ('b:1', 'c:1'):
                selector.record_failure(address, now)
        asked = []
        for step in range(4):
            now = 0.7 + step * 0.1
            asked.append(selector.choose(now))
            selector.record_failure(asked[-1], now)
        assert set(asked) == set(SEEDS)

    def test_listed_peers_replace_departed_ones(self):
        selector = selector_with_known_zones()
        selector.record_response(
            'a:1', 'z1', [ControlPeer('a:1', 'z1'), ControlPeer('d:1', 'z2')]
        )
        selector.record_failure('a:1', 0)
        assert selector.choose(0.1) == 'd:1'

    def test_seeds_are_added_again_when_all_others_failed(self):
        selector = selector_with_known_zones()
        selector.record_response('d:1', 'z1', [ControlPeer('d:1', 'z1')])
        selector.record_failure('d:1', 0)
        assert selector.choose(0.1) in set(SEEDS)
