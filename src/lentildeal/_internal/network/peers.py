"""Connections to other daemons: one reader and one writer each."""

from __future__ import annotations

import dataclasses
import itertools
import socket
import typing

import eventlet
import eventlet.event
import eventlet.queue
from loguru import logger
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import wire
from lentildeal._internal.settings import settings as settings_module

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
READ_BYTES = 256 * 1024
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

CallHandler = typing.Callable[[ids.InstanceId, typing.Any], typing.Any]


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
        try:
            self._outgoing.put_nowait(data)
        except eventlet.queue.Full:
            self.close()
            raise exceptions.PeerUnreachableError(
                f'{self.instance} does not read; connection closed'
            ) from None

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
            try:
                self._socket.sendall(data)
            except OSError:
                self.close()
                return
            _bytes_total.labels('sent').inc(len(data))
            _frames_total.labels('sent').inc(len(chunks))

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
            _bytes_total.labels('received').inc(len(data))
            unpacker.feed(data)
            for body in unpacker:
                _frames_total.labels('received').inc()
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


class PeerNetwork:
    """All connections to other daemons, dialled when first needed."""

    def __init__(
        self,
        settings: settings_module.Settings,
        incarnation: ids.Incarnation,
    ) -> None:
        self._hello = Hello(settings.instance, incarnation)
        self._address = settings_module.split_address(settings.peer_address)
        self._addresses: dict[ids.InstanceId, tuple[str, int]] = {}
        self._connections: dict[ids.InstanceId, list[Connection]] = {}
        self._dialling: dict[ids.InstanceId, eventlet.event.Event] = {}
        self._handlers: dict[type, CallHandler] = {}
        self._disconnect_handlers: list[CallHandler] = []
        self._listener: typing.Optional[socket.socket] = None

    def handle(self, cls: type, function: CallHandler) -> None:
        """Registers the handler of a message type.

        Handlers of calls run in a green thread of their own and return the
        reply. Handlers of notices run in the connection's reader, in order,
        and must not wait.
        """
        self._handlers[cls] = function

    def on_disconnect(self, function: CallHandler) -> None:
        """Registers ``function(instance, incarnation)`` for a lost peer."""
        self._disconnect_handlers.append(function)

    def set_address(self, instance: ids.InstanceId, address: str) -> None:
        """Tells where an instance listens, as "ip:port"."""
        self._addresses[instance] = settings_module.split_address(address)

    def is_connected(self, instance: ids.InstanceId) -> bool:
        """Whether a connection to an instance is open."""
        return bool(self._connections.get(instance))

    def start(self) -> None:
        """Listens for other daemons."""
        self._listener = eventlet.listen(self._address)
        eventlet.spawn_n(self._accept_connections)

    def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        for connections in list(self._connections.values()):
            for connection in list(connections):
                connection.close()

    def call(
        self,
        instance: ids.InstanceId,
        message: typing.Any,
        timeout_s: float,
    ) -> typing.Any:
        """Calls another daemon, or a handler of this one.

        Raises:
            exceptions.PeerUnreachableError: Nothing was sent.
            exceptions.PeerTimeoutError: The peer may have acted.
            exceptions.RemoteError: The peer's handler failed.
        """
        if instance == self._hello.instance:
            return self._handlers[type(message)](instance, message)
        return self._get_connection(instance).call(message, timeout_s)

    def notify(self, instance: ids.InstanceId, message: typing.Any) -> None:
        """Sends a message that has no reply.

        Raises:
            exceptions.PeerUnreachableError: Nothing was sent.
        """
        if instance == self._hello.instance:
            self._handlers[type(message)](instance, message)
            return
        frame = wire.Frame(wire.FrameKind.NOTICE, 0, message)
        self._get_connection(instance).send(frame)

    def _get_connection(self, instance: ids.InstanceId) -> Connection:
        connections = self._connections.get(instance)
        if connections:
            return connections[0]
        dialling = self._dialling.get(instance)
        if dialling is not None:
            dialling.wait()
            connections = self._connections.get(instance)
            if connections:
                return connections[0]
            raise exceptions.PeerUnreachableError(f'{instance} unreachable')
        event = self._dialling[instance] = eventlet.event.Event()
        try:
            return self._dial(instance)
        finally:
            del self._dialling[instance]
            event.send()

    def _dial(self, instance: ids.InstanceId) -> Connection:
        address = self._addresses.get(instance)
        if address is None:
            raise exceptions.PeerUnreachableError(
                f'the address of {instance} is not known'
            )
        try:
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError as error:
            raise exceptions.PeerUnreachableError(
                f'{instance} at {address[0]}:{address[1]}: {error}'
            ) from error
        hello = self._exchange_hello(sock)
        if hello is None or hello.instance != instance:
            sock.close()
            raise exceptions.PeerUnreachableError(
                f'{address[0]}:{address[1]} is not {instance}'
            )
        return self._add_connection(sock, hello)

    def _exchange_hello(self, sock) -> typing.Optional[Hello]:
        """Sends our hello and reads theirs, None if it is not valid."""
        frame = wire.Frame(wire.FrameKind.NOTICE, 0, self._hello)
        unpacker = wire.make_unpacker()
        try:
            sock.settimeout(HELLO_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(wire.encode_frame(frame))
            while True:
                # One byte less than a frame at most, so that no byte behind
                # the hello is taken from the connection's own reader.
                data = sock.recv(1)
                if not data:
                    return None
                unpacker.feed(data)
                for body in unpacker:
                    hello = wire.to_frame(body).message
                    sock.settimeout(None)
                    return hello if isinstance(hello, Hello) else None
        except (OSError, exceptions.WireError, ValueError):
            return None

    def _accept_connections(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            eventlet.spawn_n(self._welcome, sock)

    def _welcome(self, sock: socket.socket) -> None:
        hello = self._exchange_hello(sock)
        if hello is None:
            sock.close()
            return
        self._add_connection(sock, hello)

    def _add_connection(self, sock, hello: Hello) -> Connection:
        connection = Connection(sock, hello)
        self._connections.setdefault(hello.instance, []).append(connection)
        eventlet.spawn_n(connection.write_frames)
        eventlet.spawn_n(self._serve, connection)
        return connection

    def _serve(self, connection: Connection) -> None:
        try:
            for frame in connection.read_frames():
                self._dispatch(connection, frame)
        except Exception as error:
            logger.warning(
                'connection to {} ended: {}', connection.instance, error
            )
        finally:
            connection.close()
            self._remove_connection(connection)

    def _dispatch(self, connection: Connection, frame: wire.Frame) -> None:
        if frame.kind is wire.FrameKind.NOTICE:
            handler = self._handlers.get(type(frame.message))
            if handler is not None:
                handler(connection.instance, frame.message)
        elif frame.kind is wire.FrameKind.CALL:
            eventlet.spawn_n(self._answer, connection, frame)
        else:
            connection.resolve(frame)

    def _answer(self, connection: Connection, frame: wire.Frame) -> None:
        kind = wire.FrameKind.REPLY
        try:
            handler = self._handlers.get(type(frame.message))
            if handler is None:
                raise exceptions.WireError(
                    f'no handler for {type(frame.message).__name__}'
                )
            reply = handler(connection.instance, frame.message)
        except Exception as error:
            kind = wire.FrameKind.ERROR
            reply = ErrorReply(type(error).__name__, str(error))
        try:
            connection.send(wire.Frame(kind, frame.request, reply))
        except exceptions.PeerError:
            pass

    def _remove_connection(self, connection: Connection) -> None:
        connections = self._connections.get(connection.instance, [])
        if connection in connections:
            connections.remove(connection)
        if connections:
            return
        self._connections.pop(connection.instance, None)
        for function in self._disconnect_handlers:
            function(connection.instance, connection.incarnation)
