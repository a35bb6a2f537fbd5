"""Command ``report burn``."""

from __future__ import annotations

import dataclasses

from lentildeal._internal.cli import base
from lentildeal._internal.cli import documents
from lentildeal._internal.cli import status_codes


@dataclasses.dataclass(kw_only=True)
class ReportBurn(base.Command):
    """Shows how fast each objective uses up its error budget, and why."""

    def run(self) -> status_codes.Status:
        """See the base class."""
        answer = self.connect().get('/v1/reports/burn?scope=federation')
        if self.is_json:
            base.print_json(answer.value)
        else:
            documents.print_document(answer.value)
        return status_codes.Status.OK
