"""Scores the complete texts of items by calls to a scoring service."""

from __future__ import annotations

import collections
import typing

import eventlet
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.gateway import calls as gateway_calls
from lentildeal._internal.gateway import choice
from lentildeal._internal.gateway import plugin as gateway_plugin
from lentildeal._internal.jobs import recording
from lentildeal._internal.jobs import tasks
from lentildeal._internal.logs import events
from lentildeal._internal.logs import failures
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.scoring import calls
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

_attempts_total = prometheus_client.Counter(
    'lentildeal_item_scoring_attempts_total',
    'Attempts to score items by outcome.',
    ['outcome'],
)
_scoring_seconds = prometheus_client.Histogram(
    'lentildeal_item_scoring_seconds',
    'Time from the complete text of an item to its score, in seconds.',
    buckets=(0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 8, 15),
)


class _TaskScoring:
    """Scoring call of one item and its running attempts."""

    def __init__(self, call: calls.ScoringCall) -> None:
        self.call = call
        self.created_s = clock.monotonic_s()
        self.threads: list = []


class ItemScorer:
    """Sends scoring calls of items whose text is complete."""

    def __init__(
        self,
        kernel,
        recorder: recording.ItemRecorder,
        changed: wakeup.Wakeup,
    ) -> None:
        self._directory = kernel.plugin('directory')
        self._gateway: gateway_plugin.Gateway = kernel.plugin('gateway')
        self._recorder = recorder
        self._changed = changed
        self._scorings: dict[tasks.ItemTask, _TaskScoring] = {}
        # Running attempts by replica and by service.
        self._running: collections.Counter = collections.Counter()
        self._live_load = calls.LiveLoad()
        self._limits: dict[ids.ServiceName, calls.AdmissionLimit] = (
            collections.defaultdict(calls.AdmissionLimit)
        )

    def start_if_due(self, task: tasks.ItemTask) -> None:
        """Starts the next attempt of an item if it is due.

        Args:
            task: Item with a complete text.
        """
        route = self._find_route(task.item.scoring)
        if route is None:
            return
        scoring = self._scorings.get(task)
        if scoring is None:
            limits = calls.CallLimits(route.max_attempts, route.objective_s)
            scoring = _TaskScoring(calls.ScoringCall(limits))
            self._scorings[task] = scoring
        if scoring.call.is_attempt_due(clock.monotonic_s()):
            self._try_start(task, route, scoring)

    def stop(self, task: tasks.ItemTask) -> None:
        """Stops the attempts of an item."""
        scoring = self._scorings.pop(task, None)
        if scoring is not None:
            for thread in scoring.threads:
                thread.kill()

    def _find_route(
        self, request: jobs.ScoringRequest
    ) -> typing.Optional[deployment.Route]:
        text = self._directory.text
        if text is None:
            return None
        return text.find_route(request.host, request.path.partition('?')[0])

    def _try_start(
        self,
        task: tasks.ItemTask,
        route: deployment.Route,
        scoring: _TaskScoring,
    ) -> None:
        service = choice.choose_service(route.shares, 0.0)
        replica = self._choose_replica(service, scoring.call)
        if replica is None:
            return
        started_s = clock.monotonic_s()
        scoring.call.record_start(started_s, replica.replica_id)
        events.emit(
            'scoring_started',
            item=task.item.item_id,
            job=task.entry.head.job_id,
            request=task.item.scoring.request_id,
            replica=replica.replica_id,
            attempt=scoring.call.attempt_count,
        )
        running = self._running[service]
        counted = (service, replica.replica_id)
        self._running.update(counted)
        thread = eventlet.spawn(
            self._run_attempt,
            task,
            route,
            scoring,
            replica,
            started_s,
            running + 1,
        )
        # Also called if the thread is killed before it has started.
        thread.link(lambda _: self._running.subtract(counted))
        scoring.threads.append(thread)

    def _choose_replica(
        self,
        service: typing.Optional[ids.ServiceName],
        call: calls.ScoringCall,
    ) -> typing.Optional[deployment.Replica]:
        """Chooses a replica with a slot for a scoring call, None for none."""
        ready = self._directory.replicas.list_ready(service)
        slots = {r.replica_id: self._count_slots(r) for r in ready}
        capacity = sum(slots.values())
        if self._running[service] >= self._limits[service].allowed(capacity):
            return None
        full = {
            replica_id
            for replica_id, count in slots.items()
            if self._running[replica_id] >= count
        }
        chosen = self._gateway.choose(service, full | call.tried)
        if chosen is None:
            # All replicas have failed once, so each may be tried again.
            call.tried.clear()
            chosen = self._gateway.choose(service, full)
        return chosen

    def _count_slots(self, replica: deployment.Replica) -> int:
        return calls.count_scoring_slots(
            replica.slots, self._live_load.peak(replica.replica_id)
        )

    def _record_load(
        self, replica: deployment.Replica, load: platform_base.ReplicaLoad
    ) -> None:
        others = load.running + load.waiting
        others -= self._running[replica.replica_id]
        self._live_load.record(replica.replica_id, max(0, others))

    def _run_attempt(
        self,
        task: tasks.ItemTask,
        route: deployment.Route,
        scoring: _TaskScoring,
        replica: deployment.Replica,
        started_s: float,
        running: int,
    ) -> None:
        deadline = clock.Deadline(scoring.call.limits.timeout_s)
        try:
            result = self._gateway.attempt(
                replica, route, _make_call(task.item, deadline), deadline
            )
        except Exception as error:
            # Without an outcome the item would wait for this attempt.
            failures.report('score_attempt', task.item.item_id, error)
            result = gateway_calls.AttemptResult(
                replica, None, False, f'internal error: {error!r:.200}'
            )
        if result.load is not None:
            self._record_load(replica, result.load)
        outcome = _classify(result)
        _attempts_total.labels(outcome.value).inc()
        self._limits[replica.service].record_outcome(
            outcome, running, started_s
        )
        scoring.call.record_outcome(outcome, started_s, clock.monotonic_s())
        if self._scorings.get(task) is scoring:
            self._handle_outcome(task, scoring, result, outcome)
        self._changed.set()

    def _handle_outcome(
        self,
        task: tasks.ItemTask,
        scoring: _TaskScoring,
        result: gateway_calls.AttemptResult,
        outcome: calls.AttemptOutcome,
    ) -> None:
        if outcome is calls.AttemptOutcome.SCORED:
            _scoring_seconds.observe(clock.monotonic_s() - scoring.created_s)
            self._recorder.list_result(
                task,
                jobs.ResultState.DONE,
                task.progress,
                result.response.signature,
            )
        elif scoring.call.is_exhausted:
            events.emit(
                'scoring_given_up',
                item=task.item.item_id,
                job=task.entry.head.job_id,
                request=task.item.scoring.request_id,
                errors=scoring.call.error_count,
                reason=result.reason,
            )
            self._recorder.list_result(
                task, jobs.ResultState.GIVEN_UP, jobs.Progress()
            )
        if task.is_done:
            self._stop_others(task)

    def _stop_others(self, task: tasks.ItemTask) -> None:
        """Stops all attempts of an item but the current thread's."""
        current = eventlet.getcurrent()
        for thread in self._scorings.pop(task).threads:
            if thread is not current:
                thread.kill()


def _make_call(
    item: jobs.Item, deadline: clock.Deadline
) -> gateway_calls.LiveCall:
    request = item.scoring
    return gateway_calls.LiveCall(
        request_id=request.request_id,
        method='POST',
        host=request.host,
        path=request.path.partition('?')[0],
        target=request.path,
        headers=(('Host', request.host),),
        body=request.body,
        deadline=deadline,
        is_client_gone=lambda: False,
        is_own=True,
    )


def _classify(
    result: gateway_calls.AttemptResult,
) -> calls.AttemptOutcome:
    response = result.response
    if response is None:
        return calls.AttemptOutcome.UNAVAILABLE
    if 200 <= response.status < 300:
        # A score is the signature of the answer.
        if response.signature:
            return calls.AttemptOutcome.SCORED
        return calls.AttemptOutcome.UNAVAILABLE
    return calls.AttemptOutcome.ERROR
