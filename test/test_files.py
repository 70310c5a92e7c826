"""Files that operators name: errors for people, and texts of other editors."""

import argparse

import pytest

from papayalock.core.inventory import parse_inventory
from papayalock.result import Code, PapayalockError
from papayalock.ui.files import add_files, read_inventory, read_text

REGISTER = """mesh = "m"
[[service]]
name = "a"
slots = 1
connections = 1
[[service.operation]]
name = "get"
method = "GET"
path = "/a"
"""


def args(*paths) -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    add_files(parser)
    return parser.parse_args([str(path) for path in paths])


class TestFiles:
    def test_a_missing_file_is_named_and_is_no_syntax_error(self, tmp_path):
        with pytest.raises(PapayalockError) as caught:
            read_text(tmp_path / 'none.toml')
        assert caught.value.code == Code.FILE_UNREADABLE
        assert 'none.toml: No such file' in str(caught.value)

    def test_a_file_that_is_no_text_is_named(self, tmp_path):
        path = tmp_path / 'image.toml'
        path.write_bytes(b'mesh\xff')
        with pytest.raises(PapayalockError) as caught:
            read_text(path)
        assert 'image.toml: not UTF-8 text at byte 4' in str(caught.value)

    def test_a_byte_order_mark_and_other_line_ends_are_accepted(self, tmp_path):
        path = tmp_path / 'register.toml'
        path.write_bytes(
            b'\xef\xbb\xbf' + REGISTER.replace('\n', '\r\n').encode()
        )
        assert read_inventory(args(path)).register.mesh == 'm'

    def test_rules_may_be_left_out(self, tmp_path):
        path = tmp_path / 'register.toml'
        path.write_text(REGISTER)
        assert read_inventory(args(path)).rules.rules == []

    def test_a_name_used_twice_is_told_beside_other_errors(self):
        twice = REGISTER + REGISTER.removeprefix('mesh = "m"\n').replace(
            'slots = 1', 'slots = "many"'
        )
        _, problems = parse_inventory(twice, '')
        codes = {problem.code for problem in problems}
        assert {Code.BAD_VALUE, Code.DUPLICATE} <= codes
