"""Listening sockets."""

from __future__ import annotations

import typing

import eventlet
import eventlet.event
from eventlet.green import socket
import eventlet.patcher

from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings as settings_module

# The patched function allows no second reader of a socket.
_select = eventlet.patcher.original('select').select


def listen(address: str, backlog: int) -> socket.socket:
    """Listens on an address without sharing it with other processes.

    ``eventlet`` sets SO_REUSEPORT by default. A second process on the same
    address would then receive some of the connections, and neither process
    would notice.

    Raises:
        exceptions.SettingsError: The address can't be used.
    """
    try:
        return eventlet.listen(
            settings_module.split_address(address),
            backlog=backlog,
            reuse_port=False,
        )
    except OSError as error:
        raise exceptions.SettingsError(
            f'cannot listen on {address}: {error.strerror}',
            remedy='stop the process that uses the address, or use another',
        ) from error


class Listener:
    """Listening socket that can be closed without closing connections.

    If its socket failed, the server of eventlet would close all connections
    without a request, also those whose first request is on its way.
    """

    def __init__(self, listening_socket: typing.Any) -> None:
        self._socket = listening_socket
        self._is_stopped = False
        self._never = eventlet.event.Event()

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._socket, name)

    def accept(self) -> tuple:
        """Accepts a connection; never returns after ``stop``."""
        while not self._is_stopped:
            try:
                return self._socket.accept()
            except OSError:
                if not self._is_stopped:
                    raise
        return self._never.wait()

    def stop(self) -> None:
        """Accepts what waits to be accepted, then closes the socket."""
        while _select([self._socket.fileno()], [], [], 0)[0]:
            eventlet.sleep(0)
        self._is_stopped = True
        # A close alone leaves the socket open while accept() waits on it.
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
