"""Plug-in ``work_log``: the stream from which all daemons derive jobs."""

from __future__ import annotations

import math
import typing

import eventlet
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import answer_time
from lentildeal._internal.jobs import append_queue
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

# A read that waits returns at once with a record. A silent connection is
# noticed after this time and the time limit of a read.
WAIT_S = 0.8
# Least time between two reads. Results have to be known to all daemons
# within a second; a read of many records costs less than many reads.
SPACING_S = 0.04
# Results have to be known to all daemons within a second.
LONGEST_SPACING_S = 0.3
# Without an answer for this long the log counts as not heard: the longest
# wait, a slow phase of the platform (60 x 4 ms) and the spacing fit in.
GAP_S = 1.4
# Without an answer for this long the store counts as unreachable, and new
# callers are sent elsewhere. The balancer needs two checks, one a second, to
# do so, so that a read that went silent, noticed after 2.3 s, changes nothing.
UNHEARD_S = 1.6
READ_BYTES = 512 * 1024
FIRST_RETRY_S = 0.05
# 350 daemons that try again this often make 1,400 calls a second.
LONGEST_RETRY_S = 0.25
# Jobs are forgotten this long after results may be asked for.
FORGET_MARGIN_S = 60.0
FORGET_INTERVAL_S = 10.0

_appends_total = prometheus_client.Counter(
    'lentildeal_work_log_appends_total', 'Appends by outcome.', ['outcome']
)


