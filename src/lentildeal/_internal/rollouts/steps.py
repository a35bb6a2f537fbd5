"""State of one step and of each of its samples.

This module does not block and does no I/O. After every method call each
sample is in exactly one state. Only ``take_delivery`` hands out samples for
the stream, and it checks their staleness.
"""

from __future__ import annotations

import dataclasses
import typing

import prometheus_client

from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import samples
from lentildeal._internal.rollouts import attempts
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import ordering
from lentildeal._internal.rollouts import outbox
from lentildeal._internal.rollouts import selection

_stale_total = prometheus_client.Counter(
    'lentildeal_rollout_stale_total',
    'Attempts and results discarded because they were stale.',
    ['trainer'],
)


class StepState:
    """All samples of one step under one attachment."""

    def __init__(
        self,
        plan: entries.StepPlan,
        version: ids.Version,
        predictor: ordering.LengthPredictor,
    ) -> None:
        self._plan = plan
        self._predictor = predictor
        self._version = version
        self._is_version_pending = True
        self._entries: dict[ids.SampleId, entries.Entry] = {}
        self._groups: list[entries.Group] = []
        self._attempts = attempts.AttemptTable()
        self._outbox = outbox.Outbox()
        self._counts = dict.fromkeys(entries.SampleState, 0)
        self._has_tail_work = False
        self._generated_tokens = 0
        self._add_entries()
        self._selector = selection.Selector(
            self._groups, self._attempts, plan, predictor
        )

    @property
    def plan(self) -> entries.StepPlan:
        """Request of the trainer."""
        return self._plan

    @property
    def attempts(self) -> attempts.AttemptTable:
        """Running attempts."""
        return self._attempts

    @property
    def version(self) -> ids.Version:
        """Current weight version."""
        return self._version

    @property
    def minimum_version(self) -> ids.Version:
        """Oldest version that a sample may start with."""
        return ids.Version(self._version - self._plan.staleness_bound)

    @property
    def requested(self) -> int:
        """Samples to deliver under this attachment."""
        return len(self._entries)

    @property
    def delivered(self) -> int:
        """Samples written to the stream."""
        return self._outbox.cursor

    @property
    def is_complete(self) -> bool:
        """Whether every sample has been written to the stream."""
        return self._outbox.cursor == len(self._entries)

    @property
    def is_generation_paused(self) -> bool:
        """Whether too many samples are waiting for their score."""
        limit = ordering.compute_unscored_limit(
            len(self._entries), self._plan.group_size
        )
        return self._counts[entries.SampleState.GENERATED] >= limit

    def count_in_state(self, state: entries.SampleState) -> int:
        """Number of samples in a state."""
        return self._counts[state]

    def count_pullable(self) -> int:
        """Number of samples that a pull could be given now."""
        if self.is_generation_paused:
            return 0
        waiting = self._counts[entries.SampleState.WAITING]
        if waiting:
            return waiting
        return int(self._has_tail_work)

    def check_tail_work(self) -> None:
        """Checks whether an idle slot could restart or hedge an attempt.

        This reads all attempts, so it runs at intervals and not after each
        change.
        """
        hedge_budget = self._selector.hedge_budget
        self._has_tail_work = bool(
            self._selector.find_restart(self._version)
            or hedge_budget.find_candidate(
                self._attempts, None, self._generated_tokens
            )
        )

    def pull(
        self,
        instance: ids.InstanceId,
        address: ids.ReplicaAddress,
        version: ids.Version,
        now_s: float,
        pool_size: int = 1,
    ) -> entries.PullResponse:
        """Chooses a sample for a replica with a free slot.

        Args:
            instance: Owner of the replica.
            address: The replica.
            version: Weight version on the replica.
            now_s: Monotonic time.
            pool_size: Number of replicas that serve the model.
        """
        if version < self.minimum_version:
            return entries.PullResponse(cause=outcomes.Cause.TARGET_SWAPPING)
        if self.is_generation_paused:
            return entries.PullResponse(cause=outcomes.Cause.SCORING)
        replaced = entry = None
        if self._counts[entries.SampleState.WAITING]:
            entry = self._selector.choose_waiting(
                address, now_s, pool_size, self._count_unfinished()
            )
        elif self._has_tail_work:
            replaced = self._restart_on_current(version)
            entry = replaced.entry if replaced else self._start_hedge(address)
        if entry is None:
            return entries.PullResponse(cause=outcomes.Cause.NO_WORK)
        item = self._start_attempt(entry, instance, address, now_s)
        return entries.PullResponse(item, replaced=replaced)

    def complete(
        self,
        number: int,
        instance: ids.InstanceId,
        text: str,
        segments: tuple[samples.Segment, ...],
        now_s: float,
    ) -> tuple[typing.Optional[samples.Sample], list[entries.Attempt]]:
        """Records the complete result of an attempt.

        Returns:
            The sample, or None if the result is ignored, and the attempts
            to cancel. The result of a dropped attempt and a stale result
            are ignored.
        """
        attempt = self._attempts.find(number, instance)
        if attempt is None:
            return None, []
        entry = attempt.entry
        sample = entry.make_sample(text, segments)
        attempt.tokens = sample.token_count
        self._selector.hedge_budget.record_finished(attempt, now_s)
        self._attempts.drop(attempt)
        self._generated_tokens += sample.token_count
        if self._is_stale(sample.oldest_version):
            self._count_stale(entry)
            self._update_state(entry)
            return None, []
        others = list(entry.attempts.values())
        for other in others:
            self._attempts.drop(other)
        self._predictor.record_length(sample.group, sample.token_count)
        self._store_sample(entry, sample)
        return sample, others

    def reuse_sample(self, sample: samples.Sample) -> bool:
        """Stores a sample that an earlier attachment has finished.

        Returns:
            False if the sample is not needed or is stale.
        """
        entry = self._entries.get(sample.sample_id)
        if entry is None or entry.state is not entries.SampleState.WAITING:
            return False
        if self._is_stale(sample.oldest_version):
            return False
        self._store_sample(entry, sample)
        return True

    def iter_unacknowledged(self) -> typing.Iterator[samples.Sample]:
        """Yields finished samples without an acknowledgement."""
        for entry in self._entries.values():
            if entry.sample is not None:
                yield entry.sample

    def set_score(
        self, sample: samples.Sample, score: typing.Optional[float]
    ) -> None:
        """Records a score, or None if the scoring service gave none.

        Ignored if the result was dropped or scored.
        """
        entry = self._entries[sample.sample_id]
        is_expected = entry.state is entries.SampleState.GENERATED
        if not is_expected or entry.sample is not sample:
            return
        entry.sample = dataclasses.replace(
            sample, score=score, is_score_failed=score is None
        )
        self._set_ready(entry)

    def fail(
        self,
        number: int,
        instance: ids.InstanceId,
        cause: outcomes.Cause,
        now_s: float,
    ) -> None:
        """Drops a failed attempt and makes its sample available again."""
        attempt = self._attempts.find(number, instance)
        if attempt is None:
            return
        if cause is outcomes.Cause.STALE:
            self._count_stale(attempt.entry)
        else:
            attempt.entry.start_backoff(now_s)
        self._drop_attempt(attempt)

    def drop_instance_attempts(self, instance: ids.InstanceId) -> None:
        """Drops all attempts that an instance runs."""
        for attempt in self._attempts.list_by_instance(instance):
            self._drop_attempt(attempt)

    def expire_leases(self, now_s: float) -> list[entries.Attempt]:
        """Drops and returns the attempts whose lease has expired."""
        lost = self._attempts.list_expired(now_s)
        for attempt in lost:
            self._drop_attempt(attempt)
        return lost

    def set_version(self, version: ids.Version) -> list[entries.Attempt]:
        """Makes a newer version current.

        Returns:
            Attempts that were dropped as stale, to be cancelled.
        """
        if version <= self._version:
            return []
        self._version = version
        self._is_version_pending = True
        for entry in self._entries.values():
            if entry.state.is_undelivered:
                self._discard_if_stale(entry)
        stale = [a for a in self._attempts if self._is_attempt_stale(a)]
        for attempt in stale:
            self._count_stale(attempt.entry)
            self._drop_attempt(attempt)
        return stale

    def take_delivery(self) -> typing.Optional[entries.Delivery]:
        """Returns the next version or sample to write to the stream.

        A version precedes all samples that are checked against it.
        """
        if self._is_version_pending:
            self._is_version_pending = False
            return entries.Delivery(version=self._version)
        while (entry := self._outbox.next_entry) is not None:
            if self._discard_if_stale(entry):
                continue
            cursor = self._outbox.mark_written(entry)
            self._set_state(entry, entries.SampleState.DELIVERED)
            return entries.Delivery(sample=entry.sample, cursor=cursor)
        return None

    def acknowledge(self, cursor: int) -> int:
        """Releases delivered samples up to a cursor.

        Returns:
            Number of samples released.
        """
        released = self._outbox.acknowledge(cursor)
        for entry in released:
            entry.sample = None
            self._set_state(entry, entries.SampleState.ACKNOWLEDGED)
        return len(released)

    def prompt_of(self, sample: samples.Sample) -> str:
        """Prompt text of a sample of this step."""
        return self._entries[sample.sample_id].group.prompt.prompt

    def _add_entries(self) -> None:
        plan = self._plan
        for position, prompt in enumerate(plan.prompts):
            group = entries.Group(prompt, position)
            for index in range(plan.group_size):
                sample_id = ids.make_sample_id(
                    plan.trainer, plan.step, prompt.group, index
                )
                if sample_id in plan.received:
                    continue
                entry = entries.Entry(sample_id, group, index)
                group.entries.append(entry)
                self._entries[sample_id] = entry
            group.waiting = group.unfinished = len(group.entries)
            self._groups.append(group)
        self._counts[entries.SampleState.WAITING] = len(self._entries)

    def _set_state(
        self, entry: entries.Entry, state: entries.SampleState
    ) -> None:
        self._counts[entry.state] -= 1
        self._counts[state] += 1
        entry.set_state(state)

    def _update_state(self, entry: entries.Entry) -> None:
        """Sets the state of a sample without a result from its attempts."""
        if entry.attempts:
            self._set_state(entry, entries.SampleState.RUNNING)
        else:
            self._set_state(entry, entries.SampleState.WAITING)

    def _store_sample(
        self, entry: entries.Entry, sample: samples.Sample
    ) -> None:
        entry.sample = sample
        self._set_state(entry, entries.SampleState.GENERATED)
        if not self._plan.is_scored or sample.score is not None:
            self._set_ready(entry)

    def _set_ready(self, entry: entries.Entry) -> None:
        self._set_state(entry, entries.SampleState.READY)
        self._outbox.add(entry)

    def _is_stale(self, oldest: ids.Version) -> bool:
        return self._version - oldest > self._plan.staleness_bound

    def _discard_if_stale(self, entry: entries.Entry) -> bool:
        if not self._is_stale(entry.sample.oldest_version):
            return False
        self._outbox.discard(entry)
        entry.sample = None
        self._count_stale(entry)
        self._update_state(entry)
        return True

    def _count_unfinished(self) -> int:
        states = (entries.SampleState.WAITING, entries.SampleState.RUNNING)
        return sum(self._counts[state] for state in states)

    def _restart_on_current(
        self, version: ids.Version
    ) -> entries.Attempt | None:
        """Drops an attempt that is worth restarting on this replica."""
        if version < self._version:
            return None
        attempt = self._selector.find_restart(self._version)
        if attempt is not None:
            attempt.entry.restarts += 1
            self._count_stale(attempt.entry)
            self._drop_attempt(attempt)
        return attempt

    def _start_hedge(self, address) -> entries.Entry | None:
        hedge_budget = self._selector.hedge_budget
        slow = hedge_budget.find_candidate(
            self._attempts, address, self._generated_tokens
        )
        if slow is None:
            return None
        hedge_budget.record_hedge(slow)
        return slow.entry

    def _is_attempt_stale(self, attempt: entries.Attempt) -> bool:
        oldest = attempt.oldest_version
        return oldest is not None and self._is_stale(oldest)

    def _count_stale(self, entry: entries.Entry) -> None:
        _stale_total.labels(self._plan.trainer).inc()
        entry.is_stale_rerun = True

    def _drop_attempt(self, attempt: entries.Attempt) -> None:
        self._attempts.drop(attempt)
        self._update_state(attempt.entry)

    def _start_attempt(
        self, entry: entries.Entry, instance, address, now_s: float
    ) -> samples.WorkItem:
        attempt = self._attempts.start(entry, instance, address, now_s)
        self._selector.record_start(entry.group, address, now_s)
        self._update_state(entry)
        return self._make_item(entry, attempt)

    def _make_item(
        self, entry: entries.Entry, attempt: entries.Attempt
    ) -> samples.WorkItem:
        return samples.WorkItem(
            sample_id=entry.sample_id,
            attempt=attempt.number,
            prompt=entry.group.prompt.prompt,
            max_tokens=self._plan.max_tokens,
            minimum_version=self.minimum_version,
        )
