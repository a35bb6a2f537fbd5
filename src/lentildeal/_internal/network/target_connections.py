"""Connections to targets that forward requests unchanged.

Uses the connections of ``urllib3`` without its pool, which normalizes paths
and does not implement the rules of this module: a request keeps the exact
path and headers of the caller, and a connection is reused only if it has no
unread bytes.
"""

from __future__ import annotations

import collections
import contextlib
import http.client
import typing

import urllib3
import urllib3.connection
import urllib3.util

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import bounded_reads
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import decimals

# Callers allow one second for a new connection. The latency of targets is one
# to three milliseconds, which leaves time to retransmit the first packet.
CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 64 * 1024
# Largest body that is kept in memory. Twenty of them take a third of the
# memory of the smallest instances.
MAX_BODY_BYTES = 2 * 1024 * 1024
# Idle time of a connection whose target sends no Keep-Alive timeout. Timeouts
# are whole seconds, so a target that sends none closes within a second.
DEFAULT_IDLE_S = 0.8
# A connection is no longer used this long before its target closes it.
IDLE_MARGIN_S = 0.5
MAX_IDLE_S = 30.0

Headers = typing.Sequence[tuple[str, str]]


class _IdleConnection(typing.NamedTuple):
    connection: urllib3.connection.HTTPConnection
    usable_until_s: float


class _Request(typing.NamedTuple):
    """A request that is sent unchanged."""

    method: str
    target: str
    headers: Headers
    body: bytes

    def write(self, connection: urllib3.connection.HTTPConnection) -> None:
        """Writes the request.

        Raises:
            OSError: The connection is broken.
        """
        fields = urllib3.HTTPHeaderDict()
        for name, value in self.headers:
            fields.add(name, value)
        # Keeps urllib3 from adding headers that the caller did not send.
        for name in ('User-Agent', 'Accept-Encoding'):
            if name not in fields:
                fields.add(name, urllib3.util.SKIP_HEADER)
        connection.request(
            self.method,
            self.target,
            # Parts of a view are sent without copies of the rest.
            body=memoryview(self.body) if self.body else None,
            headers=fields,
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
        )


class TargetResponse:
    """A response whose body is read as it arrives."""

    def __init__(
        self,
        pool: TargetConnections,
        address: ids.ReplicaAddress,
        connection: urllib3.connection.HTTPConnection,
        response: urllib3.HTTPResponse,
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection = connection
        self._response = response
        self._is_finished = False
        self.status: int = response.status
        self.header_list = list(response.headers.items())
        self.headers = {k.lower(): v for k, v in self.header_list}

    @property
    def has_delimited_body(self) -> bool:
        """Whether a truncated body can be detected."""
        if self.status in (http.client.NO_CONTENT, http.client.NOT_MODIFIED):
            return True
        return self._is_chunked or 'content-length' in self.headers

    @property
    def _is_chunked(self) -> bool:
        return 'chunked' in self.headers.get('transfer-encoding', '').lower()

    def set_read_timeout(self, seconds: float) -> None:
        """Sets the longest wait for further bytes of the body."""
        if self._connection.sock is not None:
            self._connection.sock.settimeout(seconds)

    def read(self) -> bytes:
        """Reads the rest of the body.

        Raises:
            exceptions.TruncatedAnswerError: The body is not complete, or too
                large.
        """
        chunks = []
        size_bytes = 0
        for chunk in self.iter_chunks():
            size_bytes += len(chunk)
            if size_bytes > MAX_BODY_BYTES:
                self.close()
                raise exceptions.TruncatedAnswerError(
                    f'{self._address}: the body is larger than the limit of'
                    f' {MAX_BODY_BYTES} bytes'
                )
            chunks.append(chunk)
        return b''.join(chunks)

    def iter_chunks(self) -> typing.Iterator[bytes]:
        """Yields the body as it arrives, then releases the connection.

        Raises:
            exceptions.TruncatedAnswerError: The body is not complete.
        """
        is_complete = False
        try:
            yield from self._response.stream(CHUNK_BYTES)
            is_complete = True
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
            ValueError,
        ) as error:
            raise exceptions.TruncatedAnswerError(
                f'{self._address}: incomplete response: {error}'
            ) from error
        finally:
            if is_complete and self.has_delimited_body:
                self._release()
            else:
                self.close()

    def abandon(self) -> None:
        """Closes the connection unless the complete response was read."""
        if not self._is_finished:
            self.close()

    def close(self) -> None:
        """Closes the connection, so that the target stops."""
        self._is_finished = True
        with contextlib.suppress(OSError, http.client.HTTPException):
            self._response.close()
        self._connection.close()

    def _release(self) -> None:
        self._is_finished = True
        if 'close' in self.headers.get('connection', '').lower():
            self.close()
            return
        self._pool.put_back(
            self._address, self._connection, _read_idle_s(self.headers)
        )


