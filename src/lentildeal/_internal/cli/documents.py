"""Readable form of JSON answers whose fields may grow."""

from __future__ import annotations

import sys
import typing

from lentildeal._internal.cli import status_codes
from lentildeal._internal.cli import tables

Rows = list[dict[str, typing.Any]]


def print_heading(title: str) -> None:
    """Prints a title over a table."""
    print(f'\n{title}')


def print_rows(title: str, rows: Rows, columns: typing.Sequence[str] = ()):
    """Prints objects as a table.

    Args:
        title: Heading.
        rows: Objects; nested objects become columns of their own.
        columns: Fields to show; without them all, as they come.
    """
    rows = [flatten(row) for row in rows]
    columns = columns or list(dict.fromkeys(n for row in rows for n in row))
    print_heading(title)
    tables.print_table(
        [column.replace('_', ' ') for column in columns],
        ([row.get(name) for name in columns] for row in rows),
    )


def print_document(value: dict) -> None:
    """Prints scalars as one table and each list of objects as another."""
    value = flatten(value)
    scalars = {k: v for k, v in value.items() if not _is_rows(v)}
    tables.print_table(('field', 'value'), scalars.items())
    for name, item in value.items():
        if _is_rows(item):
            print_rows(name.replace('_', ' '), item)


def flatten(value: dict) -> dict:
    """Raises the fields of nested objects, as ``load in_flight``."""
    result = {}
    for name, item in value.items():
        if isinstance(item, dict) and item:
            for inner, nested in flatten(item).items():
                result[f'{name} {inner}'] = nested
        else:
            result[name] = None if item == {} else item
    return result


def warn_of_unreached(answer: dict) -> status_codes.Status:
    """Names the members that an answer doesn't cover, on stderr."""
    unreached = answer.get('unreached') or []
    for member in unreached:
        print(
            f'no answer: {member["instance"]} ({member["failure_domain"]},'
            f' {member["state"]}): {member["reason"]}',
            file=sys.stderr,
        )
    cut_off = answer.get('cut_off_domains') or []
    if cut_off:
        print(f'cut off: {", ".join(cut_off)}', file=sys.stderr)
    if unreached or cut_off:
        return status_codes.Status.NOT_EVERYWHERE
    return status_codes.Status.OK


def _is_rows(value: typing.Any) -> bool:
    is_list = isinstance(value, list) and bool(value)
    return is_list and all(isinstance(item, dict) for item in value)
