"""Plug-in ``work_log``: the log from which daemons derive jobs and leases."""

from __future__ import annotations

import math
import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.jobs import append_queue
from lentildeal._internal.jobs import append_timeout
from lentildeal._internal.jobs import leases
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import table
from lentildeal._internal.jobs import texts as texts_module
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import read_pacing
from lentildeal._internal.utils import wakeup

# Long-poll time of a read, which returns as soon as there is a record. An
# unresponsive connection is detected after this time plus the read timeout.
READ_WAIT_S = 0.8
# Minimum interval between two reads. All daemons have to see a result within a
# second; one read of many records costs less than many reads.
SPACING_S = 0.04
# Time between two reads without a lease and without a caller that waits for a
# result.
IDLE_SPACING_S = 0.25
# All daemons have to see a result within a second.
LONGEST_SPACING_S = 0.3
# Without a response for this long, reading of the log has a gap. Covers the
# longest poll, a response of the slow platform (60 x 4 ms) and the interval.
MAX_RESPONSE_GAP_S = 1.4
# Without a response for this long the store counts as unreachable, and the
# balancer sends new callers elsewhere. It needs two failed checks, one a
# second, so a single unresponsive read, detected after 2.3 s, has no effect.
UNREACHABLE_S = 1.6
READ_BYTES = 512 * 1024
# Calls for the texts of one request that run at the same time.
PARALLEL_READS = 8
# Bound of the types of records that are named in the log.
MAX_UNKNOWN_TYPES = 100
FIRST_RETRY_DELAY_S = 0.05
# 350 daemons that retry at this interval make 1,400 calls a second.
MAX_RETRY_DELAY_S = 0.25
# Jobs are dropped this long after their results may no longer be requested.
RETENTION_MARGIN_S = 60.0
PURGE_INTERVAL_S = 10.0
# Upper bound of the length prefixes of the records of one text.
TEXT_OVERHEAD_BYTES = 4096

_appends_total = prometheus_client.Counter(
    'lentildeal_work_log_appends_total', 'Appends by outcome.', ['outcome']
)
_ignored_total = prometheus_client.Counter(
    'lentildeal_work_log_records_ignored_total',
    'Records of the work log that had no effect, by reason.',
    ['reason'],
)


