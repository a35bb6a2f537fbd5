"""Prints JSON responses as tables, including fields added later."""

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
        rows: Objects; each field of a nested object gets its own column.
        columns: Fields to show; by default all, in order of appearance.
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
    scalars = {k: v for k, v in value.items() if not _is_object_list(v)}
    tables.print_table(('field', 'value'), scalars.items())
    for name, item in value.items():
        if _is_object_list(item):
            print_rows(name.replace('_', ' '), item)


def flatten(value: dict) -> dict:
    """Flattens nested objects; keys are joined by a space.

    ``{'load': {'in_flight': 1}}`` becomes ``{'load in_flight': 1}``.
    """
    result = {}
    for name, item in value.items():
        if isinstance(item, dict) and item:
            for nested_name, nested_item in flatten(item).items():
                result[f'{name} {nested_name}'] = nested_item
        else:
            result[name] = None if item == {} else item
    return result


def warn_unreachable_members(response: dict) -> status_codes.Status:
    """Prints the members missing from a response to standard error.

    Returns:
        NOT_EVERYWHERE if a member or failure domain is missing, else OK.
    """
    unreachable_members = response.get('unreached') or []
    for member in unreachable_members:
        print(
            f'no answer: {member["instance"]} ({member["failure_domain"]},'
            f' {member["state"]}): {member["reason"]}',
            file=sys.stderr,
        )
    cut_off_domains = response.get('cut_off_domains') or []
    if cut_off_domains:
        print(f'cut off: {", ".join(cut_off_domains)}', file=sys.stderr)
    if unreachable_members or cut_off_domains:
        return status_codes.Status.NOT_EVERYWHERE
    return status_codes.Status.OK


def _is_object_list(value: typing.Any) -> bool:
    is_list = isinstance(value, list) and bool(value)
    return is_list and all(isinstance(item, dict) for item in value)
