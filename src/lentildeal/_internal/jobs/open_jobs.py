"""Jobs that this daemon runs, and the order of their items."""

from __future__ import annotations

import typing

from lentildeal._internal.jobs import scheduling
from lentildeal._internal.jobs import table
from lentildeal._internal.jobs import tasks
from lentildeal._internal.models import ids


class OpenJob:
    """A job that this daemon runs."""

    def __init__(self, entry: table.JobEntry) -> None:
        self.entry = entry
        # None until the items have been loaded from the log.
        self.tasks: typing.Optional[list[tasks.ItemTask]] = None

    def iter_tasks(self) -> typing.Iterator[tasks.ItemTask]:
        """Iterates over the tasks of items without a result."""
        return (task for task in self.tasks or () if not task.is_done)


def sort_waiting(jobs: typing.Iterable[OpenJob]) -> list[tasks.ItemTask]:
    """Sorts the items that wait for a replica, the next to run first.

    Args:
        jobs: Open jobs, the oldest first.
    """
    keyed = []
    ranks: dict[ids.ModelName, int] = {}
    for job in jobs:
        rank = ranks.get(job.entry.head.model, 0)
        ranks[job.entry.head.model] = rank + 1
        left: dict[ids.GroupId, int] = {}
        for task in job.iter_tasks():
            group = task.item.group
            left[group] = left.get(group, 0) + 1
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
