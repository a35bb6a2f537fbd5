"""Readable form of JSON answers whose fields may grow."""

from __future__ import annotations

import typing

from lentildeal._internal.cli import tables


def print_document(value: typing.Any, title: str = '') -> None:
    """Prints scalars as lines and lists of objects as tables."""
    if not isinstance(value, dict):
        value = {title or 'result': value}
    scalars = {k: v for k, v in value.items() if not _is_nested(v)}
    if scalars:
        print_heading(title)
        tables.print_table(('field', 'value'), scalars.items())
    for name, item in value.items():
        if not _is_nested(item):
            continue
        heading = f'{title}.{name}' if title else name
        if isinstance(item, list):
            _print_rows(item, heading)
        else:
            print_document(item, heading)


def print_heading(title: str) -> None:
    """Prints a title over a table."""
    if title:
        print(f'\n{title}')


def _print_rows(rows: list, title: str) -> None:
    print_heading(title)
    columns = list(dict.fromkeys(name for row in rows for name in row))
    tables.print_table(
        columns, ([row.get(name) for name in columns] for row in rows)
    )


def _is_nested(value: typing.Any) -> bool:
    if isinstance(value, dict):
        return bool(value)
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) for item in value)
    )
