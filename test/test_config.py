"""Validation of settings: every error is reported, all at once."""

import pytest

from papayalock.config import DEFAULTS, load_settings, make_settings
from papayalock.result import Code, SettingsError

NODE = {'control': {'addresses': ['127.0.0.1:1']}}
MEMBER = {'name': 'c', 'zone': 'z', 'address': '127.0.0.1:1', 'voter': True}


def error_text(overrides: dict) -> str:
    with pytest.raises(SettingsError) as caught:
        make_settings(overrides)
    assert caught.value.code == Code.SETTINGS
    return str(caught.value)


def file_error_text(path) -> str:
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert caught.value.code == Code.SETTINGS
    return str(caught.value)


class TestSettings:
    def test_defaults_apply_to_missing_settings(self):
        settings = make_settings({**NODE, 'relay': {'idle_ms': 50}})
        assert settings.relay.idle_ms == 50
        assert settings.relay.progress_ms == 2000

    def test_an_unknown_key_is_reported_with_the_closest_known_one(self):
        assert (
            'relay.idel_ms: unknown key; did you mean idle_ms?'
            in error_text({**NODE, 'relay': {'idel_ms': 5}})
        )

    def test_every_error_is_reported_at_once(self):
        text = error_text(
            {
                'listen': 'nowhere',
                'relay': {'connections': 0},
                'gate': {'queue': 'many'},
            }
        )
        assert 'listen' in text
        assert 'relay.connections' in text
        assert 'gate.queue' in text

    def test_a_node_needs_a_control_vm(self):
        assert 'control.addresses' in error_text({})

    def test_a_control_vm_needs_a_data_folder_and_its_own_name(self):
        text = error_text(
            {'role': 'control', 'name': 'x', 'control': {'members': [MEMBER]}}
        )
        assert 'data folder' in text
        assert 'x is missing' in text

    def test_contradictory_intervals_are_rejected(self):
        assert 'two polls' in error_text(
            {**NODE, 'membership': {'lease_ms': 1000}}
        )
        assert 'silence_ms' in error_text(
            {**NODE, 'relay': {'silence_ms': 150}}
        )

    @pytest.mark.parametrize('text', ['role = ', '\x00', 'a = 1\na = 2'])
    def test_invalid_toml_is_rejected(self, tmp_path, text):
        path = tmp_path / 'x.toml'
        path.write_text(text)
        with pytest.raises(SettingsError):
            load_settings(path)

    @pytest.mark.parametrize(
        ('text', 'message'),
        [
            (b'role ==\n', 'x.toml:1:7: Invalid value'),
            (b'name = "a"\r\nrole ==\r\n', 'x.toml:2:7: Invalid value'),
            (b'name = "a"\nrole = ', 'x.toml:2:8: Invalid value'),
            (b'\xef\xbb\xbfrole ==\n', 'x.toml:1:7: Invalid value'),
            (b'role = "\xff"', 'x.toml: not UTF-8 text at byte 8'),
            (b'rolle = "node"', 'x.toml: rolle: unknown key'),
        ],
    )
    def test_an_error_names_the_file_and_the_position(
        self, tmp_path, text, message
    ):
        path = tmp_path / 'x.toml'
        path.write_bytes(text)
        assert f'700 SETTINGS: {tmp_path}/{message}' in file_error_text(path)

    def test_the_error_for_a_missing_file_names_it_once(self, tmp_path):
        message = file_error_text(tmp_path / 'x.toml')
        assert message == (
            f'700 SETTINGS: {tmp_path}/x.toml: No such file or directory'
        )

    def test_a_byte_order_mark_is_accepted(self, tmp_path):
        path = tmp_path / 'x.toml'
        path.write_bytes(
            b'\xef\xbb\xbf[control]\r\naddresses = ["127.0.0.1:1"]\r\n'
        )
        assert load_settings(path).control.addresses == ['127.0.0.1:1']

    def test_every_default_has_a_comment(self):
        for line in DEFAULTS.read_text().splitlines():
            assert '=' not in line or '#' in line, line
