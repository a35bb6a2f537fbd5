"""Connections to HTTP servers, and those of them that are idle.

``http.client`` writes requests, and ``response_reader`` reads the responses. A
connection is used again only if its last response was read completely and
nothing else was received.
"""

from __future__ import annotations

import collections
import contextlib
import http
import http.client
import re
import socket as socket_module
import typing

from eventlet.green import socket
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.network import response_reader
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import decimals

# Callers allow one second for a new connection. The latency of targets is one
# to three milliseconds, which leaves time to retransmit the first packet.
CONNECT_TIMEOUT_S = 1.0
# A connection is no longer used this long before its server closes it.
IDLE_MARGIN_S = 0.5

# Identified requests after which a connection is closed. It keeps a hash of
# each identifier.
MAX_IDENTIFIED_REQUESTS = 100

# Largest body that is kept in memory. Twenty of them take a third of the
# memory of the smallest instances.
MAX_BODY_BYTES = 2 * 1024 * 1024

# Size of a chunk (RFC 9112, section 7.1).
_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?\r\n')
_BODILESS_METHODS = frozenset(
    ('GET', 'HEAD', 'DELETE', 'TRACE', 'OPTIONS', 'CONNECT')
)

Headers = typing.Sequence[tuple[str, str]]

_dropped_total = prometheus_client.Counter(
    'lentildeal_connections_dropped_total',
    'Idle connections closed before a request whose id they had carried.',
)


