"""Command ``config check``."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import cappa

from lentildeal._internal.cli import base
from lentildeal._internal.cli import status_codes
from lentildeal._internal.cli import tables
from lentildeal._internal.config import checks
from lentildeal._internal.config import jsonc


@dataclasses.dataclass(kw_only=True)
class ConfigCheck(base.Command):
    """Checks a file and prints all faults. Needs no server."""

    file: typing.Annotated[
        pathlib.Path, cappa.Arg(help='File of the text, "-" for stdin.')
    ]

    def run(self) -> status_codes.Status:
        """See the base class."""
        try:
            text = checks.check_text(base.read_text(self.file))
        except jsonc.TextFaultsError as error:
            self._print_faults(error.faults)
            return status_codes.Status.FAULTS
        if self.is_json:
            base.print_json({'faults': []})
        else:
            print(
                f'{self.file}: valid text of "{text.federation}" with'
                f' {len(text.clubs)} clubs, {len(text.targets)} targets,'
                f' {len(text.services)} services and'
                f' {len(text.trainers)} trainers'
            )
        return status_codes.Status.OK

    def _print_faults(self, faults: typing.Sequence[jsonc.Fault]) -> None:
        if self.is_json:
            values = [dataclasses.asdict(fault) for fault in faults]
            base.print_json({'faults': values})
            return
        tables.print_table(
            ('line', 'path', 'problem', 'remedy'),
            (
                (f.line or None, f.path or None, f.problem, f.remedy)
                for f in faults
            ),
        )
        print(f'{self.file}: {len(faults)} fault(s)')
