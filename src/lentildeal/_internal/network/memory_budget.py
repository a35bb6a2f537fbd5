"""One budget of memory and connections for all clients of a daemon."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import typing

import eventlet
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.logs import events
from lentildeal._internal.models import outcomes
from lentildeal._internal.network import shedding
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock

MEGABYTE = 1024 * 1024
# Memory of an idle daemon (47 MB were measured) and of its open jobs.
BASE_BYTES = 52 * MEGABYTE
# Share of the rest that clients may use; the allocator needs some.
CLIENT_SHARE = 0.85
# Share of the budget for connections, and what one needs: its green thread,
# its buffers and its parsed head (25 to 42 KB were measured).
CONNECTION_SHARE = 0.25
CONNECTION_BYTES = 40 * 1024
# Share of the descriptors for clients. Each call needs a second one toward its
# replica, the store and files need some.
DESCRIPTOR_SHARE = 0.4
# Bound without the setting memory_mb: one body of the largest size fits.
DEFAULT_BYTES = 40 * MEGABYTE
# Time in which connections that were shed give back what they hold.
RELEASE_S = 0.1
RELEASE_POLL_S = 0.002
RETRY_AFTER_S = 0.5
# Shortest time between two log lines of one cause.
LOG_INTERVAL_S = 1.0

_used_bytes = prometheus_client.Gauge(
    'lentildeal_client_memory_bytes', 'Memory that is held for clients.'
)
_limit_bytes = prometheus_client.Gauge(
    'lentildeal_client_memory_limit_bytes', 'Bound on the memory for clients.'
)
_connections = prometheus_client.Gauge(
    'lentildeal_client_connections', 'Open connections of clients.'
)
_shed_total = prometheus_client.Counter(
    'lentildeal_clients_shed_total',
    'Requests refused and connections closed to bound memory, descriptors or'
    ' time, by cause.',
    ['cause'],
)


@dataclasses.dataclass(eq=False)
class ClientHolder(shedding.Holder):
    """A connection with its socket, None in tests without one."""

    socket: typing.Any = None

    def enter(self, phase: shedding.Phase) -> None:
        """Changes the phase."""
        self.phase = phase
        self.progress_s = clock.monotonic_s()


class MemoryBudget:
    """Counts what is held for clients; closes some of them when it is much."""

    def __init__(self, settings: settings_module.Settings) -> None:
        resources = settings.resources
        self.limit_bytes = DEFAULT_BYTES
        self.max_connections = settings.limits.connections
        if resources.memory_mb is not None:
            available = resources.memory_mb * MEGABYTE - BASE_BYTES
            self.limit_bytes = int(available * CLIENT_SHARE)
            self._limit_connections(
                self.limit_bytes * CONNECTION_SHARE / CONNECTION_BYTES
            )
        if resources.descriptors is not None:
            self._limit_connections(resources.descriptors * DESCRIPTOR_SHARE)
        self.has_limit = resources.memory_mb is not None
        self._used_bytes = 0
        self._holders: dict[ClientHolder, None] = {}
        self._logged_s: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}
        _limit_bytes.set(self.limit_bytes)

    @property
    def used_bytes(self) -> int:
        """Memory that is held."""
        return self._used_bytes

    def admit(self, connection: typing.Any) -> typing.Optional[ClientHolder]:
        """Registers a connection, None if there is no room for it."""
        if len(self._holders) >= self.max_connections:
            victim = shedding.choose_for_connection(
                self._holders, clock.monotonic_s()
            )
            if victim is not None:
                self._shed(victim, 'connections')
            if not self._wait(
                lambda: len(self._holders) < self.max_connections
            ):
                self.record_shed('connections')
                return None
        holder = ClientHolder(
            shedding.Phase.HEAD, clock.monotonic_s(), socket=connection
        )
        self._holders[holder] = None
        _connections.set(len(self._holders))
        return holder

    def forget(self, holder: ClientHolder) -> None:
        """Removes a connection that was closed."""
        self.release(holder)
        self._holders.pop(holder, None)
        _connections.set(len(self._holders))

    def reserve(self, holder: ClientHolder, size_bytes: int) -> None:
        """Takes memory; closes other connections if that makes room.

        Raises:
            exceptions.NotRunError: There is not enough, or this connection was
                closed for another one.
            exceptions.RequestTooLargeError: There never is as much.
        """
        if holder.size_bytes + size_bytes > self.limit_bytes:
            self.record_shed('too_large')
            raise exceptions.RequestTooLargeError(
                'the request needs more memory than this instance has for'
                f' clients ({self.limit_bytes} bytes)'
            )
        if self.has_limit and not self._has_room(size_bytes):
            self._make_room(holder, size_bytes)
        if holder.is_shed or not self._has_room(size_bytes):
            self.record_shed('memory')
            raise exceptions.NotRunError(
                'the memory for clients is used up',
                cause=outcomes.Cause.OVERLOADED.value,
                retry_after_s=RETRY_AFTER_S,
                remedy='send the request again later',
            )
        self.charge(holder, size_bytes)

    def charge(self, holder: ClientHolder, size_bytes: int) -> None:
        """Counts memory that is needed in any case."""
        holder.size_bytes += size_bytes
        holder.progress_s = clock.monotonic_s()
        self._used_bytes += size_bytes
        _used_bytes.set(self._used_bytes)

    def charge_answer(self, holder: ClientHolder, size_bytes: int) -> None:
        """Counts an answer, which is sent in any case.

        Stalled readers are closed if the budget is exceeded.
        """
        if not self.has_limit:
            return
        self.charge(holder, size_bytes)
        if not self._has_room(0):
            self._make_room(holder, 0)

    def release(self, holder: ClientHolder, keep_bytes: int = 0) -> None:
        """Gives back what is held, except for some bytes."""
        freed = holder.size_bytes - keep_bytes
        if freed > 0:
            holder.size_bytes = keep_bytes
            self._used_bytes -= freed
            _used_bytes.set(self._used_bytes)

    def record_shed(self, cause: str) -> None:
        """Counts a refusal or a closed connection; logs some of them."""
        _shed_total.labels(cause).inc()
        self._unlogged[cause] = self._unlogged.get(cause, 0) + 1
        now_s = clock.monotonic_s()
        if now_s - self._logged_s.get(cause, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[cause] = now_s
        events.emit(
            'clients_shed',
            cause=cause,
            count=self._unlogged.pop(cause),
            held_bytes=self._used_bytes,
            connections=len(self._holders),
        )

    def _limit_connections(self, count: float) -> None:
        self.max_connections = max(1, min(self.max_connections, int(count)))

    def _has_room(self, size_bytes: int) -> bool:
        return self._used_bytes + size_bytes <= self.limit_bytes

    def _make_room(self, holder: ClientHolder, size_bytes: int) -> None:
        victims = shedding.choose_for_memory(
            self._holders,
            holder,
            size_bytes,
            self._used_bytes + size_bytes - self.limit_bytes,
            clock.monotonic_s(),
        )
        for victim in victims:
            self._shed(victim, 'memory')
        if victims:
            self._wait(lambda: self._has_room(size_bytes))

    def _shed(self, holder: ClientHolder, cause: str) -> None:
        """Closes a connection; its green thread gives back what it holds."""
        holder.is_shed = True
        self.record_shed(cause)
        if holder.socket is not None:
            with contextlib.suppress(OSError):
                holder.socket.shutdown(socket.SHUT_RDWR)

    def _wait(self, condition: typing.Callable[[], bool]) -> bool:
        deadline = clock.Deadline(RELEASE_S)
        while not condition():
            if deadline.has_passed:
                return False
            eventlet.sleep(RELEASE_POLL_S)
        return True
