"""Appends open jobs again before the store drops their records.

The store keeps a record for a limited time. A process that starts after the
records of a job have expired learns of the job from its renewal alone.
"""

from __future__ import annotations

import dataclasses
import typing

import eventlet

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import loading
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import table
from lentildeal._internal.logs import events
from lentildeal._internal.logs import failures
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock

if typing.TYPE_CHECKING:
    from lentildeal._internal.jobs import work_log as work_log_module

# Age of the records of a job, as a share of the time for which the store keeps
# them, from which on they are appended again. Three further renewals may fail
# before the records expire.
RENEWAL_SHARE = 0.25
# A renewal that another record has overtaken is repeated after a delay.
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 5.0


def is_due(
    *, age_s: float, since_renewal_s: float, retention_s: float
) -> bool:
    """Whether the records of a job have to be appended again.

    Args:
        age_s: Time since the submission of the job.
        since_renewal_s: Time since this process saw the last renewal take
            effect, infinite without one.
        retention_s: Time for which the store keeps a record.
    """
    return min(age_s, since_renewal_s) > RENEWAL_SHARE * retention_s


@dataclasses.dataclass
class _RenewedTexts:
    """Texts of a job that were appended again: old and new locations."""

    locations: dict[records.RecordLocation, records.RecordLocation]
    # Texts that the store no longer has.
    lost: set[records.RecordLocation]

    def find(self, location: records.RecordLocation) -> records.RecordLocation:
        return self.locations.get(location, location)


class JobRenewer:
    """Renews the open jobs of the models whose lease this daemon holds."""

    def __init__(
        self,
        log: work_log_module.WorkLog,
        settings: settings_module.Store,
    ) -> None:
        self._log = log
        self._settings = settings
        self._renewed_s: dict[ids.JobId, float] = {}
        self._running: set[ids.JobId] = set()

    def start_due(self, entries: typing.Iterable[table.JobEntry]) -> None:
        """Starts the renewal of the jobs for which it is due."""
        for entry in entries:
            job_id = entry.head.job_id
            if job_id in self._running or not self._is_due(entry):
                continue
            self._running.add(job_id)
            eventlet.spawn_n(self._run, entry)

    def forget(self, job_id: ids.JobId) -> None:
        """Handles that a job is closed."""
        self._renewed_s.pop(job_id, None)

    def _is_due(self, entry: table.JobEntry) -> bool:
        renewed_s = self._renewed_s.get(entry.head.job_id, float('-inf'))
        return entry.is_open and is_due(
            age_s=clock.unix_s() - entry.head.submitted_ms / 1000,
            since_renewal_s=clock.uptime_s() - renewed_s,
            retention_s=self._settings.retention_s,
        )

    def _run(self, entry: table.JobEntry) -> None:
        """Renews a job until its renewal took effect."""
        job_id = entry.head.job_id
        renewals = entry.renewal_count
        delays = backoff.Backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        try:
            texts: typing.Optional[_RenewedTexts] = None
            while entry.is_open and entry.renewal_count == renewals:
                try:
                    if texts is None:
                        texts = self._append_texts(entry)
                    self._append_renewal(entry, texts)
                    self._log.sync()
                except exceptions.PlatformError as error:
                    events.emit(
                        'job_renewal_failed', job=job_id, reason=error.message
                    )
                except Exception as error:
                    failures.report('job_renewal', job_id, error)
                if entry.renewal_count == renewals:
                    eventlet.sleep(delays.next_delay_s())
            self._renewed_s[job_id] = clock.uptime_s()
            events.emit(
                'job_renewed',
                job=job_id,
                results=len(entry.results),
                items=entry.head.item_count,
            )
        finally:
            self._running.discard(job_id)

    def _append_texts(self, entry: table.JobEntry) -> _RenewedTexts:
        """Appends the items and the texts of the results again.

        Raises:
            exceptions.PlatformError: The store did not respond.
        """
        found = [location for _, location in entry.parts]
        found += [r.location for r in entry.results if r.location is not None]
        stream = records.text_stream_name(entry.head.job_id)
        renewed: dict[records.RecordLocation, records.RecordLocation] = {}
        lost: set[records.RecordLocation] = set()
        for batch in _split(found, self._settings.call_bytes // 2):
            texts = self._read(batch, lost)
            kept = [location for location in batch if location not in lost]
            if kept:
                renewed.update(
                    zip(
                        kept,
                        self._log.append_texts(stream, texts),
                        strict=True,
                    )
                )
        return _RenewedTexts(renewed, lost)

    def _read(
        self,
        batch: list[records.RecordLocation],
        lost: set[records.RecordLocation],
    ) -> list[records.Payload]:
        """Reads texts, and adds those that can't be read any more to lost.

        Raises:
            exceptions.PlatformError: The store did not respond.
        """
        try:
            return self._log.read_texts(batch)
        except loading.LOST_ERRORS:
            if len(batch) == 1:
                lost.update(batch)
                return []
        return [text for one in batch for text in self._read([one], lost)]

    def _append_renewal(
        self, entry: table.JobEntry, texts: _RenewedTexts
    ) -> None:
        """Appends the record that replaces those that will expire.

        Raises:
            exceptions.PlatformError: It may not be in the log.
        """
        # A result between the last read and this record voids the renewal.
        self._log.sync()
        parts = [(first, texts.find(part)) for first, part in entry.parts]
        renewal = records.JobRenewal(
            self._log.read_until,
            entry.text_version,
            records.encode_head(entry.head),
            entry.item_ids,
            tuple((first, p.offset, p.size_bytes) for first, p in parts),
            tuple(_encode_result(r, texts) for r in entry.results),
        )
        self._log.append(
            records.split_renewal(renewal, self._settings.record_bytes)
        )


def _split(
    locations: typing.Sequence[records.RecordLocation], limit_bytes: int
) -> typing.Iterator[list[records.RecordLocation]]:
    """Splits texts into batches that fit into one append."""
    batch: list[records.RecordLocation] = []
    size_bytes = 0
    for location in locations:
        if batch and size_bytes + location.size_bytes > limit_bytes:
            yield batch
            batch, size_bytes = [], 0
        batch.append(location)
        size_bytes += location.size_bytes
    if batch:
        yield batch


def _encode_result(result: table.ListedResult, texts: _RenewedTexts) -> tuple:
    """Encodes the fields of ``records.ItemResult`` without the job."""
    location = result.location
    if location is None:
        return result.index, result.state.value, result.versions
    if location in texts.lost:
        # As it is shown to trainers.
        return result.index, jobs.ResultState.GIVEN_UP.value, ()
    location = texts.find(location)
    return (
        result.index,
        result.state.value,
        result.versions,
        location.offset,
        location.size_bytes,
        result.score,
        location.record_count,
    )
