"""Files that operators name: errors for people, and texts of other editors."""

import argparse

import pytest

from papayalock.core.inventory import parse_inventory
from papayalock.result import Code, PapayalockError
from papayalock.ui import build_parser, submit
from papayalock.ui.files import add_file_arguments, read_inventory, read_text

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
RULE = """[[rule]]
name = "r"
action = "deny"
service = "a"
caller = "a"
"""
BOM = b'\xef\xbb\xbf'


def args(*paths) -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    add_file_arguments(parser)
    return parser.parse_args([str(path) for path in paths])


def told(capsys, command: str, *paths) -> list[str]:
    """Returns what a command prints about files that have errors."""
    parsed = build_parser().parse_args([command, *map(str, paths)])
    assert parsed.run(parsed) == Code.INVALID
    return [
        line
        for line in capsys.readouterr().out.splitlines()
        if line != 'nothing was accepted'
    ]


@pytest.fixture
def folder(tmp_path, monkeypatch):
    """A folder to run commands in, with a sound register and rules."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / 'mesh.toml').write_text(REGISTER)
    (tmp_path / 'rules.toml').write_text(RULE)
    return tmp_path


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

    def test_a_file_name_that_is_empty_is_not_left_out(self, folder):
        with pytest.raises(PapayalockError):
            read_inventory(args('mesh.toml', ''))


@pytest.mark.parametrize('command', ['check', 'submit'])
class TestSyntax:
    def test_the_register_is_named_with_line_and_column(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text(REGISTER + 'slots ==\n')
        assert told(capsys, command, 'mesh.toml') == [
            '400 SYNTAX mesh.toml:10:8: Invalid value'
        ]

    def test_the_file_is_named_as_it_was_given(self, capsys, folder, command):
        (folder / 'mesh.toml').write_text('mesh ==\n')
        for given in ('./mesh.toml', f'..//{folder.name}/mesh.toml'):
            assert told(capsys, command, given) == [
                f'400 SYNTAX {given}:1:7: Invalid value'
            ]

    def test_rules_are_named_beside_a_good_register(
        self, capsys, folder, command
    ):
        (folder / 'rules.toml').write_text(RULE + 'value = x\n')
        assert told(capsys, command, 'mesh.toml', 'rules.toml') == [
            '400 SYNTAX rules.toml:6:9: Invalid value'
        ]

    def test_both_files_are_told_at_once(self, capsys, folder, command):
        (folder / 'mesh.toml').write_text('mesh = \n')
        (folder / 'rules.toml').write_text('[[rule')
        assert told(capsys, command, 'mesh.toml', 'rules.toml') == [
            '400 SYNTAX mesh.toml:1:8: Invalid value',
            "400 SYNTAX rules.toml:1:7: Expected ']]' at the end of an array declaration",
        ]

    @pytest.mark.parametrize('end', ['', '\n'])
    def test_the_end_of_a_file_is_its_last_line(
        self, capsys, folder, command, end
    ):
        (folder / 'mesh.toml').write_text(REGISTER + 'callers = ["a",' + end)
        assert told(capsys, command, 'mesh.toml') == [
            '400 SYNTAX mesh.toml:10:16: Invalid value'
        ]

    def test_a_mark_and_other_line_ends_move_no_place(
        self, capsys, folder, command
    ):
        text = ('mesh ==\n' + REGISTER).replace('\n', '\r\n').encode()
        (folder / 'mesh.toml').write_bytes(BOM + text)
        assert told(capsys, command, 'mesh.toml') == [
            '400 SYNTAX mesh.toml:1:7: Invalid value'
        ]


@pytest.mark.parametrize('command', ['check', 'submit'])
class TestMeaning:
    def test_an_empty_register_is_named(self, capsys, folder, command):
        (folder / 'mesh.toml').write_bytes(b'')
        assert '402 BAD_VALUE mesh.toml: mesh: missing' in told(
            capsys, command, 'mesh.toml'
        )

    def test_empty_rules_are_no_error(self, folder, command):
        (folder / 'rules.toml').write_bytes(b'')
        parsed = build_parser().parse_args([command, 'mesh.toml', 'rules.toml'])
        assert read_inventory(parsed).rules.rules == []

    def test_a_bad_value_has_the_line_of_its_service(
        self, capsys, folder, command
    ):
        second = REGISTER.removeprefix('mesh = "m"\n').replace('"a"', '"b"')
        (folder / 'mesh.toml').write_text(
            REGISTER + second.replace('slots = 1', 'slots = "many"')
        )
        assert told(capsys, command, 'mesh.toml') == [
            '402 BAD_VALUE mesh.toml:10: services[b].slots: Expected `int`, got `str`'
        ]

    def test_a_service_without_a_name_has_the_line_of_its_heading(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text(
            REGISTER + '[[ service ]] # second\nslots = 1\nconnections = 1\n'
        )
        assert '402 BAD_VALUE mesh.toml:10: services[1].name: missing' in told(
            capsys, command, 'mesh.toml'
        )

    def test_a_key_of_the_rules_names_the_rules(self, capsys, folder, command):
        (folder / 'rules.toml').write_text('mesh = "m"\n' + RULE)
        (line,) = told(capsys, command, 'mesh.toml', 'rules.toml')
        assert line.startswith('401 UNKNOWN_KEY rules.toml: mesh: unknown key')

    def test_a_fault_of_a_rule_has_the_line_of_the_rule(
        self, capsys, folder, command
    ):
        second = RULE.replace('"r"', '"s"').replace('"a"', '"gone"')
        (folder / 'rules.toml').write_text('\n' + RULE + '\n' + second)
        assert told(capsys, command, 'mesh.toml', 'rules.toml') == [
            '404 MISSING_SERVICE rules.toml:8: rule[s]: service gone is not in the register'
        ]

    def test_a_fault_of_a_service_has_the_line_of_the_service(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text(
            REGISTER.replace('slots', 'callers = ["ghost"]\nslots')
        )
        assert told(capsys, command, 'mesh.toml') == [
            '409 MISSING_CALLER mesh.toml:2: service[a]: caller ghost is not in the register'
        ]

    def test_a_name_used_twice_has_its_last_line(self, capsys, folder, command):
        (folder / 'mesh.toml').write_text(
            REGISTER + REGISTER.removeprefix('mesh = "m"\n')
        )
        assert told(capsys, command, 'mesh.toml') == [
            '403 DUPLICATE mesh.toml:10: service[a]: name is used twice'
        ]

    def test_a_fault_in_one_of_two_namesakes_has_no_line(
        self, capsys, folder, command
    ):
        second = REGISTER.removeprefix('mesh = "m"\n').replace(
            'slots = 1', 'slots = 0'
        )
        (folder / 'mesh.toml').write_text(REGISTER + second)
        lines = told(capsys, command, 'mesh.toml')
        assert lines[0].startswith('402 BAD_VALUE mesh.toml: services[a].slots')
        assert lines[1].startswith('403 DUPLICATE mesh.toml:10: service[a]')

    def test_services_in_line_have_no_line(self, capsys, folder, command):
        (folder / 'mesh.toml').write_text(
            'mesh = "m"\nservice = [{name = "a", slots = 1}]\n'
        )
        lines = told(capsys, command, 'mesh.toml')
        assert (
            '402 BAD_VALUE mesh.toml: services[a].connections: missing' in lines
        )
        assert all(' mesh.toml: ' in line for line in lines)

    def test_a_heading_inside_a_text_gives_no_wrong_line(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text(
            'mesh = """\n[[service]]\n"""\n[[service]]\nname = "a"\n'
        )
        lines = told(capsys, command, 'mesh.toml')
        assert '402 BAD_VALUE mesh.toml: services[a].slots: missing' in lines

    def test_a_rule_in_the_register_moves_no_line(
        self, capsys, folder, command
    ):
        text = REGISTER.replace('slots = 1', 'slots = "many"')
        (folder / 'mesh.toml').write_text(
            text.replace('[[service]]', RULE + '[[service]]')
        )
        lines = told(capsys, command, 'mesh.toml')
        assert any(' mesh.toml:7: services[a].slots' in line for line in lines)

    @pytest.mark.parametrize(
        'text', ['service = 1', '[service]\nname = "a"', 'service = [1]']
    )
    def test_services_that_are_no_tables_are_told(
        self, capsys, folder, command, text
    ):
        (folder / 'mesh.toml').write_text('mesh = "m"\n' + text)
        lines = told(capsys, command, 'mesh.toml')
        assert any('402 BAD_VALUE mesh.toml' in line for line in lines)

    def test_an_error_stands_on_one_line(self, capsys, folder, command):
        (folder / 'mesh.toml').write_text(
            REGISTER.replace('"a"', '"a\\nb"') + '"odd\\nkey" = 1\n'
        )
        lines = told(capsys, command, 'mesh.toml')
        assert len(lines) == 2
        assert all(' mesh.toml' in line for line in lines)


class Refusing:
    """Stands in for control VMs that refuse a submission."""

    def __init__(self, answer: dict) -> None:
        self.answer = answer

    def get_all(self, path: str) -> list:
        return []

    def post(self, path: str, body: dict) -> dict:
        return self.answer


class TestRefusal:
    def refused(self, monkeypatch, capsys, answer: dict) -> list[str]:
        monkeypatch.setattr(
            submit, 'client_from_args', lambda _: Refusing(answer)
        )
        parsed = build_parser().parse_args(
            ['submit', './mesh.toml', 'rules.toml', '--yes']
        )
        assert submit.run(parsed) == answer['code']
        return capsys.readouterr().out.splitlines()[1:]

    def test_what_the_control_vm_finds_names_the_file(
        self, capsys, folder, monkeypatch
    ):
        problems = [
            {'code': 403, 'where': 'service[a]', 'message': 'odd'},
            {'code': 408, 'where': 'rule[r]', 'message': 'even'},
        ]
        answer = {'code': 301, 'message': '', 'problems': problems}
        assert self.refused(monkeypatch, capsys, answer) == [
            '403 DUPLICATE ./mesh.toml: service[a]: odd',
            '408 RULE_FIELD rules.toml: rule[r]: even',
            '301 INVALID: nothing was accepted',
        ]

    def test_other_refusals_name_no_file(self, capsys, folder, monkeypatch):
        answer = {'code': 300, 'message': 'current is 5'}
        assert self.refused(monkeypatch, capsys, answer) == [
            '300 CONFLICT: current is 5'
        ]
