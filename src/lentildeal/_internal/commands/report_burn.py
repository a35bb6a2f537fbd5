"""Command ``report burn``."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.cli import base
from lentildeal._internal.cli import documents
from lentildeal._internal.cli import status_codes

_OBJECTIVES = ('on_time', 'idle')


@dataclasses.dataclass(kw_only=True)
class ReportBurn(base.Command):
    """Shows how fast each objective uses up its error budget, and why.

    A rate of 1 uses the budget up exactly in its window. The exit status is
    7 if a member has not responded.
    """

    def run(self) -> status_codes.Status:
        """See the base class."""
        path = '/v1/reports/burn?scope=federation'
        response = self.connect().get(path).value
        if self.is_json:
            base.print_json(response)
            return documents.warn_unreachable_members(response)
        reports = list(_iter_reports(response['clubs']))
        rows = [row for report in reports for row in _make_rows(*report)]
        documents.print_rows('burn rates', rows)
        causes = [
            {'club': club, 'name': name, **cause}
            for club, name, report in reports
            for cause in report.get('causes') or ()
        ]
        documents.print_rows('causes', causes)
        documents.print_rows('coverage', response.get('coverage') or [])
        return documents.warn_unreachable_members(response)


def _iter_reports(clubs: dict) -> typing.Iterator[tuple[str, str, dict]]:
    """Yields club, name and report of each service and trainer."""
    for club, content in clubs.items():
        for kind in ('services', 'trainers'):
            for name, report in (content.get(kind) or {}).items():
                yield club, name, report


def _make_rows(club: str, name: str, report: dict) -> documents.Rows:
    """Makes one row for each objective of a service or trainer."""
    rows = []
    latency = report.get('latency') or {}
    for objective in _OBJECTIVES:
        burn = report.get(objective)
        if burn is None:
            continue
        pairs = burn.get('pairs') or ()
        rows.append(
            {
                'club': club,
                'name': name,
                'objective': objective,
                'allowed': burn.get('allowed_share'),
                'spent': (burn.get('budget') or {}).get('spent_share'),
                **(burn.get('burn_rates') or {}),
                'is_burning': any(pair['is_burning'] for pair in pairs),
                'p99_ms': latency.get('p99_ms'),
            }
        )
    return rows
