"""Writes to clients that read slowly."""

import contextlib
import time

import eventlet
from eventlet.green import socket
import pytest

from lentildeal._internal.network import http_protocol

SIZE_BYTES = 4 * 1024 * 1024


@pytest.fixture
def pair(monkeypatch):
    monkeypatch.setattr(http_protocol, 'WRITE_TIMEOUT_S', 0.5)
    monkeypatch.setattr(http_protocol, 'MIN_WRITE_BYTES_PER_S', SIZE_BYTES)
    ours, client = socket.socketpair()
    with contextlib.closing(ours), contextlib.closing(client):
        writer = ours.makefile('wb', 16384)
        yield http_protocol.BoundedWriter(writer, ours), client


def read(client, part_bytes, pause_s):
    """Reads parts with pauses until the end; returns the number of bytes."""
    found = 0
    while data := client.recv(part_bytes):
        found += len(data)
        eventlet.sleep(pause_s)
    return found


def test_client_that_reads_a_byte_now_and_then_is_disconnected(pair):
    # Guards against a response that is held without end: each byte taken
    # restarts the timeout of the socket.
    writer, client = pair
    reader = eventlet.spawn(read, client, 1, 0.05)
    started_s = time.monotonic()
    with pytest.raises(ConnectionAbortedError):
        writer.writelines([b'x' * SIZE_BYTES])
    assert time.monotonic() - started_s < 2.0
    started_s = time.monotonic()
    with contextlib.suppress(OSError):
        writer.close()
    assert time.monotonic() - started_s < 0.2
    reader.kill()


def test_slow_client_gets_the_complete_response(pair):
    writer, client = pair
    reader = eventlet.spawn(read, client, SIZE_BYTES // 8, 0.05)
    writer.writelines([b'x' * (SIZE_BYTES // 2)] * 2)
    writer.close()
    client_side = writer._connection
    client_side.shutdown(socket.SHUT_WR)
    assert reader.wait() == SIZE_BYTES
