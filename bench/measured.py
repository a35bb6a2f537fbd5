"""A daemon with the membership and status plug-ins only, for measurements.

Its instance list is a JSON file, named by the endpoint's URL.
"""

# The kernel's entry patches the sockets and must come first.
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
    """Reads the list from a file."""

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
