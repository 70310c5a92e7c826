"""The load model, and what callers get on the heaviest hours it plays."""

import pytest

from bench.loadmodel.__main__ import VARIANTS, report
from bench.loadmodel.model import Mesh
from bench.loadmodel.scenario import (
    FOLDER,
    Burst,
    Loss,
    Scenario,
    named,
    read_scenario,
)
from papayalock.result import Code, PapayalockError

SECONDS = 10.0


def play(name='okwuosa', seed=1, variant='present', **changes):
    scenario = named(name)
    for key, changed in {'seconds': SECONDS, **changes}.items():
        setattr(scenario, key, changed)
    return Mesh(scenario, seed, VARIANTS[variant]).run()


def served(tally):
    return (tally.in_time + tally.late) / tally.asked


class TestScenario:
    @pytest.mark.parametrize('name', ['okwuosa', 'qureshi', 'okwuosa-grown'])
    def test_those_that_come_with_it_can_be_read(self, name):
        assert isinstance(named(name), Scenario)

    @pytest.mark.parametrize(
        'text',
        [
            '',
            'seconds = "long"',
            'seconds = [',
            'seconds = 1.0\nzones = ["a"]\nservices = []\nkinds = []',
        ],
    )
    def test_one_that_cannot_be_used_is_named(self, tmp_path, text):
        path = tmp_path / 'scenario.toml'
        path.write_text(text)
        with pytest.raises(PapayalockError) as caught:
            read_scenario(path)
        assert caught.value.code == Code.INVALID
        assert str(path) in str(caught.value)

    def test_unknown_services_are_named(self, tmp_path):
        text = (FOLDER / 'okwuosa.toml').read_text()
        path = tmp_path / 'scenario.toml'
        path.write_text(text.replace('service = "lot-', 'service = "no-'))
        with pytest.raises(PapayalockError, match='no-catalogue'):
            read_scenario(path)

    def test_a_missing_file_is_named(self, tmp_path):
        with pytest.raises(PapayalockError, match='none.toml'):
            read_scenario(tmp_path / 'none.toml')


class TestModel:
    def test_a_seed_repeats(self):
        one, two = play(seed=3), play(seed=3)
        assert one.by_kind == two.by_kind
        assert one.by_kind != play(seed=4).by_kind

    def test_every_call_is_counted_once(self):
        figures = play()
        for tallies in (figures.by_kind, figures.by_zone, figures.by_second):
            asked = sum(one.asked for one in tallies.values())
            ended = sum(
                one.in_time + one.late + one.refused + one.failed
                for one in tallies.values()
            )
            assert asked == ended
            assert asked == sum(one.asked for one in figures.by_kind.values())

    def test_a_report_names_each_kind(self):
        told = report('present', [play(), play(seed=2)])
        assert 'bid-place' in told
        assert 'history-pull' in told


class TestCallers:
    """Bounds are the users': served as the sheet says, nothing held back."""

    @pytest.mark.parametrize('name', ['okwuosa', 'qureshi'])
    def test_a_usual_day_refuses_next_to_nothing(self, name):
        figures = play(name)
        refused = sum(one.refused for one in figures.by_kind.values())
        asked = sum(one.asked for one in figures.by_kind.values())
        assert refused <= asked / 100
        assert figures.worth >= 0.95

    @pytest.mark.parametrize('name', ['okwuosa', 'qureshi'])
    @pytest.mark.parametrize('seed', [1, 2])
    def test_under_load_nobody_is_refused_with_a_server_idle(self, name, seed):
        assert play(name, seed, load=1.4).idle_refusals == 0

    @pytest.mark.parametrize(
        ('name', 'urgent', 'patient'),
        [
            ('okwuosa', 'bid-place', 'lot-view'),
            ('qureshi', 'deposit-activate', 'doc-check'),
        ],
    )
    def test_no_kind_is_served_behind_a_less_urgent_one(
        self, name, urgent, patient
    ):
        kinds = play(name, load=1.8).by_kind
        assert served(kinds[urgent]) >= served(kinds[patient]) - 0.05

    @pytest.mark.parametrize('name', ['okwuosa', 'qureshi'])
    def test_zones_are_served_alike(self, name):
        zones = play(name, load=1.4).by_zone.values()
        shares = [one.worth / one.owed for one in zones]
        assert max(shares) - min(shares) <= 0.1

    @pytest.mark.parametrize('name', ['okwuosa', 'qureshi'])
    def test_callers_get_more_than_by_lot_and_in_turn(self, name):
        changes = {
            'bursts': [Burst(at=2.0, for_s=4.0, times=1.8)],
            'losses': [
                Loss(
                    at=3.0,
                    service=named(name).services[1].name,
                    count=1,
                    for_s=4.0,
                )
            ],
        }
        present = play(name, **changes).worth
        assert present > play(name, variant='lot, fifo', **changes).worth
        assert present > play(name, variant='fifo', **changes).worth
