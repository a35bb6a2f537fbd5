"""Command ``explain``."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import cappa

from lentildeal._internal.cli import base
from lentildeal._internal.cli import status_codes
from lentildeal._internal.reports import explanation


@dataclasses.dataclass(kw_only=True)
class Explain(base.Command):
    """Explains what happened to a request, job or item. Needs no server."""

    wanted: typing.Annotated[
        str, cappa.Arg(help='Id of the request, job or item.')
    ]
    files: typing.Annotated[
        list[pathlib.Path],
        cappa.Arg(num_args=-1, required=True, help='Logs of daemons.'),
    ]

    def run(self) -> status_codes.Status:
        """See the base class."""
        lines = [
            line
            for path in self.files
            for line in explanation.read_lines(path.name, base.read_text(path))
        ]
        result = explanation.explain(self.wanted, lines)
        if self.is_json:
            base.print_json(
                {
                    'cause': result.cause,
                    'lines': [
                        {'instance': line.instance, **line.fields}
                        for line in result.lines
                    ],
                }
            )
        else:
            for line in result.lines:
                print(_format(line))
            print(f'cause: {result.cause}')
        if not result.lines:
            return status_codes.Status.FAULTS
        return status_codes.Status.OK


def _format(line: explanation.LogLine) -> str:
    omitted = ('event', 'at_s', 'steady_s', 'instance')
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in omitted
    )
    steady_s = line.fields.get('steady_s', 0.0)
    return f'{line.instance} {steady_s:.3f} {line.event} {fields}'
