"""Plug-in ``work_log``: the stream from which all daemons derive jobs."""

from __future__ import annotations

import collections
import math
import typing

import eventlet
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import duties
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import table
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

STREAM = 'lentildeal.work'
# A read that waits returns at once with a record. A silent connection is
# noticed after this time and the time limit of a read.
WAIT_S = 0.8
# Least time between two reads. Results have to be known to all daemons
# within a second; a read of many records costs less than many reads.
SPACING_S = 0.04
# Without an answer for this long the log counts as not heard: the longest
# wait, a slow phase of the platform (60 x 4 ms) and the spacing fit in.
GAP_S = 1.4
READ_BYTES = 512 * 1024
# Queued records are gathered for this time, so that results that end
# together are one append.
LINGER_S = 0.02
FIRST_RETRY_S = 0.05
LONGEST_RETRY_S = 0.5
# Newest records kept in memory, for readers that follow closely.
CACHE_BYTES = 256 * 1024
# Jobs are forgotten this long after results may be asked for.
FORGET_MARGIN_S = 60.0
FORGET_INTERVAL_S = 10.0

_appends_total = prometheus_client.Counter(
    'lentildeal_work_log_appends_total', 'Appends by outcome.', ['outcome']
)


class _RecordCache:
    """Newest records by offset, bounded in bytes."""

    def __init__(self) -> None:
        self._bodies: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self._size_bytes = 0

    def get(self, offset: int) -> typing.Optional[bytes]:
        return self._bodies.get(offset)

    def put(self, offset: int, body: bytes) -> None:
        if offset in self._bodies or len(body) > CACHE_BYTES:
            return
        self._bodies[offset] = body
        self._size_bytes += len(body)
        while self._size_bytes > CACHE_BYTES:
            _, dropped = self._bodies.popitem(last=False)
            self._size_bytes -= len(dropped)


