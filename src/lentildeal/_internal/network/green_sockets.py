"""Reads from eventlet's sockets without loss of how a connection ended."""

from __future__ import annotations

import socket
import typing

from eventlet import hubs


def receive(sock: typing.Any, max_bytes: int) -> bytes:
    """Waits for bytes; returns none only at the end of the stream.

    ``recv`` of eventlet's sockets returns no bytes for a reset either, so that
    a message that ends with its connection would seem to be complete.

    Args:
        sock: Connected green socket; its timeout applies.
        max_bytes: Largest number of bytes to return.

    Raises:
        OSError: The connection was reset or lost, or nothing came in time.
    """
    while True:
        try:
            return sock.fd.recv(max_bytes)
        except BlockingIOError:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=sock.gettimeout(),
                timeout_exc=socket.timeout('timed out'),
            )
