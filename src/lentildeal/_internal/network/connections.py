"""One open connection to another daemon."""

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

# Each read allocates this much and gives back what it did not fill.
READ_BYTES = 64 * 1024
# A peer that reads slower than this backlog is disconnected, so that it
# can't hold the memory of its senders.
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
# Looking up a label takes longer than counting.
_bytes_sent_total = _bytes_total.labels('sent')
_bytes_received_total = _bytes_total.labels('received')
_frames_sent_total = _frames_total.labels('sent')
_frames_received_total = _frames_total.labels('received')


@wire.message('peer.hello')
@dataclasses.dataclass(frozen=True)
class Hello:
    """First frame in both directions of a connection."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation


@wire.message('peer.error')
@dataclasses.dataclass(frozen=True)
class ErrorReply:
    """Reply to a call whose handler failed."""

    kind: str
    message: str


class Connection:
    """One open connection with its pending calls."""

    def __init__(self, sock: socket.socket, hello: Hello) -> None:
        self.instance = hello.instance
        self.incarnation = hello.incarnation
        self.is_open = True
        self._socket = sock
        self._is_writing = False
        self._outgoing = eventlet.queue.LightQueue(MAX_QUEUED_FRAMES)
        self._pending: dict[int, eventlet.event.Event] = {}
        self._numbers = itertools.count(1)

    def send(self, frame: wire.Frame) -> None:
        """Queues a frame.

        Raises:
            exceptions.PeerUnreachableError: The connection is closed.
        """
        if not self.is_open:
            raise exceptions.PeerUnreachableError(
                f'connection to {self.instance} is closed'
            )
        data = wire.encode_frame(frame)
        if not self._is_writing and self._outgoing.empty():
            data = self._send_at_once(data)
            if not data:
                return
        try:
            self._outgoing.put_nowait(data)
        except eventlet.queue.Full:
            self.close()
            raise exceptions.PeerUnreachableError(
                f'{self.instance} does not read; connection closed'
            ) from None

    def _send_at_once(self, data: bytes) -> bytes:
        """Writes what the socket takes without waiting; returns the rest.

        A frame that comes alone, as heartbeats do, then needs no switch to
        the writer.
        """
        try:
            sent = self._socket.fd.send(data)
        except OSError:
            # Also BlockingIOError. The writer finds out what is wrong.
            return data
        _bytes_sent_total.inc(sent)
        _frames_sent_total.inc()
        return data[sent:]

    def call(self, message: typing.Any, timeout_s: float) -> typing.Any:
        """Sends a call and waits for its reply."""
        number = next(self._numbers)
        event = eventlet.event.Event()
        self._pending[number] = event
        try:
            self.send(wire.Frame(wire.FrameKind.CALL, number, message))
            with eventlet.Timeout(
                timeout_s,
                exceptions.PeerTimeoutError(
                    f'{self.instance} did not answer'
                    f' {type(message).__name__} within {timeout_s:.1f} s'
                ),
            ):
                return event.wait()
        finally:
            self._pending.pop(number, None)

    def resolve(self, frame: wire.Frame) -> None:
        """Hands a reply to the call that waits for it.

        A reply whose call has timed out is dropped.
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
        """Writes queued frames, many at once, until the connection ends."""
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
                # eventlet reads a ready socket without a switch; a peer that
                # sends without a pause would hold up all others.
                eventlet.sleep(0)
            for body in unpacker:
                _frames_received_total.inc()
                yield wire.to_frame(body)

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
                    f'connection to {self.instance} ended before its answer'
                )
            )
