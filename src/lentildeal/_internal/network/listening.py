"""Listening sockets."""

from __future__ import annotations

import eventlet
from eventlet.green import socket

from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings as settings_module


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
