"""HTTP server and router on top of eventlet's WSGI server."""

from __future__ import annotations

import dataclasses
import functools
import http.client
import json
import re
import socket
import typing
import urllib.parse

import eventlet
import eventlet.wsgi
from loguru import logger

from lentildeal._internal import exceptions
from lentildeal._internal.models import outcomes
from lentildeal._internal.network import bounded_json
from lentildeal._internal.network import http_protocol
from lentildeal._internal.network import listening
from lentildeal._internal.network import memory_budget
from lentildeal._internal.network import problems
from lentildeal._internal.network import request_bodies
from lentildeal._internal.network import shedding
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import decimals

JSON_TYPE = 'application/json'
# Idle keep-alive connections are closed after this time, in seconds.
KEEPALIVE_S = 75
# Connections that may wait to be accepted.
LISTEN_BACKLOG = 1024
# Time for a complete body, in seconds. Callers of live calls wait for less.
BODY_TIMEOUT_S = 20.0
# Memory for all bodies that are being received, without a setting.
MAX_INCOMPLETE_BODY_BYTES = memory_budget.DEFAULT_BYTES
# Time in which a client that has connected sends its first request.
FIRST_REQUEST_S = 1.0
STOP_POLL_S = 0.02


@dataclasses.dataclass(frozen=True)
class Request:
    """One HTTP request.

    Attributes:
        method: Upper-case method.
        path: Decoded path.
        query: Last value of each query parameter.
        parameters: Values of the placeholders of the route's pattern.
        headers: Values by lower-case name.
        body: Complete body.
        socket: Connection of the client, None in tests without one.
        target: Path and query, unchanged.
        raw_headers: Names and values, unchanged.
        reserve: Takes memory, in bytes, until the request ends.
    """

    method: str
    path: str
    query: dict[str, str]
    parameters: dict[str, str]
    headers: dict[str, str]
    body: bytes = b''
    socket: typing.Any = None
    target: str = ''
    raw_headers: tuple[tuple[str, str], ...] = ()
    reserve: typing.Optional[typing.Callable[[int], None]] = None

    def is_client_gone(self) -> bool:
        """Whether the client has closed the connection."""
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
            exceptions.BadRequestError: The body is not valid JSON.
            exceptions.RequestTooLargeError: It never has enough memory.
            exceptions.NotRunError: It has not enough memory at present.
        """
        if self.reserve is not None:
            self.reserve(bounded_json.estimate_bytes(self.body))
        try:
            return json.loads(self.body or b'null')
        except (ValueError, RecursionError) as error:
            raise exceptions.BadRequestError(
                f'the body is not valid JSON: {error}'
            ) from error


@dataclasses.dataclass(frozen=True)
class Response:
    """One HTTP response; a body that is an iterator is sent in chunks.

    If the iterator raises, the connection is closed without the last chunk,
    or reset if the client takes no chunks, so that the client can detect the
    incomplete response.
    """

    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: typing.Union[bytes, typing.Iterator[bytes]] = b''


Handler = typing.Callable[[Request], Response]


class _Route(typing.NamedTuple):
    method: str
    expression: re.Pattern
    handler: Handler
    while_leaving: bool


def json_response(value: typing.Any, status: int = 200) -> Response:
    """Makes a response from a JSON value."""
    body = json.dumps(value).encode()
    return Response(status, {'Content-Type': JSON_TYPE}, body)


class Router:
    """Finds handlers by method and path pattern (``/v1/steps/{step}``)."""

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def add(
        self,
        method: str,
        pattern: str,
        handler: Handler,
        *,
        while_leaving: bool = False,
    ) -> None:
        """Adds a route.

        ``{name}`` matches one path segment, ``{name*}`` the rest of the path.

        Args:
            method: HTTP method, or "*" for all.
            pattern: Path pattern with placeholders.
            handler: Function that handles the request.
            while_leaving: Whether the route is also served during a planned
                stop, when new work is refused.
        """
        expression = re.sub(r'\{(\w+)\*\}', r'(?P<\1>.*)', pattern)
        expression = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', expression)
        self._routes.append(
            _Route(method, re.compile(expression), handler, while_leaving)
        )

    def find(self, method: str, path: str) -> tuple[Handler, dict[str, str]]:
        """Finds the handler of a request and its parameters.

        Raises:
            exceptions.UnknownRouteError: No route matches.
        """
        route, parameters = self.find_route(method, path)
        return route.handler, parameters

    def find_route(
        self, method: str, path: str
    ) -> tuple[_Route, dict[str, str]]:
        """Finds the route of a request and its parameters.

        Raises:
            exceptions.UnknownRouteError: No route matches.
        """
        for route in self._routes:
            match = route.expression.fullmatch(path)
            if match and route.method in (method, '*'):
                return route, match.groupdict()
        raise exceptions.UnknownRouteError(f'no route for {method} {path}')


class HttpServer:
    """Serves the routes of a router and counts in-flight requests."""

    def __init__(
        self,
        settings: settings_module.Settings,
        router: Router,
        address: typing.Optional[str] = None,
        budget: typing.Optional[memory_budget.MemoryBudget] = None,
    ) -> None:
        self._settings = settings
        self.budget = budget or memory_budget.MemoryBudget(settings)
        self._holders: dict[typing.Any, memory_budget.ClientHolder] = {}
        self._address = address or settings.http_address
        self._router = router
        self._in_flight = 0
        self._is_closing = False
        self._is_refusing = False
        self._listener: typing.Optional[listening.Listener] = None
        # Accepted connections without a request, and when they were accepted.
        self._new_connections: dict[http_protocol.Protocol, float] = {}

    @property
    def is_closing(self) -> bool:
        """Whether connections are closed after their next response."""
        return self._is_closing

    @property
    def head_timeout_s(self) -> float:
        """Time for the head of a request from its first byte."""
        return self._settings.limits.head_timeout_ms / 1000

    def take_holder(
        self, connection: typing.Any
    ) -> memory_budget.ClientHolder:
        """Returns what the budget knows of an accepted connection."""
        return self._holders.pop(connection)

    def _admit(self, connection: typing.Any) -> bool:
        holder = self.budget.admit(connection)
        if holder is None:
            return False
        self._holders[connection] = holder
        return True

    @property
    def in_flight(self) -> int:
        """Requests that have begun and whose response is not complete.

        Includes control requests that are served during a planned stop.
        """
        return self._in_flight

    def start(self) -> None:
        """Starts listening and serves requests in a green thread."""
        self._listener = listening.Listener(
            listening.listen(self._address, LISTEN_BACKLOG),
            self._admit,
            lambda: self.budget.record_shed('descriptors'),
        )
        eventlet.spawn_n(
            eventlet.wsgi.server,
            self._listener,
            self._serve,
            log_output=False,
            # The default buffers chunks until there are 4,096 bytes.
            minimum_chunk_size=1,
            max_size=self._settings.limits.connections,
            socket_timeout=KEEPALIVE_S,
            debug=False,
            protocol=self._make_protocol,
        )

    def close_after_response(self) -> None:
        """Closes each connection after its next response.

        The header ``Connection: close`` is the only way to close a connection
        without a race against the next request of the client.
        """
        self._is_closing = True

    def refuse_new_requests(self) -> None:
        """Rejects new requests with 503 ``not_run``.

        In-flight requests and routes with ``while_leaving`` are still served.
        """
        self._is_refusing = True

    def record_request_start(self) -> None:
        """Records that the first line of a request was read."""
        self._in_flight += 1

    def record_request_end(self) -> None:
        """Records that a response was written or the client is gone."""
        self._in_flight -= 1

    def record_connection(self, connection: http_protocol.Protocol) -> None:
        """Records an accepted connection."""
        self._new_connections[connection] = clock.monotonic_s()

    def forget_connection(self, connection: http_protocol.Protocol) -> None:
        """Records that a connection sent a request or was closed."""
        self._new_connections.pop(connection, None)

    def stop(self) -> None:
        """Closes the listener and serves what was accepted before.

        A client that has just connected gets an answer to its first request.
        """
        if self._listener is None:
            return
        listener, self._listener = self._listener, None
        listener.stop()
        deadline = clock.Deadline(FIRST_REQUEST_S)
        while True:
            # Threads of connections that were accepted last start meanwhile.
            eventlet.sleep(STOP_POLL_S)
            if deadline.has_passed or not self._has_expected_request():
                return

    def _has_expected_request(self) -> bool:
        oldest_s = clock.monotonic_s() - FIRST_REQUEST_S
        return self._in_flight > 0 or any(
            accepted_s > oldest_s
            for accepted_s in self._new_connections.values()
        )

    def _serve(self, environ, start_response):
        response = self._respond(environ)
        headers = dict(response.headers)
        body = response.body
        if isinstance(body, bytes):
            self.budget.charge_answer(
                environ[http_protocol.HOLDER_KEY], len(body)
            )
            headers['Content-Length'] = str(len(body))
            body = [body]
        else:
            body = environ[http_protocol.GUARD_KEY](body)
        status = (
            f'{response.status} {problems.get_reason_phrase(response.status)}'
        )
        start_response(status, list(headers.items()))
        return body

    def _make_protocol(self, conn_state, server) -> http_protocol.Protocol:
        return http_protocol.Protocol(self, conn_state, server)

    def _respond(self, environ) -> Response:
        try:
            request = self._read_request(environ)
            route, parameters = self._router.find_route(
                request.method, request.path
            )
            if self._is_refusing and not route.while_leaving:
                raise exceptions.NotRunError(
                    'this instance is leaving',
                    cause=outcomes.Cause.LEAVING.value,
                    remedy='send the request again to reach another instance',
                )
            return route.handler(
                dataclasses.replace(request, parameters=parameters)
            )
        except exceptions.LentildealError as error:
            return problems.to_response(error)
        except Exception as error:
            logger.opt(exception=error).error('request handler failed')
            return problems.to_response(error)

    def _read_body(self, environ) -> bytes:
        is_complete = False
        timeout = eventlet.Timeout(
            BODY_TIMEOUT_S,
            exceptions.BadRequestError(
                f'the body was not complete within {BODY_TIMEOUT_S:.0f} s'
            ),
        )
        try:
            with timeout:
                body = self._read_body_parts(environ)
            is_complete = True
            return body
        finally:
            timeout.cancel()
            if not is_complete:
                # The server would read the rest, however long it is, before
                # it reuses the connection.
                environ[http_protocol.CLOSE_KEY]()

    def _read_body_parts(self, environ) -> bytes:
        limit = self._settings.limits.request_bytes
        if 'chunked' in environ.get('HTTP_TRANSFER_ENCODING', '').lower():
            return self._read_chunked_body(environ, limit)
        field = environ.get('CONTENT_LENGTH') or '0'
        length = decimals.read_decimal(field)
        if length is None:
            raise exceptions.BadRequestError(
                f'Content-Length {field!r:.50} is not a number of bytes'
            )
        if length > limit:
            raise exceptions.RequestTooLargeError(
                f'the body has {length} bytes; the limit is {limit}'
            )
        body = self._receive(environ, length)
        if len(body) < length:
            raise exceptions.BadRequestError(
                f'incomplete body: {len(body)} of {length} bytes'
            )
        return body

    def _receive(self, environ, size_bytes: int) -> bytes:
        holder = environ[http_protocol.HOLDER_KEY]
        holder.enter(shedding.Phase.BODY)
        body = request_bodies.read_body(
            environ['wsgi.input'], size_bytes, self.budget, holder
        )
        holder.enter(shedding.Phase.HANDLER)
        if not self.budget.has_limit:
            self.budget.release(holder)
        return body

    def _read_chunked_body(self, environ, limit: int) -> bytes:
        try:
            body = self._receive(environ, limit + 1)
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise exceptions.BadRequestError(
                f'incomplete chunked body: {error}'
            ) from error
        if len(body) > limit:
            raise exceptions.RequestTooLargeError(
                f'the body is larger than the limit of {limit} bytes'
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
            target=environ[http_protocol.TARGET_KEY],
            raw_headers=environ['headers_raw'],
            reserve=self._make_reserve(environ),
        )

    def _make_reserve(
        self, environ
    ) -> typing.Optional[typing.Callable[[int], None]]:
        if not self.budget.has_limit:
            return None
        return functools.partial(
            self.budget.reserve, environ[http_protocol.HOLDER_KEY]
        )
