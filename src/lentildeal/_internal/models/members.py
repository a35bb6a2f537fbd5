"""Value types of the federation membership."""

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids


class MemberState(str, enum.Enum):
    """State of another daemon as seen by this daemon."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclasses.dataclass(frozen=True)
class Attachment:
    """A trainer attached to an instance.

    Attributes:
        trainer: Name of the trainer.
        step: Number of the open step.
        number: Increases with each attachment of the trainer; the highest
            is in effect.
        version: Weight version that the trainer has announced.
    """

    trainer: ids.TrainerName
    step: ids.StepNumber
    number: int
    version: ids.Version


@dataclasses.dataclass(frozen=True)
class Member:
    """One instance as seen by this daemon."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    failure_domain: ids.FailureDomain
    http_address: str
    peer_address: str
    state: MemberState = MemberState.LIVE
    revision: ids.Revision = ids.NO_REVISION
    attachments: typing.Tuple[Attachment, ...] = ()
