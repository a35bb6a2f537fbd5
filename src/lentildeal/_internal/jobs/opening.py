"""Finds jobs that were accepted and whose items are not run by any daemon."""

from __future__ import annotations

import enum
import typing

import prometheus_client

from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.utils import clock

# A lease changes hands within this time.
MAX_OPENING_S = 3.0


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


class OpeningMonitor:
    """Reports jobs that wait for too long, as seen by this daemon."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._waits: dict[ids.JobId, _Wait] = {}

    def get_waited_s(self, job_id: ids.JobId) -> float:
        """Time for which a job has been seen waiting."""
        wait = self._waits.get(job_id)
        return 0.0 if wait is None else self._now() - wait.since_s

    def update(self, waiting: typing.Iterable[WaitingJob]) -> list[WaitingJob]:
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
        for job in found:
            self._emit(job)
        return found

    def _emit(self, job: WaitingJob) -> None:
        events.emit(
            'job_not_opened',
            job=job.head.job_id,
            model=job.head.model,
            step=job.head.step,
            cause=job.cause.value,
            reason=job.reason,
            waited_ms=int(1000 * self.get_waited_s(job.head.job_id)),
        )
