"""Loopback proxy that delays, resets or blocks connections.

Connections can be blocked in both directions or for responses only.
"""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
import threading
import time

POLL_S = 0.02
READ_BYTES = 65536
# SO_LINGER with a timeout of 0 makes close() send a reset.
RESET_LINGER = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """How bytes are forwarded."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    NO_RESPONSES = 'no_answers'


class Proxy:
    """Forwards connections to one port."""

    def __init__(self, to_port: int) -> None:
        self._to_port = to_port
        self._mode = Mode.PASS
        self._delay_s = 0.0
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
                sink.sendall(data)
        with self._lock:
            self._sockets -= {source, sink}
        _close(source)
        _close(sink)

    def _wait_while_blocked(self, *, is_response: bool) -> None:
        """Waits as long as the mode delays or blocks bytes."""
        time.sleep(self._delay_s if self._mode is Mode.DELAY else 0.0)
        while self._mode is Mode.SILENT or (
            is_response and self._mode is Mode.NO_RESPONSES
        ):
            time.sleep(POLL_S)


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def _start(function, *arguments) -> None:
    threading.Thread(target=function, args=arguments, daemon=True).start()
