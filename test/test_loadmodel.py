"""Tests of the load model, and of the service that callers get under load."""

import pytest

from bench.loadmodel.__main__ import VARIANTS, format_summary
from bench.loadmodel.model import MeshSimulation
from bench.loadmodel.scenario import (
    SCENARIO_DIR,
    Burst,
    ServerFault,
    Scenario,
    ServerCrash,
    read_bundled_scenario,
    read_scenario,
)
from papayalock.result import Code, PapayalockError

SECONDS = 10.0


def simulate(name='okwuosa', seed=1, variant='present', **changes):
    scenario = read_bundled_scenario(name)
    for field, changed in {'seconds': SECONDS, **changes}.items():
        setattr(scenario, field, changed)
    return MeshSimulation(scenario, seed, VARIANTS[variant]).run()


def served_share(tally):
    return (tally.in_time + tally.late) / tally.calls


class TestScenario:
    @pytest.mark.parametrize(
        'name',
        ['okwuosa', 'qureshi', 'okwuosa-grown', 'homeswap', 'homeswap-grown'],
    )
    def test_bundled_scenarios_are_valid(self, name):
        assert isinstance(read_bundled_scenario(name), Scenario)

    @pytest.mark.parametrize(
        'text',
        [
            '',
            'seconds = "long"',
            'seconds = [',
            'seconds = 1.0\nzones = ["a"]\nservices = []\nkinds = []',
        ],
    )
    def test_error_of_an_invalid_file_names_its_path(self, tmp_path, text):
        path = tmp_path / 'scenario.toml'
        path.write_text(text)
        with pytest.raises(PapayalockError) as caught:
            read_scenario(path)
        assert caught.value.code == Code.INVALID
        assert str(path) in str(caught.value)

    def test_error_names_unknown_services(self, tmp_path):
        text = (SCENARIO_DIR / 'okwuosa.toml').read_text()
        path = tmp_path / 'scenario.toml'
        path.write_text(text.replace('service = "lot-', 'service = "no-'))
        with pytest.raises(PapayalockError, match='no-catalogue'):
            read_scenario(path)

    def test_error_names_a_missing_file(self, tmp_path):
        with pytest.raises(PapayalockError, match='none.toml'):
            read_scenario(tmp_path / 'none.toml')


class TestModel:
    def test_same_seed_gives_the_same_result(self):
        first, second = simulate(seed=3), simulate(seed=3)
        assert first.by_kind == second.by_kind
        assert first.by_kind != simulate(seed=4).by_kind

    def test_every_call_is_counted_once(self):
        result = simulate()
        for tallies in (result.by_kind, result.by_zone, result.by_second):
            calls = sum(tally.calls for tally in tallies.values())
            ended = sum(
                tally.in_time + tally.late + tally.refused + tally.failed
                for tally in tallies.values()
            )
            assert calls == ended
            assert calls == sum(
                tally.calls for tally in result.by_kind.values()
            )

    def test_summary_names_each_kind(self):
        summary = format_summary('present', [simulate(), simulate(seed=2)])
        assert 'bid-place' in summary
        assert 'history-pull' in summary


class TestCallers:
    """The bounds are the users' requirements, without a margin."""

    @pytest.mark.parametrize('name', ['okwuosa', 'qureshi'])
    def test_usual_load_refuses_at_most_one_call_in_100(self, name):
        result = simulate(name)
        refused = sum(tally.refused for tally in result.by_kind.values())
        calls = sum(tally.calls for tally in result.by_kind.values())
        assert refused <= calls / 100
        assert result.worth_share >= 0.95

    @pytest.mark.parametrize('name', ['okwuosa', 'qureshi'])
    @pytest.mark.parametrize('seed', [1, 2])
    def test_overload_refuses_no_call_while_a_server_is_idle(self, name, seed):
        assert simulate(name, seed, load=1.4).refused_with_idle_server == 0

    @pytest.mark.parametrize(
        ('name', 'urgent', 'less_urgent'),
        [
            ('okwuosa', 'bid-place', 'lot-view'),
            ('qureshi', 'deposit-activate', 'doc-check'),
        ],
    )
    def test_urgent_kind_is_served_no_less_than_a_less_urgent_one(
        self, name, urgent, less_urgent
    ):
        kinds = simulate(name, load=1.8).by_kind
        assert (
            served_share(kinds[urgent])
            >= served_share(kinds[less_urgent]) - 0.05
        )

    @pytest.mark.parametrize('seed', [1, 2])
    def test_overload_rarely_fails_calls_that_servers_work_on(self, seed):
        """Servers make calls while they hold a slot; refused ones waste it."""
        result = simulate('homeswap-grown', seed, load=1.2, seconds=3.0)
        failed = sum(tally.failed for tally in result.by_kind.values())
        calls = sum(tally.calls for tally in result.by_kind.values())
        assert failed <= calls / 100

    def test_overload_costs_at_most_three_times_the_tries(self):
        """A call, with the calls of its server, needs about 2.2 tries."""
        result = simulate('homeswap-grown', load=1.2, seconds=3.0)
        calls = sum(tally.calls for tally in result.by_kind.values())
        assert result.tries <= 3 * 2.2 * calls

    @pytest.mark.parametrize('seed', [1, 2])
    def test_full_links_leave_callers_nine_tenths_of_their_worth(self, seed):
        """Slots suffice here, but VMs of 2 Mbit/s have little room for asks."""
        result = simulate('homeswap-grown', seed, load=1.1, seconds=4.0)
        assert result.worth_share >= 0.9

    @pytest.mark.parametrize('name', ['okwuosa', 'qureshi'])
    def test_zones_get_similar_shares_of_their_worth(self, name):
        zones = simulate(name, load=1.4).by_zone.values()
        shares = [zone.worth / zone.max_worth for zone in zones]
        assert max(shares) - min(shares) <= 0.1

    @pytest.mark.parametrize('name', ['okwuosa', 'qureshi'])
    def test_product_beats_the_baselines_in_a_burst_with_a_fault(self, name):
        changes = {
            'bursts': [Burst(at=2.0, for_s=4.0, times=1.8)],
            'losses': [
                ServerFault(
                    at=3.0,
                    service=read_bundled_scenario(name).services[1].name,
                    count=1,
                    for_s=4.0,
                )
            ],
        }
        present = simulate(name, **changes).worth_share
        assert (
            present > simulate(name, variant='lot, fifo', **changes).worth_share
        )
        assert present > simulate(name, variant='fifo', **changes).worth_share


class TestCrashes:
    """Half of a service crashes at 2 s, and is back at 4 s."""

    @pytest.mark.parametrize('seed', [1, 2])
    def test_callers_are_served_once_crashed_servers_are_back(self, seed):
        crash = ServerCrash(
            at=2, service='auction-floor', count=3, for_s=2, up_s=3600
        )
        result = simulate(seed=seed, crashes=[crash])
        back = [result.by_second[second] for second in range(5, 10)]
        calls = sum(tally.calls for tally in back)
        served = sum(tally.in_time + tally.late for tally in back)
        assert served > 0.97 * calls
        assert served_share(result.by_second[2]) < 0.95