@plugins.register('work_log', after=('directory',))
class WorkLog(plugins.Plugin):
    """Reads the work log into tables, and appends to it."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self.table = table.JobTable()
        self.duties = duties.DutyBook()
        self.changed = wakeup.Wakeup()
        self._store = kernel.plugin('directory').platform.store
        self._replicas = kernel.plugin('directory').replicas
        self._settings = kernel.settings.store
        self._next = ids.Offset(0)
        self._is_caught_up = False
        self._heard_s = -math.inf
        self._heard_since_s = math.inf
        self._queue: collections.deque[records.Record] = collections.deque()
        self._queued = wakeup.Wakeup()
        self._cache = _RecordCache()

    @property
    def is_caught_up(self) -> bool:
        """Whether the log has been read to its end once."""
        return self._is_caught_up

    @property
    def heard_since_s(self) -> float:
        """Since when the log has been read without a gap, in seconds."""
        now_s = clock.boottime_s()
        if now_s - self._heard_s > GAP_S:
            return now_s
        return self._heard_since_s

    @property
    def queued_count(self) -> int:
        """Records that wait to be appended."""
        return len(self._queue)

    def start(self) -> None:
        """See the base class."""
        self._kernel.spawn('work-log-follow', self._follow)
        self._kernel.spawn('work-log-append', self._append_queued)
        self._kernel.spawn('work-log-forget', self._forget_old)

    def append(self, batch: typing.Sequence[records.Record]) -> ids.Offset:
        """Appends records, all or none, and returns the first offset.

        Raises:
            exceptions.LogUnavailableError: The append had no effect.
            exceptions.LogAnswerLostError: It may take effect, also later.
        """
        bodies = [records.encode(record) for record in batch]
        try:
            offset = self._store.append(STREAM, bodies)
        except exceptions.LogAnswerLostError:
            _appends_total.labels('unknown').inc()
            raise
        except exceptions.LogUnavailableError:
            _appends_total.labels('refused').inc()
            raise
        _appends_total.labels('done').inc()
        return offset

    def enqueue(self, record: records.Record) -> None:
        """Appends a record as soon as possible, again until it is done.

        Only for records whose repetition changes nothing.
        """
        self._queue.append(record)
        self._queued.set()

    def sync(self) -> None:
        """Reads all that was in the log when this was called.

        Raises:
            exceptions.LogUnavailableError: The log did not answer.
        """
        while True:
            try:
                page = self._store.read(
                    STREAM, self._next, limit_bytes=READ_BYTES
                )
            except exceptions.LogTrimmedError as error:
                self._next = ids.Offset(max(error.oldest, self._next + 1))
                continue
            self._apply_page(page)
            if self._next >= page.end:
                return

    def read_record(self, place: table.Place) -> records.Record:
        """Reads one record.

        Raises:
            exceptions.PlatformError: The log did not answer, or has dropped
                the record.
        """
        return records.decode(self._read_body(place))

    def _read_body(self, place: table.Place) -> bytes:
        body = self._cache.get(place.offset)
        if body is not None:
            return body
        # The head of a page and of a record come on top of the record.
        page = self._store.read(
            STREAM, place.offset, limit_bytes=place.size_bytes + 1024
        )
        for record in page.records:
            self._cache.put(record.offset, record.body)
            if record.offset == place.offset:
                body = record.body
        if body is None:
            raise exceptions.LogUnavailableError(
                f'record {place.offset} of the work log did not come'
            )
        return body

    def _follow(self) -> None:
        delays = backoff.Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        while True:
            try:
                page = self._store.read(
                    STREAM,
                    self._next,
                    wait_s=WAIT_S if self._is_caught_up else 0.0,
                    limit_bytes=READ_BYTES,
                )
            except exceptions.LogTrimmedError as error:
                self._next = ids.Offset(max(error.oldest, self._next + 1))
                continue
            except exceptions.PlatformError:
                eventlet.sleep(delays.next_delay_s())
                continue
            delays.reset()
            self._note_heard()
            self._apply_page(page)
            self._is_caught_up = self._is_caught_up or self._next >= page.end
            eventlet.sleep(SPACING_S if self._is_caught_up else 0)

    def _note_heard(self) -> None:
        now_s = clock.boottime_s()
        if now_s - self._heard_s > GAP_S:
            self._heard_since_s = now_s
        self._heard_s = now_s

    def _apply_page(self, page) -> None:
        is_change = False
        for raw in page.records:
            # A page of sync() and one of the follower may overlap.
            if raw.offset < self._next:
                continue
            self._next = ids.Offset(raw.offset + 1)
            is_change = self._apply(raw.offset, raw.body) or is_change
        if is_change:
            self.changed.set()

    def _apply(self, offset: ids.Offset, body: bytes) -> bool:
        try:
            record = records.decode(body)
        except exceptions.UnreadableRecordError as error:
            events.emit(
                'record_ignored',
                stream=STREAM,
                key=offset,
                reason=error.message,
            )
            return False
        if isinstance(record, records.VersionLoaded):
            self._replicas.confirm_version(
                record.replica_id, record.model, record.version
            )
            return True
        if self.duties.apply(record, offset, clock.boottime_s()):
            return True
        is_change = self.table.apply(record, table.Place(offset, len(body)))
        if is_change and isinstance(record, records.ItemResult):
            self._cache.put(offset, body)
        return is_change

    def _append_queued(self) -> None:
        delays = backoff.Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        while True:
            if not self._queue:
                self._queued.wait(1.0)
                if not self._queue:
                    continue
                eventlet.sleep(LINGER_S)
            batch = self._take_batch()
            try:
                self.append(batch)
            except exceptions.PlatformError as error:
                events.emit(
                    'append_retried',
                    records=len(batch),
                    reason=error.message,
                )
                self._queue.extendleft(reversed(batch))
                eventlet.sleep(delays.next_delay_s())
                continue
            delays.reset()

    def _take_batch(self) -> list[records.Record]:
        batch: list[records.Record] = []
        size_bytes = 0
        # Half of the limit leaves room for the encoding.
        limit = self._settings.call_bytes // 2
        while self._queue and size_bytes < limit:
            record = self._queue.popleft()
            size_bytes += len(getattr(record, 'text', '')) + 256
            batch.append(record)
        return batch

    def _forget_old(self) -> None:
        while True:
            eventlet.sleep(FORGET_INTERVAL_S)
            age_s = self._settings.status_s + FORGET_MARGIN_S
            self.table.drop_submitted_before(
                int((clock.unix_s() - age_s) * 1000)
            )
