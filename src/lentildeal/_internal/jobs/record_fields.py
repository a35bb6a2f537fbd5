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


class _FieldType(typing.NamedTuple):
    """Type of the values of a field.

    Values that were decoded have exactly these types, so the faster comparison
    of types takes the place of ``isinstance``.

    Attributes:
        types: Types that a value may have.
        has_valid_parts: Checks the parts of a value, None without parts.
    """

    types: frozenset[type]
    has_valid_parts: typing.Optional[Check] = None

    def is_valid(self, value: typing.Any) -> bool:
        """Whether a value has this type."""
        if type(value) not in self.types:
            return False
        return self.has_valid_parts is None or self.has_valid_parts(value)


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
    for (name, types, has_valid_parts), value in zip(
        fields, values, strict=False
    ):
        if type(value) not in types or (
            has_valid_parts is not None and not has_valid_parts(value)
        ):
            raise exceptions.UnreadableRecordError(
                f'{name} of {cls.__name__} has another type: {value!r:.50}'
            )
    try:
        return cls(*values[: len(fields)])
    except TypeError as error:
        raise exceptions.UnreadableRecordError(
            f'{cls.__name__} has {len(values)} fields: {error}'
        ) from error


@functools.cache
def _find_fields(
    cls: type,
) -> tuple[tuple[str, frozenset[type], typing.Optional[Check]], ...]:
    """Returns the name and the type of each field of a dataclass."""
    hints = typing.get_type_hints(cls)
    return tuple(
        (field.name, *_make_type(hints[field.name]))
        for field in dataclasses.fields(cls)
    )


def _make_type(annotation: typing.Any) -> _FieldType:
    """Makes the type of an annotation that fields of records have."""
    while hasattr(annotation, '__supertype__'):
        annotation = annotation.__supertype__
    if annotation is float:
        # A whole number may be stored for a float.
        return _FieldType(frozenset({int, float}))
    origin = typing.get_origin(annotation)
    if origin is None:
        return _FieldType(frozenset({annotation}))
    arguments = typing.get_args(annotation)
    if arguments[-1] is Ellipsis:
        return _make_list_type(_make_type(arguments[0]))
    parts = [_make_type(argument) for argument in arguments]
    if origin is typing.Union:
        return _make_union_type(parts)
    if origin is dict:
        return _make_map_type(*parts)
    return _make_row_type(parts)


def _make_union_type(parts: list[_FieldType]) -> _FieldType:
    if any(part.has_valid_parts for part in parts):
        raise TypeError('unions of types with parts are not supported')
    return _FieldType(frozenset().union(*(part.types for part in parts)))


def _make_list_type(part: _FieldType) -> _FieldType:
    def has_valid_parts(value: tuple) -> bool:
        if not part.types.issuperset(map(type, value)):
            return False
        check = part.has_valid_parts
        return check is None or all(map(check, value))

    return _FieldType(frozenset({tuple}), has_valid_parts)


def _make_row_type(parts: list[_FieldType]) -> _FieldType:
    if all(len(p.types) == 1 and not p.has_valid_parts for p in parts):
        row = tuple(next(iter(part.types)) for part in parts)
        return _FieldType(
            frozenset({tuple}), lambda value: tuple(map(type, value)) == row
        )

    def has_valid_parts(value: tuple) -> bool:
        return len(value) == len(parts) and all(
            part.is_valid(v) for part, v in zip(parts, value, strict=True)
        )

    return _FieldType(frozenset({tuple}), has_valid_parts)


def _make_map_type(key: _FieldType, value: _FieldType) -> _FieldType:
    keys, values = _make_list_type(key), _make_list_type(value)

    def has_valid_parts(found: dict) -> bool:
        return keys.has_valid_parts(found) and values.has_valid_parts(
            found.values()
        )

    return _FieldType(frozenset({dict}), has_valid_parts)