class Request(typing.NamedTuple):
    """A request that is sent unchanged.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names and values.
        body: Complete body.
        request_id: Identifier by which the response is known, if there is
            one. All attempts at the same work may share it.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b''
    request_id: typing.Optional[str] = None

    def write(self, sock: typing.Any, address: str) -> None:
        """Writes the request; names the address as host if no header does.

        Raises:
            OSError: The connection is broken.
            ValueError: A part of the request can't be sent.
            http.client.HTTPException: The target can't be sent.
        """
        writer = http.client.HTTPConnection(address)
        writer.sock = sock
        writer.auto_open = 0
        names = {name.lower() for name, _ in self.headers}
        writer.putrequest(
            self.method,
            self.target,
            skip_host='host' in names,
            skip_accept_encoding=True,
        )
        for name, value in self.headers:
            writer.putheader(name, value)
        has_body = self.body or self.method not in _BODILESS_METHODS
        if has_body and 'content-length' not in names:
            writer.putheader('Content-Length', str(len(self.body)))
        # Parts of a view are sent without copies of the rest.
        writer.endheaders(memoryview(self.body) if self.body else None)


class ClientConnection:
    """An open connection that carries one exchange at a time."""

    def __init__(self, sock: typing.Any, address: str) -> None:
        self._socket = sock
        self._address = address
        # Hashes of identifiers: clients choose these, and how long they are.
        self._carried: set[int] = set()

    @classmethod
    def connect(cls, address: str, timeout_s: float) -> ClientConnection:
        """Opens a connection to "host:port".

        Raises:
            exceptions.NotRunError: The server is not reachable.
        """
        host, _, port = address.rpartition(':')
        try:
            sock = socket.create_connection(
                (host.strip('[]'), int(port)),
                min(CONNECT_TIMEOUT_S, timeout_s),
            )
        except (OSError, ValueError) as error:
            # A ValueError is raised for an address that can't be resolved.
            raise exceptions.NotRunError(
                f'{address}: no connection: {error}', cause='target_down'
            ) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(sock, address)

    @property
    def is_reusable(self) -> bool:
        """Whether it is open and nothing was received since the response."""
        try:
            self._socket.fd.recv(
                1, socket_module.MSG_PEEK | socket_module.MSG_DONTWAIT
            )
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def is_exhausted(self) -> bool:
        """Whether it has carried as many identified requests as it may."""
        return len(self._carried) >= MAX_IDENTIFIED_REQUESTS

    def has_carried(self, request_id: typing.Optional[str]) -> bool:
        """Whether it was used for a request with this identifier."""
        return request_id is not None and hash(request_id) in self._carried

    def set_timeout(self, seconds: float) -> None:
        """Sets the longest wait of a read or a write."""
        self._socket.settimeout(seconds)

    def exchange(
        self, request: Request, timeout_s: float
    ) -> response_reader.ResponseReader:
        """Sends a request and reads the head of its response.

        Closes the connection if there is none.

        Args:
            request: Request to send.
            timeout_s: Time for the head, and for each read and write.

        Raises:
            exceptions.ConnectionClosedError: The connection was closed before
                the response.
            exceptions.MayHaveRunError: No valid head arrived in time.
        """
        reader = response_reader.ResponseReader(
            self._socket,
            is_head=request.method == 'HEAD',
            peer=self._address,
            timeout_s=timeout_s,
        )
        has_response = False
        if request.request_id is not None:
            self._carried.add(hash(request.request_id))
        try:
            self.set_timeout(timeout_s)
            self._write(request)
            reader.read_head()
            has_response = True
        finally:
            if not has_response:
                self.close()
        return reader

    def _write(self, request: Request) -> None:
        try:
            # A server may answer and close before it has read a long body.
            with contextlib.suppress(BrokenPipeError):
                request.write(self._socket, self._address)
        except ConnectionError as error:
            raise exceptions.ConnectionClosedError(
                f'{request.method} {self._address}: closed without a response:'
                f' {error!r}'
            ) from error
        except (http.client.HTTPException, OSError, ValueError) as error:
            raise exceptions.MayHaveRunError(
                f'{request.method} {self._address}: no response: {error!r}'
            ) from error

    def close(self) -> None:
        """Closes the connection, so that the server stops."""
        self._socket.close()


class _IdleConnection(typing.NamedTuple):
    connection: ClientConnection
    usable_until_s: float


class IdleConnections:
    """Idle connections by address."""

    def __init__(self, default_idle_s: float, max_idle_s: float) -> None:
        """Starts without connections.

        Args:
            default_idle_s: Idle time of a connection whose server sends no
                Keep-Alive timeout, in seconds.
            max_idle_s: Longest idle time, in seconds.
        """
        self._default_idle_s = default_idle_s
        self._max_idle_s = max_idle_s
        self._idle: dict[str, collections.deque[_IdleConnection]] = {}

    def pop(
        self, address: str, request_id: typing.Optional[str] = None
    ) -> typing.Optional[ClientConnection]:
        """Takes a usable connection, the one that was used last.

        A server may send a copy of an earlier response where the next one is
        expected. Only the identifier tells them apart, so no connection
        carries the same one twice.

        Args:
            address: Address of the server.
            request_id: Identifier of the next request, if it has one.
        """
        queue = self._idle.get(address)
        while queue:
            idle = queue.pop()
            is_usable = idle.usable_until_s > clock.monotonic_s()
            has_carried = idle.connection.has_carried(request_id)
            if has_carried:
                _dropped_total.inc()
            # Unread bytes on an idle connection belong to no request.
            if is_usable and not has_carried and idle.connection.is_reusable:
                return idle.connection
            # Kept, it would be one more for each call of a client that uses
            # one id for all.
            idle.connection.close()
        return None

    def put_back(
        self,
        address: str,
        connection: ClientConnection,
        reader: response_reader.ResponseReader,
    ) -> None:
        """Keeps a connection after its response, or closes it."""
        idle_s = self._read_idle_s(reader.headers)
        is_kept = reader.may_reuse_connection and not connection.is_exhausted
        if idle_s <= 0 or not is_kept:
            connection.close()
            return
        queue = self._idle.setdefault(address, collections.deque())
        queue.append(_IdleConnection(connection, clock.monotonic_s() + idle_s))

    def close(self, address: str) -> None:
        """Closes the connections to an address."""
        for idle in self._idle.pop(address, ()):
            idle.connection.close()

    def close_all(self) -> None:
        """Closes all connections."""
        for address in list(self._idle):
            self.close(address)

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        now_s = clock.monotonic_s()
        for address, queue in list(self._idle.items()):
            while queue and queue[0].usable_until_s < now_s:
                queue.popleft().connection.close()
            if not queue:
                del self._idle[address]

    def _read_idle_s(self, headers: typing.Mapping[str, str]) -> float:
        for part in headers.get('keep-alive', '').split(','):
            name, _, value = part.strip().partition('=')
            idle_s = decimals.read_decimal(value)
            if name.lower() == 'timeout' and idle_s is not None:
                return min(self._max_idle_s, idle_s - IDLE_MARGIN_S)
        return self._default_idle_s


class Response:
    """A response whose body is read as it arrives."""

    def __init__(
        self,
        idle: IdleConnections,
        address: str,
        connection: ClientConnection,
        reader: response_reader.ResponseReader,
    ) -> None:
        self._idle = idle
        self._address = address
        self._connection = connection
        self._reader = reader
        self._is_finished = False
        self.status = reader.status
        self.header_list = reader.fields
        self.headers = reader.headers

    @property
    def is_success(self) -> bool:
        """Whether the status is one of success."""
        return (
            http.HTTPStatus.OK
            <= self.status
            < http.HTTPStatus.MULTIPLE_CHOICES
        )

    @property
    def has_delimited_body(self) -> bool:
        """Whether a truncated body can be detected."""
        return self._reader.is_delimited

    def set_read_timeout(self, seconds: float) -> None:
        """Sets the longest wait for further bytes of the body."""
        self._connection.set_timeout(seconds)

    def read(self, limit_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Reads the rest of the body.

        Raises:
            exceptions.TruncatedAnswerError: The body is not complete, or too
                large.
        """
        chunks = []
        size_bytes = 0
        for chunk in self.iter_chunks():
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                self.close()
                raise exceptions.TruncatedAnswerError(
                    f'{self._address}: the body is larger than the limit of'
                    f' {limit_bytes} bytes'
                )
            chunks.append(chunk)
        body = b''.join(chunks)
        if not self.has_delimited_body and _is_in_chunks(body):
            # Only the field that names the coding is missing or spoiled.
            raise exceptions.InvalidAnswerError(
                f'{self._address}: invalid response: chunks without a coding'
            )
        return body

    def read_ignored(self) -> None:
        """Reads the rest of a body that does not matter.

        The connection is closed if the body is not complete.
        """
        with contextlib.suppress(exceptions.TruncatedAnswerError):
            self.read()

    def iter_chunks(self) -> typing.Iterator[bytes]:
        """Yields the body as it arrives, then releases the connection.

        Raises:
            exceptions.TruncatedAnswerError: The body is not complete.
        """
        try:
            while chunk := self._reader.read_part():
                yield chunk
            self._release()
        finally:
            self.abandon()

    def abandon(self) -> None:
        """Closes the connection unless the complete response was read."""
        if not self._is_finished:
            self.close()

    def close(self) -> None:
        """Closes the connection, so that the server stops."""
        self._is_finished = True
        self._connection.close()

    def _release(self) -> None:
        self._is_finished = True
        self._idle.put_back(self._address, self._connection, self._reader)


def _is_in_chunks(body: bytes) -> bool:
    """Whether a body begins with a chunk and ends like the last one."""
    match = _CHUNK_SIZE.match(body)
    if match is None:
        return False
    end = match.end() + int(match[1], 16)
    return body[end : end + 2] == b'\r\n' and body.endswith(b'\r\n\r\n')
