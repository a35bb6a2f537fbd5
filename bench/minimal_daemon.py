"""Daemon with only the membership and status plug-ins, for benchmarks.

Its instance list is a JSON file; the endpoint's URL is the path.
"""

# Importing the kernel's entry point patches the sockets, so it comes first.
from lentildeal._internal.kernel import main

import json
import pathlib
import sys

from lentildeal._internal.adapters import base
from lentildeal._internal.kernel import plugins

plugins.STAND_ALONE_MODULES = (
    'lentildeal._internal.membership.plugin',
    'lentildeal._internal.reports.status',
)


@base.instance_lists.register('file')
class FileInstanceList(base.InstanceList):
    """Instance list that is read from a JSON file."""

    def __init__(self, endpoint) -> None:
        self._path = pathlib.Path(endpoint.url)

    def list_instances(self) -> list[base.ListedInstance]:
        """See the base class."""
        return [
            base.ListedInstance(**item)
            for item in json.loads(self._path.read_text())
        ]


if __name__ == '__main__':
    sys.exit(main.main())
