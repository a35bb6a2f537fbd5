"""Messages between the coordinator of a step and the owners of replicas."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import samples
from lentildeal._internal.network import wire

wire.message('work.item')(samples.WorkItem)
wire.message('work.segment')(samples.Segment)


@wire.message('step.key')
@dataclasses.dataclass(frozen=True)
class StepKey:
    """Identifies one attachment of a trainer to a step.

    Attributes:
        trainer: Trainer that is attached.
        step: Step that it requests samples of.
        number: Attachment number, which grows with each attachment.
    """

    trainer: ids.TrainerName
    step: ids.StepNumber
    number: int


@wire.message('work.backlog')
@dataclasses.dataclass(frozen=True)
class Backlog:
    """Samples that the coordinator could hand out now.

    Attributes:
        key: Step that the samples belong to.
        club: Club whose share is charged.
        model: Model that generates them.
        count: Number of samples, 0 to withdraw an earlier notice.
        minimum_version: Oldest weight version that may start one.
    """

    key: StepKey
    club: ids.ClubName
    model: ids.ModelName
    count: int
    minimum_version: ids.Version


@wire.message('work.pull')
@dataclasses.dataclass(frozen=True)
class Pull:
    """A replica has a free slot for a sample of a step."""

    key: StepKey
    address: ids.ReplicaAddress
    version: ids.Version


@wire.message('work.items')
@dataclasses.dataclass(frozen=True)
class Items:
    """Response to a pull.

    Attributes:
        items: Samples to generate, none if nothing may start now.
        cause: Value of ``outcomes.Cause`` when there are no items.
        report_s: Interval at which progress is reported, in seconds.
        is_open: False if the step is no longer served here.
    """

    items: typing.Tuple[samples.WorkItem, ...] = ()
    cause: str = outcomes.Cause.NO_WORK.value
    report_s: float = 1.0
    is_open: bool = True


@wire.message('work.done')
@dataclasses.dataclass(frozen=True)
class Done:
    """Complete result of an attempt."""

    key: StepKey
    attempt: int
    text: str
    segments: typing.Tuple[samples.Segment, ...]


@wire.message('work.failed')
@dataclasses.dataclass(frozen=True)
class Failed:
    """An attempt ended without a complete result."""

    key: StepKey
    attempt: int
    cause: str


@wire.message('work.cancel')
@dataclasses.dataclass(frozen=True)
class Cancel:
    """Asks the owner to cancel attempts that are no longer needed."""

    key: StepKey
    attempts: typing.Tuple[int, ...]


@wire.message('work.progress')
@dataclasses.dataclass(frozen=True)
class Progress:
    """Periodic notice of an owner; renews the leases of its attempts.

    Attributes:
        key: Step that the attempts belong to.
        attempts: For each attempt its number, its tokens so far and the
            oldest weight version among them (-1 before the first token).
            Plain tuples keep 4,096 attempts near 40 KB.
        cause: Why replicas of this owner do not pull, "" if they pull.
    """

    key: StepKey
    attempts: typing.Tuple[typing.Tuple[int, int, int], ...] = ()
    cause: str = ''


@wire.message('step.ack')
@dataclasses.dataclass(frozen=True)
class Ack:
    """The trainer has stored all samples up to a cursor.

    Attributes:
        trainer: Trainer that acknowledges.
        step: Step of the samples.
        cursor: Cursor of the last sample stored.
        attachment: Attachment that the cursor belongs to, -1 for the latest.
    """

    trainer: ids.TrainerName
    step: ids.StepNumber
    cursor: int
    attachment: int = -1


@wire.message('step.version')
@dataclasses.dataclass(frozen=True)
class NewVersion:
    """The trainer has announced a weight version."""

    trainer: ids.TrainerName
    version: ids.Version
