"""Minimal threaded HTTP/1.1 server for the stand-ins of the review."""

import collections
import json
import socket
import threading
import urllib.parse

REASONS = {200: 'OK', 202: 'Accepted', 404: 'Not Found', 409: 'Conflict',
           410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected',
           422: 'Unprocessable', 429: 'Too Many Requests',
           500: 'Internal Server Error', 503: 'Service Unavailable'}

Request = collections.namedtuple(
    'Request', 'method path query headers body socket')


class Closed(Exception):
    """Ends a connection without a further answer."""


class Server:
    """Serves each connection in a thread; `handle` gives the answers."""

    def __init__(self, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(('127.0.0.1', port))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]

    def serve_forever(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True).start()

    def handle(self, request):
        """Returns status, headers and body, or None if it has answered."""
        raise NotImplementedError

    def _serve(self, connection):
        reader = connection.makefile('rb')
        try:
            while True:
                request = read_request(reader, connection)
                if request is None:
                    return
                answer = self.handle(request)
                if answer is not None:
                    send(connection, *answer)
        except (OSError, Closed, ValueError):
            pass
        finally:
            reader.close()
            connection.close()


def read_request(reader, connection):
    line = reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers = {}
    while True:
        line = reader.readline()
        if line in (b'\r\n', b''):
            break
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get('content-length') or 0))
    path, _, query = target.partition('?')
    return Request(method, path, dict(urllib.parse.parse_qsl(query)),
                   headers, body, connection)


def send(connection, status, headers, body):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = {'Content-Type': 'application/json', **headers}
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Other")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    connection.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
