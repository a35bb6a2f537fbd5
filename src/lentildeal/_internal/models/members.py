"""Value types of the membership."""

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids


class MemberState(str, enum.Enum):
    """What this daemon believes of another one."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclasses.dataclass(frozen=True)
class Attachment:
    """A trainer attached to an instance.

    Attributes:
        trainer: Who is attached.
        step: Step that is open.
        number: Grows with each attach of the trainer; the highest counts.
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
