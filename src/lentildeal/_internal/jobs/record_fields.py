"""Reads the fields of stored records into dataclasses.

Records are also written by other releases, during a rolling replacement or
before a release was taken back. Fields that a newer release has appended are
ignored; what its readers must not ignore needs a record of another type.
Fields of another type are an error here, so that they can't fail later, in
work that others depend on.
"""

from __future__ import annotations

import dataclasses
import functools
import typing

from lentildeal._internal import exceptions

T = typing.TypeVar('T')

Check = typing.Callable[[typing.Any], bool]


class _Field(typing.NamedTuple):
    """A field of a dataclass.

    Attributes:
        name: Its name.
        is_valid: Whether a value has its type.
    """

    name: str
    is_valid: Check


def read_fields(cls: type[T], values: typing.Sequence[typing.Any]) -> T:
    """Makes a dataclass from the values of its fields, in order.

    Args:
        cls: The dataclass.
        values: Values of the fields; those with a default may be missing.

    Raises:
        exceptions.UnreadableRecordError: A field is missing or has another
            type.
    """
    if not isinstance(values, (tuple, list)):
        raise exceptions.UnreadableRecordError(
            f'{cls.__name__} is no list of fields: {values!r:.50}'
        )
    fields = _find_fields(cls)
    for field, value in zip(fields, values, strict=False):
        if not field.is_valid(value):
            raise exceptions.UnreadableRecordError(
                f'{field.name} of {cls.__name__} has another type:'
                f' {value!r:.50}'
            )
    try:
        return cls(*values[: len(fields)])
    except TypeError as error:
        raise exceptions.UnreadableRecordError(
            f'{cls.__name__} has {len(values)} fields: {error}'
        ) from error


@functools.cache
def _find_fields(cls: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        _Field(field.name, _make_check(hints[field.name]))
        for field in dataclasses.fields(cls)
    )


def _make_check(annotation: typing.Any) -> Check:
    """Makes the check of a type that records have."""
    while hasattr(annotation, '__supertype__'):
        annotation = annotation.__supertype__
    origin = typing.get_origin(annotation)
    checks = [_make_check(a) for a in typing.get_args(annotation)]
    if origin is typing.Union:
        return lambda value: any(check(value) for check in checks)
    if origin is tuple:
        if typing.get_args(annotation)[-1] is Ellipsis:
            return _make_list_check(checks[0])
        return _make_row_check(checks)
    if origin is dict:
        return _make_map_check(*checks)
    # A whole number may be stored for a float.
    types = (int, float) if annotation is float else annotation
    if annotation in (int, float):
        return lambda value: (
            isinstance(value, types) and not isinstance(value, bool)
        )
    return lambda value: isinstance(value, types)


def _make_list_check(check: Check) -> Check:
    return lambda value: isinstance(value, tuple) and all(map(check, value))


def _make_row_check(checks: list[Check]) -> Check:
    return lambda value: (
        isinstance(value, tuple)
        and len(value) == len(checks)
        and all(check(v) for check, v in zip(checks, value, strict=True))
    )


def _make_map_check(is_key: Check, is_value: Check) -> Check:
    return lambda value: (
        isinstance(value, dict)
        and all(map(is_key, value))
        and all(map(is_value, value.values()))
    )
