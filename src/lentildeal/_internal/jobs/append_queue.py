"""Queue of records whose append is retried until it succeeds."""

from __future__ import annotations

import collections
import dataclasses
import typing

import eventlet

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import records
from lentildeal._internal.logs import events
from lentildeal._internal.logs import failures
from lentildeal._internal.models import jobs
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

if typing.TYPE_CHECKING:
    from lentildeal._internal.jobs import work_log as work_log_module

# Delay before a batch is appended, so that results that arrive together share
# one append.
BATCH_DELAY_S = 0.02
FIRST_RETRY_DELAY_S = 0.05
# 350 daemons that retry at this interval make 1,400 calls a second.
MAX_RETRY_DELAY_S = 0.25
# Attempts of a batch for which a resignation waits until the checkpoints
# before it are stored, so that the next holder finds them. With the delays
# between the attempts that is half a second at a store that refuses them.
MAX_RESIGNATION_DELAYS = 4
# Upper bound of the size of a record without its text.
RECORD_OVERHEAD_BYTES = 256


class PiggybackSource(typing.Protocol):
    """Source of records that are added to batches of other records."""

    def make_piggyback_record(self) -> typing.Optional[records.Record]:
        """Returns a record to add to the next batch, None for none."""

    def handle_appended(self, record: records.Record, sent_s: float) -> None:
        """Called after the record was appended.

        Args:
            record: Record that ``make_piggyback_record`` returned.
            sent_s: Time just before the append was sent.
        """


class _QueuedRecord(typing.NamedTuple):
    """A record to append.

    Attributes:
        record: The record.
        text: Its text if it has one that is not stored yet.
        delays: Batches in which it waited for the records before it.
    """

    record: records.Record
    text: typing.Optional[records.EventTexts]
    delays: int = 0

    @property
    def must_wait(self) -> bool:
        """Whether it waits for records before it that are not stored."""
        return (
            isinstance(self.record, records.Resignation)
            and self.delays < MAX_RESIGNATION_DELAYS
        )


