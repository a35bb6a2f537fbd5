"""Decodes parsed JSON into dataclasses and collects all faults."""

from __future__ import annotations

import dataclasses
import difflib
import enum
import functools
import math
import types
import typing

from lentildeal._internal.config import jsonc

T = typing.TypeVar('T')

_TYPE_NAMES = {
    str: 'a string',
    int: 'a whole number',
    float: 'a number',
    bool: 'true or false',
    dict: 'an object',
    list: 'an array',
    type(None): 'null',
}

# Limits the length of the report, and the time spent on a file that is not a
# federation text or settings file at all.
MAX_FAULTS = 100
# Longer keys and values are truncated in messages.
MAX_QUOTED_CHARS = 80

_SURROGATE_FAULT = (
    'the string has half of a surrogate pair',
    'write the character itself or both halves',
)


class Decoder:
    """Decodes one text and collects its faults."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._faults: list[jsonc.Fault] = []

    @functools.cached_property
    def lines(self) -> dict[jsonc.Path, int]:
        """Line of each path; computed only if there is a fault."""
        return jsonc.find_lines(self._text)

    @property
    def faults(self) -> list[jsonc.Fault]:
        """Faults found so far, in the order of the text."""
        return sorted(self._faults, key=lambda fault: fault.line)

    @property
    def has_faults(self) -> bool:
        """Whether any fault was found."""
        return bool(self._faults)

    @property
    def is_full(self) -> bool:
        """Whether ``MAX_FAULTS`` is reached, so that more are dropped."""
        return len(self._faults) >= MAX_FAULTS

    def add_fault(self, path: jsonc.Path, problem: str, remedy: str) -> None:
        """Records a fault, with the line of the path or of its parent."""
        if self.is_full:
            return
        place = path
        while place and place not in self.lines:
            place = place[:-1]
        line = self.lines.get(place, 1)
        self._faults.append(
            jsonc.Fault(jsonc.format_path(path), line, problem, remedy)
        )

    def decode(
        self, kind: typing.Any, value: typing.Any, path: jsonc.Path = ()
    ) -> typing.Any:
        """Decodes a value.

        Args:
            kind: Type hint to decode to.
            value: Parsed JSON.
            path: Path of the value in the text, for faults.

        Returns:
            The decoded value, or None if a fault was recorded.
        """
        while hasattr(kind, '__supertype__'):
            kind = kind.__supertype__
        origin = typing.get_origin(kind)
        if origin in (typing.Union, types.UnionType):
            if value is None:
                return None
            (inner,) = (
                k for k in typing.get_args(kind) if k is not type(None)
            )
            return self.decode(inner, value, path)
        if origin is dict:
            return self._decode_dict(kind, value, path)
        if origin in (list, tuple):
            return self._decode_list(kind, value, path)
        if dataclasses.is_dataclass(kind):
            return self._decode_dataclass(kind, value, path)
        if isinstance(kind, type) and issubclass(kind, enum.Enum):
            return self._decode_enum(kind, value, path)
        return self._decode_scalar(kind, value, path)

    def _decode_dict(self, kind, value, path):
        if not self._is_type(value, dict, path):
            return None
        _, inner = typing.get_args(kind)
        result = {}
        for name, item in value.items():
            if not name:
                self.add_fault(path, 'a name is empty', 'give it a name')
            if not _is_unicode(name):
                self.add_fault(path, *_SURROGATE_FAULT)
            result[name] = self.decode(inner, item, path + (name,))
        return result

    def _decode_list(self, kind, value, path):
        if not self._is_type(value, list, path):
            return None
        inner = typing.get_args(kind)[0]
        return [
            self.decode(inner, item, path + (index,))
            for index, item in enumerate(value)
        ]

    def _decode_dataclass(self, kind, value, path):
        if not self._is_type(value, dict, path):
            return None
        hints = get_hints(kind)
        fields = {field.name: field for field in dataclasses.fields(kind)}
        before = len(self._faults)
        for name in value:
            if name not in fields:
                self._add_unknown_key(path + (name,), name, list(fields))
        arguments = {}
        for name, field in fields.items():
            if name in value:
                arguments[name] = self._decode_field(
                    field, hints[name], value[name], path + (name,)
                )
            elif is_required(field):
                self.add_fault(
                    path + (name,),
                    'required key is missing',
                    f'add "{name}": {field.metadata.get("doc", "")}',
                )
        if len(self._faults) > before:
            return None
        return kind(**arguments)

    def _decode_field(self, field, kind, value, path):
        result = self.decode(kind, value, path)
        if isinstance(result, bool) or not isinstance(result, (int, float)):
            return result
        low = field.metadata.get('minimum')
        high = field.metadata.get('maximum')
        if low is not None and result < low:
            self.add_fault(
                path, f'{_quote(result)} is too small', f'use {low} or more'
            )
        if high is not None and result > high:
            self.add_fault(
                path, f'{_quote(result)} is too large', f'use {high} or less'
            )
        return result

    def _decode_enum(self, kind, value, path):
        try:
            return kind(value)
        except ValueError:
            choices = ', '.join(f'"{member.value}"' for member in kind)
            self.add_fault(
                path,
                f'{_quote(value)} is not a valid choice',
                f'use {choices}',
            )
            return None

    def _decode_scalar(self, kind, value, path):
        if kind is float and isinstance(value, int):
            if not isinstance(value, bool):
                value = _to_float(value)
        if not self._is_type(value, kind, path):
            return None
        if kind is float and not math.isfinite(value):
            self.add_fault(path, 'number is too large', 'write a smaller one')
            return None
        if kind is str and not _is_unicode(value):
            self.add_fault(path, *_SURROGATE_FAULT)
            return None
        return value

    def _is_type(self, value, kind, path) -> bool:
        is_bool = isinstance(value, bool)
        if isinstance(value, kind) and (kind is bool or not is_bool):
            return True
        self.add_fault(
            path,
            f'expected {_TYPE_NAMES[kind]}, found {_describe(value)}',
            f'write {_TYPE_NAMES[kind]}',
        )
        return False

    def _add_unknown_key(self, path, name, known):
        if self.is_full:
            return
        name = name[:MAX_QUOTED_CHARS]
        nearest = difflib.get_close_matches(name, known, 1, 0.0)[0]
        self.add_fault(
            path, f'unknown key "{name}"', f'the nearest key is "{nearest}"'
        )


def load(kind: type[T], text: str) -> T:
    """Parses and decodes a text.

    Raises:
        jsonc.TextFaultsError: The text has faults; all are listed.
    """
    decoder = Decoder(text)
    result = decoder.decode(kind, jsonc.parse(text))
    if decoder.faults:
        raise jsonc.TextFaultsError(decoder.faults)
    return result


@functools.cache
def get_hints(kind: type) -> dict[str, typing.Any]:
    """Returns the types of the fields of a dataclass by name."""
    return typing.get_type_hints(kind)


def _to_float(value: int) -> float:
    try:
        return float(value)
    except OverflowError:
        return math.inf


def _is_unicode(value: str) -> bool:
    """Whether a string can be encoded; an escaped lone surrogate can't."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _describe(value: typing.Any) -> str:
    name = _TYPE_NAMES.get(type(value), 'a value')
    if isinstance(value, (str, int, float, bool)):
        return f'{name} ({_quote(value)})'
    return name


def _quote(value: typing.Any) -> str:
    text = repr(value)
    if len(text) <= MAX_QUOTED_CHARS:
        return text
    return f'{text[:MAX_QUOTED_CHARS]}...'


def is_required(field: dataclasses.Field) -> bool:
    """Whether a field has no default."""
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )
