"""Command ``config history``."""

from __future__ import annotations

import dataclasses

from lentildeal._internal.cli import base
from lentildeal._internal.cli import status_codes
from lentildeal._internal.cli import tables


@dataclasses.dataclass(kw_only=True)
class ConfigHistory(base.Command):
    """Lists the edits that the log still keeps, with their verdicts."""

    def run(self) -> status_codes.Status:
        """See the base class."""
        history = self.connect().get('/v1/config/history').value
        if self.is_json:
            base.print_json(history)
            return status_codes.Status.OK
        tables.print_table(
            ('offset', 'base', 'author', 'verdict', 'edit'),
            (
                (
                    record['revision'],
                    record['base'],
                    record['author'],
                    record['verdict'],
                    record['edit_id'],
                )
                for record in history['records']
            ),
            empty='the log keeps no edits',
        )
        print(f'in effect: revision {history["revision"]}')
        return status_codes.Status.OK
