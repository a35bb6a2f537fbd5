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
    """A running attempt for status; prompts stay with their club."""

    sample_id: ids.SampleId
    club: ids.ClubName
    address: ids.ReplicaAddress
    tokens: int


@dataclasses.dataclass
class Puller:
    """One owned replica of an engine target."""

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
    """One running attempt."""

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
        """Id at the engine, different for each attempt."""
        return ids.RequestId(
            f'{self.item.sample_id}#{self.key.number}.{self.item.attempt}'
        )

    @property
    def view(self) -> AttemptView:
        """What status shows of the attempt."""
        return AttemptView(
            self.item.sample_id,
            self.notice.club,
            self.puller.address,
            self.collector.token_count,
        )

    @property
    def progress(self) -> tuple[int, int, int]:
        """Entry of a progress notice."""
        oldest = self.collector.oldest_version
        return (
            self.item.attempt,
            self.collector.token_count,
            -1 if oldest is None else oldest,
        )
