"""Requests that are torn or spoiled, and requests in very small pieces."""

import contextlib
import io

import eventlet
from eventlet.green import socket
import pytest

from lentildeal._internal.network import bounded_reads
from lentildeal._internal.network import http_server
from lentildeal._internal.network import yielding
from lentildeal._internal.settings import settings as settings_module
from tests.lib import raw_server
from tests.lib import turns as turns_lib

HEAD = (
    b'POST /first HTTP/1.1\r\nHost: h\r\nX-Name: value\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
HIDDEN = b'GET /hidden HTTP/1.1\r\n\r\n'
REQUEST = HEAD + b'18\r\n' + HIDDEN + b'\r\n0\r\n\r\n'
# Bytes that mean something to some parser.
VALUES = b'\0\t\n\r +-;:0159Fa_x\x80\x9c'


class Server:
    """A server that keeps what its requests were.

    Attributes:
        seen: Method, target and body of each request.
    """

    def __init__(self):
        self.seen = []
        router = http_server.Router()
        router.add('*', '/{path*}', self._handle)
        with contextlib.closing(socket.socket()) as probe:
            probe.bind(('127.0.0.1', 0))
            self._port = probe.getsockname()[1]
        settings = settings_module.Settings(
            instance='n0',
            failure_domain='d1',
            http_address=f'127.0.0.1:{self._port}',
            limits=settings_module.Limits(
                request_bytes=200000, connections=100
            ),
        )
        http_server.HttpServer(settings, router).start()

    def _handle(self, request):
        self.seen.append((request.method, request.target, request.body))
        return http_server.json_response(None)

    def send(self, data, *, is_reset=False):
        """Sends bytes, then the end; returns what the server took from it."""
        self.seen = []
        with contextlib.closing(
            socket.create_connection(('127.0.0.1', self._port))
        ) as client:
            client.settimeout(5.0)
            with contextlib.suppress(ConnectionError):
                client.sendall(data)
                if is_reset:
                    raw_server.reset_on_close(client)
                else:
                    client.shutdown(socket.SHUT_WR)
                    while client.recv(65536):
                        pass
        if is_reset:
            eventlet.sleep(0.01)
        return self.seen


@pytest.fixture(scope='module')
def server():
    return Server()


def test_torn_request_is_not_run(server):
    # Guards against a request that runs without its last headers or a part of
    # its body.
    assert server.send(REQUEST) == [('POST', '/first', HIDDEN)]
    for size in range(len(REQUEST)):
        assert server.send(REQUEST[:size]) == [], REQUEST[:size]


def test_request_that_is_reset_is_not_run(server):
    # Guards against a reset that is taken for the end of a request.
    plain = b'POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'
    for request in (REQUEST, plain):
        for size in range(len(request)):
            assert server.send(request[:size], is_reset=True) == []


def test_spoiled_request_never_runs_what_its_body_holds(server):
    # Guards against request smuggling: a head that ends at a line that is no
    # field leaves the body, which then is the next request.
    end = len(HEAD) + len(b'18\r\n')
    for position in range(end):
        for value in VALUES:
            data = bytearray(REQUEST)
            data[position] = value
            for _, target, body in server.send(bytes(data)):
                assert target != '/hidden', bytes(data)
                assert body in (HIDDEN, b''), bytes(data)


def test_request_behind_a_line_that_is_no_field_is_not_run(server):
    # Guards against a body that is read as the next request, as the line hides
    # the field with its length.
    head = b'POST /first HTTP/1.1\r\nHost: h\r\n'
    length = b'Content-Length: %d\r\n\r\n' % len(HIDDEN)
    assert server.send(head + length + HIDDEN) == [('POST', '/first', HIDDEN)]
    for line in (b'\x9c\x07\xe1', b'garbage', b' : x', b'x : y', b'\0: y'):
        assert server.send(head + line + b'\r\n' + length + HIDDEN) == []


@pytest.mark.parametrize(
    'body',
    [
        b'+3\r\nabc\r\n0\r\n\r\n',
        b'0x3\r\nabc\r\n0\r\n\r\n',
        b'0_3\r\nabc\r\n0\r\n\r\n',
        b' 3\r\nabc\r\n0\r\n\r\n',
        b'3\nabc\n0\n\n',
        b'2\r\nabc\r\n0\r\n\r\n',
        b'3\r\nabc5\r\n0\r\n\r\n',
        b'3\r\nabc\r\n\r\n0\r\n\r\n',
        b'3\r\nabc\r\n0\r\nno field\r\n\r\n',
        b'3\r\nabc\r\n',
        b'3\r\nabc\r\n0',
        b'3\r\nabc\r\n0\r\n',
    ],
)
def test_body_with_invalid_chunks_is_not_run(server, body):
    assert server.send(HEAD + body) == []


def test_body_in_small_chunks_leaves_turns_to_other_threads(server):
    # Guards against a caller that keeps a daemon from its other work.
    size = 20000
    data = HEAD + b'1\r\nx\r\n' * size + b'0\r\n\r\n'
    with turns_lib.count_turns() as turns:
        assert server.send(data) == [('POST', '/first', b'x' * size)]
    assert len(turns) >= size / yielding.MAX_PIECES


def test_lines_that_are_ready_leave_turns_to_other_threads():
    lines = 1000
    reader = bounded_reads.BoundedReader(io.BytesIO(b'x: y\r\n' * lines))
    with turns_lib.count_turns() as turns:
        for _ in range(lines):
            assert reader.readline()
    assert len(turns) >= lines // yielding.MAX_PIECES
