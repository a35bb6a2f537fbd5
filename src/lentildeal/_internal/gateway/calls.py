"""Live calls and their answers."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.utils import clock

# Headers that concern one connection only (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)


@dataclasses.dataclass(frozen=True)
class LiveCall:
    """A request to pass on.

    Attributes:
        request_id: Identifier that the caller chose.
        method: HTTP method.
        host: Host without a port.
        path: Path without the query.
        target: Path and query as they were sent.
        headers: Headers to pass on.
        body: Whole body.
        deadline: When the caller stops waiting.
        is_client_gone: Whether the caller has closed its connection.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: clock.Deadline
    is_client_gone: typing.Callable[[], bool]


@dataclasses.dataclass(frozen=True)
class LiveAnswer:
    """An answer of a replica, to send unchanged."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: typing.Union[bytes, typing.Iterator[bytes]]


def drop_connection_headers(
    headers: typing.Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Leaves out headers that concern one connection only."""
    headers = tuple(headers)
    named = {
        name.strip().lower()
        for header, value in headers
        if header.lower() == 'connection'
        for name in value.split(',')
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in CONNECTION_HEADERS and name.lower() not in named
    )
