"""A crowd of clients that send bytes over many connections from one thread."""

from __future__ import annotations

import contextlib
import dataclasses
import selectors
import socket
import time
import typing

PART_BYTES = 64 * 1024
POLL_S = 0.02


@dataclasses.dataclass(frozen=True)
class Client:
    """What each client of a crowd does.

    Attributes:
        parts: Makes the bytes that it sends, in pieces.
        reads: Whether it reads what it is sent.
        pause_s: Pause between two pieces.
        closes: Whether it closes its connection after the last piece.
    """

    parts: typing.Callable[[], typing.Iterator[bytes]]
    reads: bool = True
    pause_s: float = 0.0
    closes: bool = False


class _Connection:
    """One client's connection; never waits."""

    def __init__(self, address: tuple[str, int], client: Client) -> None:
        self._client = client
        self._parts = client.parts()
        self._unsent = memoryview(b'')
        self._next_s = 0.0
        self.socket = socket.socket()
        self.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.socket.connect(address)
        self.is_open = True
        self.has_more = True

    @property
    def events(self) -> int:
        """What to wait for at present."""
        events = selectors.EVENT_READ if self._client.reads else 0
        if self.has_more and time.monotonic() >= self._next_s:
            events |= selectors.EVENT_WRITE
        return events

    def handle(self, events: int) -> None:
        """Reads and writes what can be without waiting."""
        try:
            if events & selectors.EVENT_READ:
                if not self.socket.recv(PART_BYTES):
                    self.close()
                    return
            if events & selectors.EVENT_WRITE:
                self._send()
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def close(self) -> None:
        """Closes the connection."""
        self.is_open = self.has_more = False
        self.socket.close()

    def _send(self) -> None:
        if not self._unsent:
            part = next(self._parts, None)
            if part is None:
                self.has_more = False
                if self._client.closes:
                    self.close()
                return
            self._unsent = memoryview(part)
        sent = self.socket.send(self._unsent[:PART_BYTES])
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._next_s = time.monotonic() + self._client.pause_s


class Crowd:
    """Connections of clients; a context manager that closes them."""

    def __init__(
        self, address: tuple[str, int], client: Client, count: int
    ) -> None:
        self._connections = [
            _Connection(address, client) for _ in range(count)
        ]

    def __enter__(self) -> Crowd:
        return self

    def __exit__(self, *_: typing.Any) -> None:
        for connection in self._connections:
            connection.close()

    def run(self, seconds: float) -> None:
        """Sends, and reads answers, until the time has passed."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            self._run_once()

    def _run_once(self) -> None:
        with selectors.PollSelector() as selector:
            for connection in self._connections:
                if connection.is_open and connection.events:
                    selector.register(
                        connection.socket, connection.events, connection
                    )
            if not selector.get_map():
                time.sleep(POLL_S)
                return
            for key, events in selector.select(POLL_S):
                key.data.handle(events)
