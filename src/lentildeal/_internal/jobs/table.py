"""Jobs and results, which every daemon derives from the work log.

The state depends on the records alone, so that all daemons agree on the
positions of results. Duplicate and late records have no effect.
"""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.jobs import records
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.utils import decimals

# Time for which a closed job is kept at least. A trainer reads about twice a
# second, and repeats an end that got no answer for some seconds.
CLOSED_KEPT_S = 60.0
NO_OFFSET = ids.Offset(-1)


@dataclasses.dataclass(frozen=True)
class ListedResult:
    """A result of an item; its text stays in the log."""

    index: int
    state: jobs.ResultState
    versions: tuple[int, ...]
    location: typing.Optional[records.RecordLocation]
    score: str = ''


@dataclasses.dataclass(frozen=True)
class SavedProgress:
    """The newest checkpoint of an item."""

    versions: tuple[int, ...]
    event_count: int
    last_event_id: str
    location: records.RecordLocation
    is_complete: bool = False

    @property
    def rank(self) -> tuple[bool, int]:
        """Sort key; the most advanced checkpoint is the largest."""
        return self.is_complete, self.event_count


class JobEntry:
    """State of a job that is kept in memory.

    Attributes:
        text_version: Version of the published text under which the job was
            accepted, 0 if unknown.
        renewal_count: Renewals of the job that took effect.
    """

    def __init__(
        self, accepted: records.JobAccepted, text_version: int = 0
    ) -> None:
        self.text_version = text_version
        self.renewal_count = 0
        self.head = accepted.job_head
        self.item_ids = accepted.item_ids
        self.set_parts(accepted.parts)
        self.results: list[ListedResult] = []
        self.checkpoints: dict[int, SavedProgress] = {}
        self.is_ended = False
        self._listed: set[int] = set()
        self._closed_since_s: typing.Optional[float] = None

    def set_parts(self, parts: tuple[tuple[int, int, int], ...]) -> None:
        """Sets the locations of the items; see ``records.JobAccepted``."""
        # Index of the first item of each part, and location of the part.
        self.parts = tuple(
            (first, self.make_location(offset, size_bytes, 1))
            for first, offset, size_bytes in parts
        )

    @property
    def is_complete(self) -> bool:
        """Whether all items have a result."""
        return len(self.results) == self.head.item_count

    @property
    def is_open(self) -> bool:
        """Whether items are still to be run."""
        return not (self.is_ended or self.is_complete)

    def measure_closed_s(self, now_s: float) -> float:
        """Returns since how long the job is known to be closed.

        Args:
            now_s: Current time; counted from the first call for a closed job.
        """
        if self.is_open:
            return 0.0
        if self._closed_since_s is None:
            self._closed_since_s = now_s
        return now_s - self._closed_since_s

    def make_location(
        self, offset: ids.Offset, size_bytes: int, record_count: int
    ) -> records.RecordLocation:
        """Location of a text in the text stream of this job."""
        stream = records.text_stream_name(self.head.job_id)
        return records.RecordLocation(stream, offset, size_bytes, record_count)

    def is_listed(self, index: int) -> bool:
        """Whether an item has a result."""
        return index in self._listed

    def find_index(self, item_id: ids.ItemId) -> typing.Optional[int]:
        """Index of an item, None if the job has no such item."""
        try:
            return self.item_ids.index(item_id)
        except ValueError:
            return None

    def find_part(self, index: int) -> tuple[int, records.RecordLocation]:
        """Index of the first item and location of an item's part."""
        return max(part for part in self.parts if part[0] <= index)

    def list_result(self, result: ListedResult) -> bool:
        """Appends a result.

        Returns:
            False if the item has a result already or does not exist.
        """
        if result.index in self._listed:
            return False
        if not 0 <= result.index < self.head.item_count:
            return False
        self._listed.add(result.index)
        self.results.append(result)
        self.checkpoints.pop(result.index, None)
        return True

    def replace_results(self, results: list[ListedResult]) -> None:
        """Replaces the results by the same ones at other locations."""
        self.results = results
        self._listed = {result.index for result in results}


