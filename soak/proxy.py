"""Loopback proxy that delays, resets, blocks or falsifies connections.

Connections can be blocked in both directions or for responses only. Responses
can be followed by a late second copy, slowed to a byte now and then, torn,
spoiled in a line of their head, or replaced by a head or a body without end.
"""

from __future__ import annotations

import contextlib
import enum
import itertools
import socket
import struct
import threading
import time

POLL_S = 0.02
READ_BYTES = 65536
# SO_LINGER with a timeout of 0 makes close() send a reset.
RESET_LINGER = struct.pack('ii', 1, 0)
# Pause between the single bytes of a stalled response.
TRICKLE_S = 0.3
# A second copy is sent when the next request may be on its way.
COPY_DELAYS_S = (0.0, 0.02, 0.2)
FILL = b'x' * READ_BYTES
ENDLESS = (
    # A head, and bodies with and without chunks.
    (b'HTTP/1.1 200 OK\r\n', b'X-Fill: ' + FILL[:4000] + b'\r\n'),
    (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'%x\r\n' % len(FILL) + FILL + b'\r\n',
    ),
    (b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n', FILL),
)


# Blank lines, which are no events.
ENDLESS_EVENTS = b'1000\r\n' + b'\n' * 4096 + b'\r\n'
# No line of a head.
GARBAGE = b'\x9c\x07\xe1\xff\x15\x8e'


class Mode(enum.Enum):
    """How bytes are forwarded."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    NO_RESPONSES = 'no_answers'
    SECOND_COPY = 'second_copy'
    TRICKLE = 'trickle'
    GARBLED = 'garbled'


# Faults of the network, which any connection may have.
NETWORK_MODES = (Mode.DELAY, Mode.SILENT, Mode.NO_RESPONSES)
# Faults of a server, too. A second copy of an answer that has no id can't be
# told from the next answer, so the store sends none.
STORE_MODES = (*NETWORK_MODES, Mode.TRICKLE, Mode.GARBLED)
REPLICA_MODES = (*STORE_MODES, Mode.SECOND_COPY)


class Proxy:
    """Forwards connections to one port."""

    def __init__(self, to_port: int) -> None:
        self._to_port = to_port
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._numbers = itertools.count()
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=512)
        self.port = self._listener.getsockname()[1]
        _start(self._accept)

    @property
    def address(self) -> str:
        """Address "ip:port" to connect to."""
        return f'127.0.0.1:{self.port}'

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Changes how bytes are forwarded from now on."""
        self._delay_s = delay_s
        self._mode = mode

    def reset_all(self) -> None:
        """Resets the open connections."""
        with self._lock:
            open_sockets, self._sockets = self._sockets, set()
        for sock in open_sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
                )
            _close(sock)

    def close(self) -> None:
        """Closes the listener and resets all connections."""
        self._listener.close()
        self.reset_all()

    def _accept(self) -> None:
        while True:
            try:
                incoming, _ = self._listener.accept()
            except OSError:
                return
            _start(self._connect, incoming)

    def _connect(self, incoming: socket.socket) -> None:
        self._wait_while_blocked(is_response=False)
        try:
            outgoing = socket.create_connection(('127.0.0.1', self._to_port))
        except OSError:
            _close(incoming)
            return
        with self._lock:
            self._sockets |= {incoming, outgoing}
        _start(self._forward, incoming, outgoing, False)
        _start(self._forward, outgoing, incoming, True)

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                self._wait_while_blocked(is_response=is_response)
                if is_response:
                    self._send_response(sink, data)
                else:
                    sink.sendall(data)
        with self._lock:
            self._sockets -= {source, sink}
        _close(source)
        _close(sink)

    def _send_response(self, sink: socket.socket, data: bytes) -> None:
        """Sends a part of a response in the way of the mode.

        Raises:
            OSError: The connection was closed.
        """
        if self._mode is Mode.GARBLED and data.startswith(b'HTTP/'):
            _send_garbled(sink, data, next(self._numbers))
        sent = 0
        while self._mode is Mode.TRICKLE and sent < len(data):
            sink.sendall(data[sent : sent + 1])
            sent += 1
            time.sleep(TRICKLE_S)
        sink.sendall(data[sent:])
        if self._mode is Mode.SECOND_COPY and data.startswith(b'HTTP/'):
            time.sleep(COPY_DELAYS_S[next(self._numbers) % len(COPY_DELAYS_S)])
            sink.sendall(data)

    def _wait_while_blocked(self, *, is_response: bool) -> None:
        """Waits as long as the mode delays or blocks bytes."""
        time.sleep(self._delay_s if self._mode is Mode.DELAY else 0.0)
        while self._mode is Mode.SILENT or (
            is_response and self._mode is Mode.NO_RESPONSES
        ):
            time.sleep(POLL_S)


def _send_garbled(sink: socket.socket, data: bytes, number: int) -> None:
    """Sends bytes that are no answer in place of the first part of one.

    Raises:
        OSError: The connection has to be closed.
    """
    head, end, body = data.partition(b'\r\n\r\n')
    lines = head.split(b'\r\n')
    spoiled = 1 + number // 6 % (len(lines) - 1)
    way = number % 6
    if way < len(ENDLESS):
        _send_without_end(sink, *ENDLESS[way])
    elif way == 3 and b'chunked' in head:
        _send_without_end(sink, head + end, ENDLESS_EVENTS)
    elif way == 4:
        lines[spoiled] = GARBAGE
        sink.sendall(b'\r\n'.join(lines) + end + body)
    else:
        sink.sendall(data[: number % len(data)])
    raise ConnectionAbortedError('the answer is torn')


def _send_without_end(sink: socket.socket, head: bytes, part: bytes) -> None:
    sink.sendall(head)
    while True:
        sink.sendall(part)


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def _start(function, *arguments) -> None:
    threading.Thread(target=function, args=arguments, daemon=True).start()
