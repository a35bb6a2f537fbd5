"""Command ``config diff``."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import cappa

from lentildeal._internal.cli import base
from lentildeal._internal.cli import differences
from lentildeal._internal.cli import status_codes
from lentildeal._internal.cli import tables
from lentildeal._internal.config import jsonc

_CHANGE_SIGNS = {
    differences.ChangeKind.ADDED: '+',
    differences.ChangeKind.REMOVED: '-',
    differences.ChangeKind.CHANGED: '~',
}


@dataclasses.dataclass(kw_only=True)
class ConfigDiff(base.Command):
    """Compares a file with the text in effect, value by value.

    Ignores comments, layout and order. Exits with 1 if the texts differ.
    """

    file: typing.Annotated[
        pathlib.Path, cappa.Arg(help='File of the text, "-" for stdin.')
    ]

    def run(self) -> status_codes.Status:
        """See the base class."""
        new = self._parse(base.read_text(self.file))
        current = self.connect().get('/v1/config').value
        old = self._parse(current['text']) if current['text'] else {}
        changes = differences.compare(old, new)
        if self.is_json:
            base.print_json(
                {
                    'revision': current['revision'],
                    'changes': [dataclasses.asdict(c) for c in changes],
                }
            )
        else:
            self._print_changes(current['revision'], changes)
        if changes:
            return status_codes.Status.DIFFERENT
        return status_codes.Status.OK

    def _parse(self, text: str) -> typing.Any:
        try:
            return jsonc.parse(text)
        except jsonc.TextFaultsError as error:
            raise base.UsageError(
                f'{self.file}: {error}',
                remedy='run "lentildeal config check" on the file',
            ) from error

    def _print_changes(self, revision: int, changes) -> None:
        print(f'against revision {revision}:')
        tables.print_table(
            ('', 'path', 'in effect', 'file'),
            (
                (
                    _CHANGE_SIGNS[change.kind],
                    change.path,
                    _format(change.old),
                    _format(change.new),
                )
                for change in changes
            ),
            empty='no differences',
        )


def _format(value: typing.Any) -> typing.Optional[str]:
    return None if value is None else differences.format_value(value)
