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
        current = self.connect().get('/v1/config').value
        if self.is_json:
            base.print_json(current)
            return status_codes.Status.OK
        print(f'revision {current["revision"]}', file=sys.stderr)
        if not current.get('is_log_reachable', True):
            print(
                'the daemon cannot reach the log; there may be a newer'
                ' revision',
                file=sys.stderr,
            )
        sys.stdout.write(current['text'])
        return status_codes.Status.OK
