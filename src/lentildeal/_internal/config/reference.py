"""Generates ``docs/reference.md`` from the dataclasses.

Run ``python -m lentildeal._internal.config.reference`` and redirect its
output to the file.
"""

from __future__ import annotations

import dataclasses
import enum
import json
import sys
import types
import typing

from lentildeal._internal.cli import status_codes
from lentildeal._internal import commands
from lentildeal._internal.config import schema
from lentildeal._internal.models import text as text_module
from lentildeal._internal.settings import settings

_INTRODUCTION = """\
# Reference

Generated from the dataclasses by
`python -m lentildeal._internal.config.reference > docs/reference.md`; do not
edit. Both files are JSON; comments (`//` and `/* */`) and trailing commas are
allowed. A key without a default is required. An unknown key is an error.
"""
_TEXT_INTRODUCTION = """
## Federation text

Published with `lentildeal config publish`; see
[configuration-races.md](operators/configuration-races.md).
"""
_SETTINGS_INTRODUCTION = """
## Settings of a daemon

The file that `lentildeald` is started with. It is read once.
"""
_CLIENT_INTRODUCTION = """
## Client

`--server` or the environment variable `LENTILDEAL_SERVER` names daemons,
separated by commas and tried in turn. `--format json` is for programs. Errors
and progress go to standard error.

| command | meaning |
| --- | --- |
"""
_STATUS_INTRODUCTION = """
### Exit statuses

| status | name | meaning |
| --- | --- | --- |
"""
_TYPE_NAMES = {
    str: 'string',
    int: 'integer',
    float: 'number',
    bool: 'boolean',
}


def make_reference() -> str:
    """Returns the complete page."""
    parts = [_INTRODUCTION, _TEXT_INTRODUCTION]
    parts += _iter_sections(
        text_module.FederationText, 'Top level of the text'
    )
    parts.append(_SETTINGS_INTRODUCTION)
    parts += _iter_sections(settings.Settings, 'Top level of the settings')
    parts.append(_CLIENT_INTRODUCTION)
    for name, entry in commands.COMMANDS.items():
        parts.append(f'| `{name}` | {entry.summary} |\n')
    parts.append(_STATUS_INTRODUCTION)
    for status, meaning in status_codes.MEANINGS.items():
        name = status.name.lower()
        parts.append(f'| {int(status)} | {name} | {meaning} |\n')
    return ''.join(parts)


def _iter_sections(
    kind: type, title: str, path: str = ''
) -> typing.Iterator[str]:
    """Yields the tables of a dataclass and of those nested in its fields."""
    lines = [
        f'\n### {title}\n',
        _summarize(kind),
        '',
        '| key | type | default | bounds | meaning |',
        '| --- | --- | --- | --- | --- |',
    ]
    hints = schema.get_hints(kind)
    nested = []
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        lines.append(_make_row(field, hint))
        inner, suffix = _find_dataclass(hint)
        if inner is not None:
            nested.append((inner, f'{path}{field.name}{suffix}'))
    yield '\n'.join(lines) + '\n'
    for inner, inner_path in nested:
        yield from _iter_sections(inner, f'`{inner_path}`', f'{inner_path}.')


def _summarize(kind: type) -> str:
    return ' '.join((kind.__doc__ or '').split('\n\n')[0].split())


def _make_row(field: dataclasses.Field, hint: typing.Any) -> str:
    cells = (
        f'`{field.name}`',
        _describe_type(hint),
        _describe_default(field),
        _describe_bounds(field),
        field.metadata.get('doc', ''),
    )
    return '| ' + ' | '.join(cells) + ' |'


def _find_dataclass(
    hint: typing.Any,
) -> tuple[typing.Optional[type], str]:
    """Finds the dataclass of a field and the suffix of its path."""
    if dataclasses.is_dataclass(hint):
        return hint, ''
    if typing.get_origin(hint) is dict:
        inner = typing.get_args(hint)[1]
        if dataclasses.is_dataclass(inner):
            return inner, '.NAME'
    return None, ''


def _describe_type(hint: typing.Any) -> str:
    while hasattr(hint, '__supertype__'):
        hint = hint.__supertype__
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        inner = [a for a in arguments if a is not type(None)]
        return f'{_describe_type(inner[0])} or null'
    if origin is dict:
        return f'object of {_describe_type(arguments[1])} by name'
    if origin is list:
        return f'array of {_describe_type(arguments[0])}'
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return ', '.join(f'`"{member.value}"`' for member in hint)
    return _TYPE_NAMES.get(hint, 'object')


def _describe_default(field: dataclasses.Field) -> str:
    if schema.is_required(field):
        return 'required'
    if field.default is not dataclasses.MISSING:
        return f'`{json.dumps(field.default)}`'
    value = field.default_factory()
    return '`[]`' if value == [] else '`{}`'


def _describe_bounds(field: dataclasses.Field) -> str:
    low = field.metadata.get('minimum')
    high = field.metadata.get('maximum')
    if low is not None and high is not None:
        return f'{low} to {high}'
    if low is not None:
        return f'at least {low}'
    if high is not None:
        return f'at most {high}'
    return ''


if __name__ == '__main__':
    sys.stdout.write(make_reference())
