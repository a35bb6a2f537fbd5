"""Plug-in ``jobs``: accepts and ends batch jobs, and serves results."""

from __future__ import annotations

import contextlib
import dataclasses
import typing

import eventlet
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import loading
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import runner
from lentildeal._internal.jobs import table
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock

# Maximum size of the texts in one response; callers continue at the next
# position.
PAGE_BYTES = 900_000
# Time after which a page ends, and results that are loaded before each look at
# the clock.
PAGE_READ_S = 0.5
PAGE_BATCH = 16
# Time in which an append is retried before the submission is refused with
# Retry-After. A retry at another daemon costs the trainer less than a longer
# wait.
SUBMIT_TIMEOUT_S = 1.5
# Minimum timeout of one append. A response takes 4 ms, and 60 times as long
# while the platform is slow.
MIN_APPEND_TIMEOUT_S = 0.3
# Bounds of Retry-After. An outage of unknown length is expected to last as
# long again as it has lasted (Lindy effect). Trainers retry a submission only
# a few times, so retries within the outage may lose the job. Their steps are
# due after several seconds, so a longer wait costs more than it saves.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 3.0
# Trainers read about twice a second; by then the store has recovered or they
# ask another daemon.
READ_RETRY_AFTER_S = 0.25
# A text that names the model takes effect within seconds.
UNKNOWN_MODEL_RETRY_AFTER_S = 1.0
# Time in which the outcome of an append without a response is determined.
OUTCOME_TIMEOUT_S = 2.5
END_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.1
# A store that refuses appends has 2 s of them queued.
MAX_RETRY_DELAY_S = 0.5

_jobs_total = prometheus_client.Counter(
    'lentildeal_jobs_total', 'Submissions by outcome.', ['outcome']
)


# Says whether the sender of a request may see a job, None for no such job.
JobFilter = typing.Callable[[typing.Optional[jobs.JobHead]], bool]


def is_known(head: typing.Optional[jobs.JobHead]) -> bool:
    """Filter for a sender that may see all jobs."""
    return head is not None


@dataclasses.dataclass(frozen=True)
class JobPage:
    """Results of a job, starting at a position.

    Attributes:
        total: Number of items of the job.
        next: Position after the last result of this page.
        results: Results in order.
    """

    total: int
    next: int
    results: tuple[jobs.Result, ...]