class AppendQueue:
    """Appends records in batches and retries those that failed."""

    def __init__(self, log: work_log_module.WorkLog, call_bytes: int) -> None:
        self._log = log
        # Half of the limit leaves room for encoding overhead.
        self._batch_bytes = call_bytes // 2
        self._queue: collections.deque[_QueuedRecord] = collections.deque()
        self._queued = wakeup.Wakeup()
        self._sources: list[PiggybackSource] = []

    def __len__(self) -> int:
        return len(self._queue)

    def put(
        self,
        record: records.Record,
        text: typing.Optional[records.EventTexts],
    ) -> None:
        """Adds a record, and its text, whose location is set when stored."""
        self._queue.append(_QueuedRecord(record, text))
        self._queued.set()

    def add_piggyback_source(self, source: PiggybackSource) -> None:
        """Registers a source that may add a record to each batch."""
        self._sources.append(source)

    def run(self) -> None:
        """Appends queued records in an endless loop."""
        delays = backoff.Backoff(FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        while True:
            if not self._queue:
                self._queued.wait(1.0)
                if not self._queue:
                    continue
                eventlet.sleep(BATCH_DELAY_S)
            remaining = self._append_or_isolate(self._pop_batch())
            self._queue.extendleft(reversed(remaining))
            if remaining:
                eventlet.sleep(delays.next_delay_s())
            else:
                delays.reset()

    def _pop_batch(self) -> list[_QueuedRecord]:
        batch: list[_QueuedRecord] = []
        size_bytes = 0
        while self._queue:
            queued = self._queue[0]
            size_bytes += RECORD_OVERHEAD_BYTES
            if queued.text is not None:
                # A character takes up to four bytes in UTF-8.
                size_bytes += 4 * sum(map(len, queued.text.events))
            if batch and size_bytes > self._batch_bytes:
                break
            batch.append(self._queue.popleft())
        return batch

    def _append_or_isolate(
        self, batch: list[_QueuedRecord]
    ) -> list[_QueuedRecord]:
        """Appends a batch and returns the records to retry.

        One record that can't be encoded must not cost the others, which
        nobody would enqueue again.
        """
        try:
            return self._append_batch(batch)
        except Exception as error:
            failures.report('append', f'{len(batch)} records', error)
        remaining = []
        for queued in batch:
            defect = _find_defect(queued)
            if defect is None:
                remaining.append(queued)
            else:
                remaining.extend(self._replace_defective(queued, defect))
        return remaining

    def _replace_defective(
        self, queued: _QueuedRecord, error: Exception
    ) -> list[_QueuedRecord]:
        """Drops a record that can't be appended.

        Returns:
            In place of a result, that the item was given up: a trainer waits
            for each result.
        """
        record = queued.record
        events.emit(
            'record_dropped',
            record=type(record).__name__,
            reason=f'{error!r:.200}',
            job=getattr(record, 'job_id', None),
            index=getattr(record, 'index', None),
        )
        if not isinstance(record, records.ItemResult):
            return []
        substitute = _QueuedRecord(
            records.ItemResult(
                record.job_id,
                record.index,
                jobs.ResultState.GIVEN_UP.value,
                (),
            ),
            None,
        )
        return [] if _find_defect(substitute) else [substitute]

    def _append_batch(self, batch: list[_QueuedRecord]) -> list[_QueuedRecord]:
        """Appends a batch and returns the records to retry.

        A text that was stored is not stored again, and a failing stream does
        not delay results whose texts are in other streams.
        """
        batch = self._store_texts(batch)
        ready, remaining = [], []
        for queued in batch:
            if queued.text is not None:
                remaining.append(queued)
            elif remaining and queued.must_wait:
                remaining.append(queued._replace(delays=queued.delays + 1))
            else:
                ready.append(queued)
        if ready and not self._append_records([q.record for q in ready]):
            return batch
        return remaining

    def _append_records(self, batch: list[records.Record]) -> bool:
        sent_s = clock.uptime_s()
        extra = [(s, s.make_piggyback_record()) for s in self._sources]
        extra = [(s, record) for s, record in extra if record is not None]
        try:
            self._log.append([*batch, *(record for _, record in extra)])
        except exceptions.PlatformError as error:
            _emit_retry(len(batch), error)
            return False
        for source, record in extra:
            source.handle_appended(record, sent_s)
        return True

    def _store_texts(self, batch: list[_QueuedRecord]) -> list[_QueuedRecord]:
        """Appends the texts of a batch, all streams in parallel.

        Returns:
            The batch; records whose text was stored have its location and
            no text to store.
        """
        by_stream: dict[str, list[int]] = {}
        for number, queued in enumerate(batch):
            if queued.text is not None:
                stream = records.text_stream_name(queued.record.job_id)
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
        self, stream: str, batch: list[_QueuedRecord], numbers: list[int]
    ) -> None:
        texts = [batch[n].text for n in numbers]
        try:
            locations = self._log.append_texts(stream, texts)
        except exceptions.PlatformError as error:
            _emit_retry(len(numbers), error)
            return
        for number, location in zip(numbers, locations, strict=True):
            record = dataclasses.replace(
                batch[number].record,
                offset=location.offset,
                size_bytes=location.size_bytes,
                record_count=location.record_count,
            )
            batch[number] = _QueuedRecord(record, None)


def _find_defect(queued: _QueuedRecord) -> typing.Optional[Exception]:
    """Returns the error of encoding a record or its text, None without one."""
    try:
        records.encode(queued.record)
        if queued.text is not None:
            records.encode(queued.text)
    except Exception as error:
        return error
    return None


def _emit_retry(count: int, error: exceptions.PlatformError) -> None:
    events.emit('append_retried', records=count, reason=error.message)