@plugins.register('work_log', after=('directory',))
class WorkLog(plugins.Plugin):
    """Reads the work log into tables, and appends to it."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self.table = table.JobTable()
        self.duties = leases.LeaseTable()
        self.changed = wakeup.Wakeup()
        self._store = kernel.plugin('directory').platform.store
        self._replicas = kernel.plugin('directory').replicas
        self._settings = kernel.settings.store
        self._next = ids.Offset(0)
        self._is_caught_up = False
        self._is_reachable = False
        self._heard_s = -math.inf
        self._heard_since_s = math.inf
        self._cache = texts_module.TextCache()
        self._answer_time = answer_time.AnswerTime()
        self._queue = append_queue.AppendQueue(self, self._settings.call_bytes)

    @property
    def is_caught_up(self) -> bool:
        """Whether the log has been read to its end once."""
        return self._is_caught_up

    @property
    def silence_s(self) -> float:
        """Time since the log answered last, in seconds."""
        return clock.uptime_s() - self._heard_s

    @property
    def is_answering(self) -> bool:
        """Whether the log has answered within the time of one read."""
        return self.silence_s <= GAP_S

    @property
    def is_heard(self) -> bool:
        """Whether the log is read to its end and answers."""
        return self._is_caught_up and self.silence_s <= UNHEARD_S

    @property
    def heard_since_s(self) -> float:
        """Since when the log has been read without a gap, in seconds."""
        return self._heard_since_s if self.is_answering else clock.uptime_s()

    @property
    def queued_count(self) -> int:
        """Records that wait to be appended."""
        return len(self._queue)

    def start(self) -> None:
        """See the base class."""
        self._kernel.spawn('work-log-follow', self._follow)
        self._kernel.spawn('work-log-append', self._queue.run)
        self._kernel.spawn('work-log-forget', self._forget_old)

    def append(
        self,
        batch: typing.Sequence[records.Record],
        timeout_s: typing.Optional[float] = None,
    ) -> ids.Offset:
        """Appends records, all or none, and returns the first offset.

        Args:
            batch: Records.
            timeout_s: Longest wait for an answer; one that suits the last
                answers without it.

        Raises:
            exceptions.LogUnavailableError: The append had no effect.
            exceptions.LogAnswerLostError: It may take effect, also later.
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
    ) -> list[records.Place]:
        """Appends texts, all or none, and returns their places.

        Args:
            stream: Text stream.
            texts: Texts.
            timeout_s: Longest wait for an answer; one that suits the last
                answers without it.

        Raises:
            exceptions.LogUnavailableError: The append had no effect.
            exceptions.LogAnswerLostError: Nobody will know the places.
        """
        bodies = [records.encode(text) for text in texts]
        first = self._append(stream, bodies, timeout_s)
        places = [
            records.Place(stream, ids.Offset(first + number), len(body))
            for number, body in enumerate(bodies)
        ]
        for place, body in zip(places, bodies, strict=True):
            self._cache.put(place, body)
        return places

    def _append(
        self,
        stream: str,
        bodies: list[bytes],
        timeout_s: typing.Optional[float],
    ) -> ids.Offset:
        limit_s = self._answer_time.limit_s(sum(map(len, bodies)))
        if timeout_s is not None:
            limit_s = min(limit_s, timeout_s)
        started_s = clock.monotonic_s()
        try:
            offset = self._store.append(stream, bodies, timeout_s=limit_s)
        except exceptions.LogAnswerLostError:
            self._answer_time.note_silence()
            raise
        self._answer_time.note_answer(clock.monotonic_s() - started_s)
        return offset

    def enqueue(
        self,
        record: records.Record,
        events_of_text: typing.Optional[tuple[str, ...]] = None,
    ) -> None:
        """Appends a record as soon as possible, again until it is done.

        Only for records whose repetition changes nothing.

        Args:
            record: Record of the work log.
            events_of_text: Text whose place is filled in, if it has one.
        """
        self._queue.put(record, events_of_text)

    def add_companion(self, companion: append_queue.Companion) -> None:
        """Lets a record go with each batch of queued records."""
        self._queue.add_companion(companion)

    def sync(self) -> None:
        """Reads all that was in the log when this was called.

        Raises:
            exceptions.LogUnavailableError: The log did not answer.
        """
        while True:
            try:
                page = self._store.read(
                    records.WORK_STREAM, self._next, limit_bytes=READ_BYTES
                )
            except exceptions.LogTrimmedError as error:
                self._next = ids.Offset(max(error.oldest, self._next + 1))
                continue
            self._apply_page(page)
            if self._next >= page.end:
                return

    def forget_texts(self) -> None:
        """Drops the texts in memory."""
        self._cache = texts_module.TextCache()

    def read_texts(
        self, places: typing.Sequence[records.Place]
    ) -> list[typing.Any]:
        """Reads texts, neighbours in one call.

        Raises:
            exceptions.PlatformError: The store did not answer, or has
                dropped a text.
        """
        bodies: dict[records.Place, bytes] = {}
        missing = []
        # What is cached now may be evicted while the rest is read.
        for place in places:
            body = self._cache.get(place)
            if body is None:
                missing.append(place)
            else:
                bodies[place] = body
        for group in texts_module.group_neighbours(missing):
            bodies.update(self._read_group(group))
        return [records.decode(bodies[place]) for place in places]

    def _read_group(
        self, group: list[records.Place]
    ) -> dict[records.Place, bytes]:
        # Lengths of records and the head of a page come on top.
        limit = sum(p.size_bytes + 4 for p in group) + 1024
        page = self._store.read(
            group[0].stream, group[0].offset, limit_bytes=limit
        )
        found = {raw.offset: raw.body for raw in page.records}
        bodies = {}
        for place in group:
            body = found.get(place.offset)
            if body is None or len(body) != place.size_bytes:
                raise exceptions.LogUnavailableError(
                    f'text {place.offset} of {place.stream} did not come'
                )
            bodies[place] = body
            self._cache.put(place, body)
        return bodies

    def _follow(self) -> None:
        delays = backoff.Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        reads = read_pacing.ReadPacer(SPACING_S, LONGEST_SPACING_S)
        started_s = clock.monotonic_s()
        while True:
            try:
                page = self._store.read(
                    records.WORK_STREAM,
                    self._next,
                    # Without a wait the end of an outage is noticed sooner.
                    wait_s=WAIT_S if self._may_wait else 0.0,
                    limit_bytes=READ_BYTES,
                )
            except exceptions.LogTrimmedError as error:
                self._next = ids.Offset(max(error.oldest, self._next + 1))
                continue
            except exceptions.PlatformError as error:
                if isinstance(error, exceptions.LogOverloadedError):
                    reads.record_throttling()
                self._note_unheard(error.message)
                eventlet.sleep(
                    max(reads.next_interval_s(), delays.next_delay_s())
                )
                continue
            delays.reset()
            reads.record_response()
            self._note_heard()
            self._apply_page(page)
            if not self._is_caught_up and self._next >= page.end:
                self._is_caught_up = True
                events.emit(
                    'log_caught_up',
                    offset=self._next,
                    elapsed_ms=_elapsed_ms(started_s),
                )
            eventlet.sleep(
                reads.next_interval_s() if self._is_caught_up else 0
            )

    @property
    def _may_wait(self) -> bool:
        return self._is_caught_up and self._is_reachable

    def _note_unheard(self, reason: str) -> None:
        if self._is_reachable:
            events.emit(
                'dependency_lost',
                dependency=records.WORK_STREAM,
                reason=reason,
            )
        self._is_reachable = False

    def _note_heard(self) -> None:
        if not self._is_reachable:
            events.emit('dependency_regained', dependency=records.WORK_STREAM)
        self._is_reachable = True
        now_s = clock.uptime_s()
        if not self.is_answering:
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
                stream=records.WORK_STREAM,
                key=offset,
                reason=error.message,
            )
            return False
        if isinstance(record, records.VersionLoaded):
            self._replicas.confirm_version(
                record.replica_id, record.model, record.version
            )
            return True
        if self.duties.apply(record, offset, clock.uptime_s()):
            return True
        return self.table.apply(record)

    def _forget_old(self) -> None:
        while True:
            eventlet.sleep(FORGET_INTERVAL_S)
            age_s = self._settings.status_s + FORGET_MARGIN_S
            self.table.drop_submitted_before(
                int((clock.unix_s() - age_s) * 1000)
            )


def _elapsed_ms(since_s: float) -> int:
    return int((clock.monotonic_s() - since_s) * 1000)
