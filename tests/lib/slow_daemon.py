"""A daemon with slow routes, for tests of the planned stop."""

# The kernel's entry point patches the sockets and must be imported first.
from lentildeal._internal.kernel import main

import sys

import eventlet

from lentildeal._internal.kernel import plugins
from lentildeal._internal.network import http_server


@plugins.register('slow')
class SlowRoutes(plugins.Plugin):
    """``/slow/{ms}`` responds late, ``/stream/{count}`` in chunks."""

    def start(self) -> None:
        """See the base class."""
        self._kernel.router.add('*', '/slow/{ms}', _respond_late)
        self._kernel.router.add('GET', '/stream/{count}', _respond_in_chunks)


def _respond_late(request) -> http_server.Response:
    eventlet.sleep(int(request.parameters['ms']) / 1000)
    return http_server.json_response({'length': len(request.body)})


def _respond_in_chunks(request) -> http_server.Response:
    return http_server.Response(
        200, {}, _iter_chunks(int(request.parameters['count']))
    )


def _iter_chunks(count: int):
    for number in range(count):
        yield f'{number}\n'.encode()
        eventlet.sleep(0.1)


if __name__ == '__main__':
    sys.exit(main.main())
