"""The upper bound on what any policy can win from a load."""

import pytest

from bench.loadmodel.bound import bound_share, upper_bound
from bench.loadmodel.model import MeshSimulation
from bench.loadmodel.scenario import read_bundled_scenario


def scenario(name='homeswap', **changes):
    changed = read_bundled_scenario(name)
    for field, setting in changes.items():
        setattr(changed, field, setting)
    return changed


class TestUpperBound:
    def test_everything_is_served_where_slots_suffice(self):
        shares = upper_bound(scenario(load=0.3))
        assert all(share == pytest.approx(1) for share in shares.values())

    def test_full_service_keeps_the_calls_worth_most_for_their_slots(self):
        shares = upper_bound(scenario('homeswap-grown', load=1.9))
        assert shares['swap-offer-view'] > 0.9
        assert shares['calendar-view'] < 0.9

    def test_slots_bind_as_many_calls_as_they_run(self):
        """Two servers of 18 slots run calls of 550 ms at speeds 1.43."""
        changed = scenario(load=4.0)
        for kind in changed.kinds:
            kind.inner = []
            kind.per_s *= kind.name == 'calendar-view'
        share = upper_bound(changed)['calendar-view']
        assert share == pytest.approx(2 * 18 * 1.43 / 0.55 / (4 * 4 * 24.6))

    @pytest.mark.parametrize('name', ['homeswap', 'okwuosa', 'qureshi'])
    def test_no_policy_gets_beyond_it(self, name):
        changed = scenario(name, load=1.4, seconds=5.0)
        won = MeshSimulation(changed, 1).run().worth_share
        assert won <= bound_share(changed)
