"""The daemon's HTTP server on a real socket."""

import eventlet
import eventlet.event

from lentildeal._internal.network import http_server
from lentildeal._internal.settings import settings
from tests.lib import builders
from tests.lib import processes


def test_chunk_is_sent_before_the_next_one_is_made():
    """The server's default holds a stream back until it has 4,096 bytes."""
    port = processes.find_free_port()
    platform = dict.fromkeys(('log', 'instances', 'weights'), 'http://x')
    text = builders.make_settings('a1', 'a', port, 0, platform)
    router = http_server.Router()
    server = http_server.HttpServer(settings.parse(text), router)
    is_read = eventlet.event.Event()

    def iter_body():
        yield b'first\n'
        is_read.wait()
        yield b'second\n'

    router.add('GET', '/', lambda _: http_server.Response(body=iter_body()))
    server.start()
    client = eventlet.import_patched('http.client')
    connection = client.HTTPConnection(
        '127.0.0.1', port, timeout=processes.WAIT_S
    )
    connection.request('GET', '/')
    response = connection.getresponse()
    assert response.readline() == b'first\n'
    is_read.send()
    assert response.read() == b'second\n'
    server.stop()
