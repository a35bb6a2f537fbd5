"""HTTP/1.1 protocol of the server: framing, limits and planned stops."""

from __future__ import annotations

import contextlib
import fcntl
import re
import socket
import struct
import sys
import termios
import typing

import eventlet
import eventlet.wsgi
import prometheus_client

from lentildeal._internal.network import bounded_reads
from lentildeal._internal.network import shedding
from lentildeal._internal.utils import clock

if typing.TYPE_CHECKING:
    from lentildeal._internal.network import http_server
    from lentildeal._internal.network import memory_budget

# Key of what the budget of memory knows of the connection.
HOLDER_KEY = 'lentildeal.holder'
# Key of the function that closes the connection after the response.
CLOSE_KEY = 'lentildeal.close_connection'
# Key of the path and query as the client sent them.
TARGET_KEY = 'lentildeal.target'
# Key of the function that guards a body of unknown length.
GUARD_KEY = 'lentildeal.guard_stream'
HEAD_END = b'\r\n\r\n'
BAD_REQUEST = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
# A request line (RFC 9112, section 3).
_REQUEST_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [\x21-\x7e]+ HTTP/1\.[0-9]\r\n"
)
HEAD_TOO_SLOW = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
# Time for a part of a response, and its lowest rate. The slowest links carry a
# hundred times as much; callers wait for less than this time.
WRITE_TIMEOUT_S = 15.0
MIN_WRITE_BYTES_PER_S = 16 * 1024
# Time for the last bytes before a reset, which discards what was not sent.
SEND_REST_S = 0.5
SEND_REST_POLL_S = 0.01
_LINGER = struct.Struct('ii')

_slow_clients_total = prometheus_client.Counter(
    'lentildeal_slow_clients_total',
    'Connections closed because their client did not take a response.',
)


class BoundedWriter:
    """Writes responses with a limit on the time of each part.

    The socket's timeout starts anew with each byte that the client takes, so a
    client that reads a byte now and then would hold a response without end.

    Attributes:
        has_timed_out: Whether the client did not take a part in time.
    """

    def __init__(
        self,
        writer: typing.Any,
        connection: typing.Any,
        holder: typing.Optional[memory_budget.ClientHolder] = None,
    ) -> None:
        self._writer = writer
        self._connection = connection
        self._holder = holder
        self.has_timed_out = False

    @property
    def closed(self) -> bool:
        """Whether it is closed."""
        return self._writer.closed

    def write(self, data: bytes) -> None:
        """Writes bytes.

        Raises:
            OSError: The client is gone or reads too slowly.
        """
        self._write_in_time(len(data), self._writer.write, data)

    def writelines(self, lines: typing.Sequence[bytes]) -> None:
        """Writes parts of a response.

        Raises:
            OSError: The client is gone or reads too slowly.
        """
        size_bytes = sum(map(len, lines))
        self._write_in_time(size_bytes, self._writer.writelines, lines)

    def flush(self) -> None:
        """Sends what is buffered.

        Raises:
            OSError: The client is gone or reads too slowly.
        """
        self._write_in_time(0, self._writer.flush)

    def close(self) -> None:
        """Sends what is buffered and closes the writer.

        Raises:
            OSError: The client is gone or reads too slowly.
        """
        self._write_in_time(0, self._writer.close)

    def _write_in_time(
        self, size_bytes: int, write: typing.Callable, *arguments: typing.Any
    ) -> None:
        limit_s = WRITE_TIMEOUT_S + size_bytes / MIN_WRITE_BYTES_PER_S
        timeout = eventlet.Timeout(limit_s)
        holder = self._holder
        if holder is not None:
            phase = holder.phase
            holder.enter(shedding.Phase.ANSWER)
        try:
            write(*arguments)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            _slow_clients_total.inc()
            self.has_timed_out = True
            # Later writes fail at once and do not wait again.
            with contextlib.suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)
            raise ConnectionAbortedError(
                f'the client did not take {size_bytes} bytes within'
                f' {limit_s:.0f} s'
            ) from expired
        finally:
            timeout.cancel()
            if holder is not None:
                holder.enter(phase)


def _count_unsent(connection: typing.Any) -> int:
    """Returns the bytes that the client has not confirmed yet."""
    try:
        found = fcntl.ioctl(connection, termios.TIOCOUTQ, b'\0' * 4)
    except (OSError, ValueError):
        # The connection is lost or closed.
        return 0
    return int.from_bytes(found, sys.byteorder)


