"""Requests on idle connections that the server has closed."""

import contextlib
import re

import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.network import http_client
from lentildeal._internal.network import target_connections
from tests.lib import keep_alive_server

RESPONSE = (
    b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok'
)
LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)


class ClosingTarget(keep_alive_server.KeepAliveServer):
    """Answers the first request of a connection and closes it at the next.

    Attributes:
        requests: Requests read so far, answered or not.
        is_resetting: Whether connections are closed without a response.
        is_crashing: Whether the target goes down with the next request.
    """

    def __init__(self):
        self.requests = 0
        self.is_resetting = False
        self.is_crashing = False
        super().__init__()

    def answer(self, connection):
        with contextlib.closing(connection):
            if self._read_request(connection):
                if self._is_broken():
                    return
                connection.sendall(RESPONSE)
            self._read_request(connection)
            self._is_broken()

    def _is_broken(self):
        """Whether there is no response; a crash also ends the listener."""
        if self.is_crashing:
            self.close()
        return self.is_resetting or self.is_crashing

    def _read_request(self, connection):
        """Reads a complete request, which may arrive in several parts."""
        data = b''
        while not is_complete(data):
            part = connection.recv(65536)
            if not part:
                return False
            data += part
        self.requests += 1
        return True


def is_complete(data):
    """Whether bytes hold the headers and the complete body of a request."""
    head, end, body = data.partition(b'\r\n\r\n')
    length = LENGTH.search(head)
    return bool(end) and len(body) >= (int(length[1]) if length else 0)


@pytest.fixture
def target():
    with contextlib.closing(ClosingTarget()) as found:
        yield found


def send(connections, target, *, is_repeatable):
    return connections.send(
        target.address,
        'POST',
        '/path',
        [('Host', 'club.example')],
        b'body',
        read_timeout_s=2.0,
        is_repeatable=is_repeatable,
    ).read()


def test_repeatable_request_is_sent_on_a_new_connection(target):
    # Guards against failing a call because a target closed an idle
    # connection earlier than it had announced.
    connections = target_connections.TargetConnections()
    for _ in range(3):
        assert send(connections, target, is_repeatable=True) == b'ok'
    assert target.connections == 3


def test_request_that_may_not_be_repeated_takes_no_used_connection(target):
    # Guards against a failed call that may or may not have run.
    connections = target_connections.TargetConnections()
    assert send(connections, target, is_repeatable=True) == b'ok'
    assert send(connections, target, is_repeatable=False) == b'ok'
    assert (target.connections, target.requests) == (2, 2)


def test_request_is_sent_at_most_twice(target):
    # Guards against repeating a request that a target always resets.
    connections = target_connections.TargetConnections()
    assert send(connections, target, is_repeatable=True) == b'ok'
    target.is_resetting = True
    with pytest.raises(exceptions.ConnectionClosedError):
        send(connections, target, is_repeatable=True)
    assert target.requests == 3


def test_repeatable_call_is_sent_on_a_new_connection(target):
    # Guards against failing replica reports and store reads because an
    # idle connection was closed.
    client = http_client.HttpClient()
    url = f'http://{target.address}/path'
    for _ in range(3):
        response = client.request(
            'GET', url, timeout_s=2.0, is_repeatable=True
        )
        assert response.body == b'ok'
    assert target.connections == 3


def test_unrepeatable_call_fails_on_a_closed_connection(target):
    # Guards against repeating an append.
    client = http_client.HttpClient()
    url = f'http://{target.address}/path'
    client.request('GET', url, timeout_s=2.0)
    target.is_resetting = True
    with pytest.raises(exceptions.ConnectionClosedError):
        client.request('POST', url, timeout_s=2.0, body=b'record')
    assert target.requests == 2


@pytest.mark.parametrize('has_idle', [True, False])
def test_request_that_takes_its_target_down_may_have_run(target, has_idle):
    # Guards against a refusal that says the request has not run, as the next
    # connection is refused, and against a crash that looks like a reset.
    connections = target_connections.TargetConnections()
    if has_idle:
        assert send(connections, target, is_repeatable=True) == b'ok'
    target.is_crashing = True
    with pytest.raises(exceptions.TargetCrashedError):
        send(connections, target, is_repeatable=True)
    assert target.requests == has_idle + 1


def test_connection_to_a_target_that_is_down_has_sent_nothing(target):
    target.close()
    connections = target_connections.TargetConnections()
    with pytest.raises(exceptions.NotRunError):
        send(connections, target, is_repeatable=True)
