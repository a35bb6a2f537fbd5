"""Messages between entry daemons and owners of replicas."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.network import wire
from lentildeal._internal.routing import chooser


@wire.message('slot.load')
@dataclasses.dataclass(frozen=True)
class SlotLoad:
    """Load of a replica, attached to answers and sent after releases."""

    address: ids.ReplicaAddress
    in_flight: int
    waiting: int
    limit: int

    def to_replica_load(self) -> chooser.ReplicaLoad:
        """Converts to the value that the chooser uses."""
        return chooser.ReplicaLoad(self.in_flight, self.waiting, self.limit)


@wire.message('slot.acquire')
@dataclasses.dataclass(frozen=True)
class SlotAcquire:
    """Asks for a slot for a live call.

    Attributes:
        domain: Failure domain of the replica.
        address: The replica.
        club: Who the call is for.
        request_id: Unique for each ask.
        remaining_ms: Time left until the deadline.
    """

    domain: ids.FailureDomain
    address: ids.ReplicaAddress
    club: ids.ClubName
    request_id: ids.RequestId
    remaining_ms: int


@wire.message('slot.queued')
@dataclasses.dataclass(frozen=True)
class SlotQueued:
    """The ask waits; tells the entry daemon that the owner is alive."""

    request_id: ids.RequestId


@wire.message('slot.granted')
@dataclasses.dataclass(frozen=True)
class SlotGranted:
    """A slot.

    Attributes:
        incarnation: Run of the owner that holds the slot.
        load: Load of the replica with this slot.
    """

    incarnation: ids.Incarnation
    load: SlotLoad


@wire.message('slot.refused')
@dataclasses.dataclass(frozen=True)
class SlotRefused:
    """No slot; ``load`` is None if the answering daemon is no owner."""

    cause: str
    problem: str
    retry_after_ms: int
    load: typing.Optional[SlotLoad] = None


@wire.message('slot.release')
@dataclasses.dataclass(frozen=True)
class SlotRelease:
    """Ends a grant or withdraws an ask.

    Attributes:
        address: The replica.
        request_id: As in the ask.
        incarnation: Run of the owner that granted, 0 for an ask that was not
            answered. Another run of the owner ignores the release.
        is_success: Whether a whole answer came.
        micros: Time at the replica.
        tokens: Generated tokens.
    """

    address: ids.ReplicaAddress
    request_id: ids.RequestId
    incarnation: ids.Incarnation
    is_success: bool = True
    micros: int = 0
    tokens: int = 0
