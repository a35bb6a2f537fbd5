"""Command ``status``."""

from __future__ import annotations

import dataclasses
import typing

import cappa

from lentildeal._internal.cli import base
from lentildeal._internal.cli import documents
from lentildeal._internal.cli import status_codes

_DAEMON_COLUMNS = (
    'instance',
    'failure_domain',
    'state',
    'revision',
    'is_log_reachable',
    'is_view_fresh',
    'requests_in_flight',
)
# Lists in a daemon's status that are merged into one table across daemons:
# title, and name of the column with the daemon that reported a row.
_MERGED_LISTS = {
    'members': ('members that are not live', 'seen_by'),
    'replicas': ('replicas', 'owner'),
    'steps': ('steps', 'coordinator'),
}


@dataclasses.dataclass(kw_only=True)
class ShowStatus(base.Command):
    """Shows the status as one daemon sees it, or the status of all members.

    With --all the exit status is 7 if a member has not responded.
    """

    all: typing.Annotated[
        bool,
        cappa.Arg(
            long='--all',
            show_default=False,
            help='Ask all members; those that do not respond are named.',
        ),
    ] = False

    def run(self) -> status_codes.Status:
        """See the base class."""
        query = '?scope=federation' if self.all else ''
        response = self.connect().get(f'/v1/status{query}').value
        if self.is_json:
            base.print_json(response)
        elif self.all:
            _print_federation(response['answered'])
        else:
            documents.print_document(response)
        return documents.warn_unreachable_members(response)


def _print_federation(statuses: documents.Rows) -> None:
    documents.print_rows('daemons', statuses, _DAEMON_COLUMNS)
    for field, (title, column) in _MERGED_LISTS.items():
        rows = [
            {column: status['instance'], **row}
            for status in statuses
            for row in status.get(field) or ()
        ]
        if rows:
            documents.print_rows(title, rows)
