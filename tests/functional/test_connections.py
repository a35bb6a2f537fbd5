"""Connections of the daemon's HTTP client to services."""

import contextlib

from lentildeal._internal.callers import attempts
from lentildeal._internal.callers import calls
from lentildeal._internal.callers import services
from lentildeal._internal.models import text as text_module
from lentildeal._internal.routing import chooser
from lentildeal._internal.routing import grants
from lentildeal._internal.routing import health
from lentildeal._internal.utils import clock
from tests.lib import keep_alive_server

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Service(keep_alive_server.KeepAliveServer):
    """Keeps connections open, even if the client asks to close them."""

    def answer(self, connection):
        while data := connection.recv(65536):
            if data.endswith(b'\r\n\r\n'):
                connection.sendall(RESPONSE)


def call_times(address, is_idempotent, count):
    """Calls a service several times and returns the response bodies."""
    target = text_module.Target(
        text_module.TargetKind.SERVICE, {'a': [address]}
    )
    service = text_module.Service('c', 't', is_idempotent)
    caller = services.ServiceCaller()
    bodies = []
    for _ in range(count):
        call = calls.Call('r', 's', service, target, clock.Deadline(10.0))
        attempt = attempts.Attempt(
            call,
            chooser.Replica('a', address),
            grants.Grant(address, 1, lambda *_: None),
            chooser.LoadTracker(),
            health.HealthTracker(),
        )
        response = caller.call_replica(call, attempt, 'GET', 'x', {}, b'')
        bodies.append(response.body)
    return bodies


def test_non_idempotent_calls_use_fresh_connections():
    """Guards against calls on a connection that the service is closing.

    Such a call would fail with ``may_have_run``, because the client cannot
    tell whether it ran.
    """
    with contextlib.closing(Service()) as server:
        assert call_times(server.address, False, 5) == [b'ok'] * 5
        assert server.connections == 5
        assert call_times(server.address, True, 5) == [b'ok'] * 5
        assert server.connections == 6
