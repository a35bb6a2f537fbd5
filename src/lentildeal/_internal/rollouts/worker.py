"""Plug-in ``worker``: pulls samples for owned replicas and generates."""

from __future__ import annotations

import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.rollouts import backlogs
from lentildeal._internal.rollouts import generation
from lentildeal._internal.rollouts import messages
from lentildeal._internal.rollouts import ordering
from lentildeal._internal.rollouts import tasks
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import wakeup

# Longest wait of a puller without work for a notice, in seconds.
IDLE_WAIT_S = 0.5
# Delay before pulling again from a step that had no sample to hand out.
EMPTY_DELAY_S = 0.25
# Short, because a slot is occupied during a pull.
PULL_TIMEOUT_S = 1.0
UNREACHABLE_DELAY_S = 1.0
REPORT_TIMEOUT_S = 5.0
REPORT_TRIES = 5
PROGRESS_TICK_S = 0.25
# Weight of a new length in the mean length, which is charged at the start.
LENGTH_SMOOTHING = 0.05
CAUSE_INTERVAL_S = 2.0

_tokens_total = prometheus_client.Counter(
    'lentildeal_rollout_tokens_total',
    'Tokens generated for rollouts.',
    ['club'],
)

Cause = outcomes.Cause


@plugins.register('worker', after=('config', 'membership', 'slots', 'orders'))
class RolloutWorkers(plugins.Plugin):
    """Runs a puller for each owned replica and a thread for each attempt."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._config = kernel.plugin('config')
        self._membership = kernel.plugin('membership')
        self._slots = kernel.plugin('slots')
        self._orders = kernel.plugin('orders')
        self._backlogs = backlogs.BacklogTable(lambda: self._config.text)
        self._mean_length = ordering.DEFAULT_LENGTH
        self._pullers: dict[ids.ReplicaAddress, tasks.Puller] = {}
        self._tasks: dict[tuple[messages.StepKey, int], tasks.Task] = {}
        self._reported_s: dict[messages.StepKey, float] = {}
        self._changed = wakeup.Wakeup()

    def start(self) -> None:
        """See the base class."""
        network = self._kernel.peers
        network.handle(messages.Backlog, self._on_backlog)
        network.handle(messages.Cancel, self._on_cancel)
        network.on_disconnect(
            lambda instance, _: self._drop_coordinator(instance)
        )
        self._membership.on_change(self._on_members_changed)
        self._kernel.add_work_counter(lambda: len(self._tasks))
        self._kernel.spawn('pullers', self._update_pullers)
        self._kernel.spawn('progress', self._send_progress)

    def drain(self) -> None:
        """Stops pulling; running attempts are completed."""
        for puller in self._pullers.values():
            puller.is_active = False
        self._changed.set()

    def list_attempts(self) -> list[tasks.AttemptView]:
        """Attempts that are being generated or reported."""
        return [task.view for task in self._tasks.values()]

    # Pulling.

    def _update_pullers(self) -> None:
        """Starts and stops pullers as owned replicas of engines change."""
        while not self._kernel.is_draining:
            owned = dict(self._iter_engines())
            for address in self._pullers.keys() - owned.keys():
                self._pullers.pop(address).is_active = False
            for address in owned.keys() - self._pullers.keys():
                puller = tasks.Puller(address, owned[address])
                self._pullers[address] = puller
                self._kernel.spawn('puller', self._run_puller, puller)
            self._changed.wait(IDLE_WAIT_S)

    def _iter_engines(
        self,
    ) -> typing.Iterator[tuple[ids.ReplicaAddress, ids.ModelName]]:
        text = self._config.text
        if text is None:
            return
        for name, _, address in self._slots.iter_owned():
            target = text.targets.get(name)
            if target and target.kind is text_module.TargetKind.ENGINE:
                yield address, target.model

    def _run_puller(self, puller: tasks.Puller) -> None:
        while puller.is_active and not self._kernel.is_draining:
            now_s = clock.monotonic_s()
            if puller.not_before_s > now_s:
                puller.cause = Cause.TARGET_DOWN.value
                eventlet.sleep(puller.not_before_s - now_s)
            elif self._choose_backlog(puller) is None:
                self._changed.wait(IDLE_WAIT_S)
            else:
                self._fill_slot(puller)

    def _choose_backlog(
        self, puller: tasks.Puller
    ) -> typing.Optional[backlogs.KnownBacklog]:
        version = self._orders.version_of(puller.address)
        if version is None:
            puller.cause = Cause.TARGET_DOWN.value
            return None
        known = self._backlogs.choose_backlog(
            puller.address, puller.model, version, clock.monotonic_s()
        )
        is_too_old = self._backlogs.is_newer_version_needed(
            puller.model, version
        )
        puller.cause = Cause.TARGET_SWAPPING.value if is_too_old else ''
        return known

    def _fill_slot(self, puller: tasks.Puller) -> None:
        """Waits for a slot, pulls one sample and starts it."""
        puller.cause = Cause.TARGET_FULL.value
        try:
            grant = self._slots.wait_rollout_slot(puller.address)
        except exceptions.NotRunError:
            eventlet.sleep(EMPTY_DELAY_S)
            return
        task = None
        try:
            known = self._choose_backlog(puller)
            if known is not None and not self._kernel.is_draining:
                task = self._pull(known, puller)
        finally:
            if task is None:
                grant.release(None, 0.0, 0)
        if task is not None:
            task.thread = eventlet.spawn(self._run_task, task, grant)

    def _pull(
        self, known: backlogs.KnownBacklog, puller: tasks.Puller
    ) -> typing.Optional[tasks.Task]:
        key = known.notice.key
        message = messages.Pull(
            key, puller.address, self._orders.version_of(puller.address)
        )
        try:
            items = self._kernel.peers.call(
                known.coordinator, message, PULL_TIMEOUT_S
            )
        except exceptions.PeerError as error:
            logger.debug('cannot pull from {}: {}', known.coordinator, error)
            self._delay_pulls(key, puller, UNREACHABLE_DELAY_S)
            return None
        if not items.is_open:
            self._backlogs.drop_step(key)
            return None
        if not items.items:
            self._delay_pulls(key, puller, EMPTY_DELAY_S)
            return None
        task = tasks.Task(
            known.notice,
            known.coordinator,
            items.items[0],
            puller,
            items.report_s,
        )
        self._tasks[key, task.item.attempt] = task
        return task

    def _delay_pulls(self, key, puller: tasks.Puller, delay_s: float) -> None:
        until_s = clock.monotonic_s() + delay_s
        self._backlogs.delay_pulls(key, puller.address, until_s)

    # Generating.

    def _run_task(self, task: tasks.Task, grant: typing.Any) -> None:
        try:
            if task.is_cancelled:
                grant.release()
                return
            task.is_started = True
            message = self._generate(task, grant)
            self._report(task, message)
        finally:
            self._tasks.pop((task.key, task.item.attempt), None)

    def _generate(self, task: tasks.Task, grant: typing.Any) -> typing.Any:
        """Generates a sample and returns the message for the coordinator."""
        notice = task.notice
        estimate = self._mean_length
        self._backlogs.charge(notice, estimate)
        started_s = clock.monotonic_s()
        # Set only if the replica itself failed.
        outcome = None
        try:
            self._stream(task)
            task.puller.delays.reset()
            tokens = task.collector.token_count
            self._mean_length += LENGTH_SMOOTHING * (
                tokens - self._mean_length
            )
            return messages.Done(
                task.key,
                task.item.attempt,
                task.collector.text,
                task.collector.segments,
            )
        except generation.TooOldError:
            self._cancel_at_engine(task)
            return self._make_failure(task, Cause.STALE)
        except exceptions.LentildealError as error:
            logger.debug('attempt {} failed: {}', task.request_id, error)
            outcome = outcomes.Outcome.MAY_HAVE_RUN
            self._back_off(task.puller)
            self._cancel_at_engine(task)
            return self._make_failure(task, Cause.TARGET_DOWN)
        except BaseException:
            # The green thread was killed because the result is not needed.
            self._cancel_at_engine(task)
            raise
        finally:
            tokens = task.collector.token_count
            _tokens_total.labels(notice.club).inc(tokens)
            self._backlogs.charge(notice, tokens - estimate)
            grant.release(outcome, clock.monotonic_s() - started_s, tokens)

    def _stream(self, task: tasks.Task) -> None:
        request = base.CompletionRequest(
            task.request_id, task.item.prompt, task.item.max_tokens
        )
        generation.generate(
            self._orders.engine_of(task.puller.address),
            request,
            task.item.minimum_version,
            task.collector,
            self._kernel.settings.timing.relay_batch_ms / 1000,
        )

    def _make_failure(self, task: tasks.Task, cause: Cause) -> messages.Failed:
        return messages.Failed(task.key, task.item.attempt, cause.value)

    def _back_off(self, puller: tasks.Puller) -> None:
        delay_s = puller.delays.next_delay_s()
        puller.not_before_s = clock.monotonic_s() + delay_s

    def _cancel_at_engine(self, task: tasks.Task) -> None:
        engine = self._orders.engine_of(task.puller.address)
        eventlet.spawn_n(engine.cancel, task.request_id)

    def _report(self, task: tasks.Task, message: typing.Any) -> None:
        """Reports a result to the coordinator, with REPORT_TRIES tries.

        Until then the attempt stays in the progress notices, which renew its
        lease. The coordinator ignores a repeated result.
        """
        delays = backoff.Backoff()
        for _ in range(REPORT_TRIES):
            try:
                self._kernel.peers.call(
                    task.coordinator, message, REPORT_TIMEOUT_S
                )
                return
            except exceptions.PeerError as error:
                logger.debug('cannot report result: {}', error)
                eventlet.sleep(delays.next_delay_s())

    # Notices.

    def _on_backlog(self, instance, notice: messages.Backlog) -> None:
        self._backlogs.record_notice(instance, notice)
        self._changed.set()

    def _on_cancel(self, instance, message: messages.Cancel) -> None:
        for number in message.attempts:
            self._cancel_task(self._tasks.get((message.key, number)))

    def _on_members_changed(self) -> None:
        for instance in {task.coordinator for task in self._tasks.values()}:
            member = self._membership.get(instance)
            if member and member.state is members.MemberState.DEAD:
                self._drop_coordinator(instance)
        self._changed.set()

    def _drop_coordinator(self, instance: ids.InstanceId) -> None:
        """Cancels the work for a lost coordinator."""
        self._backlogs.drop_coordinator(instance)
        for task in list(self._tasks.values()):
            if task.coordinator == instance:
                self._cancel_task(task)

    def _cancel_task(self, task: typing.Optional[tasks.Task]) -> None:
        """Cancels an attempt.

        A green thread that is killed before it starts would not clean up, so
        an attempt that has not started ends itself.
        """
        if task is None or task.is_cancelled:
            return
        task.is_cancelled = True
        if task.is_started:
            eventlet.spawn_n(task.thread.kill)

    def _send_progress(self) -> None:
        while True:
            eventlet.sleep(PROGRESS_TICK_S)
            by_step: dict = {}
            for task in self._tasks.values():
                by_step.setdefault((task.key, task.coordinator), []).append(
                    task
                )
            for known in self._backlogs:
                by_step.setdefault((known.notice.key, known.coordinator), [])
            self._reported_s = {
                key: self._reported_s.get(key, 0.0) for key, _ in by_step
            }
            for (key, coordinator), running in by_step.items():
                self._send_step_progress(key, coordinator, running)

    def _send_step_progress(
        self, key, coordinator, running: list[tasks.Task]
    ) -> None:
        now_s = clock.monotonic_s()
        interval_s = max(
            (task.report_s for task in running), default=CAUSE_INTERVAL_S
        )
        if now_s - self._reported_s[key] < interval_s:
            return
        self._reported_s[key] = now_s
        message = messages.Progress(
            key,
            tuple(task.progress for task in running),
            self._find_cause(key),
        )
        eventlet.spawn_n(self._notify, coordinator, message)

    def _find_cause(self, key: messages.StepKey) -> str:
        """Finds why local replicas do not pull from a step, "" if they do."""
        notices = [k.notice for k in self._backlogs if k.notice.key == key]
        if not notices:
            return ''
        causes = [
            puller.cause
            for puller in self._pullers.values()
            if puller.model == notices[0].model
        ]
        cause = max(causes, key=causes.count, default='')
        is_shared = any(
            task.notice.club != notices[0].club
            and task.notice.model == notices[0].model
            for task in self._tasks.values()
        )
        if cause == Cause.TARGET_FULL.value and is_shared:
            return Cause.CLUB_SHARE.value
        return cause

    def _notify(self, instance: ids.InstanceId, message) -> None:
        try:
            self._kernel.peers.notify(instance, message)
        except exceptions.PeerError as error:
            logger.debug(
                'cannot send progress notice to {}: {}', instance, error
            )
