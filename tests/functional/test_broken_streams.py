"""Streams that break before their end, as each kind of client sees them."""

import contextlib
import itertools
import socket

import eventlet
from eventlet.green import socket as green_socket
import pytest

from lentildeal._internal.network import green_sockets
from lentildeal._internal.network import http_protocol
from lentildeal._internal.network import http_server
from lentildeal._internal.settings import settings
from tests.lib import builders
from tests.lib import platform_world
from tests.lib import processes
from tests.lib import raw_server

PART = b'data: part\n\n'
LAST_CHUNK = b'0\r\n\r\n'
STREAM_ROUTE = platform_world.make_route('feed', '/feed/', 'stream', 'desk')
REQUEST_ID = b'Lentildeal-Request-Id: feed-1\r\n'
HEADS = {
    'HTTP/1.0': b'GET /feed/x HTTP/1.0\r\n',
    'HTTP/1.0 keep-alive': (
        b'GET /feed/x HTTP/1.0\r\nConnection: keep-alive\r\n'
    ),
    'HTTP/1.1': b'GET /feed/x HTTP/1.1\r\n',
    'HTTP/1.1 close': b'GET /feed/x HTTP/1.1\r\nConnection: close\r\n',
}


def make_request(kind):
    host = f'Host: {platform_world.HOST}\r\n'.encode()
    return HEADS[kind] + host + REQUEST_ID + b'\r\n'


class Answer:
    """What a client receives.

    Attributes:
        data: All bytes.
        is_reset: Whether the connection was reset.
    """

    def __init__(self, receive, connection):
        self.data = b''
        self.is_reset = False
        try:
            while part := receive(connection, 65536):
                self.data += part
                if self.is_chunked and self.data.endswith(LAST_CHUNK):
                    return
        except ConnectionResetError:
            self.is_reset = True

    @property
    def is_chunked(self):
        return b'chunked' in self.data.partition(b'\r\n\r\n')[0]

    @property
    def is_whole(self):
        """Whether a client takes the body for a complete one."""
        if self.is_chunked:
            return self.data.endswith(LAST_CHUNK)
        return not self.is_reset


@contextlib.contextmanager
def serving(body):
    """Serves a stream in this process; yields a function that connects."""
    router = http_server.Router()
    router.add('*', '/feed/x', lambda _: http_server.Response(200, {}, body))
    port = processes.find_free_port()
    platform = dict.fromkeys(('log', 'instances', 'weights'), 'http://x')
    text = builders.make_settings('a1', 'a', port, 0, platform)
    server = http_server.HttpServer(settings.parse(text), router)
    server.start()
    try:
        yield lambda: green_socket.create_connection(
            ('127.0.0.1', port), timeout=processes.WAIT_S
        )
    finally:
        server.stop()


def break_after(count, part=PART):
    yield from itertools.repeat(part, count)
    raise RuntimeError('the stream broke')


def ask(connect, kind, pause_s=0.0):
    with contextlib.closing(connect()) as connection:
        connection.sendall(make_request(kind))
        eventlet.sleep(pause_s)
        return Answer(green_sockets.receive, connection)


@pytest.mark.parametrize('count', [1, 3])
@pytest.mark.parametrize('kind', HEADS)
def test_broken_stream_is_whole_to_no_client(kind, count):
    """Guards against a broken stream that ends as a whole one would.

    A client that takes no chunks sees only how the connection ends. All that
    was sent before arrives.
    """
    with serving(break_after(count)) as connect:
        answer = ask(connect, kind)
    assert not answer.is_whole
    assert answer.data.count(PART) == count


@pytest.mark.parametrize('kind', HEADS)
def test_whole_stream_is_whole_to_each_client(kind):
    with serving(iter([PART] * 3)) as connect:
        answer = ask(connect, kind)
    assert answer.is_whole
    assert not answer.is_reset
    assert answer.data.count(PART) == 3


@pytest.mark.parametrize('kind', HEADS)
def test_stream_that_breaks_before_its_start_is_an_error(kind):
    with serving(break_after(0)) as connect:
        answer = ask(connect, kind)
    assert answer.data.startswith(b'HTTP/1.1 500 ')


def test_reset_waits_for_the_last_bytes():
    """Guards against a reset that discards what was sent before it."""
    part = b'x' * 1_000_000
    with serving(break_after(1, part)) as connect:
        answer = ask(connect, 'HTTP/1.0', pause_s=0.2)
    assert answer.is_reset
    assert answer.data.count(b'x') == len(part)


def test_client_that_is_too_slow_sees_a_broken_stream(monkeypatch):
    """Guards against an orderly end after the part that fits the buffers."""
    monkeypatch.setattr(http_protocol, 'WRITE_TIMEOUT_S', 0.3)
    monkeypatch.setattr(http_protocol, 'MIN_WRITE_BYTES_PER_S', 10**12)
    with serving(iter([b'x' * 30_000_000])) as connect:
        answer = ask(connect, 'HTTP/1.0', pause_s=1.0)
    assert answer.is_reset
    assert answer.data.count(b'x') < 30_000_000


def ask_daemon(daemon, kind):
    connection = socket.create_connection(
        ('127.0.0.1', daemon.port), timeout=processes.WAIT_S
    )
    connection.sendall(make_request(kind))
    return connection


def read_part(connection):
    """Reads up to the first event."""
    data = b''
    while PART not in data:
        data += connection.recv(65536)
    return data


@pytest.fixture
def world():
    with processes.Launcher() as launcher:
        found = platform_world.World(launcher, daemons=1)
        found.write_text(2, extra_routes=[STREAM_ROUTE])
        yield found


def serve_stream(world, *end):
    """Puts a server in place whose stream has one event before its end."""
    head = raw_server.OK + REQUEST_ID + b'Lentildeal-Response-Stamp: s\r\n'
    head += b'Content-Type: text/event-stream\r\nConnection: close\r\n\r\n'
    server = raw_server.RawServer(lambda _: (head + PART, *end))
    world.write_replica('p0', 'desk', server.address, {})
    (daemon,) = world.daemons

    def is_used():
        with contextlib.closing(ask_daemon(daemon, 'HTTP/1.1')) as probe:
            probe.recv(65536)
        return server.connections > 0

    processes.wait_for(is_used, 'the new address is used')
    return server


@pytest.mark.parametrize('kind', HEADS)
def test_stream_that_its_replica_resets_is_whole_to_no_client(world, kind):
    """Guards against a broken stream of a replica that looks whole."""
    (daemon,) = world.daemons
    for is_broken in (True, False):
        end = raw_server.RESET if is_broken else None
        with contextlib.closing(serve_stream(world, 0.05, end)):
            for _ in range(5):
                with contextlib.closing(ask_daemon(daemon, kind)) as client:
                    answer = Answer(socket.socket.recv, client)
                assert answer.data.count(PART) == 1
                assert answer.is_whole != is_broken


@pytest.mark.parametrize('is_planned', [True, False])
def test_stream_of_a_daemon_that_ends_is_whole_to_no_client(world, is_planned):
    """Guards against the orderly end that the system makes of an open stream.

    A planned stop ends streams that last longer than its time.
    """
    (daemon,) = world.daemons
    with contextlib.closing(serve_stream(world, 30.0)):
        with contextlib.closing(ask_daemon(daemon, 'HTTP/1.0')) as client:
            data = read_part(client)
            if is_planned:
                daemon.terminate()
            else:
                daemon.kill()
            answer = Answer(socket.socket.recv, client)
    assert answer.is_reset, data
