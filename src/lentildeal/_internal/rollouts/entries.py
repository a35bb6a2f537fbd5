"""Records that make up the state of a step."""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import samples

# Delay before a failed sample is retried, in seconds. It doubles with each
# failure, so that a prompt that no engine accepts does not occupy slots.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 10.0
MAX_COUNTED_FAILURES = 30


class SampleState(str, enum.Enum):
    """State of a sample."""

    WAITING = 'waiting'
    RUNNING = 'running'
    GENERATED = 'generated'
    READY = 'ready'
    DELIVERED = 'delivered'
    ACKNOWLEDGED = 'acknowledged'

    @property
    def is_unfinished(self) -> bool:
        """Whether a sample in this state has no result."""
        return self in (SampleState.WAITING, SampleState.RUNNING)

    @property
    def is_undelivered(self) -> bool:
        """Whether a sample in this state has a result not yet written."""
        return self in (SampleState.GENERATED, SampleState.READY)


@dataclasses.dataclass(frozen=True)
class StepPlan:
    """Request of a trainer, with its published settings.

    Attributes:
        trainer: Trainer that sent the request.
        step: Number of the step.
        prompts: Prompts of the groups, in order.
        group_size: Samples for each prompt.
        max_tokens: Maximum length of a sample, in tokens.
        received: Ids of samples that the trainer already has.
        staleness_bound: Maximum number of versions behind at delivery.
        staleness_weight: Weight of staleness against idle time.
        is_scored: Whether samples are scored before delivery.
    """

    trainer: ids.TrainerName
    step: ids.StepNumber
    prompts: tuple[samples.Prompt, ...]
    group_size: int
    max_tokens: int
    received: frozenset[ids.SampleId]
    staleness_bound: int
    staleness_weight: float
    is_scored: bool

    def sample_ids(self) -> set[ids.SampleId]:
        """Ids of all samples of the step, received ones included."""
        return {
            ids.make_sample_id(self.trainer, self.step, prompt.group, index)
            for prompt in self.prompts
            for index in range(self.group_size)
        }


@dataclasses.dataclass
class Entry:
    """One sample of the step.

    Attributes:
        sample_id: Id of the sample.
        group: Group that the sample belongs to.
        index: Index within the group, from 0.
        state: State of the sample.
        attempts: Running attempts by number.
        sample: Result, None before it is generated and once it is
            acknowledged or discarded.
        cursor: Cursor in the stream, 0 before the sample is written.
        reached_tokens: Most tokens that any dropped attempt has generated.
        failures: Number of failed attempts, up to MAX_COUNTED_FAILURES.
        restarts: Number of voluntary restarts on a newer version.
        retry_at_s: Monotonic time before which the sample is not retried.
        is_stale_rerun: Whether an attempt or result was dropped as stale.
    """

    sample_id: ids.SampleId
    group: Group
    index: int
    state: SampleState = SampleState.WAITING
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    sample: typing.Optional[samples.Sample] = None
    cursor: int = 0
    reached_tokens: int = 0
    failures: int = 0
    restarts: int = 0
    retry_at_s: float = 0.0
    is_stale_rerun: bool = False

    def set_state(self, state: SampleState) -> None:
        """Changes the state and updates the counts of the group."""
        old, self.state, group = self.state, state, self.group
        group.waiting += (state is SampleState.WAITING) - (
            old is SampleState.WAITING
        )
        group.unfinished += state.is_unfinished - old.is_unfinished

    def make_sample(
        self, text: str, segments: tuple[samples.Segment, ...]
    ) -> samples.Sample:
        """Builds the sample from a result."""
        return samples.Sample(
            sample_id=self.sample_id,
            group=self.group.prompt.group,
            index=self.index,
            text=text,
            token_count=segments[-1].end,
            segments=segments,
        )

    def start_backoff(self, now_s: float) -> None:
        """Records a failure and sets the time of the next retry."""
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        self.retry_at_s = now_s + delay_s


@dataclasses.dataclass
class Group:
    """The samples of one prompt.

    Attributes:
        prompt: The prompt.
        position: Position in the trainer's request.
        entries: Samples that the trainer does not have yet.
        replicas: Replicas that have started a sample of the group.
        last_start_s: Monotonic time at which a sample was last started.
        waiting: Number of waiting samples.
        unfinished: Number of samples without a result.
    """

    prompt: samples.Prompt
    position: int
    entries: list[Entry] = dataclasses.field(default_factory=list)
    replicas: set[ids.ReplicaAddress] = dataclasses.field(default_factory=set)
    last_start_s: float = 0.0
    waiting: int = 0
    unfinished: int = 0


@dataclasses.dataclass
class Attempt:
    """One running attempt at a sample.

    Attributes:
        number: Number of the attempt within the step.
        entry: Sample that it generates.
        instance: Instance that owns the replica.
        address: Replica that generates.
        started_s: Monotonic time of the start.
        last_report_s: Monotonic time of the last progress notice.
        tokens: Tokens generated, as last reported.
        oldest_version: Oldest version of a token, None before the first.
    """

    number: int
    entry: Entry
    instance: ids.InstanceId
    address: ids.ReplicaAddress
    started_s: float
    last_report_s: float
    tokens: int = 0
    oldest_version: typing.Optional[ids.Version] = None


@dataclasses.dataclass(frozen=True)
class PullResponse:
    """Response to a pull.

    Attributes:
        item: Sample to generate, None if there is none.
        cause: Why there is no item.
        replaced: Attempt that the item replaces, to be cancelled.
    """

    item: typing.Optional[samples.WorkItem] = None
    cause: outcomes.Cause = outcomes.Cause.NO_WORK
    replaced: typing.Optional[Attempt] = None


@dataclasses.dataclass(frozen=True)
class Delivery:
    """Next event of the stream: a version, or a sample and its cursor."""

    version: typing.Optional[ids.Version] = None
    sample: typing.Optional[samples.Sample] = None
    cursor: int = 0
