"""Connections to targets that forward requests unchanged."""

from __future__ import annotations

import typing

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import client_connections

# Idle time of a connection whose target sends no Keep-Alive timeout. Timeouts
# are whole seconds, so a target that sends none closes within a second.
DEFAULT_IDLE_S = 0.8
MAX_IDLE_S = 30.0


class TargetConnections:
    """Connection pool for all targets of this daemon."""

    def __init__(self) -> None:
        self._idle = client_connections.IdleConnections(
            DEFAULT_IDLE_S, MAX_IDLE_S
        )

    def send(
        self,
        address: ids.ReplicaAddress,
        method: str,
        target: str,
        headers: client_connections.Headers,
        body: bytes,
        *,
        read_timeout_s: float,
        is_repeatable: bool,
        request_id: typing.Optional[str] = None,
    ) -> client_connections.Response:
        """Sends a request and waits for the response headers.

        A target may close an idle connection at any time and reset the next
        request on it. A repeatable request is then sent once more on a new
        connection. Other requests never use an idle connection, because a
        reset does not tell whether the request ran.

        Args:
            address: Address of the target.
            method: HTTP method.
            target: Path and query, sent unchanged.
            headers: Headers, sent unchanged.
            body: Complete body.
            read_timeout_s: Time for the response headers and longest wait for
                each read of the body, in seconds.
            is_repeatable: Whether the request may run more than once.
            request_id: Identifier in the headers that the response repeats.

        Raises:
            exceptions.NotRunError: No byte was sent.
            exceptions.TargetCrashedError: Bytes of a repeatable request were
                sent, and the target accepts no connection any more.
            exceptions.MayHaveRunError: Bytes were sent, but no response
                headers arrived.
        """
        request = client_connections.Request(
            method, target, headers, body, request_id
        )
        idle = None
        if is_repeatable:
            idle = self._idle.pop(address, request_id)
        if idle is not None:
            try:
                return self._exchange(address, idle, request, read_timeout_s)
            except exceptions.ConnectionClosedError as error:
                # The other idle connections are probably closed as well.
                self.close_idle(address)
                connection = self._reconnect(address, read_timeout_s, error)
        else:
            connection = client_connections.ClientConnection.connect(
                address, read_timeout_s
            )
        try:
            return self._exchange(address, connection, request, read_timeout_s)
        except exceptions.ConnectionClosedError as error:
            if is_repeatable:
                self._reconnect(address, read_timeout_s, error).close()
            raise

    def _reconnect(
        self,
        address: ids.ReplicaAddress,
        read_timeout_s: float,
        error: exceptions.ConnectionClosedError,
    ) -> client_connections.ClientConnection:
        """Connects to a target that closed the connection of a request.

        Raises:
            exceptions.TargetCrashedError: The target accepts no connection.
        """
        try:
            return client_connections.ClientConnection.connect(
                address, read_timeout_s
            )
        except exceptions.NotRunError as refusal:
            raise exceptions.TargetCrashedError(
                f'{error.message}; then {refusal.message}'
            ) from refusal

    def _exchange(
        self,
        address: ids.ReplicaAddress,
        connection: client_connections.ClientConnection,
        request: client_connections.Request,
        read_timeout_s: float,
    ) -> client_connections.Response:
        reader = connection.exchange(request, read_timeout_s)
        return client_connections.Response(
            self._idle, address, connection, reader
        )

    def close_idle(self, address: ids.ReplicaAddress) -> None:
        """Closes the idle connections to a target."""
        self._idle.close(address)

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        self._idle.close_expired()
