"""A daemon with routes that take long, for tests of the planned stop."""

# The kernel's entry patches the sockets and must come first.
from lentildeal._internal.kernel import main

import sys

import eventlet

from lentildeal._internal.kernel import plugins
from lentildeal._internal.network import http_server


@plugins.register('slow')
class SlowRoutes(plugins.Plugin):
    """``/slow/{ms}`` answers late, ``/stream/{count}`` in pieces."""

    def start(self) -> None:
        """See the base class."""
        self._kernel.router.add('*', '/slow/{ms}', _answer_late)
        self._kernel.router.add('GET', '/stream/{count}', _answer_in_pieces)


def _answer_late(request) -> http_server.Response:
    eventlet.sleep(int(request.parameters['ms']) / 1000)
    return http_server.json_response({'length': len(request.body)})


def _answer_in_pieces(request) -> http_server.Response:
    return http_server.Response(
        200, {}, _iter_pieces(int(request.parameters['count']))
    )


def _iter_pieces(count: int):
    for number in range(count):
        yield f'{number}\n'.encode()
        eventlet.sleep(0.1)


if __name__ == '__main__':
    sys.exit(main.main())
