"""Loopback proxy that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
import threading
import time

POLL_S = 0.02
READ_BYTES = 65536
RESET = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """What happens to bytes."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENT = 'silent'
    NO_ANSWERS = 'no_answers'


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
        """Changes what happens to bytes from now on."""
        self._delay_s = delay_s
        self._mode = mode

    def reset_all(self) -> None:
        """Resets the open connections."""
        with self._lock:
            found, self._sockets = self._sockets, set()
        for sock in found:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            _close(sock)

    def close(self) -> None:
        """Ends the proxy."""
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
        self._hold(is_answer=False)
        try:
            outgoing = socket.create_connection(('127.0.0.1', self._to_port))
        except OSError:
            _close(incoming)
            return
        with self._lock:
            self._sockets |= {incoming, outgoing}
        _start(self._pump, incoming, outgoing, False)
        _start(self._pump, outgoing, incoming, True)

    def _pump(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                self._hold(is_answer=is_answer)
                sink.sendall(data)
        with self._lock:
            self._sockets -= {source, sink}
        _close(source)
        _close(sink)

    def _hold(self, *, is_answer: bool) -> None:
        """Waits as long as the mode keeps bytes back."""
        time.sleep(self._delay_s if self._mode is Mode.DELAY else 0.0)
        while self._mode is Mode.SILENT or (
            is_answer and self._mode is Mode.NO_ANSWERS
        ):
            time.sleep(POLL_S)


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def _start(function, *arguments) -> None:
    threading.Thread(target=function, args=arguments, daemon=True).start()
