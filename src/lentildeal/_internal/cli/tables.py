"""Tables on standard output."""

from __future__ import annotations

import typing

import rich.box
import rich.console
import rich.table

# Width when the output is no terminal; a table in a file is not folded to
# the 80 columns that rich assumes.
FILE_WIDTH = 200


def make_console() -> rich.console.Console:
    """Makes the console of standard output."""
    console = rich.console.Console(highlight=False, markup=False)
    if not console.is_terminal:
        console = rich.console.Console(
            highlight=False, markup=False, width=FILE_WIDTH
        )
    return console


def print_table(
    columns: typing.Sequence[str],
    rows: typing.Iterable[typing.Sequence[typing.Any]],
    empty: str = 'none',
) -> None:
    """Prints rows under column names, or a word if there are none."""
    rows = [[_format(cell) for cell in row] for row in rows]
    console = make_console()
    if not rows:
        console.print(empty)
        return
    table = rich.table.Table(box=rich.box.SIMPLE_HEAD, show_edge=False)
    for column in columns:
        table.add_column(column, overflow='fold')
    for row in rows:
        table.add_row(*row)
    console.print(table)


def _format(cell: typing.Any) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, float):
        return f'{cell:.4g}'
    if isinstance(cell, (list, tuple)):
        return ', '.join(_format(item) for item in cell) or '-'
    return str(cell)
