"""Requests on connections that their server has closed without notice."""

import contextlib
import re

import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.network import http_client
from lentildeal._internal.network import target_connections
from tests.lib import keep_alive_server

ANSWER = (
    b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok'
)
LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)


class ForgetfulTarget(keep_alive_server.KeepAliveServer):
    """Answers one request a connection, then closes it at the next one.

    Attributes:
        requests: Requests read so far, answered or not.
        is_resetting: Whether no request is answered any more.
    """

    def __init__(self):
        self.requests = 0
        self.is_resetting = False
        super().__init__()

    def answer(self, connection):
        with contextlib.closing(connection):
            if self._read_request(connection):
                if self.is_resetting:
                    return
                connection.sendall(ANSWER)
            self._read_request(connection)

    def _read_request(self, connection):
        """Reads a whole request, whose head and body may come apart."""
        data = b''
        while not is_whole(data):
            part = connection.recv(65536)
            if not part:
                return False
            data += part
        self.requests += 1
        return True


def is_whole(data):
    """Whether bytes hold a request's head and all of its body."""
    head, end, body = data.partition(b'\r\n\r\n')
    length = LENGTH.search(head)
    return bool(end) and len(body) >= (int(length[1]) if length else 0)


@pytest.fixture
def target():
    with contextlib.closing(ForgetfulTarget()) as found:
        yield found


def send(connections, target, *, is_repeatable):
    return connections.send(
        target.address,
        'POST',
        '/path',
        [('Host', 'club.example')],
        b'body',
        silence_s=2.0,
        is_repeatable=is_repeatable,
    ).read()


def test_repeatable_request_goes_on_a_new_connection(target):
    # Guards against a failed call because a target closed an idle
    # connection sooner than it had said.
    connections = target_connections.TargetConnections()
    for _ in range(3):
        assert send(connections, target, is_repeatable=True) == b'ok'
    assert target.connections == 3


def test_request_that_may_not_be_repeated_takes_no_used_connection(target):
    # Guards against a call of which nobody can tell whether it ran.
    connections = target_connections.TargetConnections()
    assert send(connections, target, is_repeatable=True) == b'ok'
    assert send(connections, target, is_repeatable=False) == b'ok'
    assert (target.connections, target.requests) == (2, 2)


def test_request_is_sent_twice_at_most(target):
    # Guards against repeating a request that a target refuses by a reset.
    connections = target_connections.TargetConnections()
    assert send(connections, target, is_repeatable=True) == b'ok'
    target.is_resetting = True
    with pytest.raises(exceptions.ConnectionClosedError):
        send(connections, target, is_repeatable=True)
    assert target.requests == 3


def test_repeatable_call_goes_on_a_new_connection(target):
    # Guards against reports of replicas and reads of the store that fail
    # because an idle connection was closed.
    client = http_client.HttpClient()
    url = f'http://{target.address}/path'
    for _ in range(3):
        answer = client.request('GET', url, timeout_s=2.0, is_repeatable=True)
        assert answer.body == b'ok'
    assert target.connections == 3


def test_call_that_may_not_be_repeated_fails_when_it_was_closed(target):
    # Guards against an append that is made twice unasked.
    client = http_client.HttpClient()
    url = f'http://{target.address}/path'
    client.request('GET', url, timeout_s=2.0)
    target.is_resetting = True
    with pytest.raises(exceptions.ConnectionClosedError):
        client.request('POST', url, timeout_s=2.0, body=b'record')
    assert target.requests == 2
