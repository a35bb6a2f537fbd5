"""Runs the items of the jobs whose duty this daemon holds."""

from __future__ import annotations

import typing

import eventlet
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import attempts
from lentildeal._internal.jobs import lease_manager
from lentildeal._internal.jobs import loading
from lentildeal._internal.jobs import open_jobs
from lentildeal._internal.jobs import pace
from lentildeal._internal.jobs import recording
from lentildeal._internal.jobs import scheduling
from lentildeal._internal.jobs import tasks
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.network import target_connections
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

# Longest time until a change that wakes nobody is noticed.
TICK_S = 0.1
# Time between two checkpoints of a run; what a lost daemon had generated
# since then is generated again.
CHECKPOINT_S = 1.0
# A run shorter than this is repeated for less than its checkpoint costs.
CHECKPOINT_MIN_EVENTS = 15
OPEN_RETRY_S = 0.2

_attempts_total = prometheus_client.Counter(
    'lentildeal_item_attempts_total', 'Runs of items by ending.', ['ending']
)


class JobRunner:
    """Scheduler of all jobs of this daemon."""

    def __init__(self, kernel) -> None:
        self._kernel = kernel
        self._directory = kernel.plugin('directory')
        self._log = kernel.plugin('work_log')
        self._duties = kernel.plugin('duties')
        self._connections = target_connections.TargetConnections()
        self._jobs: dict[ids.JobId, open_jobs.OpenJob] = {}
        self._paces = pace.PaceBook()
        self._use = tasks.ReplicaUse()
        self._wakeup = wakeup.Wakeup()
        self._recorder = recording.ItemRecorder(self._log)
        self._checkpointed_s = 0.0
        self._is_leaving = False

    @property
    def running_count(self) -> int:
        """Items at replicas."""
        return sum(
            task.attempt is not None
            for job in self._jobs.values()
            for task in job.iter_tasks()
        )

    def run(self) -> None:
        """Schedules for ever."""
        while True:
            self._close_finished()
            if not self._is_leaving:
                self._open_new()
                self._judge_runs()
                self._give_up_overdue()
                self._assign_waiting()
                self._save_progress()
            self._connections.close_expired()
            self._wakeup.wait(TICK_S)

    def wake_on_changes(self, source: wakeup.Wakeup) -> None:
        """Schedules again after each signal of a source, for ever."""
        while True:
            if source.wait(1.0):
                self._wakeup.set()

    def leave(self) -> None:
        """Saves all progress and ends all runs, before a planned stop."""
        self._is_leaving = True
        for job in list(self._jobs.values()):
            for task in job.iter_tasks():
                if task.attempt is not None:
                    task.progress = self._stop_attempt(task)
                self._recorder.save(task, 1)
        self._jobs.clear()

    # Opening and closing of jobs.

    def _open_new(self) -> None:
        for entry in self._log.table.iter_open():
            if entry.head.job_id in self._jobs:
                continue
            if self._holds(entry.head.model):
                job = self._jobs[entry.head.job_id] = open_jobs.OpenJob(entry)
                self._kernel.spawn('job-load', self._load, job)

    def _close_finished(self) -> None:
        for job_id, job in list(self._jobs.items()):
            is_lost = self._duties.is_taken_over(
                lease_manager.jobs_lease_name(job.entry.head.model)
            )
            if job.entry.is_open and not is_lost:
                continue
            for task in job.iter_tasks():
                if task.attempt is not None:
                    task.progress = self._stop_attempt(task)
                if not is_lost:
                    # The item's group may come again in a later job.
                    self._recorder.save(task, 1)
                task.is_done = True
            if job.tasks is not None or is_lost:
                del self._jobs[job_id]

    def _holds(self, model: ids.ModelName) -> bool:
        return (
            self._duties.find_term(lease_manager.jobs_lease_name(model))
            is not None
        )

    def _load(self, job: open_jobs.OpenJob) -> None:
        """Reads the items of a job from the log."""
        while self._jobs.get(job.entry.head.job_id) is job:
            try:
                loaded = loading.load_tasks(
                    self._log, self._directory.text, job.entry
                )
                self._reuse_texts(job, loaded)
            except exceptions.PlatformError as error:
                events.emit(
                    'job_open_retried',
                    job=job.entry.head.job_id,
                    reason=error.message,
                )
                eventlet.sleep(OPEN_RETRY_S)
                continue
            job.tasks = loaded
            events.emit(
                'job_opened',
                job=job.entry.head.job_id,
                term=self._duties.find_term(
                    lease_manager.jobs_lease_name(job.entry.head.model)
                ),
                waiting=sum(task.is_waiting for task in loaded),
                resumed=sum(bool(t.progress.events) for t in loaded),
            )
            self._wakeup.set()
            return

    def _reuse_texts(
        self, job: open_jobs.OpenJob, loaded: list[tasks.ItemTask]
    ) -> None:
        """Lists items whose text an earlier job has already.

        Raises:
            exceptions.PlatformError: The log did not answer.
        """
        for task in loaded:
            found = self._log.table.find_done(task.item.item_id)
            if found is None or found[0] == job.entry.head.job_id:
                continue
            progress = jobs.Progress(versions=found[1].versions)
            if not task.is_valid(progress, self._is_single(task)):
                continue
            (texts,) = self._log.read_texts([found[1].place])
            self._recorder.list_result(
                task,
                jobs.ResultState.DONE,
                jobs.Progress(texts.events, versions=found[1].versions),
            )

    # Decisions on runs.

    def _find_route(
        self, task: tasks.ItemTask
    ) -> typing.Optional[deployment.Route]:
        text = self._directory.text
        if text is None:
            return None
        return text.find_route(task.entry.head.host, task.item.path)

    def _is_single(self, task: tasks.ItemTask) -> bool:
        route = self._find_route(task)
        return route is not None and route.is_single_version

    def _iter_tasks(self) -> typing.Iterator[tasks.ItemTask]:
        for job in list(self._jobs.values()):
            yield from list(job.iter_tasks())

    def _candidates(
        self, route: deployment.Route, model: ids.ModelName
    ) -> list[scheduling.Candidate]:
        found = []
        for share in route.shares:
            if share.weight <= 0:
                continue
            for replica in self._directory.replicas.list_ready(share.service):
                if model not in replica.versions:
                    continue
                found.append(self._make_candidate(replica, model))
        return found

    def _make_candidate(
        self, replica: deployment.Replica, model: ids.ModelName
    ) -> scheduling.Candidate:
        replica_id = replica.replica_id
        return scheduling.Candidate(
            replica_id,
            replica.versions[model],
            self._use.count_free(replica_id, replica.slots),
            replica.slots,
            self._paces.get(replica_id),
            self._use.is_avoided(replica_id),
            self._use.failure_rate(replica_id),
            self._use.is_on_trial(replica_id),
        )

    def _judge_runs(self) -> None:
        now_s = clock.monotonic_s()
        for task in self._iter_tasks():
            attempt = task.attempt
            if attempt is None:
                continue
            replica_id = attempt.replica.replica_id
            is_heard = now_s - attempt.heard_s < TICK_S
            if attempt.run_events > 0 and is_heard:
                self._use.record_event(replica_id)
            pace_s = self._paces.get(replica_id)
            if scheduling.is_silent(
                silence_s=now_s - attempt.heard_s,
                has_event=attempt.run_events > 0,
                pace_s=pace_s,
            ):
                self._use.record_failure(replica_id)
                self._move(task, 'silent')
                continue
            faster = self._find_faster(task, attempt)
            if faster is not None:
                self._move(task, 'slow')
                self._start_attempt(task, faster)

    def _find_faster(
        self, task: tasks.ItemTask, attempt: attempts.Attempt
    ) -> typing.Optional[scheduling.Candidate]:
        pace_s = attempt.pace_s
        if pace_s is None or attempt.run_events < scheduling.JUDGED_EVENTS:
            return None
        self._paces.record(attempt.replica.replica_id, pace_s)
        route = self._find_route(task)
        # A daemon that lost the duty starts no runs.
        if route is None or not self._holds(task.entry.head.model):
            return None
        return scheduling.find_faster(
            need=task.make_need(route.is_single_version),
            run_pace_s=pace_s,
            run_events=attempt.run_events,
            expected_left=task.expected_left,
            moves=task.moves,
            current=attempt.replica.replica_id,
            candidates=self._candidates(route, task.entry.head.model),
        )

    def _move(self, task: tasks.ItemTask, reason: str) -> None:
        replica_id = task.attempt.replica.replica_id
        task.progress = self._stop_attempt(task)
        task.moves += 1
        task.excluded = {replica_id}
        events.emit(
            'item_moved',
            item=task.item.item_id,
            job=task.entry.head.job_id,
            replica=replica_id,
            reason=reason,
            events=len(task.progress.events),
        )

    def _give_up_overdue(self) -> None:
        now_ms = clock.unix_s() * 1000
        for task in self._iter_tasks():
            route = self._find_route(task)
            # An item whose route was removed may be given up, too.
            if route is None:
                is_overdue = self._directory.text is not None
            else:
                age_ms = now_ms - task.entry.head.submitted_ms
                is_overdue = age_ms > 1000 * route.max_item_age_s
            if is_overdue:
                if task.attempt is not None:
                    self._stop_attempt(task)
                self._recorder.list_result(
                    task, jobs.ResultState.GIVEN_UP, jobs.Progress()
                )

    def _assign_waiting(self) -> None:
        for task in open_jobs.sort_waiting(self._jobs.values()):
            if not self._holds(task.entry.head.model):
                continue
            route = self._find_route(task)
            if route is None:
                continue
            chosen = scheduling.choose_replica(
                task.make_need(route.is_single_version),
                self._candidates(route, task.entry.head.model),
            )
            if chosen is not None and not chosen.is_avoided:
                self._start_attempt(task, chosen)

    # Runs.

    def _start_attempt(
        self, task: tasks.ItemTask, chosen: scheduling.Candidate
    ) -> None:
        replica = self._directory.replicas.get(chosen.replica_id)
        if replica is None:
            return
        attempt = attempts.Attempt(
            self._directory.platform,
            self._connections,
            replica,
            task.progress,
            task.entry.head.min_version,
            lambda load: self._use.record_load(
                replica.replica_id, load.running + load.waiting
            ),
        )
        task.attempt = attempt
        task.attempt_count += 1
        self._use.begin(replica.replica_id)
        events.emit(
            'item_started',
            item=task.item.item_id,
            job=task.entry.head.job_id,
            replica=replica.replica_id,
            version=chosen.version,
            attempt=task.attempt_count,
            after_event=task.progress.last_event_id,
        )
        task.thread = eventlet.spawn(self._run_attempt, task, attempt)

    def _run_attempt(
        self, task: tasks.ItemTask, attempt: attempts.Attempt
    ) -> None:
        ending = attempt.run(task.entry.head.host, task.item)
        if task.attempt is not attempt:
            return
        task.attempt = None
        task.progress = attempt.progress
        self._use.end(attempt.replica.replica_id)
        _attempts_total.labels(ending.value).inc()
        self._take_ending(task, attempt, ending)
        self._wakeup.set()

    def _stop_attempt(self, task: tasks.ItemTask) -> jobs.Progress:
        """Ends a run at once; returns what it has made."""
        attempt, task.attempt = task.attempt, None
        self._use.end(attempt.replica.replica_id)
        task.thread.kill()
        _attempts_total.labels('stopped').inc()
        return attempt.progress

    def _take_ending(
        self,
        task: tasks.ItemTask,
        attempt: attempts.Attempt,
        ending: attempts.Ending,
    ) -> None:
        replica_id = attempt.replica.replica_id
        if ending is attempts.Ending.COMPLETE:
            self._use.record_success(replica_id)
            self._take_complete(task)
            return
        events.emit(
            'attempt_failed',
            request=task.item.item_id,
            replica=replica_id,
            reason=f'{ending.value}: {attempt.reason}',
            elapsed_ms=_elapsed_ms(attempt.started_s),
        )
        if ending is attempts.Ending.NOT_RUN:
            task.excluded = {replica_id}
            self._use.record_refusal(replica_id)
        elif ending is attempts.Ending.BROKEN:
            task.excluded = {replica_id}
            self._use.record_failure(replica_id)
        else:
            # Its attempts are limited, so each goes to another replica.
            task.excluded.add(replica_id)
            if ending is attempts.Ending.FAILED:
                self._use.record_error(replica_id)
            self._take_failure(task, ending)

    def _take_complete(self, task: tasks.ItemTask) -> None:
        progress = task.progress
        if task.is_valid(progress, self._is_single(task)):
            self._recorder.list_result(task, jobs.ResultState.DONE, progress)
        else:
            task.progress = jobs.Progress()

    def _take_failure(
        self, task: tasks.ItemTask, ending: attempts.Ending
    ) -> None:
        task.failures += 1
        route = self._find_route(task)
        most = route.max_attempts if route is not None else 1
        if ending is attempts.Ending.IMPOSSIBLE or task.failures >= most:
            self._recorder.list_result(
                task, jobs.ResultState.GIVEN_UP, jobs.Progress()
            )

    # Checkpoints.

    def _save_progress(self) -> None:
        now_s = clock.monotonic_s()
        if now_s - self._checkpointed_s < CHECKPOINT_S:
            return
        self._checkpointed_s = now_s
        for task in self._iter_tasks():
            self._recorder.save(task, CHECKPOINT_MIN_EVENTS)


def _elapsed_ms(since_s: float) -> int:
    return int((clock.monotonic_s() - since_s) * 1000)
