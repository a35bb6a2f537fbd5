"""Tables on standard output."""

from __future__ import annotations

import typing

import rich.box
import rich.console
import rich.table

# Width when the output is not a terminal. Without it, rich assumes 80 columns
# and folds tables that are written to a file.
FILE_WIDTH = 200


def make_console() -> rich.console.Console:
    """Creates a console for standard output."""
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
    """Prints rows as a table.

    Args:
        columns: Column headings.
        rows: Cells of each row.
        empty: Text printed instead of a table without rows.
    """
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
