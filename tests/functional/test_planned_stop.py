"""Planned stop of a real daemon under load."""

import http.client
import json
import socket
import threading

import pytest

from tests.lib import federation as federation_module
from tests.lib import processes

CLIENTS = 8
SLOW_DAEMON = 'tests.lib.slow_daemon'


@pytest.fixture(name='daemon')
def start_daemon(monkeypatch):
    """Starts a daemon with slow routes and a leave time of 500 ms."""
    monkeypatch.setattr(processes, 'DAEMON', SLOW_DAEMON)
    with federation_module.Federation() as federation:
        daemon = federation.add_daemon('a1', 'a', timing={'leave_ms': 500})
        processes.wait_for(lambda: is_up(daemon), 'the daemon answers')
        yield daemon


def is_up(daemon):
    """Whether the daemon responds to requests."""
    try:
        return daemon.call('GET', '/healthz')[0] == 200
    except OSError:
        return False


class Client(threading.Thread):
    """Sends requests over a persistent connection until one is refused."""

    def __init__(self, port):
        super().__init__(daemon=True)
        self._connection = http.client.HTTPConnection('127.0.0.1', port)
        self.served = 0
        self.refusal = None
        self.error = None

    def run(self):
        """Counts complete responses; stores the refusal or the error."""
        try:
            while self.refusal is None:
                self._connection.request('POST', '/slow/20', b'x' * 100_000)
                response = self._connection.getresponse()
                body = json.loads(response.read())
                if response.status == 200:
                    assert body['length'] == 100_000
                    self.served += 1
                else:
                    self.refusal = (response.status, response.headers, body)
        except Exception as error:
            self.error = error


def start_request(port, path):
    """Sends a request on a new connection and returns the connection."""
    connection = http.client.HTTPConnection('127.0.0.1', port)
    connection.request('GET', path)
    return connection


def test_no_request_is_cut_off_and_late_ones_are_refused(daemon):
    """A planned stop closes connections with requests in flight."""
    clients = [Client(daemon.port) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    processes.wait_for(lambda: all(c.served for c in clients), 'load runs')
    idle = start_request(daemon.port, '/healthz')
    idle.getresponse().read()
    stream = start_request(daemon.port, '/stream/40')
    response = stream.getresponse()
    served = sum(client.served for client in clients)

    assert daemon.call('POST', '/v1/drain')[0] == 202
    processes.wait_for(
        lambda: daemon.call('GET', '/readyz')[0] == 503, 'not ready'
    )
    processes.wait_for(
        lambda: sum(client.served for client in clients) > served,
        'requests are served while leaving',
    )
    for client in clients:
        client.join(processes.WAIT_S)
    assert [client.error for client in clients] == [None] * CLIENTS
    for client in clients:
        check_refusal(*client.refusal)
    # A connection that was idle since before the stop is still answered.
    idle.request('GET', '/slow/1')
    late = idle.getresponse()
    check_refusal(late.status, late.headers, json.loads(late.read()))
    assert daemon.exit_status is None
    assert daemon.call('GET', '/healthz')[0] == 200
    assert response.read().split() == [str(n).encode() for n in range(40)]
    assert daemon.wait() == 0


def check_refusal(status, headers, problem):
    """Checks that a refusal says that nothing ran and is not kept alive."""
    assert status == 503
    assert problem['outcome'] == 'not_run'
    assert problem['cause'] == 'leaving'
    assert headers['Connection'] == 'close'
    assert int(headers['Retry-After']) >= 1


def test_responses_close_their_connections_during_the_stop(daemon):
    """A persistent connection is closed while a caller sends a request on it.

    This happens if connections stay open until the process ends.
    """
    stream = start_request(daemon.port, '/stream/20')
    stream.getresponse()
    daemon.terminate()
    processes.wait_for(
        lambda: daemon.call('GET', '/readyz')[0] == 503, 'not ready'
    )
    connection = start_request(daemon.port, '/healthz')
    response = connection.getresponse()
    assert response.headers['Connection'] == 'close'
    assert daemon.exit_status is None


def test_stop_waits_for_a_partly_received_request(daemon):
    """The stop cuts off a request whose headers are not complete.

    This happens if requests are counted only after their headers are read.
    """
    connection = socket.create_connection(('127.0.0.1', daemon.port))
    connection.sendall(b'GET /healthz HTTP/1.1\r\n')
    processes.wait_for(
        lambda: daemon.call('GET', '/v1/status')[1]['requests_in_flight'] == 2,
        'the first line is counted',
    )
    daemon.terminate()
    processes.wait_for(
        lambda: daemon.call('GET', '/slow/1')[0] == 503, 'new work is refused'
    )
    connection.sendall(b'Host: a\r\n\r\n')
    assert connection.recv(100).startswith(b'HTTP/1.1 200')
    assert daemon.wait() == 0


def test_stream_of_a_killed_daemon_is_incomplete(daemon):
    """A caller takes a response that a crash has cut off for complete."""
    stream = start_request(daemon.port, '/stream/100')
    response = stream.getresponse()
    response.read(1)
    daemon.kill()
    with pytest.raises((http.client.HTTPException, OSError)):
        response.read()
