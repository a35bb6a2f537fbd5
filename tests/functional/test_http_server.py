"""The daemon's HTTP server on a real socket."""

import http.client

import eventlet
import eventlet.event
from eventlet.green import socket
import pytest

from lentildeal._internal.network import http_server
from lentildeal._internal.settings import settings
from tests.lib import builders
from tests.lib import processes

BODY_LIMIT = 2048


@pytest.fixture
def router():
    return http_server.Router()


@pytest.fixture
def port(router):
    """Port of a server that serves the router."""
    number = processes.find_free_port()
    platform = dict.fromkeys(('log', 'instances', 'weights'), 'http://x')
    text = builders.make_settings(
        'a1', 'a', number, 0, platform, limits={'request_bytes': BODY_LIMIT}
    )
    server = http_server.HttpServer(settings.parse(text), router)
    server.start()
    yield number
    server.stop()


def exchange(port, data):
    """Sends bytes; returns all bytes received until the end."""
    with socket.create_connection(
        ('127.0.0.1', port), timeout=processes.WAIT_S
    ) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        received = b''
        while chunk := connection.recv(65536):
            received += chunk
    return received


@pytest.mark.parametrize(
    'head',
    [
        b'Content-Length: 0\r\nContent-Length: 44\r\n',
        b'Content-Length: 44, 0\r\n',
        b'Content-Length: +0\r\n',
        b'Content-Length: 44\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: gzip, chunked\r\n',
        b'Transfer-Encoding: \x0bchunked\r\n',
    ],
)
def test_request_hidden_in_a_body_is_not_run(router, port, head):
    """Guards against request smuggling in a body of ambiguous length."""
    seen = []

    def handle(request):
        seen.append(request.target)
        return http_server.Response()

    router.add('*', '/{path*}', handle)
    hidden = b'GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n'
    sent = b'POST /x HTTP/1.1\r\nHost: a\r\n' + head + b'\r\n' + hidden
    assert exchange(port, sent).startswith(b'HTTP/1.1 400')
    assert seen == []


def test_target_and_headers_are_unchanged(router, port):
    """Guards against changing a request that is forwarded to a target."""
    seen = []

    def handle(request):
        seen.append((request.target, dict(request.raw_headers)['X-Name']))
        return http_server.Response()

    router.add('*', '/{path*}', handle)
    exchange(
        port, b'GET /a%2fb/../c?q=%41 HTTP/1.1\r\nHost: a\r\nX-Name: Y\r\n\r\n'
    )
    assert seen == [('/a%2fb/../c?q=%41', 'Y')]


def test_too_large_body_is_refused(router, port):
    """Guards against one client that exhausts the memory."""
    router.add('*', '/{path*}', lambda _: http_server.Response())
    length = b'%d' % (BODY_LIMIT + 1)
    received = exchange(
        port,
        b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: '
        + length
        + b'\r\n\r\n',
    )
    assert received.startswith(b'HTTP/1.1 413')


@pytest.fixture
def green_client(monkeypatch):
    """Module ``http.client`` with green sockets.

    ``import_patched`` leaves it as the attribute ``http.client``. Code that
    is tested later in this process would not catch the exceptions of the
    original.
    """
    monkeypatch.setattr(http, 'client', http.client)
    return eventlet.import_patched('http.client')


def test_chunk_is_sent_before_the_next_one_is_made(router, port, green_client):
    """Guards against eventlet buffering chunks until it has 4,096 bytes."""
    is_read = eventlet.event.Event()

    def iter_body():
        yield b'first\n'
        is_read.wait()
        yield b'second\n'

    router.add('GET', '/', lambda _: http_server.Response(body=iter_body()))
    connection = green_client.HTTPConnection(
        '127.0.0.1', port, timeout=processes.WAIT_S
    )
    connection.request('GET', '/')
    response = connection.getresponse()
    assert response.readline() == b'first\n'
    is_read.send()
    assert response.read() == b'second\n'


@pytest.mark.parametrize(
    'target', ['/x?', '/x', '//x/y', '///x//y?', '/x?a=/b?c', '/%2fx/%3f']
)
def test_target_is_passed_on_as_it_was_sent(port, router, target):
    """Guards against a request that runs with another path or query."""
    seen = []

    def handle(request):
        seen.append(request.target)
        return http_server.json_response(None)

    router.add('*', '/{path*}', handle)
    head = f'GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    assert exchange(port, head.encode()).startswith(b'HTTP/1.1 200 ')
    assert seen == [target]
