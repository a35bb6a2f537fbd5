"""Runs the items of jobs for which this daemon holds the lease."""

from __future__ import annotations

import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.jobs import attempts
from lentildeal._internal.jobs import lease_manager
from lentildeal._internal.jobs import loading
from lentildeal._internal.jobs import open_jobs
from lentildeal._internal.jobs import opening
from lentildeal._internal.jobs import pace
from lentildeal._internal.jobs import recording
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import renewal
from lentildeal._internal.jobs import scheduling
from lentildeal._internal.jobs import scoring
from lentildeal._internal.jobs import table
from lentildeal._internal.jobs import tasks
from lentildeal._internal.logs import events
from lentildeal._internal.logs import failures
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.network import target_connections
from lentildeal._internal.routing import finish_times
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

# Maximum delay until a change without a wakeup is noticed.
POLL_INTERVAL_S = 0.1
# The same of a daemon that runs no jobs.
IDLE_POLL_INTERVAL_S = 0.5
# Interval between checkpoints; events that a failed daemon received after the
# last checkpoint are generated again.
CHECKPOINT_S = 1.0
# Generating fewer events again costs less than a checkpoint.
CHECKPOINT_MIN_EVENTS = 15
OPEN_RETRY_S = 0.2
# Time for which an item, or the load of a job, may fail with unexpected errors
# until it is given up.
MAX_FAILING_S = 5.0

_attempts_total = prometheus_client.Counter(
    'lentildeal_item_attempts_total',
    'Attempts to run items by outcome.',
    ['ending'],
)


class Preview(typing.NamedTuple):
    """Where an item of a new job would run.

    Attributes:
        is_holder: Whether this daemon runs the jobs of the model.
        waiting: Items that wait here.
        rows: What is known of each replica, as JSON values.
        replica_id: Replica that would be chosen, None if an item waits.
    """

    is_holder: bool
    waiting: int
    rows: list[dict[str, typing.Any]]
    replica_id: typing.Optional[ids.ReplicaId]


