"""Coordinator of one step: hands out samples and collects results."""

from __future__ import annotations

import random
import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import samples
from lentildeal._internal.models import text as text_module
from lentildeal._internal.rollouts import causes
from lentildeal._internal.rollouts import delivery
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import messages
from lentildeal._internal.rollouts import objectives
from lentildeal._internal.rollouts import ordering
from lentildeal._internal.rollouts import scoring
from lentildeal._internal.rollouts import steps
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

# Interval of lease checks, in seconds.
TICK_S = 1.0
# Time between two checks that shows that this process was paused.
PAUSE_THRESHOLD_S = 3.0
# Interval at which the backlog is sent to all owners again, in seconds. With
# 350 owners and notices of 200 bytes this takes 14 KB/s.
BACKLOG_RESEND_S = 5.0

_results_total = prometheus_client.Counter(
    'lentildeal_rollout_results_total',
    'Results of attempts: kept, dropped or the cause of a failure.',
    ['trainer', 'result'],
)
_lost_total = prometheus_client.Counter(
    'lentildeal_rollout_attempts_lost_total',
    'Attempts whose owner was lost or stopped reporting.',
    ['trainer'],
)


class StepCoordinator:
    """Coordinates one attachment of a trainer to a step."""

    def __init__(
        self,
        kernel: typing.Any,
        key: messages.StepKey,
        trainer: text_module.Trainer,
        state: steps.StepState,
    ) -> None:
        self._kernel = kernel
        self._membership = kernel.plugin('membership')
        self._key = key
        self._trainer = trainer
        self._state = state
        self._owner_causes = causes.OwnerCauses()
        self._changed = wakeup.Wakeup()
        self._sent_backlogs: dict[ids.InstanceId, messages.Backlog] = {}
        self._owners: list[ids.InstanceId] = []
        self._last_resend_s = clock.monotonic_s()
        self._is_open = True
        self._recorder = objectives.StepRecorder(kernel, key.trainer, trainer)
        self._scorer: typing.Optional[scoring.Scorer] = None
        self._stream = delivery.EventStream(
            state, self._changed, self._end_stream
        )

    @property
    def key(self) -> messages.StepKey:
        """Trainer, step and attachment number."""
        return self._key

    @property
    def trainer(self) -> text_module.Trainer:
        """Published settings of the trainer."""
        return self._trainer

    @property
    def state(self) -> steps.StepState:
        """State of the step and its samples."""
        return self._state

    @property
    def stream(self) -> delivery.EventStream:
        """Stream of lines that the trainer reads."""
        return self._stream

    @property
    def is_open(self) -> bool:
        """Whether the stream to the trainer is open."""
        return self._is_open

    @property
    def attachment(self) -> members.Attachment:
        """Attachment as it is announced to other daemons."""
        return members.Attachment(
            self._key.trainer,
            self._key.step,
            self._key.number,
            self._state.version,
        )

    @property
    def view(self) -> causes.StepView:
        """Figures for the status report."""
        state = self._state
        return causes.StepView(
            trainer=self._key.trainer,
            step=self._key.step,
            requested=state.requested,
            delivered=state.delivered,
            running=state.count_in_state(entries.SampleState.RUNNING),
            waiting=state.count_in_state(entries.SampleState.WAITING),
            cause=causes.find_cause(
                state, self._owner_causes, clock.monotonic_s()
            ),
        )

    def start(self, finished: typing.Iterable[samples.Sample] = ()) -> None:
        """Starts handing out samples.

        Args:
            finished: Samples that an earlier attachment finished here and that
                the trainer may not have received.
        """
        if self._trainer.scoring is not None:
            self._scorer = scoring.Scorer(
                self._kernel.plugin('callers'),
                self._trainer.scoring,
                self._handle_scoring_end,
            )
        for sample in finished:
            if self._state.reuse_sample(sample) and sample.score is None:
                self._request_score(sample)
        self._kernel.spawn('step', self._run_ticks)

    def close(self, reason: str) -> None:
        """Aborts the stream and withdraws the backlog."""
        self._stream.abort(reason)
        self._end_stream()

    def handle_pull(
        self, instance: ids.InstanceId, message: messages.Pull
    ) -> messages.Items:
        """Responds to a pull with a sample or the cause why there is none."""
        if not self._is_open:
            return messages.Items(is_open=False)
        response = self._state.pull(
            instance,
            message.address,
            message.version,
            clock.monotonic_s(),
            self._count_reachable_replicas(),
        )
        if response.replaced is not None:
            self._cancel([response.replaced])
        if response.item is None:
            return messages.Items(cause=response.cause.value)
        return messages.Items(
            (response.item,), '', self._state.attempts.report_s
        )

    def handle_result(
        self, instance: ids.InstanceId, message: messages.Done
    ) -> None:
        """Records a complete result and requests its score."""
        sample, unneeded = self._state.complete(
            message.attempt,
            instance,
            message.text,
            tuple(message.segments),
            clock.monotonic_s(),
        )
        result = 'dropped' if sample is None else 'kept'
        _results_total.labels(self._key.trainer, result).inc()
        self._cancel(unneeded)
        if sample is not None and self._is_open:
            self._request_score(sample)
        self._apply_change()

    def handle_failure(
        self, instance: ids.InstanceId, message: messages.Failed
    ) -> None:
        """Drops a failed attempt."""
        cause = outcomes.Cause(message.cause)
        _results_total.labels(self._key.trainer, cause.value).inc()
        self._state.fail(message.attempt, instance, cause, clock.monotonic_s())
        self._apply_change()

    def handle_progress(
        self, instance: ids.InstanceId, message: messages.Progress
    ) -> None:
        """Renews leases and cancels attempts that were dropped."""
        now_s = clock.monotonic_s()
        self._owner_causes.record_report(instance, message.cause, now_s)
        unknown = self._state.attempts.record_progress(
            instance, message.attempts, now_s
        )
        if unknown:
            self._notify(instance, messages.Cancel(self._key, unknown))

    def set_version(self, version: ids.Version) -> None:
        """Applies a newer version and cancels attempts that are stale."""
        if version <= self._state.version:
            return
        self._cancel(self._state.set_version(version))
        self._apply_change()

    def handle_lost_instance(self, instance: ids.InstanceId) -> None:
        """Drops all attempts that a lost instance runs."""
        self._sent_backlogs.pop(instance, None)
        running_before = self._state.count_in_state(
            entries.SampleState.RUNNING
        )
        self._state.drop_instance_attempts(instance)
        lost = running_before - self._state.count_in_state(
            entries.SampleState.RUNNING
        )
        if lost:
            _lost_total.labels(self._key.trainer).inc(lost)
            self._apply_change()

    def check_members(self) -> None:
        """Drops attempts of dead members and notifies new owners."""
        self._update_owners()
        self._apply_change()
        for instance in {a.instance for a in self._state.attempts}:
            member = self._membership.get(instance)
            if member is None or member.state is members.MemberState.DEAD:
                self.handle_lost_instance(instance)

    def _run_ticks(self) -> None:
        ticked_s = clock.monotonic_s()
        while self._is_open:
            now_s = clock.monotonic_s()
            # After a pause of this process the owners' notices are still
            # unread, so leases are not checked until the next tick.
            if now_s - ticked_s < PAUSE_THRESHOLD_S:
                self._expire_leases(now_s)
            ticked_s = now_s
            if now_s - self._last_resend_s > BACKLOG_RESEND_S:
                self._last_resend_s = now_s
                self._sent_backlogs.clear()
            self._recorder.record_cause(self.view.cause)
            self._state.check_tail_work()
            self._update_owners()
            self._apply_change()
            eventlet.sleep(TICK_S)

    def _expire_leases(self, now_s: float) -> None:
        lost = self._state.expire_leases(now_s)
        if lost:
            _lost_total.labels(self._key.trainer).inc(len(lost))
            self._cancel(lost)

    def _apply_change(self) -> None:
        """Wakes the stream and sends changed backlogs after a change."""
        self._changed.set()
        if self._is_open:
            self._send_backlogs()

    def _send_backlogs(self) -> None:
        """Sends the backlog to owners whose last notice is outdated.

        An owner needs to know whether there is work, not how much, so a
        notice is sent when that changes, and again at intervals.
        """
        state = self._state
        pullable = state.count_pullable()
        number = ordering.count_owners_to_notify(pullable, len(self._owners))
        for position, instance in enumerate(self._owners):
            backlog = messages.Backlog(
                key=self._key,
                club=self._trainer.club,
                model=self._trainer.model,
                count=pullable if position < number else 0,
                minimum_version=state.minimum_version,
            )
            sent = self._sent_backlogs.get(instance)
            if sent is None or _is_resend_needed(sent, backlog):
                self._sent_backlogs[instance] = backlog
                self._notify(instance, backlog)

    def _update_owners(self) -> None:
        """Looks up the owners of the replicas in a random order."""
        owners = sorted(self._find_owners())
        random.shuffle(owners)
        self._owners = owners

    def _list_replicas(
        self,
    ) -> list[tuple[ids.FailureDomain, ids.ReplicaAddress]]:
        """Lists the replicas that serve the trainer's model."""
        text = self._kernel.plugin('config').text
        target = text and text.target_of_model(self._trainer.model)
        return list(text.iter_replicas(target)) if target else []

    def _count_reachable_replicas(self) -> int:
        """Counts the replicas of the model in reachable domains."""
        cut_off = self._membership.cut_off_domains()
        return sum(
            domain not in cut_off for domain, _ in self._list_replicas()
        )

    def _find_owners(self) -> set[ids.InstanceId]:
        owners = {
            self._membership.owner_of(domain, address)
            for domain, address in self._list_replicas()
        }
        return owners - {None}

    def _handle_scoring_end(
        self, sample: samples.Sample, score: typing.Optional[float]
    ) -> None:
        self._state.set_score(sample, score)
        self._apply_change()

    def _request_score(self, sample: samples.Sample) -> None:
        if self._scorer is not None:
            prompt = self._state.prompt_of(sample)
            self._scorer.submit(sample, prompt)

    def _cancel(self, attempts: typing.Iterable[entries.Attempt]) -> None:
        by_instance: dict[ids.InstanceId, list[int]] = {}
        for attempt in attempts:
            by_instance.setdefault(attempt.instance, []).append(attempt.number)
        for instance, numbers in by_instance.items():
            self._notify(instance, messages.Cancel(self._key, tuple(numbers)))

    def _end_stream(self) -> None:
        """Cancels running attempts; finished samples stay available."""
        if not self._is_open:
            return
        self._is_open = False
        if self._scorer is not None:
            self._scorer.stop()
        state = self._state
        self._recorder.record(state.is_complete, self._stream.idle_s)
        logger.info(
            'step {}/{} closed: {} of {} samples delivered, attachment {}',
            self._key.trainer,
            self._key.step,
            state.delivered,
            state.requested,
            self._key.number,
        )
        self._cancel(state.attempts)
        withdrawn = messages.Backlog(
            self._key, self._trainer.club, self._trainer.model, 0, 0
        )
        for instance in self._sent_backlogs.keys() | self._find_owners():
            self._notify(instance, withdrawn)

    def _notify(self, instance: ids.InstanceId, message) -> None:
        """Sends in a green thread, because connecting may block."""
        eventlet.spawn_n(self._send, instance, message)

    def _send(self, instance: ids.InstanceId, message) -> None:
        try:
            self._kernel.peers.notify(instance, message)
        except exceptions.PeerError as error:
            self._sent_backlogs.pop(instance, None)
            logger.debug('cannot notify {}: {}', instance, error)


def _is_resend_needed(
    sent: messages.Backlog, current: messages.Backlog
) -> bool:
    return (
        bool(sent.count) != bool(current.count)
        or sent.minimum_version != current.minimum_version
    )
