"""Live calls and their responses."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock

# Headers of a single connection (RFC 9110, section 7.6.1).
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
    """A request to forward.

    Attributes:
        request_id: Identifier set by the caller.
        method: HTTP method.
        host: Host without a port.
        path: Path without the query.
        target: Path and query as they were sent.
        headers: Headers to forward.
        body: Complete body.
        deadline: When the caller stops waiting.
        is_client_gone: Returns whether the caller has closed its connection.
        account: Client account of the caller, None without accounts.
        priority: Rank of the call, 0 is the highest.
        is_own: Whether the daemon itself makes the call, so that its headers
            lack the identifier.
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
    is_own: bool = False
    account: typing.Optional[ids.AccountName] = None
    priority: int = 0


@dataclasses.dataclass(frozen=True)
class LiveResponse:
    """A response of a replica, forwarded unchanged.

    Attributes:
        status: HTTP status.
        headers: Headers to forward.
        body: Complete body, or its parts as they arrive.
        signature: See ``platform_base.ResponseInfo``.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: typing.Union[bytes, typing.Iterator[bytes]]
    signature: typing.Optional[str] = None


class AttemptResult(typing.NamedTuple):
    """Result of an attempt at a replica.

    Attributes:
        replica: The replica.
        response: Its response, None without one.
        is_not_run: Whether the replica has not run the call.
        reason: Why the attempt failed, if it did.
        load: Load that the replica reported.
        is_sent: Whether anything was sent.
        has_crashed: Whether the replica went down when it had the call.
    """

    replica: deployment.Replica
    response: typing.Optional[LiveResponse]
    is_not_run: bool
    reason: str
    load: typing.Optional[platform_base.ReplicaLoad] = None
    is_sent: bool = True
    has_crashed: bool = False

    @classmethod
    def make_unsent(
        cls, replica: deployment.Replica, reason: str
    ) -> AttemptResult:
        """Makes the result of an attempt of which nothing was sent."""
        return cls(replica, None, True, reason, is_sent=False)

    @property
    def is_success(self) -> bool:
        """Whether there is a response that is not a server error."""
        return self.response is not None and self.response.status < 500

    @property
    def is_full(self) -> bool:
        """Whether the replica had no room for the call."""
        return self.is_not_run and self.reason == 'status 503'


def drop_connection_headers(
    headers: typing.Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Removes the headers of a single connection."""
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
