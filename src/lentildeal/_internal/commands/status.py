"""Command ``status``."""

from __future__ import annotations

import dataclasses
import typing

import cappa

from lentildeal._internal.cli import base
from lentildeal._internal.cli import documents
from lentildeal._internal.cli import status_codes


@dataclasses.dataclass(kw_only=True)
class ShowStatus(base.Command):
    """Shows the view of the daemon that answers, or of all members."""

    all: typing.Annotated[
        bool,
        cappa.Arg(
            long='--all',
            show_default=False,
            help='Ask all members; those that do not answer are named.',
        ),
    ] = False

    def run(self) -> status_codes.Status:
        """See the base class."""
        query = '?scope=federation' if self.all else ''
        answer = self.connect().get(f'/v1/status{query}')
        if self.is_json:
            base.print_json(answer.value)
        else:
            documents.print_document(answer.value)
        return status_codes.Status.OK
