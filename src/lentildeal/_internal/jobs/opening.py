"""Finds jobs that were accepted and whose items are not run by any daemon."""

from __future__ import annotations

import enum
import typing

import prometheus_client

from lentildeal._internal.jobs import lease_manager
from lentildeal._internal.jobs import open_jobs
from lentildeal._internal.jobs import table
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.utils import clock

# A lease changes hands within this time.
MAX_OPENING_S = 3.0
CHECK_INTERVAL_S = 1.0


class WaitCause(str, enum.Enum):
    """Why the items of an open job are not run."""

    NO_HOLDER = 'no_holder'
    NO_TEXT = 'no_text'
    NOT_LOADED = 'not_loaded'


_not_opened = prometheus_client.Gauge(
    'lentildeal_jobs_not_opened',
    'Open jobs that have waited too long for a daemon to run them, by cause.',
    ['cause'],
)


class WaitingJob(typing.NamedTuple):
    """An open job whose items are not run.

    Attributes:
        head: The job.
        cause: Why.
        reason: The same in words, with the values involved.
    """

    head: jobs.JobHead
    cause: WaitCause
    reason: str


class _Wait:
    def __init__(self, since_s: float) -> None:
        self.since_s = since_s
        self.reported: set[WaitCause] = set()


class WaitTracker:
    """Measures how long jobs wait, and finds those that wait for too long."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._waits: dict[ids.JobId, _Wait] = {}

    def get_waited_s(self, job_id: ids.JobId) -> float:
        """Time for which a job has been seen waiting."""
        wait = self._waits.get(job_id)
        return 0.0 if wait is None else self._now() - wait.since_s

    def record(self, waiting: typing.Iterable[WaitingJob]) -> list[WaitingJob]:
        """Records all jobs that wait now.

        Returns:
            Those that have newly waited too long, also by another cause.
        """
        now_s = self._now()
        counts = dict.fromkeys(WaitCause, 0)
        waits: dict[ids.JobId, _Wait] = {}
        found = []
        for job in waiting:
            job_id = job.head.job_id
            wait = waits[job_id] = self._waits.get(job_id) or _Wait(now_s)
            if now_s - wait.since_s < MAX_OPENING_S:
                continue
            counts[job.cause] += 1
            if job.cause not in wait.reported:
                wait.reported.add(job.cause)
                found.append(job)
        self._waits = waits
        for cause, count in counts.items():
            _not_opened.labels(cause.value).set(count)
        return found


class OpeningMonitor:
    """Reports the open jobs, and those that no daemon runs."""

    def __init__(
        self,
        kernel,
        own_jobs: typing.Mapping[ids.JobId, open_jobs.OpenJob],
    ) -> None:
        """Makes a monitor.

        Args:
            kernel: Kernel of the daemon.
            own_jobs: Jobs that this daemon has opened, kept up to date.
        """
        self._log = kernel.plugin('work_log')
        self._lease_manager = kernel.plugin('duties')
        self._own_jobs = own_jobs
        self._tracker = WaitTracker()
        self._checked_s = 0.0

    def report_waits(self) -> None:
        """Writes a line about each job that has newly waited too long."""
        now_s = clock.monotonic_s()
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        found = map(self._find_wait, self._log.table.iter_open())
        for job in self._tracker.record(j for j in found if j is not None):
            waited_s = self._tracker.get_waited_s(job.head.job_id)
            events.emit(
                'job_not_opened',
                job=job.head.job_id,
                model=job.head.model,
                step=job.head.step,
                cause=job.cause.value,
                reason=job.reason,
                waited_ms=int(1000 * waited_s),
            )

    def describe_open_jobs(self) -> list[dict[str, typing.Any]]:
        """Describes all open jobs as JSON values, the oldest first."""
        return [self._describe(e) for e in self._log.table.iter_open()]

    def _describe(self, entry: table.JobEntry) -> dict[str, typing.Any]:
        head = entry.head
        wait = self._find_wait(entry)
        job = self._own_jobs.get(head.job_id)
        own = [] if job is None else list(job.iter_tasks())
        state = 'run_elsewhere' if job is None else 'open'
        lease_name = lease_manager.jobs_lease_name(head.model)
        return {
            'job': head.job_id,
            'model': head.model,
            'step': head.step,
            'holder': self._log.leases.get(lease_name).holder,
            'state': state if wait is None else wait.cause.value,
            'reason': '' if wait is None else wait.reason,
            'waited_s': round(self._tracker.get_waited_s(head.job_id), 1),
            'items': head.item_count,
            'listed': len(entry.results),
            'running': sum(task.attempt is not None for task in own),
            'waiting': sum(task.is_waiting for task in own),
        }

    def _find_wait(self, entry: table.JobEntry) -> typing.Optional[WaitingJob]:
        """Why the items of a job are not run, None if a daemon runs them."""
        head = entry.head
        lease_name = lease_manager.jobs_lease_name(head.model)
        job = self._own_jobs.get(head.job_id)
        if job is not None:
            if job.tasks is not None:
                return None
            reason = job.load_error or 'the items are being read'
            return WaitingJob(head, WaitCause.NOT_LOADED, reason)
        if self._lease_manager.find_term(lease_name) is not None:
            reason = f'text {entry.text_version} has not been read'
            return WaitingJob(head, WaitCause.NO_TEXT, reason)
        if self._lease_manager.is_taken_over(lease_name):
            return None
        reason = f'no daemon holds the jobs of {head.model!r:.50}'
        return WaitingJob(head, WaitCause.NO_HOLDER, reason)
