"""Reading register and rules files, and the errors that operators see."""

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


def file_args(*paths) -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    add_file_arguments(parser)
    return parser.parse_args([str(path) for path in paths])


def problem_lines(capsys, command: str, *paths) -> list[str]:
    """Runs a command on files with errors; returns the problems it prints."""
    parsed = build_parser().parse_args([command, *map(str, paths)])
    assert parsed.run(parsed) == Code.INVALID
    return [
        line
        for line in capsys.readouterr().out.splitlines()
        if line != 'nothing was accepted'
    ]


@pytest.fixture
def folder(tmp_path, monkeypatch):
    """Changes to a directory with a valid register and valid rules."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / 'mesh.toml').write_text(REGISTER)
    (tmp_path / 'rules.toml').write_text(RULE)
    return tmp_path


class TestFiles:
    def test_missing_file_error_has_path_and_own_code(self, tmp_path):
        with pytest.raises(PapayalockError) as caught:
            read_text(tmp_path / 'none.toml')
        assert caught.value.code == Code.FILE_UNREADABLE
        assert 'none.toml: No such file' in str(caught.value)

    def test_non_utf8_file_error_has_path_and_offset(self, tmp_path):
        path = tmp_path / 'image.toml'
        path.write_bytes(b'mesh\xff')
        with pytest.raises(PapayalockError) as caught:
            read_text(path)
        assert 'image.toml: not UTF-8 text at byte 4' in str(caught.value)

    def test_byte_order_mark_and_crlf_are_accepted(self, tmp_path):
        path = tmp_path / 'register.toml'
        path.write_bytes(
            b'\xef\xbb\xbf' + REGISTER.replace('\n', '\r\n').encode()
        )
        assert read_inventory(file_args(path)).register.mesh == 'm'

    def test_rules_are_optional(self, tmp_path):
        path = tmp_path / 'register.toml'
        path.write_text(REGISTER)
        assert read_inventory(file_args(path)).rules.rules == []

    def test_duplicate_name_is_reported_with_other_errors(self):
        twice = REGISTER + REGISTER.removeprefix('mesh = "m"\n').replace(
            'slots = 1', 'slots = "many"'
        )
        _, problems = parse_inventory(twice, '')
        codes = {problem.code for problem in problems}
        assert {Code.BAD_VALUE, Code.DUPLICATE} <= codes

    def test_empty_rules_file_name_is_an_error(self, folder):
        with pytest.raises(PapayalockError):
            read_inventory(file_args('mesh.toml', ''))


@pytest.mark.parametrize('command', ['check', 'submit'])
class TestSyntax:
    def test_register_error_has_line_and_column(self, capsys, folder, command):
        (folder / 'mesh.toml').write_text(REGISTER + 'slots ==\n')
        assert problem_lines(capsys, command, 'mesh.toml') == [
            '400 SYNTAX mesh.toml:10:8: Invalid value'
        ]

    def test_file_is_named_as_on_the_command_line(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text('mesh ==\n')
        for path in ('./mesh.toml', f'..//{folder.name}/mesh.toml'):
            assert problem_lines(capsys, command, path) == [
                f'400 SYNTAX {path}:1:7: Invalid value'
            ]

    def test_rules_error_names_the_rules_file(self, capsys, folder, command):
        (folder / 'rules.toml').write_text(RULE + 'value = x\n')
        assert problem_lines(capsys, command, 'mesh.toml', 'rules.toml') == [
            '400 SYNTAX rules.toml:6:9: Invalid value'
        ]

    def test_errors_of_both_files_are_reported_together(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text('mesh = \n')
        (folder / 'rules.toml').write_text('[[rule')
        assert problem_lines(capsys, command, 'mesh.toml', 'rules.toml') == [
            '400 SYNTAX mesh.toml:1:8: Invalid value',
            "400 SYNTAX rules.toml:1:7: Expected ']]' at the end of an array declaration",
        ]

    @pytest.mark.parametrize('end', ['', '\n'])
    def test_error_at_end_of_file_is_on_the_last_line(
        self, capsys, folder, command, end
    ):
        (folder / 'mesh.toml').write_text(REGISTER + 'callers = ["a",' + end)
        assert problem_lines(capsys, command, 'mesh.toml') == [
            '400 SYNTAX mesh.toml:10:16: Invalid value'
        ]

    def test_byte_order_mark_and_crlf_do_not_shift_positions(
        self, capsys, folder, command
    ):
        text = ('mesh ==\n' + REGISTER).replace('\n', '\r\n').encode()
        (folder / 'mesh.toml').write_bytes(BOM + text)
        assert problem_lines(capsys, command, 'mesh.toml') == [
            '400 SYNTAX mesh.toml:1:7: Invalid value'
        ]


@pytest.mark.parametrize('command', ['check', 'submit'])
class TestValidation:
    def test_empty_register_error_names_the_file(self, capsys, folder, command):
        (folder / 'mesh.toml').write_bytes(b'')
        assert '402 BAD_VALUE mesh.toml: mesh: missing' in problem_lines(
            capsys, command, 'mesh.toml'
        )

    def test_empty_rules_are_valid(self, folder, command):
        (folder / 'rules.toml').write_bytes(b'')
        parsed = build_parser().parse_args([command, 'mesh.toml', 'rules.toml'])
        assert read_inventory(parsed).rules.rules == []

    def test_bad_value_has_the_line_of_its_service(
        self, capsys, folder, command
    ):
        second = REGISTER.removeprefix('mesh = "m"\n').replace('"a"', '"b"')
        (folder / 'mesh.toml').write_text(
            REGISTER + second.replace('slots = 1', 'slots = "many"')
        )
        assert problem_lines(capsys, command, 'mesh.toml') == [
            '402 BAD_VALUE mesh.toml:10: services[b].slots: Expected `int`, got `str`'
        ]

    def test_unnamed_service_has_the_line_of_its_table_header(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text(
            REGISTER + '[[ service ]] # second\nslots = 1\nconnections = 1\n'
        )
        assert (
            '402 BAD_VALUE mesh.toml:10: services[1].name: missing'
            in problem_lines(capsys, command, 'mesh.toml')
        )

    def test_unknown_key_in_rules_names_the_rules_file(
        self, capsys, folder, command
    ):
        (folder / 'rules.toml').write_text('mesh = "m"\n' + RULE)
        (line,) = problem_lines(capsys, command, 'mesh.toml', 'rules.toml')
        assert line.startswith('401 UNKNOWN_KEY rules.toml: mesh: unknown key')

    def test_rule_error_has_the_line_of_the_rule(self, capsys, folder, command):
        second = RULE.replace('"r"', '"s"').replace('"a"', '"gone"')
        (folder / 'rules.toml').write_text('\n' + RULE + '\n' + second)
        assert problem_lines(capsys, command, 'mesh.toml', 'rules.toml') == [
            '404 MISSING_SERVICE rules.toml:8: rule[s]: service gone is not in the register'
        ]

    def test_service_error_has_the_line_of_the_service(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text(
            REGISTER.replace('slots', 'callers = ["ghost"]\nslots')
        )
        assert problem_lines(capsys, command, 'mesh.toml') == [
            '409 MISSING_CALLER mesh.toml:2: service[a]: caller ghost is not in the register'
        ]

    def test_duplicate_name_has_the_line_of_its_last_use(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text(
            REGISTER + REGISTER.removeprefix('mesh = "m"\n')
        )
        assert problem_lines(capsys, command, 'mesh.toml') == [
            '403 DUPLICATE mesh.toml:10: service[a]: name is used twice'
        ]

    def test_error_in_a_duplicated_service_has_no_line(
        self, capsys, folder, command
    ):
        second = REGISTER.removeprefix('mesh = "m"\n').replace(
            'slots = 1', 'slots = 0'
        )
        (folder / 'mesh.toml').write_text(REGISTER + second)
        lines = problem_lines(capsys, command, 'mesh.toml')
        assert lines[0].startswith('402 BAD_VALUE mesh.toml: services[a].slots')
        assert lines[1].startswith('403 DUPLICATE mesh.toml:10: service[a]')

    def test_inline_service_tables_have_no_line(self, capsys, folder, command):
        (folder / 'mesh.toml').write_text(
            'mesh = "m"\nservice = [{name = "a", slots = 1}]\n'
        )
        lines = problem_lines(capsys, command, 'mesh.toml')
        assert (
            '402 BAD_VALUE mesh.toml: services[a].connections: missing' in lines
        )
        assert all(' mesh.toml: ' in line for line in lines)

    def test_table_header_inside_a_string_gives_no_wrong_line(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text(
            'mesh = """\n[[service]]\n"""\n[[service]]\nname = "a"\n'
        )
        lines = problem_lines(capsys, command, 'mesh.toml')
        assert '402 BAD_VALUE mesh.toml: services[a].slots: missing' in lines

    def test_rule_table_in_the_register_does_not_shift_lines(
        self, capsys, folder, command
    ):
        text = REGISTER.replace('slots = 1', 'slots = "many"')
        (folder / 'mesh.toml').write_text(
            text.replace('[[service]]', RULE + '[[service]]')
        )
        lines = problem_lines(capsys, command, 'mesh.toml')
        assert any(' mesh.toml:7: services[a].slots' in line for line in lines)

    @pytest.mark.parametrize(
        'text', ['service = 1', '[service]\nname = "a"', 'service = [1]']
    )
    def test_services_that_are_not_tables_are_reported(
        self, capsys, folder, command, text
    ):
        (folder / 'mesh.toml').write_text('mesh = "m"\n' + text)
        lines = problem_lines(capsys, command, 'mesh.toml')
        assert any('402 BAD_VALUE mesh.toml' in line for line in lines)

    def test_error_with_line_breaks_is_printed_on_one_line(
        self, capsys, folder, command
    ):
        (folder / 'mesh.toml').write_text(
            REGISTER.replace('"a"', '"a\\nb"') + '"odd\\nkey" = 1\n'
        )
        lines = problem_lines(capsys, command, 'mesh.toml')
        assert len(lines) == 2
        assert all(' mesh.toml' in line for line in lines)


class RefusingClient:
    """Stub of `ControlClient`: control VMs that refuse every submission."""

    def __init__(self, response: dict) -> None:
        self.response = response

    def get_all(self, path: str) -> list:
        return []

    def post(self, path: str, body: dict) -> dict:
        return self.response


class TestRefusal:
    def refusal_lines(self, monkeypatch, capsys, response: dict) -> list[str]:
        monkeypatch.setattr(
            submit, 'client_from_args', lambda _: RefusingClient(response)
        )
        parsed = build_parser().parse_args(
            ['submit', './mesh.toml', 'rules.toml', '--yes']
        )
        assert submit.run(parsed) == response['code']
        return capsys.readouterr().out.splitlines()[1:]

    def test_problems_found_by_the_control_vm_name_the_file(
        self, capsys, folder, monkeypatch
    ):
        problems = [
            {'code': 403, 'where': 'service[a]', 'message': 'odd'},
            {'code': 408, 'where': 'rule[r]', 'message': 'even'},
        ]
        response = {'code': 301, 'message': '', 'problems': problems}
        assert self.refusal_lines(monkeypatch, capsys, response) == [
            '403 DUPLICATE ./mesh.toml: service[a]: odd',
            '408 RULE_FIELD rules.toml: rule[r]: even',
            '301 INVALID: nothing was accepted',
        ]

    def test_other_refusals_do_not_name_a_file(
        self, capsys, folder, monkeypatch
    ):
        response = {'code': 300, 'message': 'current is 5'}
        assert self.refusal_lines(monkeypatch, capsys, response) == [
            '300 CONFLICT: current is 5'
        ]