@plugins.register(
    'jobs',
    after=('directory', 'gateway', 'work_log', 'duties', 'replica_limits'),
)
class Jobs(plugins.Plugin):
    """Accepts jobs of trainers and serves their results."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.plugin('directory')
        self._log = kernel.plugin('work_log')
        self._lease_manager = kernel.plugin('duties')
        self._runner = runner.JobRunner(kernel)

    def start(self) -> None:
        """See the base class."""
        self._kernel.spawn('job-runner', self._runner.run)
        for name, source in (
            ('work-log', self._log.changed),
            ('directory', self._directory.changed),
            ('duties', self._lease_manager.changed),
        ):
            self._kernel.spawn(
                f'wake-on-{name}', self._runner.wake_on_changes, source
            )

    def drain(self) -> None:
        """Saves progress, then resigns from all leases."""
        self._runner.drain()
        self._lease_manager.resign_all()

    def preview(
        self,
        route: deployment.Route,
        model: ids.ModelName,
        min_version: ids.Version,
    ) -> runner.Preview:
        """Shows where an item of a new job would run; sends nothing."""
        return self._runner.preview(route, model, min_version)

    def describe_open_jobs(self) -> list[dict[str, typing.Any]]:
        """Describes all open jobs as JSON values, the oldest first."""
        return self._runner.describe_open_jobs()

    def submit(self, job: jobs.Job) -> None:
        """Accepts a job and returns once it is in the log.

        Raises:
            exceptions.NotFoundError: The job belongs to another account.
            exceptions.NotRunError: The job was not accepted.
            exceptions.MayHaveRunError: The job may have been accepted.
        """
        known = self._log.table.get(job.head.job_id)
        if known is not None and known.head.account not in (
            None,
            job.head.account,
        ):
            raise _make_unknown_error(job.head.job_id)
        started_s = clock.monotonic_s()
        try:
            self._submit(job)
        except exceptions.LentildealError as error:
            is_refusal = isinstance(error, exceptions.NotRunError)
            _jobs_total.labels('refused' if is_refusal else 'unknown').inc()
            events.emit(
                'job_refused',
                job=job.head.job_id,
                status=503 if is_refusal else 504,
                reason=error.message,
                elapsed_ms=_elapsed_ms(started_s),
            )
            raise
        _jobs_total.labels('accepted').inc()
        events.emit(
            'job_accepted',
            job=job.head.job_id,
            model=job.head.model,
            step=job.head.step,
            items=job.head.item_count,
            elapsed_ms=_elapsed_ms(started_s),
        )

    def read(
        self,
        job_id: ids.JobId,
        after: int,
        wait_s: float,
        may_see: JobFilter = is_known,
    ) -> JobPage:
        """Returns results from a position on; waits for one if needed.

        Args:
            job_id: The job.
            after: Position of the first result.
            wait_s: Longest wait for a result, in seconds.
            may_see: Says whether the sender may see a job.

        Raises:
            exceptions.NotFoundError: There is no such job.
            exceptions.NotRunError: The store does not respond.
        """
        with _report_failure(job_id, after):
            entry = self._find_job(job_id, may_see)
            with self._log.read_demand.hold():
                self._wait_for_result(entry, after, clock.Deadline(wait_s))
            if entry.head.item_count > len(entry.results) <= after:
                # Another daemon may have read further in the log.
                self._sync()
            return self._make_page(entry, after)

    def _wait_for_result(
        self, entry: table.JobEntry, after: int, deadline: clock.Deadline
    ) -> None:
        while len(entry.results) <= after and entry.is_open:
            if deadline.has_passed:
                return
            self._log.changed.wait(deadline.remaining_s)

    def read_body(
        self,
        job_id: ids.JobId,
        item_id: ids.ItemId,
        may_see: JobFilter = is_known,
    ) -> typing.Optional[bytes]:
        """Returns the body of an item, None if there is no such item.

        Raises:
            exceptions.NotFoundError: There is no such job, or the store no
                longer has the body.
            exceptions.NotRunError: The store does not respond.
        """
        with _report_failure(job_id, item_id):
            entry = self._find_job(job_id, may_see)
            index = entry.find_index(item_id)
            if index is None:
                return None
            try:
                return loading.load_item(self._log, entry, index).body
            except loading.LOST_ERRORS as error:
                raise exceptions.NotFoundError(
                    f'item {item_id} can not be read any more: {error.message}'
                ) from error
            except exceptions.PlatformError as error:
                raise _make_unavailable_error(error) from error

    def end(self, job_id: ids.JobId, may_see: JobFilter = is_known) -> None:
        """Ends a job and returns once the end is in the log.

        Raises:
            exceptions.NotFoundError: There is no such job.
            exceptions.NotRunError: The end could not be stored.
        """
        entry = self._find_job(job_id, may_see)
        if entry.is_ended:
            return
        deadline = clock.Deadline(END_TIMEOUT_S)
        while True:
            try:
                self._log.append([records.JobEnd(job_id)])
                break
            except exceptions.PlatformError as error:
                if deadline.has_passed:
                    raise _make_unavailable_error(error) from error
                eventlet.sleep(RETRY_DELAY_S)
        events.emit('job_ended', job=job_id, listed=len(entry.results))

    def _submit(self, job: jobs.Job) -> None:
        if self._is_known(job.head.job_id):
            return
        self._check_model(job.head.model)
        if not self._log.is_responding:
            raise self._make_refusal('no answer lately')
        limit = self._kernel.settings.store.record_bytes
        parts = records.split_items(job.items, limit)
        self._check_size(job, parts)
        deadline = clock.Deadline(SUBMIT_TIMEOUT_S)
        delays = backoff.Backoff(RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        accepted: typing.Optional[records.JobAccepted] = None
        locations: list[records.RecordLocation] = []
        text_version = self._directory.text.version
        while True:
            timeout_s = max(MIN_APPEND_TIMEOUT_S, deadline.remaining_s)
            try:
                if accepted is None:
                    self._store_items(job, parts, locations, timeout_s)
                    accepted = _make_accepted(job, parts, locations)
                self._append_accepted(accepted, text_version)
                return
            except exceptions.LogAnswerLostError as error:
                if accepted is not None:
                    self._find_outcome(accepted, text_version)
                    return
                # Items without an accepted job do not run.
                failure: exceptions.PlatformError = error
            except exceptions.LogUnavailableError as error:
                failure = error
            if deadline.has_passed:
                raise self._make_refusal(failure.message) from failure
            eventlet.sleep(delays.next_delay_s())

    def _make_refusal(self, reason: str) -> exceptions.NotRunError:
        silence_s = self._log.silence_s
        return exceptions.NotRunError(
            f'the store does not answer: {reason}',
            cause='store_down',
            retry_after_s=min(
                MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, silence_s)
            ),
        )

    def _check_model(self, model: ids.ModelName) -> None:
        """Checks that replicas of a service serve a model.

        Raises:
            exceptions.NotRunError: No service has it. The refusal is not
                final, as a newer text may name the model.
        """
        text = self._directory.text
        if any(model in s.models for s in text.services.values()):
            return
        raise exceptions.NotRunError(
            f'no service of text {text.version} has the model {model!r:.80}',
            cause='unknown_model',
            retry_after_s=UNKNOWN_MODEL_RETRY_AFTER_S,
            remedy='correct the name of the model, or publish a text with it',
        )

    def _check_size(
        self, job: jobs.Job, parts: list[tuple[int, records.JobPart]]
    ) -> None:
        """Checks that the record of a job can be stored.

        Raises:
            exceptions.BadRequestError: The job has too many items.
        """
        limit = self._kernel.settings.store.record_bytes
        unknown = records.RecordLocation('', ids.Offset(2**62), limit)
        accepted = _make_accepted(job, parts, [unknown] * len(parts))
        size_bytes = len(records.encode(accepted))
        if size_bytes > limit:
            raise exceptions.BadRequestError(
                f'the ids of {job.head.item_count} items take {size_bytes}'
                f' bytes, {limit} are allowed',
                remedy='send fewer items in a job, or shorter ids',
            )

    def _store_items(
        self,
        job: jobs.Job,
        parts: list[tuple[int, records.JobPart]],
        locations: list[records.RecordLocation],
        timeout_s: float,
    ) -> None:
        """Appends the items that are not stored yet to a text stream.

        Args:
            job: The job.
            parts: Index of the first item and items of each record.
            locations: Locations of the stored parts, which is extended.
            timeout_s: Timeout of an append.

        Raises:
            exceptions.PlatformError: Not all items may have been stored.
        """
        stream = records.text_stream_name(job.head.job_id)
        limit = self._kernel.settings.store.call_bytes
        texts = [part for _, part in parts]
        for batch in records.split_calls(texts[len(locations) :], limit):
            locations += self._log.append_texts(stream, batch, timeout_s)

    def _append_accepted(
        self, accepted: records.JobAccepted, text_version: int
    ) -> None:
        """Appends the record of a job and the text that allows the job.

        Raises:
            exceptions.PlatformError: The job may not be in the log.
        """
        job_id = accepted.job_head.job_id
        self._log.append([records.JobText(job_id, text_version), accepted])

    def _find_outcome(
        self, accepted: records.JobAccepted, text_version: int
    ) -> None:
        """Determines whether an append without a response took effect.

        If not, the append is retried, which is safe as only the first record
        of a job counts.

        Raises:
            exceptions.MayHaveRunError: The append may still take effect.
        """
        job_id = accepted.job_head.job_id
        deadline = clock.Deadline(OUTCOME_TIMEOUT_S)
        while not deadline.has_passed:
            try:
                self._log.sync()
                if not self._is_known(job_id):
                    self._append_accepted(accepted, text_version)
                return
            except exceptions.PlatformError:
                # The outcome is unknown; retried until the deadline.
                eventlet.sleep(RETRY_DELAY_S)
        raise exceptions.MayHaveRunError(
            f'the store did not confirm job {job_id}'
        )

    def _is_known(self, job_id: ids.JobId) -> bool:
        return self._log.table.get(job_id) is not None

    def _find_job(
        self, job_id: ids.JobId, may_see: JobFilter
    ) -> table.JobEntry:
        if not self._log.is_caught_up or not self._is_known(job_id):
            # A job is known not to exist only at the end of the log.
            self._sync()
        entry = self._log.table.get(job_id)
        if not may_see(None if entry is None else entry.head):
            raise _make_unknown_error(job_id)
        return entry

    def _sync(self) -> None:
        try:
            self._log.sync()
        except exceptions.PlatformError as error:
            raise _make_unavailable_error(error) from error

    def _make_page(self, entry: table.JobEntry, after: int) -> JobPage:
        """Loads results until the page is full or took too long.

        Raises:
            exceptions.NotRunError: The store did not give the first ones.
        """
        listed = _select_page(entry.results[after:])
        deadline = clock.Deadline(PAGE_READ_S)
        found: list[jobs.Result] = []
        for start in range(0, len(listed), PAGE_BATCH):
            if found and deadline.has_passed:
                break
            batch = listed[start : start + PAGE_BATCH]
            try:
                found += self._load_results(entry, batch)
            except exceptions.PlatformError as error:
                if found:
                    # The next request begins with these results.
                    break
                raise _make_unavailable_error(error) from error
        return JobPage(entry.head.item_count, after + len(found), tuple(found))

    def _load_results(
        self,
        entry: table.JobEntry,
        listed: typing.Sequence[table.ListedResult],
    ) -> list[jobs.Result]:
        places = [
            loading.TextPlace(entry.item_ids[r.index], r.location)
            for r in listed
            if r.location is not None
        ]
        texts = iter(loading.load_all_events(self._log, places))
        return [
            _make_result(
                entry, result, None if result.location is None else next(texts)
            )
            for result in listed
        ]


@contextlib.contextmanager
def _report_failure(
    job_id: ids.JobId, asked: typing.Union[int, ids.ItemId]
) -> typing.Iterator[None]:
    """Logs why a read of a job got no answer."""
    started_s = clock.monotonic_s()
    try:
        yield
    except exceptions.LentildealError as error:
        events.emit(
            'job_read_failed',
            job=job_id,
            asked=asked,
            reason=error.message,
            elapsed_ms=_elapsed_ms(started_s),
        )
        raise


def _make_accepted(
    job: jobs.Job,
    parts: list[tuple[int, records.JobPart]],
    locations: list[records.RecordLocation],
) -> records.JobAccepted:
    return records.JobAccepted(
        records.encode_head(job.head),
        tuple(item.item_id for item in job.items),
        tuple(
            (first, location.offset, location.size_bytes)
            for (first, _), location in zip(parts, locations, strict=True)
        ),
    )


def _make_result(
    entry: table.JobEntry,
    result: table.ListedResult,
    text: typing.Optional[records.EventTexts],
) -> jobs.Result:
    item_id = entry.item_ids[result.index]
    if result.location is not None and text is None:
        # The text is lost. The trainer can still read the results after it.
        return jobs.Result(item_id, jobs.ResultState.GIVEN_UP, '', ())
    return jobs.Result(
        item_id,
        result.state,
        '' if text is None else text.text,
        result.versions,
        result.score,
    )


def _select_page(
    results: list[table.ListedResult],
) -> list[table.ListedResult]:
    """Selects results that fit into one response, at least one."""
    selected: list[table.ListedResult] = []
    size_bytes = 0
    for result in results:
        size_bytes += (
            0 if result.location is None else result.location.size_bytes
        )
        if selected and size_bytes > PAGE_BYTES:
            break
        selected.append(result)
    return selected


def _make_unavailable_error(
    error: exceptions.LentildealError,
) -> exceptions.NotRunError:
    return exceptions.NotRunError(
        f'the store does not answer: {error.message}',
        cause='store_down',
        retry_after_s=READ_RETRY_AFTER_S,
    )


def _make_unknown_error(job_id: ids.JobId) -> exceptions.NotFoundError:
    return exceptions.NotFoundError(f'there is no job {job_id}')


def _elapsed_ms(since_s: float) -> int:
    return int((clock.monotonic_s() - since_s) * 1000)