class JobTable:
    """All jobs in the work log."""

    def __init__(self) -> None:
        self._jobs: dict[ids.JobId, JobEntry] = {}
        self._listed_items: dict[
            ids.ItemId, tuple[ids.JobId, ListedResult]
        ] = {}
        self._first_jobs: dict[ids.ItemId, ids.JobId] = {}
        # Texts of jobs whose own record follows.
        self._text_versions: dict[ids.JobId, int] = {}
        # Offset of the last result or end of each job.
        self._changed_at: dict[ids.JobId, ids.Offset] = {}
        # Results of the renewal that follows in the append.
        self._renewed_results: list[records.RenewedResults] = []
        # All records from here on were read.
        self._read_from = ids.Offset(0)

    def get(self, job_id: ids.JobId) -> typing.Optional[JobEntry]:
        """Returns a job, None if it is unknown."""
        return self._jobs.get(job_id)

    def iter_open(self) -> typing.Iterator[JobEntry]:
        """Iterates over jobs with items to run, oldest first."""
        return (entry for entry in self._jobs.values() if entry.is_open)

    def find_done(
        self, item_id: ids.ItemId
    ) -> typing.Optional[tuple[ids.JobId, ListedResult]]:
        """Last complete result of an item in any job, with the job ID."""
        return self._listed_items.get(item_id)

    def is_resubmitted(self, item_id: ids.ItemId, job_id: ids.JobId) -> bool:
        """Whether an item was part of an earlier job."""
        return self._first_jobs.get(item_id, job_id) != job_id

    def find_checkpoint(
        self, item_id: ids.ItemId
    ) -> typing.Optional[SavedProgress]:
        """Longest checkpoint of an item in any job."""
        found = []
        for entry in self._jobs.values():
            index = entry.find_index(item_id)
            if index is not None and index in entry.checkpoints:
                found.append(entry.checkpoints[index])
        return max(found, key=lambda saved: saved.rank, default=None)

    def skip_to(self, offset: ids.Offset) -> None:
        """Handles that the records before an offset can't be read."""
        self._read_from = offset

    def apply(
        self, record: records.Record, offset: ids.Offset = NO_OFFSET
    ) -> bool:
        """Applies a record and returns whether it changed the state.

        Args:
            record: Record of the work log.
            offset: Its offset.
        """
        if isinstance(record, records.JobAccepted):
            return self._apply_job(record)
        if isinstance(record, records.JobRenewal):
            return self._apply_renewal(record)
        if isinstance(record, records.RenewedResults):
            self._renewed_results.append(record)
            return False
        found, self._renewed_results = self._renewed_results, []
        if isinstance(record, records.LargeJobRenewal):
            return self._apply_renewal(record.join(found))
        if isinstance(record, records.JobText):
            self._text_versions[record.job_id] = record.text_version
            return False
        if isinstance(record, (records.JobEnd, records.ItemResult)):
            self._changed_at[record.job_id] = offset
        entry = self._jobs.get(getattr(record, 'job_id', ids.JobId('')))
        if entry is None:
            return False
        if isinstance(record, records.JobEnd):
            is_change = not entry.is_ended
            entry.is_ended = True
            return is_change
        # Results and checkpoints are also applied after the end of a job, as
        # an incomplete group may be submitted again in a later job.
        if not 0 <= record.index < len(entry.item_ids):
            return False
        if isinstance(record, records.ItemResult):
            return self._apply_result(entry, record)
        return self._apply_checkpoint(entry, record)

    def drop_old(self, submitted_before_ms: int, now_s: float) -> int:
        """Drops old jobs that have been closed for a while.

        The results of an open job stay readable, however long it is open, and
        its trainer has to be able to read the last ones.

        Args:
            submitted_before_ms: Unix time of the submission before which
                results may be dropped, in milliseconds.
            now_s: Current time, by a clock of this process.

        Returns:
            Number of jobs that were dropped.
        """
        old = [
            job_id
            for job_id, entry in self._jobs.items()
            if entry.measure_closed_s(now_s) >= CLOSED_KEPT_S
            and entry.head.submitted_ms < submitted_before_ms
        ]
        for job_id in old:
            del self._jobs[job_id]
        if old:
            self._changed_at = {
                job_id: offset
                for job_id, offset in self._changed_at.items()
                if job_id in self._jobs
            }
            self._listed_items = {
                item_id: found
                for item_id, found in self._listed_items.items()
                if found[0] in self._jobs
            }
            self._first_jobs = {
                item_id: job_id
                for item_id, job_id in self._first_jobs.items()
                if job_id in self._jobs
            }
        return len(old)

    def _apply_job(self, accepted: records.JobAccepted) -> bool:
        head = accepted.job_head
        text_version = self._text_versions.pop(head.job_id, 0)
        if head.job_id in self._jobs:
            # Duplicate submission.
            return False
        self._jobs[head.job_id] = JobEntry(accepted, text_version)
        for item_id in accepted.item_ids:
            self._first_jobs.setdefault(item_id, head.job_id)
        return True

    def _apply_renewal(self, renewal: records.JobRenewal) -> bool:
        job_id = renewal.job_id
        changed_at = self._changed_at.get(job_id, NO_OFFSET)
        if changed_at > renewal.read_until:
            # The renewal lacks a result or the end; the next one has it.
            return False
        entry = self._jobs.get(job_id)
        results = list(renewal.iter_results())
        if entry is None:
            if renewal.read_until < self._read_from - 1:
                # A record that was not read may be missing in the renewal.
                return False
            self._text_versions[job_id] = renewal.text_version
            self._apply_job(renewal.accepted)
            entry = self._jobs[job_id]
            for record in results:
                self._apply_result(entry, record)
        else:
            entry.set_parts(renewal.parts)
            entry.replace_results([_make_result(entry, r) for r in results])
        entry.renewal_count += 1
        return True

    def _apply_result(
        self, entry: JobEntry, record: records.ItemResult
    ) -> bool:
        result = _make_result(entry, record)
        if not entry.list_result(result):
            return False
        if result.state is jobs.ResultState.DONE:
            item_id = entry.item_ids[record.index]
            self._listed_items[item_id] = entry.head.job_id, result
        return True

    def _apply_checkpoint(
        self, entry: JobEntry, record: records.Checkpoint
    ) -> bool:
        if entry.is_listed(record.index):
            return False
        if decimals.read_decimal(record.last_event_id) is None:
            # No replica could go on from there. Earlier releases wrote such
            # checkpoints.
            return False
        saved = SavedProgress(
            record.versions,
            record.event_count,
            record.last_event_id,
            entry.make_location(
                record.offset, record.size_bytes, record.record_count
            ),
            record.is_complete,
        )
        known = entry.checkpoints.get(record.index)
        if known is not None and known.rank >= saved.rank:
            return False
        entry.checkpoints[record.index] = saved
        return True


def _make_result(entry: JobEntry, record: records.ItemResult) -> ListedResult:
    location = None
    if record.offset >= 0:
        location = entry.make_location(
            record.offset, record.size_bytes, record.record_count
        )
    return ListedResult(
        record.index,
        _read_state(record.state),
        record.versions,
        location,
        record.score,
    )


def _read_state(value: str) -> jobs.ResultState:
    try:
        return jobs.ResultState(value)
    except ValueError:
        # A state of a newer release. Without the result, all later ones would
        # have other positions here than at the daemons of that release.
        return jobs.ResultState.GIVEN_UP
