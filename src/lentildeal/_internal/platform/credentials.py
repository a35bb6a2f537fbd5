"""Headers of client requests that identify the sender."""

from __future__ import annotations

from lentildeal._internal.network import http_server
from lentildeal._internal.platform import names

_KEY = names.ACCOUNT_KEY.lower()
# The daemon sets the account itself. The key is for the daemon only.
_PRIVATE = frozenset((_KEY, names.ACCOUNT.lower()))


def read_keys(request: http_server.Request) -> list[str]:
    """Returns the values of the key header, one for each time it was sent."""
    return [
        value for name, value in request.raw_headers if name.lower() == _KEY
    ]


def is_private(name: str) -> bool:
    """Whether a header of a client must not be sent to replicas.

    Servers with the interface of CGI take an underscore for a hyphen.
    """
    return name.strip().lower().replace('_', '-') in _PRIVATE
