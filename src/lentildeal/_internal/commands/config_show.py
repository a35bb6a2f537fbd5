"""Command ``config show``."""

from __future__ import annotations

import dataclasses
import sys

from lentildeal._internal.cli import base
from lentildeal._internal.cli import status_codes


@dataclasses.dataclass(kw_only=True)
class ConfigShow(base.Command):
    """Prints the text in effect as published; the revision goes to stderr.

    The output can be edited and published with the revision as base.
    """

    def run(self) -> status_codes.Status:
        """See the base class."""
        effect = self.connect().get('/v1/config').value
        if self.is_json:
            base.print_json(effect)
            return status_codes.Status.OK
        print(f'revision {effect["revision"]}', file=sys.stderr)
        if not effect.get('is_log_reachable', True):
            print(
                'the log does not answer this daemon; there may be a newer'
                ' revision',
                file=sys.stderr,
            )
        sys.stdout.write(effect['text'])
        return status_codes.Status.OK
