"""Writes results and checkpoints of items to the work log."""

from __future__ import annotations

import typing

import prometheus_client

from lentildeal._internal.jobs import loading
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import table
from lentildeal._internal.jobs import tasks
from lentildeal._internal.jobs import work_log
from lentildeal._internal.logs import events
from lentildeal._internal.models import jobs
from lentildeal._internal.utils import clock

_items_total = prometheus_client.Counter(
    'lentildeal_items_total', 'Items by how they ended.', ['state']
)
_item_seconds = prometheus_client.Histogram(
    'lentildeal_item_seconds',
    'Time from taking an item to its result, in seconds.',
    buckets=(0.2, 0.5, 1, 2, 3, 4, 5, 6, 7.5, 10, 15, 30),
)


class ItemRecorder:
    """Enqueues results and checkpoints of items."""

    def __init__(self, log: work_log.WorkLog) -> None:
        self._log = log

    def list_result(
        self,
        task: tasks.ItemTask,
        state: jobs.ResultState,
        progress: jobs.Progress,
        score: str = '',
    ) -> None:
        """Enqueues the result of an item and marks the item as done."""
        if not self._log.can_store(progress.events):
            self._emit_too_large(task, progress)
            state, progress, score = (
                jobs.ResultState.GIVEN_UP,
                jobs.Progress(),
                '',
            )
        record = records.ItemResult(
            task.entry.head.job_id,
            task.index,
            state.value,
            progress.versions,
            score=score,
        )
        self._log.enqueue(record, _make_text(task, progress))
        # Not before: an item without a result in the queue still has to run.
        task.is_done = True
        elapsed_s = clock.monotonic_s() - task.created_s
        _items_total.labels(state.value).inc()
        _item_seconds.observe(elapsed_s)
        events.emit(
            'item_ended',
            item=task.item.item_id,
            job=task.entry.head.job_id,
            state=state.value,
            versions=progress.versions,
            attempts=task.attempt_count,
            elapsed_ms=int(elapsed_s * 1000),
        )

    def list_lost(self, entry: table.JobEntry, lost: loading.LostItem) -> None:
        """Enqueues the result of an item whose request can't be read."""
        state = jobs.ResultState.GIVEN_UP
        job_id = entry.head.job_id
        self._log.enqueue(
            records.ItemResult(job_id, lost.index, state.value, ())
        )
        _items_total.labels(state.value).inc()
        events.emit(
            'item_lost', item=lost.item_id, job=job_id, reason=lost.reason
        )

    def save_checkpoint(
        self, task: tasks.ItemTask, min_new_events: int
    ) -> None:
        """Enqueues a checkpoint of the progress of an item.

        Args:
            task: The item.
            min_new_events: Minimum number of events since the last checkpoint
                for another one.
        """
        progress = task.progress
        if task.attempt is not None:
            progress = task.attempt.progress
        if len(progress.events) - task.saved_events < min_new_events:
            return
        self._enqueue_checkpoint(task, progress, is_complete=False)

    def save_complete_text(self, task: tasks.ItemTask) -> None:
        """Enqueues a checkpoint of a text that only lacks its score.

        A daemon that takes over the item sends the scoring request again and
        does not generate the text again.
        """
        self._enqueue_checkpoint(task, task.progress, is_complete=True)

    def _enqueue_checkpoint(
        self, task: tasks.ItemTask, progress: jobs.Progress, is_complete: bool
    ) -> None:
        task.saved_events = len(progress.events)
        if not self._log.can_store(progress.events):
            self._emit_too_large(task, progress)
            return
        record = records.Checkpoint(
            task.entry.head.job_id,
            task.index,
            progress.versions,
            len(progress.events),
            progress.last_event_id,
            is_complete=is_complete,
        )
        self._log.enqueue(record, _make_text(task, progress))

    def _emit_too_large(
        self, task: tasks.ItemTask, progress: jobs.Progress
    ) -> None:
        """Reports a text that the store can't take.

        Its append would be refused each time and would block the ones of all
        other items.
        """
        events.emit(
            'text_too_large',
            item=task.item.item_id,
            job=task.entry.head.job_id,
            characters=sum(map(len, progress.events)),
        )


def _make_text(
    task: tasks.ItemTask, progress: jobs.Progress
) -> typing.Optional[records.EventTexts]:
    """Makes the text of an item, None if it has no events."""
    if not progress.events:
        return None
    return records.EventTexts(progress.events, task.item.item_id)
