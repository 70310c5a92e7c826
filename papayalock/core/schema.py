"""Validates decoded documents against generated types; finds every error."""

import difflib
import functools
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from papayalock.core.problems import Problems
from papayalock.result import Code

Document = TypeVar('Document', bound=msgspec.Struct)


@functools.cache
def _fields(kind: type[msgspec.Struct]) -> dict[str, Any]:
    return {field.name: field for field in msgspec.structs.fields(kind)}


@functools.cache
def _type_info(kind: Any) -> msgspec.inspect.Type:
    return msgspec.inspect.type_info(kind)


def check_document(
    raw: dict[str, Any], kind: type[Document], problems: Problems
) -> Document | None:
    """Returns the typed document, or None after adding every error found.

    :param raw: the document as decoded by its parser
    :param kind: the generated type it must have
    """
    before = len(problems.items)
    _check_struct(raw, kind, '', problems)
    if len(problems.items) > before:
        return None
    return msgspec.convert(raw, kind)


def _check_struct(
    raw: Any, kind: type[msgspec.Struct], where: str, problems: Problems
) -> None:
    if not isinstance(raw, dict):
        problems.add(Code.BAD_VALUE, where, 'expected a table')
        return
    fields = _fields(kind)
    for key in raw.keys() - fields.keys():
        problems.add(
            Code.UNKNOWN_KEY,
            _join(where, key),
            _unknown_key_message(key, fields),
        )
    for name, field in fields.items():
        place = _join(where, name)
        raw_value = raw.get(name, msgspec.NODEFAULT)
        if raw_value is not msgspec.NODEFAULT:
            _check_value(raw_value, field.type, place, problems)
        elif field.required:
            problems.add(Code.BAD_VALUE, place, 'missing')


def _check_value(raw: Any, kind: Any, where: str, problems: Problems) -> None:
    info = _type_info(kind)
    if isinstance(info, msgspec.inspect.StructType):
        _check_struct(raw, info.cls, where, problems)
        return
    if _is_struct_list(info) and isinstance(raw, list):
        for place, element in labelled_elements(raw, where):
            _check_struct(element, _item_type(info), place, problems)
        return
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as exc:
        problems.add(Code.BAD_VALUE, where, str(exc))


def _is_struct_list(info: msgspec.inspect.Type) -> bool:
    if not isinstance(info, msgspec.inspect.ListType):
        return False
    return isinstance(info.item_type, msgspec.inspect.StructType)


def _item_type(info: Any) -> type[msgspec.Struct]:
    kind: type[msgspec.Struct] = info.item_type.cls
    return kind


def labelled_elements(raw: list[Any], where: str) -> Iterator[tuple[str, Any]]:
    """Yields each element with its path, labelled by name or by position."""
    for position, element in enumerate(raw):
        label = (
            element.get('name', position)
            if isinstance(element, dict)
            else position
        )
        yield f'{where}[{label}]', element


def _join(where: str, key: str) -> str:
    return f'{where}.{key}' if where else key


def _unknown_key_message(key: str, fields: dict[str, Any]) -> str:
    near = difflib.get_close_matches(key, fields, n=1)
    hint = f'; did you mean {near[0]}?' if near else ''
    return f'unknown key{hint}'
