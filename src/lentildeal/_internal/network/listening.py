"""Listening sockets."""

from __future__ import annotations

import eventlet
from eventlet.green import socket

from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings as settings_module


def listen(address: str, backlog: int) -> socket.socket:
    """Listens on an address that no other process may share.

    ``eventlet`` sets SO_REUSEPORT by default. A second process on the address
    would then get a part of the connections, and neither would notice.

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
            f'can not listen on {address}: {error.strerror}',
            remedy='end the process that uses the address, or choose another',
        ) from error
