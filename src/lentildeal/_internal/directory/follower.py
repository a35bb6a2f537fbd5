"""Follows a keyed stream of the store."""

from __future__ import annotations

import typing

import eventlet

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import read_pacing

# Wait time of a long-polling read. Changes have to take effect within two
# seconds: the read returns at once with a change, and a stalled connection is
# detected after this time plus the timeout of a read.
WAIT_S = 0.8
# Shortest time between two reads, so that one read returns a burst of changes.
SPACING_S = 0.05
# Time between two reads of a daemon that runs no jobs and sends no orders.
IDLE_SPACING_S = 0.25
# Longest time between two reads; changes have to take effect within two
# seconds.
LONGEST_SPACING_S = 0.5
FIRST_RETRY_S = 0.1
# Failed reads in a row from which on the store counts as unreachable. One may
# be due to its connection; the next read uses another one.
UNREACHABLE_FAILURES = 2
LONGEST_RETRY_S = 0.5


class KeyedSink(typing.Protocol):
    """Receiver of the records of a keyed stream."""

    def handle_snapshot(
        self, stream: str, records: list[platform_base.KeyedRecord]
    ) -> None:
        """Applies the newest record of every key."""

    def handle_record(
        self, stream: str, record: platform_base.KeyedRecord
    ) -> None:
        """Applies one changed record."""

    def mark_reachable(self, stream: str) -> None:
        """Handles a successful read of the stream."""

    def mark_unreachable(self, stream: str, reason: str) -> None:
        """Handles a failed read of the stream."""


class KeyedFollower:
    """Keeps a sink up to date with one keyed stream."""

    def __init__(
        self,
        store: platform_base.RecordStore,
        stream: str,
        sink: KeyedSink,
        demand: typing.Optional[read_pacing.ReadDemand] = None,
        confirm: typing.Optional[typing.Callable[[float], None]] = None,
    ) -> None:
        """Initializes the follower.

        Args:
            store: Store to read from.
            stream: Stream to follow.
            sink: Receiver of the records.
            demand: Demand for records, which shortens the wait between reads.
            confirm: Called with the start of each read after which the sink
                has all records that the stream had then.
        """
        self._store = store
        self._stream = stream
        self._sink = sink
        self._demand = demand
        self._confirm = confirm
        self._next: typing.Optional[ids.Offset] = None

    @property
    def next_offset(self) -> ids.Offset:
        """Offset up to which the stream was read."""
        return ids.Offset(0) if self._next is None else self._next

    def run(self) -> None:
        """Follows the stream; never returns."""
        delays = backoff.Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        reads = read_pacing.ReadPacer(
            SPACING_S, LONGEST_SPACING_S, self._demand, IDLE_SPACING_S
        )
        failures = 0
        while True:
            try:
                self._read_once()
            except exceptions.LogTrimmedError:
                # The store may drop a record at any time once its key has a
                # newer one. Reads the newest record of each key again.
                self._next = None
                continue
            except exceptions.PlatformError as error:
                if isinstance(error, exceptions.LogOverloadedError):
                    reads.record_throttling()
                failures += 1
                if failures >= UNREACHABLE_FAILURES:
                    self._sink.mark_unreachable(self._stream, error.message)
                eventlet.sleep(
                    max(reads.next_interval_s(), delays.next_delay_s())
                )
                continue
            failures = 0
            delays.reset()
            reads.record_response()
            self._sink.mark_reachable(self._stream)
            reads.wait()

    def _read_once(self) -> None:
        started_s = clock.uptime_s()
        if self._read_to_end() and self._confirm is not None:
            self._confirm(started_s)

    def _read_to_end(self) -> bool:
        """Reads once; returns whether this reached the end of the stream."""
        if self._next is None:
            found, end = self._store.read_newest(self._stream)
            # Marks the stream reachable first: entries that are missing after
            # an outage may only have expired.
            self._sink.mark_reachable(self._stream)
            self._sink.handle_snapshot(self._stream, found)
            self._next = end
            return True
        page = self._store.read(self._stream, self._next, wait_s=WAIT_S)
        self._sink.mark_reachable(self._stream)
        for record in page.records:
            if record.offset > self._next:
                raise exceptions.LogTrimmedError('records are missing', 0)
            self._handle_record(record)
            self._next = ids.Offset(record.offset + 1)
        return self._next >= page.end

    def _handle_record(self, record: platform_base.RawRecord) -> None:
        try:
            keyed = self._store.decode_keyed(record.body)
        except exceptions.UnreadableRecordError:
            # Without a readable key, the record changes nothing.
            return
        self._sink.handle_record(self._stream, keyed)
