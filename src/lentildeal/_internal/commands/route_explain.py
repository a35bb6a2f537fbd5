"""Command ``route explain``."""

from __future__ import annotations

import dataclasses
import pathlib
import typing
import urllib.parse

import cappa

from lentildeal._internal.cli import base
from lentildeal._internal.cli import status_codes
from lentildeal._internal.platform import job_files

PATH = '/v1/route/explain'


@dataclasses.dataclass(kw_only=True)
class RouteExplain(base.Command):
    """Shows where a running daemon would send a request, and why.

    Nothing is sent to a replica. The server is the address of the daemon's
    readiness checks or metrics. Exit status: 0 placed, 1 refused, 2 wrong use.
    """

    host: typing.Annotated[str, cappa.Arg(help='Host of the request.')]
    path: typing.Annotated[
        str,
        cappa.Arg(help='Path of the request, or of the items of a job.'),
    ]
    account: typing.Annotated[
        typing.Optional[str],
        cappa.Arg(
            long='--account',
            show_default=False,
            help='Name of the client account (not a key).',
        ),
    ] = None
    job: typing.Annotated[
        typing.Optional[pathlib.Path],
        cappa.Arg(
            long='--job',
            show_default=False,
            help='File with the submission of a job.',
        ),
    ] = None
    json: typing.Annotated[
        bool,
        cappa.Arg(
            long='--json', show_default=False, help='Like --format json.'
        ),
    ] = False

    def run(self) -> status_codes.Status:
        """See the base class."""
        query = {'host': self.host, 'path': self.path}
        if self.account is not None:
            query['account'] = self.account
        if self.job is not None:
            query.update(_read_job(self.job))
        target = f'{PATH}?{urllib.parse.urlencode(query)}'
        document = self.connect().get(target).value
        if self.json or self.is_json:
            base.print_json(document)
        else:
            for line in format_lines(document):
                print(line)
        if document['placed']:
            return status_codes.Status.OK
        return status_codes.Status.NOT_PLACED


def _read_job(path: pathlib.Path) -> dict[str, str]:
    """Reads what the placement of a job depends on.

    Raises:
        base.UsageError: The file is not the submission of a job.
    """
    try:
        return job_files.read_placement(base.read_text(path))
    except (ValueError, KeyError, TypeError) as error:
        raise base.UsageError(
            f'{path}: not the submission of a job: {error!r:.100}',
            remedy='give the body of the request that submits it',
        ) from error


def format_lines(document: dict[str, typing.Any]) -> list[str]:
    """Formats an explanation for people."""
    lines = [f'{document["host"]}{document["path"]}']
    route = document.get('route')
    if route is not None:
        lines.append(f'route {route.pop("name")}: {_format_fields(route)}')
        lines.append(f'text version {document["text_version"]}')
    if document.get('limits'):
        lines.append(f'limits: {_format_fields(document["limits"])}')
    for row in document['replicas']:
        name = row.pop('replica')
        mark = '*' if name == document['replica'] else ' '
        lines.append(f'{mark} {name}: {_format_fields(row)}')
    for reason in document.get('reasons', ()):
        lines.append(f'because: {reason}')
    if document['placed']:
        place = document['replica'] or 'no replica yet'
        position = document.get('queue_position', 0)
        lines.append(f'placed at {place}, {position} ahead of it in the queue')
    else:
        lines += [f'refused: {reason}' for reason in document['refusals']]
    return lines


def _format_fields(fields: dict[str, typing.Any]) -> str:
    return ', '.join(f'{name} {value}' for name, value in fields.items())
