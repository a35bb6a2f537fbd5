"""Records of a worker: pullers and running attempts."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import samples
from lentildeal._internal.rollouts import generation
from lentildeal._internal.rollouts import messages
from lentildeal._internal.utils import backoff


@dataclasses.dataclass(frozen=True)
class AttemptView:
    """A running attempt for the status report, without its prompt.

    Prompts are not shown to other clubs.
    """

    sample_id: ids.SampleId
    club: ids.ClubName
    address: ids.ReplicaAddress
    tokens: int


@dataclasses.dataclass
class Puller:
    """Pulls samples for one owned replica of an engine target.

    Attributes:
        address: The replica.
        model: Model that it serves.
        is_active: False once the puller has to stop.
        cause: Value of ``outcomes.Cause`` while it does not pull, else "".
        not_before_s: Monotonic time before which it does not pull.
        delays: Delays after failures of the replica.
    """

    address: ids.ReplicaAddress
    model: ids.ModelName
    is_active: bool = True
    cause: str = ''
    not_before_s: float = 0.0
    delays: backoff.Backoff = dataclasses.field(
        default_factory=backoff.Backoff
    )


@dataclasses.dataclass
class Task:
    """One running attempt.

    Attributes:
        notice: Backlog that the sample was pulled from.
        coordinator: Instance that coordinates the step.
        item: Sample to generate.
        puller: Puller of the replica.
        report_s: Interval of progress notices, in seconds.
        collector: Tokens received so far.
        thread: Green thread of the attempt.
        is_started: Whether the thread has begun to generate.
        is_cancelled: Whether the attempt was cancelled.
    """

    notice: messages.Backlog
    coordinator: ids.InstanceId
    item: samples.WorkItem
    puller: Puller
    report_s: float
    collector: generation.TokenCollector = dataclasses.field(
        default_factory=generation.TokenCollector
    )
    thread: typing.Any = None
    is_started: bool = False
    is_cancelled: bool = False

    @property
    def key(self) -> messages.StepKey:
        """Step that the sample belongs to."""
        return self.notice.key

    @property
    def request_id(self) -> ids.RequestId:
        """Request id at the engine, unique for each attempt."""
        return ids.RequestId(
            f'{self.item.sample_id}#{self.key.number}.{self.item.attempt}'
        )

    @property
    def view(self) -> AttemptView:
        """The attempt as the status report shows it."""
        return AttemptView(
            self.item.sample_id,
            self.notice.club,
            self.puller.address,
            self.collector.token_count,
        )

    @property
    def progress(self) -> tuple[int, int, int]:
        """Entry of the attempt in a progress notice."""
        oldest = self.collector.oldest_version
        return (
            self.item.attempt,
            self.collector.token_count,
            -1 if oldest is None else oldest,
        )
