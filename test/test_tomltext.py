"""TOML errors: location and reason, whatever the parser's wording."""

import pytest

from papayalock.core.tomltext import TomlError, error_from_message, parse_toml


def fault(text: str) -> TomlError:
    with pytest.raises(TomlError) as caught:
        parse_toml(text)
    return caught.value


class TestLocation:
    @pytest.mark.parametrize(
        ('text', 'line', 'column', 'reason'),
        [
            ('a = 1\nb == 2\n', 2, 4, 'Invalid value'),
            ('a = 1\r\nb == 2\r\n', 2, 4, 'Invalid value'),
            ('a = 1\na = 2\n', 2, 6, 'Cannot overwrite a value'),
            ('a = 1\nb = \n', 2, 5, 'Invalid value'),
        ],
    )
    def test_line_and_column_are_taken_from_the_message(
        self, text, line, column, reason
    ):
        exc = fault(text)
        assert (exc.line, exc.column, exc.reason) == (line, column, reason)

    @pytest.mark.parametrize(
        ('text', 'line', 'column'),
        [
            ('a = ', 1, 5),
            ('a = 1\nb = [1,', 2, 8),
            ('a = 1\nb = [1,\n', 2, 8),
            ('a = 1\r\nb = [1,\r\n', 2, 8),
            ('a = 1\nb = [\n\n', 3, 1),
            ('# \u2028 is no line end\na = [', 2, 6),
        ],
    )
    def test_the_end_of_the_text_is_its_last_line(self, text, line, column):
        exc = fault(text)
        assert (exc.line, exc.column) == (line, column)
        assert 'end of document' not in exc.reason

    def test_the_file_precedes_the_location(self):
        assert (
            fault('a = ').describe('mesh.toml')
            == 'mesh.toml:1:5: Invalid value'
        )


class TestUnusualMessages:
    @pytest.mark.parametrize(
        'message',
        ['', 'odd', 'odd (at line)', 'odd (at line x, column y)', '(at line 1'],
    )
    def test_a_message_without_a_location_is_kept(self, message):
        exc = error_from_message(message, 'a = 1')
        assert (exc.line, exc.column, exc.reason) == (0, 0, message)

    def test_a_reason_is_put_on_one_line(self):
        exc = error_from_message('odd\nand odder (at line 3, column 1)', '')
        assert exc.describe('x') == 'x:3:1: odd and odder'
        assert (
            error_from_message('odd\nand odder', '').describe('x')
            == 'x: odd and odder'
        )

    def test_a_number_that_is_too_long_is_an_error(self):
        exc = fault(f'a = {"1" * 10000}')
        assert exc.describe('x').startswith('x: Exceeds the limit')

    def test_too_deep_nesting_is_an_error(self):
        assert (
            fault('a = ' + '[' * 10000).describe('x') == 'x: nested too deeply'
        )

    def test_an_empty_text_is_an_empty_document(self):
        assert parse_toml('') == {}
