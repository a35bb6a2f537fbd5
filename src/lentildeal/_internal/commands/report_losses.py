"""Command ``report losses``."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import cappa

from lentildeal._internal.cli import base
from lentildeal._internal.cli import documents
from lentildeal._internal.cli import status_codes
from lentildeal._internal.reports import explanation
from lentildeal._internal.reports import losses


@dataclasses.dataclass(kw_only=True)
class ReportLosses(base.Command):
    """Shows lost and late work by cause, from logs. Needs no server.

    The columns are the number of requests, items or records, the time lost
    in total and at most, in seconds, and the number of daemons.
    """

    files: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(num_args=-1, required=True, help='Logs of daemons.'),
    ]
    plot: typing.Annotated[
        typing.Optional[pathlib.Path],
        cappa.Arg(long=True, help='File for a plot over time (SVG).'),
    ] = None

    def run(self) -> status_codes.Status:
        """See the base class."""
        found = losses.find_losses(
            line
            for path in self.files
            for line in explanation.read_lines(path.name, base.read_text(path))
        )
        rows = losses.make_rows(found)
        if self.plot is not None:
            self.plot.write_text(losses.make_plot(found))
        if self.is_json:
            base.print_json({'losses': rows})
        else:
            documents.print_rows('losses', rows)
        return status_codes.Status.OK
