"""TCP forwarder that can simulate network partitions between daemons."""

from __future__ import annotations

import socket
import threading
import time
import typing

from lentildeal._internal.network import connections
from lentildeal._internal.network import wire

POLL_S = 0.02


class Forwarder:
    """Forwards peer connections; a cut delays bytes until it ends.

    The connecting instance is read from the first frame. During a cut,
    connections stay open, and new ones are accepted but get no response.
    """

    def __init__(self) -> None:
        self._cuts: set[frozenset[str]] = set()
        self._listeners: list[socket.socket] = []

    def add(self, instance: str, port: int, to_port: int) -> None:
        """Forwards a port to the port that the instance listens on."""
        listener = socket.create_server(('127.0.0.1', port))
        self._listeners.append(listener)
        _start(self._accept, listener, instance, to_port)

    def cut(self, one: typing.Iterable[str], other: typing.Iterable[str]):
        """Blocks all connections between two sets of instances."""
        self._cuts |= {frozenset((a, b)) for a in one for b in other}

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts = set()

    def close(self) -> None:
        """Stops listening; connections close with their daemons."""
        for listener in self._listeners:
            listener.close()

    def _accept(self, listener, instance: str, to_port: int) -> None:
        while True:
            try:
                incoming, _ = listener.accept()
            except OSError:
                return
            _start(self._connect, incoming, instance, to_port)

    def _connect(self, incoming, instance: str, to_port: int) -> None:
        unpacker = wire.make_unpacker()
        head = b''
        for body in _read_messages(incoming, unpacker):
            head, hello = body
            if isinstance(hello, connections.Handshake):
                break
        else:
            incoming.close()
            return
        pair = frozenset((instance, hello.instance))
        self._wait_while_cut(pair)
        try:
            outgoing = socket.create_connection(('127.0.0.1', to_port))
            outgoing.sendall(head)
        except OSError:
            incoming.close()
            return
        _start(self._forward, incoming, outgoing, pair)
        _start(self._forward, outgoing, incoming, pair)

    def _forward(self, source, sink, pair: frozenset[str]) -> None:
        try:
            while data := source.recv(65536):
                self._wait_while_cut(pair)
                sink.sendall(data)
        except OSError:
            pass
        self._wait_while_cut(pair)
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _wait_while_cut(self, pair: frozenset[str]) -> None:
        while pair in self._cuts:
            time.sleep(POLL_S)


def _read_messages(sock, unpacker):
    """Yields each message with all bytes read up to its end."""
    head = b''
    try:
        while data := sock.recv(1):
            head += data
            unpacker.feed(data)
            for body in unpacker:
                yield head, wire.to_frame(body).message
    except OSError:
        return


def _start(function, *arguments) -> None:
    threading.Thread(target=function, args=arguments, daemon=True).start()
