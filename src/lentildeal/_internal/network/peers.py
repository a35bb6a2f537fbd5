"""Connections to other daemons, with one reader and one writer each."""

from __future__ import annotations

import typing

import eventlet
import eventlet.event
from eventlet.green import socket
from loguru import logger

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import connections as connections_module
from lentildeal._internal.network import listening
from lentildeal._internal.network import wire
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock

CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
ACCEPT_RETRY_S = 0.1
# Connections that may wait to be accepted.
LISTEN_BACKLOG = 50

CallHandler = typing.Callable[[ids.InstanceId, typing.Any], typing.Any]


class PeerNetwork:
    """All connections to other daemons, opened when first needed."""

    def __init__(
        self,
        settings: settings_module.Settings,
        incarnation: ids.Incarnation,
    ) -> None:
        self._handshake = connections_module.Handshake(
            settings.instance, incarnation
        )
        self._address = settings.peer_bind_address or settings.peer_address
        self._addresses: dict[ids.InstanceId, tuple[str, int]] = {}
        self._connections: dict[
            ids.InstanceId, list[connections_module.Connection]
        ] = {}
        self._dialling: dict[ids.InstanceId, eventlet.event.Event] = {}
        self._handlers: dict[type, CallHandler] = {}
        self._disconnect_handlers: list[CallHandler] = []
        self._listener: typing.Optional[socket.socket] = None
        self._is_stopped = False

    def handle(self, cls: type, function: CallHandler) -> None:
        """Registers the handler of a message type.

        Handlers of calls run in a green thread of their own and return the
        response. Handlers of notices run in the reader of the connection, in
        order, and must not block.
        """
        self._handlers[cls] = function

    def on_disconnect(self, function: CallHandler) -> None:
        """Registers ``function(instance, incarnation)`` for lost peers."""
        self._disconnect_handlers.append(function)

    def set_address(self, instance: ids.InstanceId, address: str) -> None:
        """Sets the address "ip:port" of an instance."""
        self._addresses[instance] = settings_module.split_address(address)

    def is_connected(self, instance: ids.InstanceId) -> bool:
        """Whether a connection to an instance is open."""
        return bool(self._connections.get(instance))

    def connect(self, instance: ids.InstanceId) -> None:
        """Opens a connection if there is none.

        Raises:
            exceptions.PeerUnreachableError: The connection failed.
        """
        if instance != self._handshake.instance:
            self._get_connection(instance)

    def disconnect(self, instance: ids.InstanceId) -> None:
        """Closes all connections to an instance."""
        for connection in list(self._connections.get(instance, ())):
            connection.close()
            self._remove_connection(connection)

    def start(self) -> None:
        """Starts listening for connections of other daemons."""
        self._listener = listening.listen(self._address, LISTEN_BACKLOG)
        eventlet.spawn_n(self._accept_connections)

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._is_stopped = True
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
        """Calls another daemon, or a handler of this daemon.

        Raises:
            exceptions.PeerUnreachableError: Nothing was sent.
            exceptions.PeerTimeoutError: The peer may have run the call.
            exceptions.RemoteError: The handler of the peer failed.
        """
        if instance == self._handshake.instance:
            return self._handlers[type(message)](instance, message)
        deadline = clock.Deadline(timeout_s)
        with eventlet.Timeout(
            timeout_s,
            exceptions.PeerUnreachableError(
                f'no connection to {instance} within {timeout_s:.1f} s'
            ),
        ):
            connection = self._get_connection(instance)
        return connection.call(message, deadline.remaining_s)

    def notify(self, instance: ids.InstanceId, message: typing.Any) -> None:
        """Sends a message that gets no response.

        Raises:
            exceptions.PeerUnreachableError: Nothing was sent.
        """
        if instance == self._handshake.instance:
            self._handlers[type(message)](instance, message)
            return
        frame = wire.Frame(wire.FrameKind.NOTICE, 0, message)
        self._get_connection(instance).send(frame)

    def _get_connection(
        self, instance: ids.InstanceId
    ) -> connections_module.Connection:
        connections = self._connections.get(instance)
        if connections:
            return connections[0]
        dialling = self._dialling.get(instance)
        if dialling is not None:
            dialling.wait()
            connections = self._connections.get(instance)
            if connections:
                return connections[0]
            raise exceptions.PeerUnreachableError(f'{instance} is unreachable')
        event = self._dialling[instance] = eventlet.event.Event()
        try:
            return self._dial(instance)
        finally:
            del self._dialling[instance]
            event.send()

    def _dial(self, instance: ids.InstanceId) -> connections_module.Connection:
        address = self._addresses.get(instance)
        if address is None:
            raise exceptions.PeerUnreachableError(
                f'the address of {instance} is unknown'
            )
        try:
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError as error:
            raise exceptions.PeerUnreachableError(
                f'{instance} at {address[0]}:{address[1]}: {error}'
            ) from error
        handshake = None
        try:
            handshake = self._exchange_handshakes(sock)
        finally:
            # Also runs if the timeout of a call is raised in this function.
            if handshake is None or handshake.instance != instance:
                sock.close()
        if handshake is None or handshake.instance != instance:
            raise exceptions.PeerUnreachableError(
                f'{address[0]}:{address[1]} is not {instance}'
            )
        return self._add_connection(sock, handshake)

    def _exchange_handshakes(
        self, sock
    ) -> typing.Optional[connections_module.Handshake]:
        """Sends our handshake; returns theirs, None if it is not valid."""
        frame = wire.Frame(wire.FrameKind.NOTICE, 0, self._handshake)
        unpacker = wire.make_unpacker()
        try:
            sock.settimeout(HANDSHAKE_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(wire.encode_frame(frame))
            while True:
                # Reads single bytes, so that no byte after the handshake is
                # lost to the reader of the connection.
                data = sock.recv(1)
                if not data:
                    return None
                unpacker.feed(data)
                for received in wire.iter_frames(unpacker):
                    handshake = received.message
                    sock.settimeout(None)
                    return (
                        handshake
                        if isinstance(handshake, connections_module.Handshake)
                        else None
                    )
        except (OSError, exceptions.WireError):
            return None

    def _accept_connections(self) -> None:
        while not self._is_stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if not self._is_stopped:
                    # Temporary errors, such as no free file descriptor.
                    logger.warning(
                        'could not accept a peer connection: {}', error
                    )
                    eventlet.sleep(ACCEPT_RETRY_S)
                continue
            eventlet.spawn_n(self._set_up_accepted, sock)

    def _set_up_accepted(self, sock: socket.socket) -> None:
        handshake = self._exchange_handshakes(sock)
        if handshake is None:
            sock.close()
            return
        self._add_connection(sock, handshake)

    def _add_connection(
        self, sock, handshake: connections_module.Handshake
    ) -> connections_module.Connection:
        connection = connections_module.Connection(sock, handshake)
        self._close_stale_connections(handshake)
        self._connections.setdefault(handshake.instance, []).append(connection)
        eventlet.spawn_n(connection.write_frames)
        eventlet.spawn_n(self._serve, connection)
        return connection

    def _close_stale_connections(
        self, handshake: connections_module.Handshake
    ) -> None:
        """Closes connections to an earlier process of the instance.

        The end of that process may not have been detected yet, and calls
        would still be sent to it.
        """
        for connection in list(self._connections.get(handshake.instance, ())):
            if connection.incarnation != handshake.incarnation:
                connection.close()
                self._remove_connection(connection)

    def _serve(self, connection: connections_module.Connection) -> None:
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

    def _dispatch(
        self, connection: connections_module.Connection, frame: wire.Frame
    ) -> None:
        if frame.kind is wire.FrameKind.NOTICE:
            handler = self._handlers.get(type(frame.message))
            if handler is not None:
                handler(connection.instance, frame.message)
        elif frame.kind is wire.FrameKind.CALL:
            eventlet.spawn_n(self._handle_call, connection, frame)
        else:
            connection.resolve(frame)

    def _handle_call(
        self, connection: connections_module.Connection, frame: wire.Frame
    ) -> None:
        kind = wire.FrameKind.RESPONSE
        try:
            handler = self._handlers.get(type(frame.message))
            if handler is None:
                raise exceptions.WireError(
                    f'no handler for {type(frame.message).__name__}'
                )
            response = handler(connection.instance, frame.message)
        except Exception as error:
            kind = wire.FrameKind.ERROR
            response = connections_module.ErrorResponse(
                type(error).__name__, str(error)
            )
        try:
            connection.send(wire.Frame(kind, frame.request, response))
        except exceptions.PeerError:
            pass

    def _remove_connection(
        self, connection: connections_module.Connection
    ) -> None:
        connections = self._connections.get(connection.instance, [])
        if connection not in connections:
            return
        connections.remove(connection)
        if connections:
            return
        self._connections.pop(connection.instance, None)
        for function in self._disconnect_handlers:
            function(connection.instance, connection.incarnation)
