"""Relays the stream of a live call from a replica to its caller."""

from __future__ import annotations

import typing

import eventlet
import eventlet.queue
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.gateway import calls
from lentildeal._internal.network import client_connections
from lentildeal._internal.network import sse
from lentildeal._internal.utils import clock

# Shortest wait for the next event before a stream counts as stalled, five
# times as long as callers wait at least.
MIN_GAP_S = 10.0
# A stream is as slow as its replica, so its own pauses extend the wait.
# Callers wait for four times the objective or eight usual pauses.
GAP_FACTOR = 8.0
# Bytes that count as progress of a stream that does not consist of events.
PROGRESS_BYTES = 64
# Attempts must end within half a second after a caller has left.
POLL_S = 0.1
# Longest time for which a caller leaves a chunk untaken. Replicas cut off an
# answer that remains unread for some seconds, and a slot is taken meanwhile.
MAX_UNREAD_S = 5.0
# Chunks that were read while the caller takes an earlier one.
READ_AHEAD = 1

_unread_total = prometheus_client.Counter(
    'lentildeal_unread_streams_total',
    'Streams that were ended at their replica as the caller took nothing.',
)


class StreamProgress:
    """Decides whether a stream has stalled.

    Only complete events are progress: a replica that sends a byte now and then
    would keep its stream open without end. Time in which the caller does not
    take what was read is not counted.
    """

    def __init__(self, objective_s: float, has_events: bool) -> None:
        """Starts with the first byte of the stream.

        Args:
            objective_s: Latency objective of the route, in seconds.
            has_events: Whether the stream consists of server-sent events.
        """
        self._parser = sse.EventParser() if has_events else None
        self._limit_s = max(MIN_GAP_S, GAP_FACTOR * objective_s)
        self._waited_s = 0.0
        self._bytes = 0

    @property
    def limit_s(self) -> float:
        """Wait without progress after which the stream has stalled."""
        return self._limit_s

    @property
    def is_stalled(self) -> bool:
        """Whether the wait for the next event was too long."""
        return self._waited_s >= self._limit_s

    def record_wait(self, seconds: float) -> None:
        """Records time in which nothing was there to relay."""
        self._waited_s += seconds

    def record_chunk(self, chunk: bytes) -> None:
        """Records bytes of the stream.

        Raises:
            exceptions.TruncatedAnswerError: An event is too long.
        """
        if not self._is_progress(chunk):
            return
        self._limit_s = max(self._limit_s, GAP_FACTOR * self._waited_s)
        self._waited_s = 0.0

    def _is_progress(self, chunk: bytes) -> bool:
        if self._parser is not None:
            events = self._parser.feed_events(chunk)
            return any(event.data is not None for event in events)
        self._bytes += len(chunk)
        if self._bytes < PROGRESS_BYTES:
            return False
        self._bytes = 0
        return True


def relay(
    response: client_connections.Response,
    call: calls.LiveCall,
    objective_s: float,
) -> typing.Iterator[bytes]:
    """Yields the chunks of a stream as they arrive.

    The connection to the replica is closed as soon as the caller has left, so
    that the replica stops.

    Raises:
        exceptions.TruncatedAnswerError: The stream broke or has stalled.
    """
    progress = StreamProgress(
        objective_s,
        sse.CONTENT_TYPE in response.headers.get('content-type', ''),
    )
    response.set_read_timeout(progress.limit_s)
    chunks: eventlet.queue.LightQueue = eventlet.queue.LightQueue(READ_AHEAD)
    reader = eventlet.spawn(_read_chunks, response, chunks)
    try:
        while True:
            waiting_since_s = clock.monotonic_s()
            chunk = _get(chunks)
            progress.record_wait(clock.monotonic_s() - waiting_since_s)
            if isinstance(chunk, exceptions.LentildealError):
                raise chunk
            if chunk == b'':
                return
            if chunk is None:
                if call.is_client_gone():
                    raise exceptions.TruncatedAnswerError(
                        'the caller has left'
                    )
            else:
                progress.record_chunk(chunk)
                yield chunk
            if progress.is_stalled:
                raise exceptions.TruncatedAnswerError(
                    f'no event within {progress.limit_s:.0f} s'
                )
    finally:
        reader.kill()
        response.abandon()


def _get(
    chunks: eventlet.queue.LightQueue,
) -> typing.Union[bytes, exceptions.LentildealError, None]:
    """Returns the next chunk, None if there is none for a while."""
    try:
        return chunks.get(timeout=POLL_S)
    except eventlet.queue.Empty:
        return None


def _read_chunks(
    response: client_connections.Response,
    chunks: eventlet.queue.LightQueue,
) -> None:
    """Puts the chunks into a queue, then an empty one or the error.

    Ends the stream at the replica if the caller doesn't take it.
    """
    try:
        for chunk in response.iter_chunks():
            if chunk:
                chunks.put(chunk, timeout=MAX_UNREAD_S)
        chunks.put(b'')
    except eventlet.queue.Full:
        _unread_total.inc()
        response.abandon()
        chunks.put(
            exceptions.TruncatedAnswerError(
                f'the caller took nothing for {MAX_UNREAD_S:.0f} s'
            )
        )
    except exceptions.LentildealError as error:
        chunks.put(error)
