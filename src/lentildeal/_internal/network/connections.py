"""A connection to another daemon."""

from __future__ import annotations

import dataclasses
import itertools
import typing

import eventlet
import eventlet.event
from eventlet.green import socket
import eventlet.queue
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import wire

# Each read allocates this much memory and frees the part it does not fill.
READ_BYTES = 64 * 1024
# A peer that reads too slowly and exceeds this backlog is disconnected, so
# that queued frames do not exhaust the memory of the sender.
MAX_QUEUED_FRAMES = 20_000

_bytes_total = prometheus_client.Counter(
    'lentildeal_peer_bytes_total',
    'Bytes exchanged with other daemons.',
    ['direction'],
)
_frames_total = prometheus_client.Counter(
    'lentildeal_peer_frames_total',
    'Frames exchanged with other daemons.',
    ['direction'],
)
# Labels are resolved once, because the lookup takes longer than counting.
_bytes_sent_total = _bytes_total.labels('sent')
_bytes_received_total = _bytes_total.labels('received')
_frames_sent_total = _frames_total.labels('sent')
_frames_received_total = _frames_total.labels('received')


@wire.message('peer.hello')
@dataclasses.dataclass(frozen=True)
class Handshake:
    """First frame that each side of a connection sends."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


@wire.message('peer.error')
@dataclasses.dataclass(frozen=True)
class ErrorResponse:
    """Response to a call whose handler failed."""

    kind: str
    message: str


class Connection:
    """One connection with its pending calls."""

    def __init__(self, sock: socket.socket, handshake: Handshake) -> None:
        self.instance = handshake.instance
        self.incarnation = handshake.incarnation
        self.is_open = True
        self._socket = sock
        self._is_writing = False
        self._outgoing = eventlet.queue.LightQueue(MAX_QUEUED_FRAMES)
        self._pending: dict[int, eventlet.event.Event] = {}
        self._request_numbers = itertools.count(1)

    def send(self, frame: wire.Frame) -> None:
        """Sends a frame, or queues it if the socket is not ready.

        Raises:
            exceptions.PeerUnreachableError: The connection is closed.
        """
        if not self.is_open:
            raise exceptions.PeerUnreachableError(
                f'connection to {self.instance} is closed'
            )
        data = wire.encode_frame(frame)
        if not self._is_writing and self._outgoing.empty():
            data = self._try_send(data)
            if not data:
                return
        try:
            self._outgoing.put_nowait(data)
        except eventlet.queue.Full:
            self.close()
            raise exceptions.PeerUnreachableError(
                f'{self.instance} reads too slowly; connection closed'
            ) from None

    def _try_send(self, data: bytes) -> bytes:
        """Writes what the socket accepts without blocking; returns the rest.

        A single frame, such as a heartbeat, then needs no switch to the green
        thread of the writer.
        """
        try:
            sent = self._socket.fd.send(data)
        except OSError:
            # Includes BlockingIOError. The writer handles other errors.
            return data
        _bytes_sent_total.inc(sent)
        _frames_sent_total.inc()
        return data[sent:]

    def call(self, message: typing.Any, timeout_s: float) -> typing.Any:
        """Sends a call and waits for its response.

        Raises:
            exceptions.PeerUnreachableError: The connection is closed.
            exceptions.PeerTimeoutError: No response came in time, or the
                connection ended.
            exceptions.RemoteError: The handler of the peer failed.
        """
        request_number = next(self._request_numbers)
        event = eventlet.event.Event()
        self._pending[request_number] = event
        try:
            self.send(wire.Frame(wire.FrameKind.CALL, request_number, message))
            with eventlet.Timeout(
                timeout_s,
                exceptions.PeerTimeoutError(
                    f'{self.instance} did not answer'
                    f' {type(message).__name__} within {timeout_s:.1f} s'
                ),
            ):
                return event.wait()
        finally:
            self._pending.pop(request_number, None)

    def resolve(self, frame: wire.Frame) -> None:
        """Passes a response to the call that waits for it.

        A response to a call that has timed out is dropped.
        """
        event = self._pending.pop(frame.request, None)
        if event is None:
            return
        if frame.kind is wire.FrameKind.ERROR:
            event.send_exception(
                exceptions.RemoteError(
                    f'{self.instance}: {frame.message.kind}:'
                    f' {frame.message.message}'
                )
            )
        else:
            event.send(frame.message)

    def write_frames(self) -> None:
        """Writes queued frames in batches until the connection ends."""
        while self.is_open:
            chunks = [self._outgoing.get()]
            while not self._outgoing.empty():
                chunks.append(self._outgoing.get_nowait())
            if None in chunks:
                return
            data = b''.join(chunks)
            self._is_writing = True
            try:
                self._socket.sendall(data)
            except OSError:
                self.close()
                return
            finally:
                self._is_writing = False
            _bytes_sent_total.inc(len(data))
            _frames_sent_total.inc(len(chunks))

    def read_frames(self) -> typing.Iterator[wire.Frame]:
        """Yields frames until the connection ends."""
        unpacker = wire.make_unpacker()
        while self.is_open:
            try:
                data = self._socket.recv(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            _bytes_received_total.inc(len(data))
            unpacker.feed(data)
            if len(data) == READ_BYTES:
                # eventlet reads from a ready socket without a switch. A peer
                # that sends without a pause would block all others.
                eventlet.sleep(0)
            for frame in wire.iter_frames(unpacker):
                _frames_received_total.inc()
                yield frame

    def close(self) -> None:
        """Closes the connection and fails its pending calls."""
        if not self.is_open:
            return
        self.is_open = False
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()
        try:
            self._outgoing.put_nowait(None)
        except eventlet.queue.Full:
            pass
        pending, self._pending = self._pending, {}
        for event in pending.values():
            event.send_exception(
                exceptions.PeerTimeoutError(
                    f'connection to {self.instance} ended before its response'
                )
            )
