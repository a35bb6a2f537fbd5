"""Jobs that this daemon runs, and the order of their items."""

from __future__ import annotations

import collections
import typing

from lentildeal._internal.jobs import scheduling
from lentildeal._internal.jobs import table
from lentildeal._internal.jobs import tasks
from lentildeal._internal.models import ids
from lentildeal._internal.scoring import calls as scoring_calls


class OpenJob:
    """A job that this daemon runs."""

    def __init__(self, entry: table.JobEntry) -> None:
        self.entry = entry
        # None until the items have been loaded from the log.
        self.tasks: typing.Optional[list[tasks.ItemTask]] = None
        # Why the last attempt to load them failed.
        self.load_error = ''

    def iter_tasks(self) -> typing.Iterator[tasks.ItemTask]:
        """Iterates over the tasks of items without a result."""
        return (task for task in self.tasks or () if not task.is_done)


def sort_waiting(jobs: typing.Iterable[OpenJob]) -> list[tasks.ItemTask]:
    """Sorts the items that wait for a replica, the next to run first.

    Args:
        jobs: Open jobs, the oldest first.
    """
    keyed = []
    for rank, job in _rank_jobs(jobs):
        left = _count_left(job)
        for task in job.iter_tasks():
            if task.is_waiting:
                key = scheduling.order_key(
                    job_rank=rank,
                    is_resubmitted=task.is_resubmitted,
                    expected_events=task.expected_left,
                    left_in_group=left[task.item.group],
                )
                keyed.append((key, len(keyed), task))
    return [task for _, _, task in sorted(keyed, key=lambda k: k[:2])]


def sort_unscored(jobs: typing.Iterable[OpenJob]) -> list[tasks.ItemTask]:
    """Sorts the items that wait for a score, the next to score first.

    Args:
        jobs: Open jobs, the oldest first.
    """
    keyed = []
    for rank, job in _rank_jobs(jobs):
        unscored = [task for task in job.iter_tasks() if task.is_unscored]
        left = _count_left(job) if unscored else {}
        for task in unscored:
            key = scoring_calls.order_key(
                job_rank=rank,
                is_resubmitted=task.is_resubmitted,
                left_in_group=left[task.item.group],
                index=task.index,
            )
            keyed.append((key, len(keyed), task))
    return [task for _, _, task in sorted(keyed, key=lambda k: k[:2])]


def _rank_jobs(
    jobs: typing.Iterable[OpenJob],
) -> typing.Iterator[tuple[int, OpenJob]]:
    """Yields jobs with the number of older open jobs of the same model."""
    ranks: collections.Counter[ids.ModelName] = collections.Counter()
    for job in jobs:
        yield ranks[job.entry.head.model], job
        ranks[job.entry.head.model] += 1


def _count_left(job: OpenJob) -> collections.Counter[ids.GroupId]:
    """Counts the items without a result in each group."""
    return collections.Counter(task.item.group for task in job.iter_tasks())
