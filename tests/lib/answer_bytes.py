"""Bytes of answers, and sockets that hold them."""

from __future__ import annotations

import itertools
import typing

from lentildeal._internal.network import client_connections
from lentildeal._internal.network import response_reader

BODY = b'abcdefg'
WITH_LENGTH = (
    b'HTTP/1.1 200 OK\r\nServer-Name: a\r\nContent-Length: 7\r\n'
    b'Stamp: s\r\n\r\nabcdefg'
)
IN_CHUNKS = (
    b'HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n'
    b'Connection: close\r\n\r\n'
    b'00000003\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n'
)
UNTIL_THE_END = (
    b'HTTP/1.1 200 OK\r\nConnection: close\r\nStamp: s\r\n\r\nabcdefg'
)


class ScriptedSocket:
    """A green socket from which given parts arrive, then the end.

    Attributes:
        fd: Socket below the green one.
        is_closed: Whether it was closed.
    """

    def __init__(self, parts: typing.Iterable[bytes]) -> None:
        # An empty part would be the end of the stream.
        self._parts = filter(None, parts)
        self._held = b''
        self.fd = self
        self.is_closed = False

    def settimeout(self, _seconds: float) -> None:
        """See ``socket.socket``."""

    def recv(self, size: int) -> bytes:
        """See ``socket.socket``."""
        self._held = self._held or next(self._parts, b'')
        data, self._held = self._held[:size], self._held[size:]
        return data

    def close(self) -> None:
        """See ``socket.socket``."""
        self.is_closed = True


def open_response(
    parts: typing.Iterable[bytes], *, is_head: bool = False
) -> client_connections.Response:
    """Reads the head of an answer that arrives in parts."""
    sock = ScriptedSocket(parts)
    reader = response_reader.ResponseReader(
        sock, is_head=is_head, peer='peer', timeout_s=5.0
    )
    reader.read_head()
    return client_connections.Response(
        client_connections.IdleConnections(1.0, 1.0),
        'peer',
        client_connections.ClientConnection(sock, 'peer'),
        reader,
    )


def read(
    parts: typing.Iterable[bytes], *, is_head: bool = False
) -> tuple[int, bytes]:
    """Reads an answer that arrives in parts: status and body."""
    response = open_response(parts, is_head=is_head)
    return response.status, response.read()


def split_each_byte(data: bytes) -> list[bytes]:
    """Returns the bytes one by one."""
    return [data[n : n + 1] for n in range(len(data))]


def iter_changed(
    data: bytes, positions: typing.Iterable[int]
) -> typing.Iterator[bytes]:
    """Yields copies with one byte changed, in all ways."""
    for position, value in itertools.product(positions, range(256)):
        if data[position] != value:
            yield data[:position] + bytes((value,)) + data[position + 1 :]