@plugins.register('work_log', after=('directory',))
class WorkLog(plugins.Plugin):
    """Applies the work log to tables, and appends to it."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self.table = table.JobTable()
        self.leases = leases.LeaseTable()
        self.changed = wakeup.Wakeup()
        self.read_demand = kernel.plugin('directory').read_demand
        self._store = kernel.plugin('directory').platform.store
        self._replicas = kernel.plugin('directory').replicas
        self._settings = kernel.settings.store
        self._next = ids.Offset(0)
        self._is_caught_up = False
        self._is_reachable = False
        self._last_response_s = -math.inf
        self._connected_since_s = math.inf
        self._cache = texts_module.TextCache()
        self._append_timeout = append_timeout.AppendTimeout()
        self._queue = append_queue.AppendQueue(self, self._settings.call_bytes)
        self._handlers: dict[type, typing.Callable[[typing.Any], None]] = {}
        # Reasons for which records of unknown types were ignored.
        self._unknown_types: set[str] = set()

    @property
    def read_until(self) -> ids.Offset:
        """Offset of the last record that was applied."""
        return ids.Offset(self._next - 1)

    @property
    def is_caught_up(self) -> bool:
        """Whether the log has been read to its end at least once."""
        return self._is_caught_up

    @property
    def silence_s(self) -> float:
        """Time since the last response of the log, in seconds."""
        return clock.uptime_s() - self._last_response_s

    @property
    def is_responding(self) -> bool:
        """Whether the log has been read without a gap until now."""
        return self.silence_s <= MAX_RESPONSE_GAP_S

    @property
    def is_synced(self) -> bool:
        """Whether the log has been read to its end and is reachable."""
        return self._is_caught_up and self.silence_s <= UNREACHABLE_S

    @property
    def connected_since_s(self) -> float:
        """Time since which the log has been read without a gap."""
        return (
            self._connected_since_s if self.is_responding else clock.uptime_s()
        )

    @property
    def queued_count(self) -> int:
        """Number of records that wait to be appended."""
        return len(self._queue)

    def start(self) -> None:
        """See the base class."""
        self._kernel.spawn('work-log-follow', self._follow)
        self._kernel.spawn('work-log-append', self._queue.run)
        self._kernel.spawn('work-log-forget', self._drop_old_jobs)

    def append(
        self,
        batch: typing.Sequence[records.Record],
        timeout_s: typing.Optional[float] = None,
    ) -> ids.Offset:
        """Appends records, all or none, and returns the first offset.

        Args:
            batch: Records.
            timeout_s: Upper limit of the timeout, which adapts to the
                latency of the store.

        Raises:
            exceptions.LogUnavailableError: The append had no effect.
            exceptions.LogAnswerLostError: The append may have taken or still
                take effect.
        """
        bodies = [records.encode(record) for record in batch]
        try:
            offset = self._append(records.WORK_STREAM, bodies, timeout_s)
        except exceptions.LogAnswerLostError:
            _appends_total.labels('unknown').inc()
            raise
        except exceptions.LogUnavailableError:
            _appends_total.labels('refused').inc()
            raise
        _appends_total.labels('done').inc()
        return offset

    def append_texts(
        self,
        stream: str,
        texts: typing.Sequence[records.Payload],
        timeout_s: typing.Optional[float] = None,
    ) -> list[records.RecordLocation]:
        """Appends texts, all or none, and returns their locations.

        Args:
            stream: Text stream.
            texts: Texts.
            timeout_s: Upper limit of the timeout, which adapts to the
                latency of the store.

        Raises:
            exceptions.LogUnavailableError: The append had no effect.
            exceptions.LogAnswerLostError: The texts may be stored, but
                their locations are unknown.
        """
        bodies = [records.encode(text) for text in texts]
        split = [
            records.split_body(body, self._settings.record_bytes)
            for body in bodies
        ]
        offset = self._append(
            stream, [part for parts in split for part in parts], timeout_s
        )
        locations = []
        for body, parts in zip(bodies, split, strict=True):
            location = records.RecordLocation(
                stream, offset, len(body), len(parts)
            )
            locations.append(location)
            self._cache.put(location, body)
            offset = location.end
        return locations

    def _append(
        self,
        stream: str,
        bodies: list[bytes],
        timeout_s: typing.Optional[float],
    ) -> ids.Offset:
        limit_s = self._append_timeout.limit_s(sum(map(len, bodies)))
        if timeout_s is not None:
            limit_s = min(limit_s, timeout_s)
        started_s = clock.monotonic_s()
        try:
            offset = self._store.append(stream, bodies, timeout_s=limit_s)
        except exceptions.LogAnswerLostError:
            self._append_timeout.record_timeout()
            raise
        self._append_timeout.record_response(clock.monotonic_s() - started_s)
        return offset

    def enqueue(
        self,
        record: records.Record,
        text: typing.Optional[records.EventTexts] = None,
    ) -> None:
        """Queues a record and retries its append until it succeeds.

        Only for records of which duplicates have no effect.

        Args:
            record: Record of the work log.
            text: Text whose location is set in the record, None without one.
        """
        self._queue.put(record, text)

    def add_piggyback_source(
        self, source: append_queue.PiggybackSource
    ) -> None:
        """Registers a source that may add a record to queued batches."""
        self._queue.add_piggyback_source(source)

    def on_record(
        self,
        record_type: type,
        handler: typing.Callable[[typing.Any], None],
    ) -> None:
        """Registers the handler of a type of record."""
        self._handlers[record_type] = handler

    def sync(self) -> None:
        """Reads all records that were in the log when this was called.

        Raises:
            exceptions.LogUnavailableError: The log did not respond.
        """
        while True:
            start = self._next
            try:
                page = self._store.read(
                    records.WORK_STREAM, start, limit_bytes=READ_BYTES
                )
            except exceptions.LogTrimmedError as error:
                self._skip_to(max(error.oldest, start + 1))
                continue
            self._apply_page(page)
            if self._next >= page.end:
                return

    def can_store(self, text_events: tuple[str, ...]) -> bool:
        """Whether a text fits into one append."""
        limit = self._settings.call_bytes - TEXT_OVERHEAD_BYTES
        # A character takes up to four bytes in UTF-8.
        if 4 * sum(map(len, text_events)) <= limit // 2:
            return True
        return len(records.encode(records.EventTexts(text_events))) <= limit

    def clear_text_cache(self) -> None:
        """Drops all cached texts."""
        self._cache = texts_module.TextCache()

    def read_texts(
        self, locations: typing.Sequence[records.RecordLocation]
    ) -> list[typing.Any]:
        """Reads texts, those with consecutive offsets in one call.

        The texts of a job lie between those of others, so that there are
        almost as many calls as texts. Some of them run at the same time.

        Raises:
            exceptions.PlatformError: The store did not respond, or a text
                can't be read; see ``loading.LOST_ERRORS``.
        """
        bodies: dict[records.RecordLocation, bytes] = {}
        missing = []
        # A cached text may be evicted while the others are read.
        for location in locations:
            body = self._cache.get(location)
            if body is None:
                missing.append(location)
            else:
                bodies[location] = body
        groups = texts_module.group_adjacent(missing)
        for found in self._read_groups(groups):
            bodies.update(found)
        return [records.decode(bodies[location]) for location in locations]

    def _read_groups(
        self, groups: list[list[records.RecordLocation]]
    ) -> typing.Iterable[dict[records.RecordLocation, bytes]]:
        if len(groups) < 2:
            # Most reads are for what was listed last.
            return map(self._read_group, groups)
        return eventlet.GreenPool(PARALLEL_READS).imap(
            self._read_group, groups
        )

    def _read_group(
        self, group: list[records.RecordLocation]
    ) -> dict[records.RecordLocation, bytes]:
        start = group[0].offset
        parts = self._read_records(group)
        bodies = {}
        for location in group:
            first = location.offset - start
            body = b''.join(parts[first : first + location.record_count])
            if len(body) != location.size_bytes:
                raise exceptions.RecordMissingError(
                    f'text {location.offset} of {location.stream} is missing'
                )
            bodies[location] = body
            self._cache.put(location, body)
        return bodies

    def _read_records(
        self, group: list[records.RecordLocation]
    ) -> list[bytes]:
        """Reads the records of adjacent texts; a read may return only some.

        Raises:
            exceptions.PlatformError: The store did not respond, or has
                dropped a record.
        """
        stream, next_offset = group[0].stream, group[0].offset
        end = group[-1].end
        # Each record has a length prefix, and the page a header.
        limit = sum(p.size_bytes + 4 * p.record_count for p in group) + 1024
        found: list[bytes] = []
        while next_offset < end:
            page = self._store.read(stream, next_offset, limit_bytes=limit)
            _check_page(page, stream, next_offset)
            found.extend(raw.body for raw in page.records)
            next_offset = ids.Offset(next_offset + len(page.records))
        return found[: end - group[0].offset]

    def _follow(self) -> None:
        delays = backoff.Backoff(FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        reads = read_pacing.ReadPacer(
            SPACING_S, LONGEST_SPACING_S, self.read_demand, IDLE_SPACING_S
        )
        started_s = clock.monotonic_s()
        while True:
            start = self._next
            try:
                page = self._store.read(
                    records.WORK_STREAM,
                    start,
                    # Without long polling the end of an outage is detected
                    # sooner.
                    wait_s=READ_WAIT_S if self._may_wait else 0.0,
                    limit_bytes=READ_BYTES,
                )
            except exceptions.LogTrimmedError as error:
                self._skip_to(max(error.oldest, start + 1))
                continue
            except exceptions.PlatformError as error:
                if isinstance(error, exceptions.LogOverloadedError):
                    reads.record_throttling()
                self._handle_read_failure(error.message)
                eventlet.sleep(
                    max(reads.next_interval_s(), delays.next_delay_s())
                )
                continue
            delays.reset()
            reads.record_response()
            self._handle_response()
            self._apply_page(page)
            if not self._is_caught_up and self._next >= page.end:
                self._is_caught_up = True
                events.emit(
                    'log_caught_up',
                    offset=self._next,
                    elapsed_ms=_elapsed_ms(started_s),
                )
            if self._is_caught_up:
                reads.wait()
            else:
                eventlet.sleep(0)

    @property
    def _may_wait(self) -> bool:
        return self._is_caught_up and self._is_reachable

    def _handle_read_failure(self, reason: str) -> None:
        if self._is_reachable:
            events.emit(
                'dependency_lost',
                dependency=records.WORK_STREAM,
                reason=reason,
            )
        self._is_reachable = False

    def _handle_response(self) -> None:
        if not self._is_reachable:
            events.emit('dependency_regained', dependency=records.WORK_STREAM)
        self._is_reachable = True
        now_s = clock.uptime_s()
        if not self.is_responding:
            self._connected_since_s = now_s
        self._last_response_s = now_s

    def _apply_page(self, page) -> None:
        is_change = False
        for raw in page.records:
            # Pages read by sync() and by the follower may overlap.
            if raw.offset < self._next:
                continue
            self._skip_to(raw.offset)
            self._next = ids.Offset(raw.offset + 1)
            is_change = self._apply(raw.offset, raw.body) or is_change
        if is_change:
            self.changed.set()

    def _skip_to(self, offset: int) -> None:
        """Continues at an offset if the store has dropped records before it.

        Another green thread may have read further in the meantime.
        """
        if offset <= self._next:
            return
        events.emit(
            'log_records_skipped',
            stream=records.WORK_STREAM,
            first=self._next,
            next=offset,
        )
        self._next = ids.Offset(offset)
        self.leases.skip_to(self._next)
        self.table.skip_to(self._next)

    def _apply(self, offset: ids.Offset, body: bytes) -> bool:
        try:
            return self._apply_record(offset, records.decode(body))
        except exceptions.UnknownRecordTypeError as error:
            reason = error.message
            _ignored_total.labels('unknown_type').inc()
            # A newer release may write many of them.
            known = self._unknown_types
            if reason in known or len(known) >= MAX_UNKNOWN_TYPES:
                return False
            known.add(reason)
        except exceptions.UnreadableRecordError as error:
            reason = error.message
            _ignored_total.labels('unreadable').inc()
        except Exception as error:
            # All daemons read the record, and none could read on.
            reason = f'not applied: {error!r:.200}'
            _ignored_total.labels('failed').inc()
            logger.opt(exception=error).error(
                'record {} was not applied', offset
            )
        events.emit(
            'record_ignored',
            stream=records.WORK_STREAM,
            key=offset,
            reason=reason,
        )
        return False

    def _apply_record(
        self, offset: ids.Offset, record: records.Record
    ) -> bool:
        handler = self._handlers.get(type(record))
        if handler is not None:
            handler(record)
            return False
        if isinstance(record, records.VersionLoaded):
            self._replicas.confirm_version(
                record.replica_id, record.model, record.version
            )
            return True
        if self.leases.apply(record, offset, clock.uptime_s()):
            return True
        return self.table.apply(record, offset)

    def _drop_old_jobs(self) -> None:
        while True:
            eventlet.sleep(PURGE_INTERVAL_S)
            age_s = self._settings.status_s + RETENTION_MARGIN_S
            self.table.drop_old(
                int((clock.unix_s() - age_s) * 1000), clock.monotonic_s()
            )


def _check_page(
    page: platform_base.StorePage, stream: str, offset: ids.Offset
) -> None:
    """Checks that a page begins with the record that was requested.

    Raises:
        exceptions.LogTrimmedError: The store has dropped the record.
        exceptions.RecordMissingError: The stream ends before the record.
        exceptions.LogUnavailableError: The page lacks the record.
    """
    message = f'record {offset} of {stream} is missing'
    if page.records:
        first = page.records[0].offset
        if first > offset:
            raise exceptions.LogTrimmedError(message, first)
        if first == offset:
            return
    elif page.end <= offset:
        # Locations are written once the store has confirmed the record, and
        # its responses are linearizable.
        raise exceptions.RecordMissingError(message)
    raise exceptions.LogUnavailableError(message)


def _elapsed_ms(since_s: float) -> int:
    return int((clock.monotonic_s() - since_s) * 1000)
