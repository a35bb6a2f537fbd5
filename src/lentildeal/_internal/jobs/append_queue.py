"""Queue of records that are appended until it is done."""

from __future__ import annotations

import collections
import dataclasses
import typing

import eventlet

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import records
from lentildeal._internal.logs import events
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

if typing.TYPE_CHECKING:
    from lentildeal._internal.jobs import work_log as work_log_module

# Queued records are gathered for this time, so that results that end
# together are one append.
LINGER_S = 0.02
FIRST_RETRY_S = 0.05
# 350 daemons that try again this often make 1,400 calls a second.
LONGEST_RETRY_S = 0.25
# A record takes at most this much besides its text.
RECORD_BYTES = 256


class Companion(typing.Protocol):
    """What adds a record to batches that are appended anyway."""

    def make_companion(self) -> typing.Optional[records.Record]:
        """Returns a record to append now, None without one."""

    def note_appended(self, record: records.Record, sent_s: float) -> None:
        """The record was appended; ``sent_s`` is a time before that."""


class _Queued(typing.NamedTuple):
    """A record to append, and the events of its text if it has one."""

    record: records.Record
    events: typing.Optional[tuple[str, ...]]


class AppendQueue:
    """Appends records in batches, again until each is done."""

    def __init__(self, log: work_log_module.WorkLog, call_bytes: int) -> None:
        self._log = log
        # Half of the limit leaves room for the encoding.
        self._batch_bytes = call_bytes // 2
        self._queue: collections.deque[_Queued] = collections.deque()
        self._queued = wakeup.Wakeup()
        self._companions: list[Companion] = []

    def __len__(self) -> int:
        return len(self._queue)

    def put(
        self,
        record: records.Record,
        events_of_text: typing.Optional[tuple[str, ...]],
    ) -> None:
        """Adds a record, and the text whose place is filled in."""
        self._queue.append(_Queued(record, events_of_text))
        self._queued.set()

    def add_companion(self, companion: Companion) -> None:
        """Lets a record go with each batch."""
        self._companions.append(companion)

    def run(self) -> None:
        """Appends for ever."""
        delays = backoff.Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        while True:
            if not self._queue:
                self._queued.wait(1.0)
                if not self._queue:
                    continue
                eventlet.sleep(LINGER_S)
            left = self._append(self._take_batch())
            self._queue.extendleft(reversed(left))
            if left:
                eventlet.sleep(delays.next_delay_s())
            else:
                delays.reset()

    def _take_batch(self) -> list[_Queued]:
        batch: list[_Queued] = []
        size_bytes = 0
        while self._queue and size_bytes < self._batch_bytes:
            queued = self._queue.popleft()
            # A character takes up to four bytes.
            text_bytes = 4 * sum(map(len, queued.events or ()))
            size_bytes += RECORD_BYTES + text_bytes
            batch.append(queued)
        return batch

    def _append(self, batch: list[_Queued]) -> list[_Queued]:
        """Appends a batch; returns what has to be tried again.

        A text that is stored keeps its place, and a stream that fails does
        not hold up the results whose texts are in others.
        """
        batch = self._store_texts(batch)
        ready = [queued for queued in batch if queued.events is None]
        left = [queued for queued in batch if queued.events is not None]
        if ready and not self._append_records([q.record for q in ready]):
            return batch
        return left

    def _append_records(self, batch: list[records.Record]) -> bool:
        sent_s = clock.uptime_s()
        extra = [(c, c.make_companion()) for c in self._companions]
        extra = [(c, record) for c, record in extra if record is not None]
        try:
            self._log.append([*batch, *(record for _, record in extra)])
        except exceptions.PlatformError as error:
            _emit_retry(len(batch), error)
            return False
        for companion, record in extra:
            companion.note_appended(record, sent_s)
        return True

    def _store_texts(self, batch: list[_Queued]) -> list[_Queued]:
        """Appends the texts of a batch, its streams side by side.

        Returns:
            The batch; records whose text is stored have its place and no
            text any more.
        """
        by_stream: dict[str, list[int]] = {}
        for number, queued in enumerate(batch):
            if queued.events is not None:
                stream = records.text_stream(queued.record.job_id)
                by_stream.setdefault(stream, []).append(number)
        found = list(batch)
        threads = [
            eventlet.spawn(self._store_stream, stream, found, numbers)
            for stream, numbers in by_stream.items()
        ]
        for thread in threads:
            thread.wait()
        return found

    def _store_stream(
        self, stream: str, batch: list[_Queued], numbers: list[int]
    ) -> None:
        texts = [records.EventTexts(batch[n].events) for n in numbers]
        try:
            places = self._log.append_texts(stream, texts)
        except exceptions.PlatformError as error:
            _emit_retry(len(numbers), error)
            return
        for number, place in zip(numbers, places, strict=True):
            record = dataclasses.replace(
                batch[number].record,
                offset=place.offset,
                size_bytes=place.size_bytes,
            )
            batch[number] = _Queued(record, None)


def _emit_retry(count: int, error: exceptions.PlatformError) -> None:
    events.emit('append_retried', records=count, reason=error.message)
