"""The settings templates, rendered with values of several deployments."""

import re
from pathlib import Path

import pytest

from papayalock.config import load_settings

DEPLOY = Path(__file__).resolve().parent.parent / 'deploy'
SEEDS = ['10.1.0.1:7', '10.2.0.1:7']
ZONES = {'a': 'lagos', 'b-2': 'kano'}
VALUES = {
    'node': 'sidecar-a-1',
    'zone': 'a',
    'listen.inbound': '10.1.0.2:1',
    'listen.outbound': '10.1.0.2:2',
    'listen.ready': '10.1.0.2:3',
    'listen.control': '10.1.0.2:4',
    'heartbeat_interval': '500ms',
    'internal_ports.0': '7660',
    'app_address': '10.1.0.2:9',
    'service': 'fihu50a',
    'data_dir': '/data',
    'bootstrap|json': 'true',
    'bounds.config_apply': '2000ms',
    'bounds.drain': '2000ms',
    'bounds.grace': '6s',
    'bounds.budget_window': '10s',
    'bounds.retry_budget_ratio|json': '0.2',
    'bounds.budget_min_retries|json': '62',
}
OVERRIDES = [
    {},
    {'bounds.budget_min_retries|json': '51.2'},
    {'bounds.budget_min_retries|json': '0'},
    {'bounds.retry_budget_ratio|json': '0.05'},
    {'bounds.retry_budget_ratio|json': '1'},
    {'bounds.grace': '4.5s', 'bounds.drain': '1500.5ms'},
    {'heartbeat_interval': '1s'},
]


SECTION = re.compile(
    r'\{\{#((?:bounds|limits|fault_tolerance)\..+?)\}\}(.*?)\{\{/\1\}\}',
    re.DOTALL,
)


def render(template: str, values: dict[str, str]) -> str:
    def seeds(found: re.Match[str]) -> str:
        item = found[1].removesuffix('{{,}}')
        return ', '.join(item.replace('{{.}}', seed) for seed in SEEDS)

    def section(found: re.Match[str]) -> str:
        return found[2] if f'{found[1]}|json' in values else ''

    def zones(found: re.Match[str]) -> str:
        return ''.join(
            found[1].replace('{{@}}', zone).replace('{{.}}', region)
            for zone, region in ZONES.items()
        )

    text = re.sub(SECTION, section, template)
    text = re.sub(
        r'\{\{#zones\}\}(.*?)\{\{/zones\}\}', zones, text, flags=re.DOTALL
    )
    text = re.sub(r'\{\{#seeds\}\}(.*?)\{\{/seeds\}\}', seeds, text)
    return re.sub(r'\{\{(.+?)\}\}', lambda found: values[found[1]], text)


class TestTemplates:
    @pytest.mark.parametrize('overrides', OVERRIDES)
    @pytest.mark.parametrize('name', ['node', 'control'])
    def test_a_rendered_template_has_valid_settings(
        self, tmp_path, name, overrides
    ):
        template = (DEPLOY / f'{name}.toml.in').read_text()
        path = tmp_path / f'{name}.toml'
        path.write_text(render(template, {**VALUES, **overrides}))
        settings = load_settings(path)
        assert settings.control.addresses == SEEDS

    @pytest.mark.parametrize('mbps', [None, 5.5, 1000.0])
    def test_nodes_know_the_rate_of_their_link_where_it_is_told(
        self, tmp_path, mbps
    ):
        template = (DEPLOY / 'node.toml.in').read_text()
        path = tmp_path / 'node.toml'
        overrides = {'limits.link_mbps|json': str(mbps)} if mbps else {}
        path.write_text(render(template, {**VALUES, **overrides}))
        assert load_settings(path).hosts.link_mbps == (mbps or 0)

    @pytest.mark.parametrize('window', [None, '5s'])
    @pytest.mark.parametrize('name', ['node', 'control'])
    def test_quotas_are_on_where_the_deployment_bounds_them(
        self, tmp_path, name, window
    ):
        template = (DEPLOY / f'{name}.toml.in').read_text()
        path = tmp_path / f'{name}.toml'
        overrides = {'bounds.quota_window|json': window} if window else {}
        path.write_text(render(template, {**VALUES, **overrides}))
        assert load_settings(path).quotas.port == (7660 if window else 0)

    # Nobody read how many control VMs may be lost at the same time.
    @pytest.mark.parametrize('lost', [None, 0, 1, 2, 12])
    def test_voters_follow_the_losses_that_the_deployment_tolerates(
        self, tmp_path, lost
    ):
        template = (DEPLOY / 'control.toml.in').read_text()
        path = tmp_path / 'control.toml'
        overrides = {
            f'fault_tolerance.{kind}|json': str(lost)
            for kind in ('machines', 'zones', 'regions')
            if lost is not None
        }
        path.write_text(render(template, {**VALUES, **overrides}))
        control = load_settings(path).control
        told = (1, 0, 0) if lost is None else (lost, lost, lost)
        tolerance = control.tolerance
        assert (tolerance.vms, tolerance.zones, tolerance.regions) == told
        assert control.regions == ZONES

    @pytest.mark.parametrize('share', [None, 0.1])
    def test_rollouts_are_on_where_the_deployment_bounds_exposure(
        self, tmp_path, share
    ):
        template = (DEPLOY / 'control.toml.in').read_text()
        path = tmp_path / 'control.toml'
        overrides = {'bounds.exposure_share|json': str(share)} if share else {}
        path.write_text(render(template, {**VALUES, **overrides}))
        assert load_settings(path).rollouts.exposure_share == (share or 0)

    @pytest.mark.parametrize('closed', [False, True])
    def test_a_node_out_of_touch_does_what_the_deployment_says(
        self, tmp_path, closed
    ):
        template = (DEPLOY / 'node.toml.in').read_text()
        path = tmp_path / 'node.toml'
        overrides = {
            'bounds.revoke': '3000ms',
            'bounds.revoke|json': '"3000ms"',
            'bounds.fail_closed|json': str(closed).lower(),
        }
        path.write_text(render(template, {**VALUES, **overrides}))
        customers = load_settings(path).customers
        assert (customers.fail_closed, customers.revoke_ms) == (closed, 3000)

    def test_the_retry_budget_is_taken_from_the_deployment(self, tmp_path):
        template = (DEPLOY / 'node.toml.in').read_text()
        path = tmp_path / 'node.toml'
        overrides = {
            'bounds.retry_budget_ratio|json': '0.05',
            'bounds.budget_min_retries|json': '51.2',
        }
        path.write_text(render(template, {**VALUES, **overrides}))
        retry = load_settings(path).retry
        assert (retry.window_share, retry.window_floor) == (0.05, 51.2)
