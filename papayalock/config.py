"""Loads and validates the settings of a daemon."""

from pathlib import Path
from typing import Any

from papayalock.core.problems import Problems
from papayalock.core.retention import retention_bytes
from papayalock.core.schema import check_document
from papayalock.core.tomltext import TomlError, parse_toml
from papayalock.durations import parse_duration_ms
from papayalock.result import Code, PapayalockError, SettingsError
from papayalock.settings import Settings
from papayalock.texts import one_line, read_text

MIN_RETENTION_BYTES = 8_388_608
DEFAULTS = Path(__file__).with_name('defaults.toml')


def load_settings(path: Path) -> Settings:
    """Loads a settings file and fills in the defaults.

    :raises SettingsError: naming the file and every error found in it
    """
    overrides = _read(path)
    try:
        return make_settings(overrides)
    except SettingsError as exc:
        message = one_line(f'{path}: {exc.args[0]}')
        raise SettingsError(exc.code, message) from exc


def _read(path: Path) -> dict[str, Any]:
    try:
        return parse_toml(read_text(path))
    except TomlError as exc:
        raise SettingsError(Code.SETTINGS, exc.describe(str(path))) from exc
    except PapayalockError as exc:
        raise SettingsError(Code.SETTINGS, exc.args[0]) from exc


def make_settings(overrides: dict[str, Any]) -> Settings:
    """Fills in the defaults and validates the settings.

    :param overrides: parsed settings file
    :raises SettingsError: naming every error found
    """
    problems = Problems()
    merged = _merge(parse_toml(DEFAULTS.read_text()), overrides)
    _parse_durations(merged, '', problems)
    settings = check_document(merged, Settings, problems)
    if settings is not None:
        _check_consistency(settings, problems)
    if settings is None or problems.items:
        lines = [
            f'{problem.where}: {problem.message}' for problem in problems.items
        ]
        raise SettingsError(Code.SETTINGS, '; '.join(lines))
    return settings


def _merge(
    defaults: dict[str, Any], overrides: dict[str, Any]
) -> dict[str, Any]:
    merged = dict(defaults)
    for key, setting in overrides.items():
        default = merged.get(key)
        if isinstance(default, dict) and isinstance(setting, dict):
            merged[key] = _merge(default, setting)
        else:
            merged[key] = setting
    return merged


def _parse_durations(
    table: dict[str, Any], where: str, problems: Problems
) -> None:
    """Replaces durations with a unit by milliseconds, in place.

    :param where: dotted path of the table, as a prefix for error messages
    """
    for key, setting in table.items():
        if isinstance(setting, dict):
            _parse_durations(setting, f'{where}{key}.', problems)
        elif key.endswith('_ms') and isinstance(setting, str):
            try:
                table[key] = parse_duration_ms(setting)
            except ValueError as exc:
                problems.add(Code.SETTINGS, f'{where}{key}', str(exc))


def _check_consistency(settings: Settings, problems: Problems) -> None:
    if settings.role == 'control':
        _check_control(settings, problems)
    elif not settings.control.addresses:
        problems.add(
            Code.SETTINGS, 'control.addresses', 'a node needs a control VM'
        )
    if settings.membership.lease_ms <= 2 * settings.distribution.poll_ms:
        problems.add(
            Code.SETTINGS, 'membership.lease_ms', 'must exceed two polls'
        )
    if settings.relay.silence_ms < 2 * settings.relay.alive_ms:
        problems.add(
            Code.SETTINGS, 'relay.silence_ms', 'must be two alive_ms or more'
        )
    if settings.group.election_ms < 4 * settings.group.tick_ms:
        problems.add(
            Code.SETTINGS, 'group.election_ms', 'must be four ticks or more'
        )


def _check_retention(settings: Settings, problems: Problems) -> None:
    cfg = settings.retention
    if cfg.bytes and cfg.bytes < MIN_RETENTION_BYTES:
        problems.add(
            Code.SETTINGS,
            'retention.bytes',
            f'must be 0, or {MIN_RETENTION_BYTES} or more',
        )
    largest = retention_bytes(0, cfg.memory_mb)
    if cfg.memory_mb and cfg.bytes > largest:
        problems.add(
            Code.SETTINGS,
            'retention.bytes',
            f'must be {largest} or less with this memory_mb',
        )


def _check_control(settings: Settings, problems: Problems) -> None:
    _check_retention(settings, problems)
    if not settings.data:
        problems.add(Code.SETTINGS, 'data', 'a control VM needs a data folder')
    if settings.control.auto_members:
        if not settings.control.addresses:
            problems.add(
                Code.SETTINGS, 'control.addresses', 'no control VM to join'
            )
        return
    names = [member.name for member in settings.control.members]
    if len(names) != len(set(names)):
        problems.add(Code.SETTINGS, 'control.members', 'a name is used twice')
    if not settings.control.join and settings.name not in names:
        problems.add(
            Code.SETTINGS, 'control.members', f'{settings.name} is missing'
        )
