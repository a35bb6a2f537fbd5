"""A daemon that takes the account of a live call from a header of the test.

Admission can so be tested apart from the keys of accounts. An account that
the daemon has found itself is kept.
"""

import dataclasses
import sys

from lentildeal._internal.kernel import main  # Patches the library first.
from lentildeal._internal.gateway import plugin  # noqa: H306

HEADER = 'Test-Account'


class _KeyedGateway(plugin.Gateway):
    def forward(self, route, call):
        headers = {name.lower(): value for name, value in call.headers}
        account = call.account or headers.get(HEADER.lower())
        return super().forward(
            route,
            dataclasses.replace(
                call, account=account, priority=route.priority
            ),
        )


if __name__ == '__main__':
    # Replaces the plug-in of that name.
    plugin.plugins.register(
        'gateway', after=('directory', 'replica_limits', 'usage')
    )(_KeyedGateway)
    sys.exit(main.main())