class Protocol(eventlet.wsgi.HttpProtocol):
    """Counts requests, bounds reads, closes connections when needed."""

    # Version of a request line without one. The default is HTTP/0.9, whose
    # answers have no status.
    default_request_version = 'HTTP/1.0'

    def __init__(
        self, owner: http_server.HttpServer, conn_state, server
    ) -> None:
        self._owner = owner
        self._is_counted = False
        # Whether a response has begun that only the end of the connection
        # ends.
        self._is_in_stream = False
        self._head_timeout: typing.Optional[eventlet.Timeout] = None
        self._holder = owner.take_holder(conn_state[1])
        try:
            super().__init__(conn_state, server)
        finally:
            owner.budget.forget(self._holder)

    def setup(self) -> None:
        """Also bounds what a client may send, and the time it may take."""
        super().setup()
        self._owner.record_connection(self)
        self.wfile = BoundedWriter(self.wfile, self.connection, self._holder)
        # The base class puts another object in the place of ``rfile`` while it
        # reads a head.
        self._reader = bounded_reads.BoundedReader.wrap(self.rfile)
        self.rfile = self._reader

    def _read_request_line(self):
        self._reader.begin_message()
        self._wait_for_head()
        line = super()._read_request_line()
        if line:
            self._owner.forget_connection(self)
            self._is_counted = True
            self._owner.record_request_start()
        return line

    def _wait_for_head(self) -> None:
        """Waits for the first byte, then limits the time for the head."""
        with contextlib.suppress(ConnectionError):
            reads = self.rfile.reads
            head = self.rfile.peek(1)
            if self.rfile.reads == reads:
                # Requests that were sent ahead would keep all others waiting.
                eventlet.sleep(0)
            self._holder.enter(shedding.Phase.HEAD)
            if HEAD_END not in head:
                self._head_timeout = eventlet.Timeout(
                    self._owner.head_timeout_s
                )

    def _end_head(self) -> None:
        if self._head_timeout is not None:
            self._head_timeout.cancel()

    def finish(self) -> None:
        """Also forgets the connection, and always frees its descriptor.

        The base class leaves the reader open if the writer can't be flushed.
        """
        self._owner.forget_connection(self)
        try:
            if self._is_in_stream:
                self._reset()
            else:
                super().finish()
        finally:
            with contextlib.suppress(OSError, ValueError):
                self.rfile.close()

    def log_message(self, *_: typing.Any) -> None:
        """Writes nothing; the base class writes a line for each bad head."""

    def get_environ(self) -> dict:
        """Also passes what only this object knows of the request."""
        return {
            **super().get_environ(),
            # The base class joins slashes at the start of ``path``, and the
            # query alone doesn't show whether there was a question mark.
            TARGET_KEY: self.requestline.split(' ')[1],
            CLOSE_KEY: self._close_after_response,
            GUARD_KEY: self._guard_stream,
            HOLDER_KEY: self._holder,
        }

    def _close_after_response(self) -> None:
        self.close_connection = 1

    def _guard_stream(
        self, body: typing.Iterator[bytes]
    ) -> typing.Iterator[bytes]:
        """Yields a body; the connection is reset unless it is complete.

        Clients of HTTP/1.0 take no chunks, so that only the end of the
        connection shows them whether the body is complete.
        """
        if self.request_version == 'HTTP/1.1':
            return body
        return self._iter_until_close(body)

    def _iter_until_close(
        self, body: typing.Iterator[bytes]
    ) -> typing.Iterator[bytes]:
        try:
            for part in body:
                if not self._is_in_stream:
                    # An error before the first part is answered as such.
                    self._set_reset_on_close(True)
                yield part
            if self._is_in_stream:
                self._set_reset_on_close(False)
        finally:
            if hasattr(body, 'close'):
                body.close()

    def _set_reset_on_close(self, is_reset: bool) -> None:
        """Chooses how the connection ends, also if the process is killed."""
        self._is_in_stream = is_reset
        with contextlib.suppress(OSError):
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(is_reset, 0)
            )

    def _reset(self) -> None:
        """Sends what was written, then closes without an orderly end."""
        deadline = clock.Deadline(SEND_REST_S)
        while (
            not self.wfile.has_timed_out
            and not deadline.has_passed
            and _count_unsent(self.connection)
        ):
            eventlet.sleep(SEND_REST_POLL_S)
        # Each of them holds the descriptor.
        for file in (self.wfile, self.rfile):
            with contextlib.suppress(OSError):
                file.close()
        self.connection.close()

    def parse_request(self) -> bool:
        """Also rejects defective heads and ambiguous body lengths.

        The base class drops what follows a defective line of a head, and the
        body would be read as the next request. An ambiguous length would
        allow request smuggling as well: a request hidden in the body of
        another one must not run.
        """
        line = self.raw_requestline
        # The base class closes the connection after an empty line.
        if line.strip() and not _REQUEST_LINE.fullmatch(line):
            return self._reject_head()
        self._reader.expect(bounded_reads.LineKind.FIELD)
        try:
            if not super().parse_request():
                return False
        finally:
            self._reader.expect(bounded_reads.LineKind.ANY)
            self._end_head()
        self._holder.enter(shedding.Phase.HANDLER)
        if self._reader.has_defect or not self._has_clear_length():
            return self._reject_head()
        if self.headers.get('Transfer-Encoding'):
            self._reader.expect(bounded_reads.LineKind.CHUNK_SIZE)
        return True

    def _reject_head(self) -> bool:
        self._end_head()
        self.wfile.write(BAD_REQUEST)
        self.close_connection = 1
        return False

    def _has_clear_length(self) -> bool:
        lengths = self.headers.get_all('Content-Length', [])
        codings = self.headers.get_all('Transfer-Encoding', [])
        is_plain = all(
            value.isascii() and value.strip(' \t').isdigit()
            for value in lengths
        )
        is_chunked = [value.strip(' \t').lower() for value in codings] in (
            [],
            ['chunked'],
        )
        return is_plain and is_chunked and len(lengths) + len(codings) <= 1

    def handle_one_request(self) -> None:
        """Serves one request; returns after the response was written."""
        try:
            super().handle_one_request()
        except eventlet.Timeout as expired:
            if expired is not self._head_timeout:
                raise
            self._owner.budget.record_shed('slow_head')
            self.close_connection = 1
            with contextlib.suppress(OSError):
                self.wfile.write(HEAD_TOO_SLOW)
        finally:
            self._end_head()
            self._owner.budget.release(self._holder)
            self._holder.enter(shedding.Phase.IDLE)
            if self._is_counted:
                self._is_counted = False
                self._owner.record_request_end()

    def handle_one_response(self) -> None:
        """Writes the response; the base class sends ``Connection: close``."""
        if self._owner.is_closing:
            self.close_connection = 1
        super().handle_one_response()
