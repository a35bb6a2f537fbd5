"""HTTP server, fault injection and base class of all stand-ins."""

from __future__ import annotations

import argparse
import dataclasses
import json
import logging
import os
import random
import socket
import time
import typing
import urllib.parse

import eventlet
import eventlet.wsgi

JSON_TYPE = 'application/json'
# A stand-in whose launcher was killed exits by itself after this time.
LIFETIME_S = 900.0

_REASONS = {
    200: 'OK',
    202: 'Accepted',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    429: 'Too Many Requests',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class RequestAbortedError(Exception):
    """Ends a request whose connection was closed to inject a fault."""


class HttpError(Exception):
    """Ends a request with an error status.

    Attributes:
        response: Response to send.
    """

    def __init__(
        self,
        status: int,
        error: str,
        headers: typing.Optional[dict[str, str]] = None,
        **fields: typing.Any,
    ) -> None:
        super().__init__(error)
        response = json_response({'error': error, **fields}, status)
        response.headers.update(headers or {})
        self.response = response


@dataclasses.dataclass
class Request:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    socket: typing.Any

    def read_json(self) -> dict:
        """Decodes the body as a JSON object.

        Raises:
            HttpError: The body isn't a JSON object.
        """
        try:
            value = json.loads(self.body or b'{}')
        except ValueError as error:
            raise HttpError(400, f'not JSON: {error}') from error
        if not isinstance(value, dict):
            raise HttpError(400, 'not a JSON object')
        return value

    def abort(self) -> typing.NoReturn:
        """Closes the connection without a response and ends the request."""
        self.close_connection()
        raise RequestAbortedError

    def close_connection(self) -> None:
        """Shuts the connection down in both directions."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def is_client_gone(self) -> bool:
        """Whether the client has closed its side of the connection."""
        try:
            data = self.socket.fd.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return False
        except OSError:
            return True
        return data == b''


@dataclasses.dataclass
class Response:
    """One HTTP response; an iterator as body is sent in chunks."""

    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: typing.Union[bytes, typing.Iterator[bytes]] = b''


def json_response(value: typing.Any, status: int = 200) -> Response:
    """Makes a response from a JSON value."""
    body = json.dumps(value).encode()
    return Response(status, {'Content-Type': JSON_TYPE}, body)


class Faults:
    """Fault switches by name.

    A switch that is tested with ``should_inject`` holds either an integer,
    the number of further requests that it applies to, or a float, the share
    of requests that it applies to.
    """

    def __init__(self, defaults: dict[str, float], seed: int) -> None:
        self._values = dict(defaults)
        self._random = random.Random(seed)

    def __getitem__(self, name: str) -> float:
        return self._values[name]

    def set(self, changes: dict[str, typing.Any]) -> dict[str, float]:
        """Changes switches and returns all of them.

        Raises:
            HttpError: A name is unknown.
        """
        unknown = sorted(set(changes) - set(self._values))
        if unknown:
            known = sorted(self._values)
            raise HttpError(400, f'unknown {unknown}; known: {known}')
        self._values.update(changes)
        return dict(self._values)

    def should_inject(self, name: str) -> bool:
        """Whether to inject the fault now; counts an integer switch down."""
        value = self._values[name]
        if isinstance(value, float):
            return self._random.random() < value
        if value <= 0:
            return False
        self._values[name] = value - 1
        return True


class StandIn:
    """Base class of the stand-ins: common routes, faults and ``handle``."""

    # Switches of every stand-in: respond with 503, never respond, respond
    # with a delay.
    common_faults = {'down': False, 'hang': False, 'delay_ms': 0}
    fault_defaults: typing.ClassVar[dict[str, float]] = {}

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.faults = Faults(
            {**self.common_faults, **self.fault_defaults}, arguments.seed
        )
        self.faults.set(json.loads(arguments.faults))

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the command-line arguments of this stand-in."""

    def start(self) -> None:
        """Starts green threads before serving begins."""

    def handle(self, request: Request) -> Response:
        """Handles a request that matches none of the common routes."""
        raise HttpError(404, f'no {request.method} {request.path}')

    def journal(self) -> dict:
        """What this stand-in did, including what clients were not told."""
        return {}

    def respond(self, request: Request) -> Response:
        """Handles any request: common routes and faults, then ``handle``."""
        if request.path == '/healthz':
            return json_response({})
        if request.path == '/journal':
            return json_response(self.journal())
        if request.path == '/faults' and request.method == 'POST':
            return json_response(self.faults.set(request.read_json()))
        while self.faults['hang']:
            eventlet.sleep(0.05)
        if self.faults['delay_ms']:
            eventlet.sleep(self.faults['delay_ms'] / 1000)
        if self.faults['down']:
            raise HttpError(503, 'down')
        return self.handle(request)


def run(cls: type[StandIn]) -> None:
    """Parses the command line and serves until the process ends."""
    eventlet.monkey_patch()
    parser = argparse.ArgumentParser(description=cls.__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--faults', default='{}', help='JSON object')
    parser.add_argument('--lifetime-s', type=float, default=LIFETIME_S)
    cls.add_arguments(parser)
    arguments = parser.parse_args()
    stand_in = cls(arguments)
    listener = eventlet.listen(
        ('127.0.0.1', arguments.port), backlog=1024, reuse_port=False
    )
    eventlet.spawn_after(arguments.lifetime_s, os._exit, 1)
    stand_in.start()
    print(listener.getsockname()[1], flush=True)
    log = logging.getLogger('standins')
    log.addHandler(logging.NullHandler())
    log.propagate = False
    eventlet.wsgi.server(
        listener,
        _make_application(stand_in),
        log=log,
        log_output=False,
        # By default, eventlet buffers chunks until there are 4,096 bytes.
        minimum_chunk_size=1,
        max_size=10_000,
        debug=False,
    )


def now_s() -> float:
    """Monotonic time, comparable between processes of the machine."""
    return time.monotonic()


def _make_application(stand_in: StandIn) -> typing.Callable:
    def application(environ, start_response):
        try:
            response = stand_in.respond(_read_request(environ))
        except HttpError as error:
            response = error.response
        headers = dict(response.headers)
        body = response.body
        if isinstance(body, bytes):
            headers.setdefault('Content-Length', str(len(body)))
            body = [body]
        reason = _REASONS.get(response.status, 'Other')
        start_response(f'{response.status} {reason}', list(headers.items()))
        return body

    return application


def _read_request(environ: dict) -> Request:
    """Reads a request with its complete body.

    Raises:
        HttpError: The sender ended before the end of the body.
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body = environ['wsgi.input'].read(length) if length else b''
    if len(body) < length:
        raise HttpError(400, f'{len(body)} of {length} bytes of the body')
    headers = {
        name[5:].replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    return Request(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', ''))),
        headers=headers,
        body=body,
        socket=environ['eventlet.input'].get_socket(),
    )
