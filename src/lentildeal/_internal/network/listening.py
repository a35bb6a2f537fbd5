"""Listening sockets."""

from __future__ import annotations

import contextlib
import ctypes
import errno
import struct
import typing

import eventlet
import eventlet.event
from eventlet.green import socket
import eventlet.patcher

from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings as settings_module

# The patched function allows no second reader of a socket.
_select = eventlet.patcher.original('select').select

# From linux/socket.h; the module socket has no name for it.
SO_ATTACH_FILTER = 26
# Classic BPF program on the TCP header: drops segments with SYN and without
# ACK, passes all others. Source: linux/filter.h, RFC 9293 section 3.1.
_DROP_NEW_CONNECTIONS = b''.join(
    struct.pack('HBBI', *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # load the byte of the flags
        (0x54, 0, 0, 0x12),  # keep SYN and ACK
        (0x15, 0, 1, 0x02),  # only SYN?
        (0x06, 0, 0, 0),  # drop
        (0x06, 0, 0, 0xFFFFFFFF),  # pass
    )
)
# The process or the system has no descriptor or no memory for a socket.
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
EXHAUSTED_PAUSE_S = 0.05
# Time for handshakes that have begun; round trips take up to 3 ms.
HANDSHAKE_S = 0.03


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

    def __init__(
        self,
        listening_socket: typing.Any,
        admit: typing.Callable[[typing.Any], bool] = lambda _: True,
        report_exhausted: typing.Callable[[], None] = lambda: None,
    ) -> None:
        """Wraps a socket.

        Args:
            listening_socket: Socket that listens.
            admit: Whether to keep a new connection; others are closed.
            report_exhausted: Called when no descriptor is left.
        """
        self._socket = listening_socket
        self._admit = admit
        self._report_exhausted = report_exhausted
        self._is_stopped = False
        self._never = eventlet.event.Event()

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._socket, name)

    def accept(self) -> tuple:
        """Accepts a connection; never returns after ``stop``."""
        while not self._is_stopped:
            try:
                connection, address = self._socket.accept()
            except OSError as error:
                if self._is_stopped:
                    break
                # The server of eventlet would end for good.
                if error.errno in _EXHAUSTED:
                    self._report_exhausted()
                    eventlet.sleep(EXHAUSTED_PAUSE_S)
                elif error.errno != errno.ECONNABORTED:
                    raise
                continue
            if self._admit(connection):
                return connection, address
            connection.close()
        return self._never.wait()

    def stop(self) -> None:
        """Accepts what waits to be accepted, then closes the socket.

        A connection that is established between the last check and the close
        would be reset, so no new one may begin before that.
        """
        _refuse_new_connections(self._socket)
        eventlet.sleep(HANDSHAKE_S)
        while _select([self._socket.fileno()], [], [], 0)[0]:
            eventlet.sleep(0)
        self._is_stopped = True
        # A close alone leaves the socket open while accept() waits on it.
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()


def _refuse_new_connections(listening_socket: typing.Any) -> None:
    """Drops the first segment of new connections.

    Their clients send it again after a second, when the socket is closed, and
    are refused.
    """
    program = ctypes.create_string_buffer(
        _DROP_NEW_CONNECTIONS, len(_DROP_NEW_CONNECTIONS)
    )
    count = len(_DROP_NEW_CONNECTIONS) // struct.calcsize('HBBI')
    option = struct.pack('HP', count, ctypes.addressof(program))
    # Systems without such filters keep the short gap before the close.
    with contextlib.suppress(OSError):
        listening_socket.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_FILTER, option
        )