class JobRunner:
    """Schedules all jobs of this daemon."""

    def __init__(self, kernel) -> None:
        self._kernel = kernel
        self._directory = kernel.plugin('directory')
        self._log = kernel.plugin('work_log')
        self._lease_manager = kernel.plugin('duties')
        self._limits = kernel.plugin('replica_limits')
        self._connections = target_connections.TargetConnections()
        self._jobs: dict[ids.JobId, open_jobs.OpenJob] = {}
        self._pace_tracker = pace.PaceTracker()
        self._reports = finish_times.LoadReports()
        self._replica_tracker = tasks.ReplicaTracker()
        self._wakeup = wakeup.Wakeup()
        self._recorder = recording.ItemRecorder(self._log)
        self._scorer = scoring.ItemScorer(kernel, self._recorder, self._wakeup)
        self._renewer = renewal.JobRenewer(self._log, kernel.settings.store)
        self._checkpointed_s = 0.0
        self._opening_monitor = opening.OpeningMonitor(kernel, self._jobs)
        self._is_draining = False

    @property
    def running_count(self) -> int:
        """Number of items that run at replicas."""
        return sum(
            task.attempt is not None
            for job in self._jobs.values()
            for task in job.iter_tasks()
        )

    def run(self) -> None:
        """Schedules items in an endless loop."""
        while True:
            for step in self._list_steps():
                try:
                    step()
                except Exception as error:
                    failures.report(step.__name__.strip('_'), 'jobs', error)
            self._wakeup.wait(
                POLL_INTERVAL_S if self._jobs else IDLE_POLL_INTERVAL_S
            )

    def _list_steps(self) -> tuple[typing.Callable[[], None], ...]:
        """Steps of one round, in order."""
        if self._is_draining:
            return self._close_finished, self._connections.close_expired
        return (
            self._close_finished,
            self._open_new,
            self._check_attempts,
            self._give_up_overdue,
            self._assign_waiting,
            self._score_generated,
            self._save_progress,
            self._renew_held,
            self._opening_monitor.report_waits,
            self._connections.close_expired,
        )

    def wake_on_changes(self, source: wakeup.Wakeup) -> None:
        """Wakes the scheduler after each signal of a source, endlessly."""
        while True:
            if source.wait(1.0):
                self._wakeup.set()

    def drain(self) -> None:
        """Saves all progress and stops all attempts before a planned stop."""
        self._is_draining = True
        self._for_each('drain', self._save_and_stop, self._iter_tasks())
        self._jobs.clear()

    def describe_open_jobs(self) -> list[dict[str, typing.Any]]:
        """Describes all open jobs as JSON values, the oldest first."""
        return self._opening_monitor.describe_open_jobs()

    # Errors of single items.

    def _for_each(
        self,
        work: str,
        function: typing.Callable[[tasks.ItemTask], None],
        found: typing.Iterable[tasks.ItemTask],
    ) -> None:
        """Calls a function for each item.

        An unexpected error of one item must not keep the others from running.
        """
        for task in found:
            try:
                function(task)
            except Exception as error:
                self._handle_internal_error(work, task, error)

    def _handle_internal_error(
        self, work: str, task: tasks.ItemTask, error: Exception
    ) -> None:
        """Delays an item after an unexpected error; gives it up in the end.

        An error that comes from the item comes back with each attempt, and
        its trainer would wait for a result in vain.
        """
        failures.report(work, task.item.item_id, error)
        failing_s = task.record_internal_error()
        if task.is_done or task.attempt or failing_s < MAX_FAILING_S:
            return
        if not self._holds_lease(task.entry.head.model):
            return
        self._scorer.stop(task)
        self._recorder.list_result(
            task, jobs.ResultState.GIVEN_UP, jobs.Progress()
        )

    # Opening and closing of jobs.

    def _open_new(self) -> None:
        for entry in list(self._log.table.iter_open()):
            if entry.head.job_id in self._jobs:
                continue
            if self._holds_lease(entry.head.model) and self._has_text(entry):
                job = self._jobs[entry.head.job_id] = open_jobs.OpenJob(entry)
                self._kernel.spawn('job-load', self._load_items, job)

    def _has_text(self, entry: table.JobEntry) -> bool:
        """Whether the text that allowed a job, or a newer one, is known.

        The text and the log are read independently. By an older text the
        routes of the job may not exist, and its items would be given up.
        """
        text = self._directory.text
        if text is not None and text.version >= entry.text_version:
            return True
        self._directory.request_text(entry.text_version)
        return False

    def _close_finished(self) -> None:
        for job_id, job in list(self._jobs.items()):
            is_lost = self._lease_manager.is_taken_over(
                lease_manager.jobs_lease_name(job.entry.head.model)
            )
            if job.entry.is_open and not is_lost:
                continue
            own = list(job.iter_tasks())
            # The group may be submitted again in a later job.
            self._for_each(
                'close',
                self._stop_work if is_lost else self._save_and_stop,
                own,
            )
            for task in own:
                task.is_done = True
            if job.tasks is not None or is_lost:
                self._renewer.forget(job_id)
                del self._jobs[job_id]

    def _holds_lease(self, model: ids.ModelName) -> bool:
        return (
            self._lease_manager.find_term(lease_manager.jobs_lease_name(model))
            is not None
        )

    def _load_items(self, job: open_jobs.OpenJob) -> None:
        """Loads the items of a job from the log, with retries.

        Only a store that does not respond is waited for. Items that can't be
        loaded for another reason are given up.
        """
        job_id = job.entry.head.job_id
        failing_since_s: typing.Optional[float] = None
        while self._jobs.get(job_id) is job:
            try:
                loaded = loading.load_job(
                    self._log, self._directory.text, job.entry
                )
                self._reuse_results(job, loaded.tasks)
            except exceptions.PlatformError as error:
                job.load_error = error.message
                events.emit(
                    'job_open_retried', job=job_id, reason=error.message
                )
            except Exception as error:
                failures.report('job_load', job_id, error)
                job.load_error = f'internal error: {error!r:.200}'
                now_s = clock.monotonic_s()
                failing_since_s = failing_since_s or now_s
                if now_s - failing_since_s >= MAX_FAILING_S:
                    loaded = loading.give_up_job(job.entry, job.load_error)
                    self._open(job, loaded)
                    return
            else:
                self._open(job, loaded)
                return
            eventlet.sleep(OPEN_RETRY_S)

    def _open(self, job: open_jobs.OpenJob, loaded: loading.LoadedJob) -> None:
        for lost in loaded.lost:
            self._recorder.list_lost(job.entry, lost)
        job.tasks = loaded.tasks
        head = job.entry.head
        events.emit(
            'job_opened',
            job=head.job_id,
            term=self._lease_manager.find_term(
                lease_manager.jobs_lease_name(head.model)
            ),
            waiting=sum(task.is_waiting for task in job.tasks),
            resumed=sum(bool(t.progress.events) for t in job.tasks),
        )
        self._wakeup.set()

    def _reuse_results(
        self, job: open_jobs.OpenJob, loaded: list[tasks.ItemTask]
    ) -> None:
        """Lists results of items that an earlier job has completed.

        Raises:
            exceptions.PlatformError: The log did not respond.
        """
        for task in loaded:
            found = self._log.table.find_done(task.item.item_id)
            if found is None or found[0] == job.entry.head.job_id:
                continue
            result = found[1]
            # A result without a text leaves nothing to list.
            if result.location is not None:
                self._reuse_result(task, result.versions, result.location)

    def _reuse_result(
        self,
        task: tasks.ItemTask,
        versions: tuple[int, ...],
        location: records.RecordLocation,
    ) -> None:
        if not task.is_valid(
            jobs.Progress(versions=versions), self._is_single(task)
        ):
            return
        place = loading.TextPlace(task.item.item_id, location)
        text = loading.load_events(self._log, place)
        if text is not None:
            task.progress = jobs.Progress(text.events, versions=versions)
            self._handle_complete(task)

    # Scheduling decisions.

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

    def _renew_held(self) -> None:
        """Renews the jobs whose lease this daemon holds."""
        self._renewer.start_due(
            job.entry
            for job in self._jobs.values()
            if self._holds_lease(job.entry.head.model)
        )

    def _iter_tasks(self) -> typing.Iterator[tasks.ItemTask]:
        for job in list(self._jobs.values()):
            yield from list(job.iter_tasks())

    def _list_candidates(
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

    def preview(
        self,
        route: deployment.Route,
        model: ids.ModelName,
        min_version: ids.Version,
    ) -> Preview:
        """Shows where an item of a new job would run; sends nothing."""
        candidates = self._list_candidates(route, model)
        requirements = scheduling.Requirements(min_version)
        chosen = scheduling.choose_replica(requirements, candidates)
        return Preview(
            self._holds_lease(model),
            sum(task.is_waiting for task in self._iter_tasks()),
            [_describe_candidate(c, requirements) for c in candidates],
            None if chosen is None or chosen.is_avoided else chosen.replica_id,
        )

    def _make_candidate(
        self, replica: deployment.Replica, model: ids.ModelName
    ) -> scheduling.Candidate:
        replica_id = replica.replica_id
        return scheduling.Candidate(
            replica_id,
            replica.versions[model],
            self._count_free(replica),
            replica.slots,
            self._pace_tracker.get(replica_id),
            self._pace_tracker.get_last(replica_id),
            self._replica_tracker.is_avoided(replica_id),
            self._replica_tracker.failure_rate(replica_id),
            self._replica_tracker.is_on_trial(replica_id),
            self._reports.work_factor(replica_id),
        )

    def _count_free(self, replica: deployment.Replica) -> int:
        """Number of slots that may get an item now."""
        if not self._limits.may_send_item(replica.replica_id):
            return 0
        return self._replica_tracker.count_free(
            replica.replica_id, replica.slots
        )

    def _check_attempts(self) -> None:
        self._for_each(
            'check_attempt', self._check_attempt, self._iter_tasks()
        )

    def _check_attempt(self, task: tasks.ItemTask) -> None:
        attempt = task.attempt
        if attempt is None:
            return
        now_s = clock.monotonic_s()
        replica_id = attempt.replica.replica_id
        has_new_data = now_s - attempt.last_received_s < POLL_INTERVAL_S
        if attempt.run_events > 0 and has_new_data:
            self._replica_tracker.record_event(replica_id)
        pace_s = self._pace_tracker.get(replica_id)
        if scheduling.is_unresponsive(
            silence_s=now_s - attempt.last_received_s,
            has_event=attempt.run_events > 0,
            pace_s=pace_s,
        ):
            self._replica_tracker.record_failure(replica_id)
            self._move(task, 'silent')
            return
        faster = self._find_faster_replica(task, attempt)
        if faster is not None:
            self._move(task, 'slow')
            self._start_attempt(task, faster)

    def _find_faster_replica(
        self, task: tasks.ItemTask, attempt: attempts.Attempt
    ) -> typing.Optional[scheduling.Candidate]:
        pace_s = attempt.pace_s
        if pace_s is None or attempt.run_events < scheduling.MIN_PACE_EVENTS:
            return None
        self._pace_tracker.record(attempt.replica.replica_id, pace_s)
        route = self._find_route(task)
        # A daemon that lost the lease starts no attempts.
        if route is None or not self._holds_lease(task.entry.head.model):
            return None
        return scheduling.find_faster_replica(
            requirements=task.make_requirements(route.is_single_version),
            run_pace_s=pace_s,
            run_events=attempt.run_events,
            expected_left=task.expected_left,
            moves=task.moves,
            current=attempt.replica.replica_id,
            candidates=self._list_candidates(route, task.entry.head.model),
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
        self._for_each('give_up', self._give_up_if_overdue, self._iter_tasks())

    def _give_up_if_overdue(self, task: tasks.ItemTask) -> None:
        route = self._find_route(task)
        # An item whose route was removed is given up as well.
        if route is None:
            is_overdue = self._directory.text is not None
        else:
            age_ms = clock.unix_s() * 1000 - task.entry.head.submitted_ms
            is_overdue = age_ms > 1000 * route.max_item_age_s
        if is_overdue:
            self._stop_work(task)
            self._recorder.list_result(
                task, jobs.ResultState.GIVEN_UP, jobs.Progress()
            )

    def _assign_waiting(self) -> None:
        waiting = open_jobs.sort_waiting(self._jobs.values())
        self._for_each('assign', self._assign, waiting)

    def _assign(self, task: tasks.ItemTask) -> None:
        if not self._holds_lease(task.entry.head.model):
            return
        route = self._find_route(task)
        if route is None:
            return
        requirements = task.make_requirements(route.is_single_version)
        candidates = self._list_candidates(route, task.entry.head.model)
        chosen = scheduling.choose_replica(requirements, candidates)
        if chosen is None or chosen.is_avoided:
            chosen = scheduling.choose_for_restart(
                requirements, candidates, task.record_blocked()
            )
            if chosen is None or chosen.is_avoided:
                return
            self._discard_progress(task, requirements.required_version)
        self._start_attempt(task, chosen)

    def _discard_progress(
        self, task: tasks.ItemTask, version: ids.Version
    ) -> None:
        events.emit(
            'item_restarted',
            item=task.item.item_id,
            job=task.entry.head.job_id,
            version=version,
            events=len(task.progress.events),
        )
        task.progress = jobs.Progress()

    def _score_generated(self) -> None:
        self._for_each(
            'score',
            self._scorer.start_if_due,
            (
                task
                for task in open_jobs.sort_unscored(self._jobs.values())
                if self._holds_lease(task.entry.head.model)
            ),
        )

    # Attempts.

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
            lambda info: self._record_info(replica, info),
        )
        task.record_start(attempt)
        self._replica_tracker.record_start(replica.replica_id)
        self._limits.record_sent(replica.replica_id)
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

    def _record_info(
        self, replica: deployment.Replica, info: platform_base.ResponseInfo
    ) -> None:
        replica_id = replica.replica_id
        if info.is_leaving:
            self._directory.mark_leaving(replica)
        if info.load is not None:
            self._replica_tracker.record_load(
                replica_id, info.load.running + info.load.waiting
            )
            self._reports.record(replica_id, info.load, 0)
        self._limits.record_answer(replica_id, info)

    def _run_attempt(
        self, task: tasks.ItemTask, attempt: attempts.Attempt
    ) -> None:
        try:
            head = task.entry.head
            outcome = attempt.run(head.host, task.item, head.account)
        except Exception as error:
            logger.opt(exception=error).error('attempt failed')
            attempt.reason = f'internal error: {error!r:.200}'
            outcome = attempts.AttemptOutcome.BROKEN
        if task.attempt is not attempt:
            return
        task.attempt = None
        task.progress = attempt.progress
        self._replica_tracker.record_end(attempt.replica.replica_id)
        _attempts_total.labels(outcome.value).inc()
        try:
            self._handle_outcome(task, attempt, outcome)
        except Exception as error:
            self._handle_internal_error('attempt', task, error)
        else:
            task.clear_internal_errors()
        self._wakeup.set()

    def _stop_work(self, task: tasks.ItemTask) -> None:
        """Stops the generation and the scoring of an item."""
        if task.attempt is not None:
            task.progress = self._stop_attempt(task)
        self._scorer.stop(task)

    def _save_and_stop(self, task: tasks.ItemTask) -> None:
        self._stop_work(task)
        self._recorder.save_checkpoint(task, 1)

    def _stop_attempt(self, task: tasks.ItemTask) -> jobs.Progress:
        """Stops an attempt at once and returns its progress."""
        attempt, task.attempt = task.attempt, None
        self._replica_tracker.record_end(attempt.replica.replica_id)
        task.thread.kill()
        _attempts_total.labels('stopped').inc()
        return attempt.progress

    def _handle_outcome(
        self,
        task: tasks.ItemTask,
        attempt: attempts.Attempt,
        outcome: attempts.AttemptOutcome,
    ) -> None:
        replica_id = attempt.replica.replica_id
        if outcome is attempts.AttemptOutcome.COMPLETE:
            self._replica_tracker.record_success(replica_id)
            self._handle_complete(task)
            return
        events.emit(
            'attempt_failed',
            request=task.item.item_id,
            replica=replica_id,
            reason=f'{outcome.value}: {attempt.reason}',
            elapsed_ms=_elapsed_ms(attempt.started_s),
        )
        if outcome is attempts.AttemptOutcome.NOT_RUN:
            task.excluded = {replica_id}
            self._replica_tracker.record_refusal(replica_id)
        elif outcome is attempts.AttemptOutcome.CRASHED:
            task.excluded = {replica_id}
            task.record_crash()
            self._replica_tracker.record_failure(replica_id)
        elif outcome is attempts.AttemptOutcome.BROKEN:
            task.excluded = {replica_id}
            task.record_broken(attempt.run_events)
            if not task.is_suspect:
                self._replica_tracker.record_failure(replica_id)
        else:
            # Attempts are limited, so each one uses another replica.
            task.excluded.add(replica_id)
            if outcome is attempts.AttemptOutcome.FAILED:
                self._replica_tracker.record_error(replica_id)
            self._handle_failure(task, outcome)

    def _handle_complete(self, task: tasks.ItemTask) -> None:
        progress = task.progress
        if not task.is_valid(progress, self._is_single(task)):
            task.progress = jobs.Progress()
        elif task.item.scoring is None:
            self._recorder.list_result(task, jobs.ResultState.DONE, progress)
        else:
            task.is_generated = True
            self._recorder.save_complete_text(task)

    def _handle_failure(
        self, task: tasks.ItemTask, outcome: attempts.AttemptOutcome
    ) -> None:
        task.failures += 1
        route = self._find_route(task)
        attempt_limit = route.max_attempts if route is not None else 1
        if (
            outcome is attempts.AttemptOutcome.IMPOSSIBLE
            or task.failures >= attempt_limit
        ):
            self._recorder.list_result(
                task, jobs.ResultState.GIVEN_UP, jobs.Progress()
            )

    # Checkpoints.

    def _save_progress(self) -> None:
        now_s = clock.monotonic_s()
        if now_s - self._checkpointed_s < CHECKPOINT_S:
            return
        self._checkpointed_s = now_s
        self._for_each(
            'checkpoint',
            lambda task: self._recorder.save_checkpoint(
                task, CHECKPOINT_MIN_EVENTS
            ),
            self._iter_tasks(),
        )


def _elapsed_ms(since_s: float) -> int:
    return int((clock.monotonic_s() - since_s) * 1000)


def _describe_candidate(
    candidate: scheduling.Candidate, requirements: scheduling.Requirements
) -> dict[str, typing.Any]:
    return {
        'replica': candidate.replica_id,
        'version': candidate.version,
        'is_accepted': scheduling.has_accepted_version(
            requirements, candidate
        ),
        'slots': candidate.slots,
        'free_slots': candidate.free_slots,
        'pace_s': candidate.pace_s,
        'work_factor': candidate.work_factor,
        'is_avoided': candidate.is_avoided,
        'failure_rate': round(candidate.failure_rate, 2),
    }
