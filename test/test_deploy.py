"""The settings templates, rendered as for deployments of other sizes."""

import re
from pathlib import Path

import pytest

from papayalock.config import load_settings

DEPLOY = Path(__file__).resolve().parent.parent / 'deploy'
SEEDS = ['10.1.0.1:7', '10.2.0.1:7']
FACTS = {
    'node': 'sidecar-a-1',
    'zone': 'a',
    'listen.inbound': '10.1.0.2:1',
    'listen.outbound': '10.1.0.2:2',
    'listen.ready': '10.1.0.2:3',
    'listen.control': '10.1.0.2:4',
    'heartbeat_interval': '500ms',
    'app_address': '10.1.0.2:9',
    'service': 'fihu50a',
    'data_dir': '/data',
    'bootstrap|json': 'true',
    'bounds.drain': '2000ms',
    'bounds.grace': '6s',
    'bounds.budget_window': '10s',
    'bounds.retry_budget_ratio|json': '0.2',
    'bounds.budget_min_retries|json': '62',
}
OTHERS = [
    {},
    {'bounds.budget_min_retries|json': '51.2'},
    {'bounds.budget_min_retries|json': '0'},
    {'bounds.retry_budget_ratio|json': '0.05'},
    {'bounds.retry_budget_ratio|json': '1'},
    {'bounds.grace': '4.5s', 'bounds.drain': '1500.5ms'},
    {'heartbeat_interval': '1s'},
]


def render(template: str, facts: dict[str, str]) -> str:
    def seeds(found: re.Match[str]) -> str:
        one = found[1].removesuffix('{{,}}')
        return ', '.join(one.replace('{{.}}', seed) for seed in SEEDS)

    text = re.sub(r'\{\{#seeds\}\}(.*?)\{\{/seeds\}\}', seeds, template)
    return re.sub(r'\{\{(.+?)\}\}', lambda found: facts[found[1]], text)


class TestTemplates:
    @pytest.mark.parametrize('other', OTHERS)
    @pytest.mark.parametrize('name', ['node', 'control'])
    def test_settings_of_any_deployment_can_be_used(
        self, tmp_path, name, other
    ):
        template = (DEPLOY / f'{name}.toml.in').read_text()
        path = tmp_path / f'{name}.toml'
        path.write_text(render(template, {**FACTS, **other}))
        settings = load_settings(path)
        assert settings.control.addresses == SEEDS

    def test_the_budget_is_the_deployments_own(self, tmp_path):
        template = (DEPLOY / 'node.toml.in').read_text()
        path = tmp_path / 'node.toml'
        other = {
            'bounds.retry_budget_ratio|json': '0.05',
            'bounds.budget_min_retries|json': '51.2',
        }
        path.write_text(render(template, {**FACTS, **other}))
        retry = load_settings(path).retry
        assert (retry.window_share, retry.window_floor) == (0.05, 51.2)
