"""Prints the days of two scores side by side, from their journal entries.

python -m bench.scores OLD.json NEW.json
"""

from __future__ import annotations

import argparse
import json
import pathlib
import typing

# The platform's bench calls the worth of a day G.
WORTH = 'G'


def read_days(path: pathlib.Path) -> dict[str, dict[str, typing.Any]]:
    """Reads the days of a journal entry by name."""
    entry = json.loads(path.read_text())
    return {day['name']: day for day in entry['days']}


def format_rows(
    old: dict[str, dict[str, typing.Any]],
    new: dict[str, dict[str, typing.Any]],
) -> list[str]:
    """Formats a row for each day of either score, and the common mean.

    Args:
        old: Days of the first entry by name.
        new: Days of the second entry by name.
    """
    rows = [f'{"day":20} {"old":>7} {"new":>7} {"change":>7}']
    for name in sorted(old.keys() | new.keys()):
        rows.append(
            _format_row(name, _worth(old.get(name)), _worth(new.get(name)))
        )
    common = [
        name
        for name in old.keys() & new.keys()
        if old[name]['slot'] != 'quiet'
    ]
    if common:
        rows.append(
            _format_row(
                'mean, without quiet',
                sum(old[name][WORTH] for name in common) / len(common),
                sum(new[name][WORTH] for name in common) / len(common),
            )
        )
    return rows


def _worth(day: typing.Optional[dict]) -> typing.Optional[float]:
    return None if day is None else day[WORTH]


def _format_row(
    name: str, old: typing.Optional[float], new: typing.Optional[float]
) -> str:
    columns = [
        f'{value:7.3f}' if value is not None else f'{"-":>7}'
        for value in (old, new)
    ]
    if old is not None and new is not None:
        columns.append(f'{new - old:+7.3f}')
    return ' '.join([f'{name:20}', *columns])


def main() -> None:
    """Parses the command line and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('old', type=pathlib.Path)
    parser.add_argument('new', type=pathlib.Path)
    arguments = parser.parse_args()
    for row in format_rows(read_days(arguments.old), read_days(arguments.new)):
        print(row)


if __name__ == '__main__':
    main()
