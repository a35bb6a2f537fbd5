"""A server that answers with arbitrary bytes."""

from __future__ import annotations

import contextlib
import socket
import struct
import time
import typing

from tests.lib import keep_alive_server

OK = b'HTTP/1.1 200 OK\r\n'
# Part of a script that resets the connection.
RESET = object()
# Ends a script that sends without end if the caller does not close.
MAX_BYTES = 400 * 1024 * 1024


class RawServer(keep_alive_server.KeepAliveServer):
    """Sends the parts of a script as the answer to each request.

    A part is bytes, a number of seconds to wait, None to close, or ``RESET``.

    Attributes:
        sent_bytes: Bytes that the sockets have taken.
        closed: Number of connections that the caller has closed.
    """

    def __init__(
        self,
        make_script: typing.Callable[
            [bytes], typing.Iterable[typing.Union[bytes, float, object, None]]
        ],
    ) -> None:
        self.sent_bytes = 0
        self.closed = 0
        self._make_script = make_script
        super().__init__()

    def answer(self, connection) -> None:
        """See the base class."""
        try:
            with contextlib.closing(connection):
                while True:
                    request = self._read_head(connection)
                    if not request:
                        return
                    if not self._send(connection, request):
                        return
        finally:
            self.closed += 1

    def _read_head(self, connection) -> bytes:
        data = b''
        while b'\r\n\r\n' not in data:
            part = connection.recv(65536)
            if not part:
                return b''
            data += part
        return data

    def _send(self, connection, request: bytes) -> bool:
        """Sends the answer; returns whether the connection stays open."""
        for part in self._make_script(request):
            if part is RESET:
                reset_on_close(connection)
            if part is RESET or part is None:
                return False
            if isinstance(part, bytes):
                connection.sendall(part)
                self.sent_bytes += len(part)
                if self.sent_bytes > MAX_BYTES:
                    return False
            else:
                time.sleep(part)
        return True


def reset_on_close(connection: socket.socket) -> None:
    """Makes the close of a connection reset it."""
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )


def repeat(*parts: typing.Union[bytes, float]) -> typing.Iterator:
    """Yields parts without end."""
    while True:
        yield from parts


def make_answer(body: bytes, request_id: str = '') -> bytes:
    """Makes a complete answer, with a request id if given."""
    head = OK + b'Keep-Alive: timeout=10\r\n'
    if request_id:
        head += f'Lentildeal-Request-Id: {request_id}\r\n'.encode()
        head += b'Lentildeal-Response-Stamp: signature\r\n'
    return head + f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
