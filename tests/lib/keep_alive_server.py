"""A threaded server that keeps connections open."""

from __future__ import annotations

import contextlib
import socket
import threading


class KeepAliveServer:
    """Accepts connections and calls ``answer`` for each in a thread.

    Attributes:
        connections: Number of connections accepted so far.
    """

    def __init__(self) -> None:
        self.connections = 0
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Address "ip:port"."""
        return f'127.0.0.1:{self._port}'

    def close(self) -> None:
        """Stops accepting connections."""
        # Closing alone does not end an accept that another thread waits in.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def answer(self, connection: socket.socket) -> None:
        """Serves one connection."""
        raise NotImplementedError

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            self.answer(connection)