class TargetConnections:
    """Connection pool for all targets of this daemon."""

    def __init__(self) -> None:
        self._idle: dict[
            ids.ReplicaAddress, collections.deque[_IdleConnection]
        ] = collections.defaultdict(collections.deque)

    def send(
        self,
        address: ids.ReplicaAddress,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        *,
        read_timeout_s: float,
        is_repeatable: bool,
    ) -> TargetResponse:
        """Sends a request and waits for the response headers.

        A target may close an idle connection at any time and reset the next
        request on it. A repeatable request is then sent once more on a new
        connection. Other requests never use an idle connection, because a
        reset does not tell whether the request ran.

        Args:
            address: Address of the target.
            method: HTTP method.
            target: Path and query, sent unchanged.
            headers: Headers, sent unchanged.
            body: Complete body.
            read_timeout_s: Longest wait for each read, in seconds.
            is_repeatable: Whether the request may run more than once.

        Raises:
            exceptions.NotRunError: No byte was sent.
            exceptions.TargetCrashedError: Bytes of a repeatable request were
                sent, and the target accepts no connection any more.
            exceptions.MayHaveRunError: Bytes were sent, but no response
                headers arrived.
        """
        request = _Request(method, target, headers, body)
        idle = self._pop_idle(address) if is_repeatable else None
        if idle is not None:
            try:
                return self._exchange(address, idle, request, read_timeout_s)
            except exceptions.ConnectionClosedError as error:
                # The other idle connections are probably closed as well.
                self.close_idle(address)
                connection = self._reconnect(address, read_timeout_s, error)
        else:
            connection = self._connect(address, read_timeout_s)
        try:
            return self._exchange(address, connection, request, read_timeout_s)
        except exceptions.ConnectionClosedError as error:
            if is_repeatable:
                self._reconnect(address, read_timeout_s, error).close()
            raise

    def _reconnect(
        self,
        address: ids.ReplicaAddress,
        read_timeout_s: float,
        error: exceptions.ConnectionClosedError,
    ) -> urllib3.connection.HTTPConnection:
        """Connects to a target that closed the connection of a request.

        Raises:
            exceptions.TargetCrashedError: The target accepts no connection.
        """
        try:
            return self._connect(address, read_timeout_s)
        except exceptions.NotRunError as refusal:
            raise exceptions.TargetCrashedError(
                f'{error.message}; then {refusal.message}'
            ) from refusal

    def _exchange(
        self,
        address: ids.ReplicaAddress,
        connection: urllib3.connection.HTTPConnection,
        request: _Request,
        read_timeout_s: float,
    ) -> TargetResponse:
        has_response = False
        try:
            connection.timeout = read_timeout_s
            if connection.sock is not None:
                connection.sock.settimeout(read_timeout_s)
            request.write(connection)
            response = connection.getresponse()
            has_response = True
        except ConnectionError as error:
            raise exceptions.ConnectionClosedError(
                f'{request.method} {address}: closed without a response:'
                f' {error!r}'
            ) from error
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
            ValueError,
        ) as error:
            raise exceptions.MayHaveRunError(
                f'{request.method} {address}: no response: {error!r}'
            ) from error
        finally:
            if not has_response:
                connection.close()
        return TargetResponse(self, address, connection, response)

    def put_back(
        self,
        address: ids.ReplicaAddress,
        connection: urllib3.connection.HTTPConnection,
        idle_s: float,
    ) -> None:
        """Keeps a connection whose last response was read completely."""
        # A connection on which more than the response was received is not
        # connected, see BoundedConnection.
        if idle_s <= 0 or not connection.is_connected:
            connection.close()
            return
        self._idle[address].append(
            _IdleConnection(connection, clock.monotonic_s() + idle_s)
        )

    def close_idle(self, address: ids.ReplicaAddress) -> None:
        """Closes the idle connections to a target."""
        for idle in self._idle.pop(address, ()):
            idle.connection.close()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        now_s = clock.monotonic_s()
        for address, queue in list(self._idle.items()):
            while queue and queue[0].usable_until_s < now_s:
                queue.popleft().connection.close()
            if not queue:
                del self._idle[address]

    def _pop_idle(
        self, address: ids.ReplicaAddress
    ) -> typing.Optional[urllib3.connection.HTTPConnection]:
        queue = self._idle.get(address)
        while queue:
            idle = queue.pop()
            is_usable = idle.usable_until_s > clock.monotonic_s()
            # Unread bytes on an idle connection belong to no request, so it
            # is closed.
            if is_usable and idle.connection.is_connected:
                return idle.connection
            idle.connection.close()
        return None

    def _connect(
        self, address: ids.ReplicaAddress, read_timeout_s: float
    ) -> urllib3.connection.HTTPConnection:
        host, _, port = address.rpartition(':')
        connection = bounded_reads.BoundedConnection(
            host, int(port), timeout=min(CONNECT_TIMEOUT_S, read_timeout_s)
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            # A ValueError is raised for an address that can't be resolved.
            connection.close()
            raise exceptions.NotRunError(
                f'{address}: no connection: {error}', cause='target_down'
            ) from error
        return connection


def _read_idle_s(headers: typing.Mapping[str, str]) -> float:
    for part in headers.get('keep-alive', '').split(','):
        name, _, value = part.strip().partition('=')
        idle_s = decimals.read_decimal(value)
        if name.lower() == 'timeout' and idle_s is not None:
            return min(MAX_IDLE_S, idle_s - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
