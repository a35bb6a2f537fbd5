"""Following of a keyed stream of the store."""

from __future__ import annotations

import typing

import eventlet

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import read_pacing

# Changes have to be in force within two seconds; a read that waits returns
# at once with a change, and a silent connection is noticed after this time
# and the time limit of a read.
WAIT_S = 0.8
# Least time between two reads, so that a burst of changes is read at once.
SPACING_S = 0.05
# Changes have to be in force within two seconds.
LONGEST_SPACING_S = 0.5
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.5


class KeyedSink(typing.Protocol):
    """What takes in the records of a keyed stream."""

    def take_all(
        self, stream: str, records: list[platform_base.KeyedRecord]
    ) -> None:
        """Takes in the newest record of every key."""

    def take(self, stream: str, record: platform_base.KeyedRecord) -> None:
        """Takes in one change."""

    def note_answer(self, stream: str) -> None:
        """The stream has answered."""

    def note_failure(self, stream: str, reason: str) -> None:
        """The stream has not answered."""


class KeyedFollower:
    """Keeps a sink up to date with one keyed stream."""

    def __init__(
        self, store: platform_base.RecordStore, stream: str, sink: KeyedSink
    ) -> None:
        self._store = store
        self._stream = stream
        self._sink = sink
        self._next: typing.Optional[ids.Offset] = None

    def run(self) -> None:
        """Follows the stream for ever."""
        delays = backoff.Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        reads = read_pacing.ReadPacer(SPACING_S, LONGEST_SPACING_S)
        while True:
            try:
                self._step()
            except exceptions.LogTrimmedError:
                # Records of keys that have newer ones may be dropped at any
                # time; the newest of each key are left.
                self._next = None
                continue
            except exceptions.PlatformError as error:
                if isinstance(error, exceptions.LogOverloadedError):
                    reads.record_throttling()
                self._sink.note_failure(self._stream, error.message)
                eventlet.sleep(
                    max(reads.next_interval_s(), delays.next_delay_s())
                )
                continue
            delays.reset()
            reads.record_response()
            self._sink.note_answer(self._stream)
            eventlet.sleep(reads.next_interval_s())

    def _step(self) -> None:
        if self._next is None:
            found, end = self._store.read_newest(self._stream)
            # Reachability first: what is missing after an outage may only
            # have lapsed.
            self._sink.note_answer(self._stream)
            self._sink.take_all(self._stream, found)
            self._next = end
            return
        page = self._store.read(self._stream, self._next, wait_s=WAIT_S)
        self._sink.note_answer(self._stream)
        for record in page.records:
            if record.offset > self._next:
                raise exceptions.LogTrimmedError('records are missing', 0)
            self._take(record)
            self._next = ids.Offset(record.offset + 1)

    def _take(self, record: platform_base.RawRecord) -> None:
        try:
            keyed = self._store.decode_keyed(record.body)
        except exceptions.UnreadableRecordError:
            # It names no key, so it can't change any.
            return
        self._sink.take(self._stream, keyed)
