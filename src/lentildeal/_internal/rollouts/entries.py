"""Records that the state of a step consists of."""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import samples

# Delay before a failed sample is handed out again, in seconds; it doubles
# with each failure, so that a prompt that no engine accepts takes no slots.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 10.0
MAX_COUNTED_FAILURES = 30


class SampleState(str, enum.Enum):
    """Where a sample is."""

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
        """Whether a sample in this state has a result still to be written."""
        return self in (SampleState.GENERATED, SampleState.READY)


@dataclasses.dataclass(frozen=True)
class StepPlan:
    """What the trainer has asked for.

    Attributes:
        trainer: Who asked.
        step: Number of the step.
        prompts: Prompts of the groups, in order.
        group_size: Samples for each prompt.
        max_tokens: Longest sample, in tokens.
        received: Samples that the trainer holds already.
        staleness_bound: Most versions behind at delivery.
        staleness_weight: Weight of staleness against idle time.
        is_scored: Whether samples pass a scoring service.
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
    """One sample of the step."""

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
        """Changes the state and the counts of the group."""
        old, self.state, group = self.state, state, self.group
        group.waiting += (state is SampleState.WAITING) - (
            old is SampleState.WAITING
        )
        group.unfinished += state.is_unfinished - old.is_unfinished

    def make_sample(
        self, text: str, segments: tuple[samples.Segment, ...]
    ) -> samples.Sample:
        """Makes the sample of a result."""
        return samples.Sample(
            sample_id=self.sample_id,
            group=self.group.prompt.group,
            index=self.index,
            text=text,
            token_count=segments[-1].end,
            segments=segments,
        )

    def start_backoff(self, now_s: float) -> None:
        """Sets when the sample may be handed out again after a failure."""
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        self.retry_at_s = now_s + delay_s


@dataclasses.dataclass
class Group:
    """The samples of one prompt.

    Attributes:
        prompt: The prompt.
        position: Place in the trainer's request.
        entries: Samples that the trainer does not hold.
        replicas: Replicas that have taken a sample of the group.
        last_start_s: When one was last handed out.
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
    """One running attempt at a sample."""

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
    """An item, or the cause why none is handed out.

    Attributes:
        item: Sample to generate.
        cause: Why there is none.
        replaced: Attempt that the item replaces, to be cancelled.
    """

    item: typing.Optional[samples.WorkItem] = None
    cause: outcomes.Cause = outcomes.Cause.NO_WORK
    replaced: typing.Optional[Attempt] = None


@dataclasses.dataclass(frozen=True)
class Delivery:
    """The next thing to write to the stream: a version or a sample."""

    version: typing.Optional[ids.Version] = None
    sample: typing.Optional[samples.Sample] = None
    cursor: int = 0
