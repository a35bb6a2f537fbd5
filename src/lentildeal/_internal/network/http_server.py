"""Routes and request handling on eventlet's WSGI server."""

from __future__ import annotations

import dataclasses
import json
import re
import socket
import typing
import urllib.parse

import eventlet
import eventlet.wsgi
from loguru import logger

from lentildeal._internal import exceptions
from lentildeal._internal.network import problems
from lentildeal._internal.settings import settings as settings_module

JSON_TYPE = 'application/json'
# Idle keep-alive connections are closed after this time, in seconds.
KEEPALIVE_S = 75


@dataclasses.dataclass(frozen=True)
class Request:
    """One HTTP request.

    Attributes:
        method: Upper-case method.
        path: Decoded path.
        query: Last value of each query parameter.
        parameters: Values of the placeholders of the route's pattern.
        headers: Values by lower-case name.
        body: Whole body.
        socket: Connection of the caller, None in tests without one.
    """

    method: str
    path: str
    query: dict[str, str]
    parameters: dict[str, str]
    headers: dict[str, str]
    body: bytes = b''
    socket: typing.Any = None

    def is_caller_gone(self) -> bool:
        """Whether the caller has closed the connection."""
        if self.socket is None:
            return False
        try:
            data = self.socket.fd.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            return False
        except OSError:
            return True
        return data == b''

    def read_json(self) -> typing.Any:
        """Decodes the body.

        Raises:
            exceptions.BadRequestError: The body is no JSON.
        """
        try:
            return json.loads(self.body or b'null')
        except (ValueError, RecursionError) as error:
            raise exceptions.BadRequestError(
                f'the body is not valid JSON: {error}'
            ) from error


@dataclasses.dataclass(frozen=True)
class Response:
    """One HTTP response; an iterator as body is sent in chunks.

    An iterator that raises ends the connection without the last chunk, so
    that the caller can tell a partial answer from a whole one.
    """

    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: typing.Union[bytes, typing.Iterator[bytes]] = b''


Handler = typing.Callable[[Request], Response]


def json_response(value: typing.Any, status: int = 200) -> Response:
    """Makes a response from a JSON value."""
    body = json.dumps(value).encode()
    return Response(status, {'Content-Type': JSON_TYPE}, body)


class Router:
    """Handlers by method and path pattern such as ``/v1/steps/{step}``."""

    def __init__(self) -> None:
        self._routes: list[tuple[str, re.Pattern, Handler]] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Adds a route; ``{name}`` is a segment, ``{name*}`` the rest."""
        expression = re.sub(r'\{(\w+)\*\}', r'(?P<\1>.*)', pattern)
        expression = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', expression)
        self._routes.append((method, re.compile(expression), handler))

    def find(self, method: str, path: str) -> tuple[Handler, dict[str, str]]:
        """Finds the handler of a request.

        Raises:
            exceptions.UnknownRouteError: There is none.
        """
        for known, expression, handler in self._routes:
            match = expression.fullmatch(path)
            if match and known in (method, '*'):
                return handler, match.groupdict()
        raise exceptions.UnknownRouteError(f'no route for {method} {path}')


class HttpServer:
    """Serves a router and counts the requests in flight."""

    def __init__(
        self, settings: settings_module.Settings, router: Router
    ) -> None:
        self._settings = settings
        self._router = router
        self._in_flight = 0
        self._socket: typing.Optional[socket.socket] = None

    @property
    def in_flight(self) -> int:
        """Requests whose answer is not yet written whole."""
        return self._in_flight

    def start(self) -> None:
        """Listens and serves in a green thread."""
        address = settings_module.split_address(self._settings.http_address)
        self._socket = eventlet.listen(address, backlog=1024)
        eventlet.spawn_n(
            eventlet.wsgi.server,
            self._socket,
            self._serve,
            log_output=False,
            max_size=self._settings.limits.connections,
            socket_timeout=KEEPALIVE_S,
            debug=False,
        )

    def stop(self) -> None:
        """Closes the listener; open connections go on."""
        if self._socket is not None:
            self._socket.close()

    def _serve(self, environ, start_response):
        self._in_flight += 1
        try:
            response = self._respond(environ)
            headers = dict(response.headers)
            if isinstance(response.body, bytes):
                headers['Content-Length'] = str(len(response.body))
                body = [response.body]
            else:
                body = response.body
            status = f'{response.status} {problems.reason(response.status)}'
            start_response(status, list(headers.items()))
        except BaseException:
            self._in_flight -= 1
            raise
        return _Body(body, self._finish)

    def _finish(self) -> None:
        self._in_flight -= 1

    def _respond(self, environ) -> Response:
        try:
            request = self._read_request(environ)
            handler, parameters = self._router.find(
                request.method, request.path
            )
            return handler(dataclasses.replace(request, parameters=parameters))
        except exceptions.LentildealError as error:
            return problems.to_response(error)
        except Exception as error:
            logger.opt(exception=error).error('request handler failed')
            return problems.to_response(error)

    def _read_body(self, environ) -> bytes:
        limit = self._settings.limits.request_bytes
        if 'chunked' in environ.get('HTTP_TRANSFER_ENCODING', '').lower():
            return self._read_chunked_body(environ, limit)
        length = environ.get('CONTENT_LENGTH') or '0'
        if not length.isdigit() or int(length) > limit:
            raise exceptions.BadRequestError(
                f'the body has {length} bytes, {limit} are allowed',
                remedy='send a smaller body',
            )
        body = environ['wsgi.input'].read(int(length))
        if len(body) < int(length):
            raise exceptions.BadRequestError(
                f'the body ended after {len(body)} of {length} bytes'
            )
        return body

    def _read_chunked_body(self, environ, limit: int) -> bytes:
        try:
            body = environ['wsgi.input'].read(limit + 1)
        except (OSError, ValueError) as error:
            raise exceptions.BadRequestError(
                f'the chunked body is not complete: {error}'
            ) from error
        if len(body) > limit:
            raise exceptions.BadRequestError(
                f'the body has more than the {limit} bytes that are allowed',
                remedy='send a smaller body',
            )
        return body

    def _read_request(self, environ) -> Request:
        body = self._read_body(environ)
        headers = {
            name[5:].replace('_', '-').lower(): value
            for name, value in environ.items()
            if name.startswith('HTTP_')
        }
        headers['content-type'] = environ.get('CONTENT_TYPE') or ''
        query = dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', '')))
        return Request(
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            query=query,
            parameters={},
            headers=headers,
            body=body,
            socket=environ['eventlet.input'].get_socket(),
        )


class _Body:
    """Iterates over a body and runs a function once at its end."""

    def __init__(self, chunks, on_end: typing.Callable[[], None]) -> None:
        self._chunks = chunks
        self._iterator = iter(chunks)
        self._on_end: typing.Optional[typing.Callable[[], None]] = on_end

    def __iter__(self):
        return self

    def __next__(self) -> bytes:
        return next(self._iterator)

    def close(self) -> None:
        """Called by the server at the end or when the caller has gone."""
        try:
            if hasattr(self._chunks, 'close'):
                self._chunks.close()
        finally:
            on_end, self._on_end = self._on_end, None
            if on_end is not None:
                on_end()
