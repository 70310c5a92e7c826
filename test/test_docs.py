"""Tests that generated code and documentation match their sources."""

import json
from pathlib import Path

import pytest

from papayalock.result import Code
from tools import capacity, generate

ROOT = Path(__file__).resolve().parent.parent


class TestGeneratedCode:
    @pytest.mark.parametrize('name', ['messages', 'settings'])
    def test_committed_code_matches_the_schema(self, name):
        assert (
            generate.render(name)
            == (ROOT / 'papayalock' / f'{name}.py').read_text()
        )


class TestDocumentation:
    def test_every_result_code_is_documented(self):
        lines = (ROOT / 'docs' / 'result-codes.rst').read_text().splitlines()
        documented = {
            tuple(line.split()[:2]) for line in lines if line[:1].isdigit()
        }
        assert documented >= {(str(code.value), code.name) for code in Code}

    def test_capacity_page_matches_the_measured_slopes(self):
        document = json.loads(capacity.SLOPES.read_text())
        page = capacity.PAGE.read_text()
        assert capacity.render(page, document) == page

    def test_every_page_in_the_index_exists(self):
        text = (ROOT / 'docs' / 'index.rst').read_text()
        names = [part.split('`')[0] for part in text.split(':doc:`')[1:]]
        assert len(names) > 10
        assert all((ROOT / 'docs' / f'{name}.rst').exists() for name in names)
