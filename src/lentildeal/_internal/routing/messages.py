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
    """Load of a replica, part of responses and sent after releases."""

    address: ids.ReplicaAddress
    in_flight: int
    waiting: int
    limit: int

    def to_replica_load(self) -> chooser.ReplicaLoad:
        """Converts to the type that the chooser uses."""
        return chooser.ReplicaLoad(self.in_flight, self.waiting, self.limit)


@wire.message('slot.acquire')
@dataclasses.dataclass(frozen=True)
class SlotAcquire:
    """Requests a slot for a live call.

    Attributes:
        domain: Failure domain of the replica.
        address: The replica.
        club: Club that the call is made for.
        request_id: Unique for each request for a slot.
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
    """The request is queued; tells the entry daemon the owner is alive."""

    request_id: ids.RequestId


@wire.message('slot.granted')
@dataclasses.dataclass(frozen=True)
class SlotGranted:
    """Grants a slot.

    Attributes:
        incarnation: Incarnation of the owner that granted the slot.
        load: Load of the replica including this slot.
    """

    incarnation: ids.Incarnation
    load: SlotLoad


@wire.message('slot.refused')
@dataclasses.dataclass(frozen=True)
class SlotRefused:
    """Refuses a slot; ``load`` is None if the sender isn't the owner."""

    cause: str
    problem: str
    retry_after_ms: int
    load: typing.Optional[SlotLoad] = None


@wire.message('slot.release')
@dataclasses.dataclass(frozen=True)
class SlotRelease:
    """Releases a slot or withdraws a request for one.

    Attributes:
        address: The replica.
        request_id: As in the request for the slot.
        incarnation: Incarnation of the owner that granted the slot, 0 for a
            request without a response. Other incarnations of the owner
            ignore the release.
        is_success: Whether the response was complete.
        micros: Time at the replica, in microseconds.
        tokens: Generated tokens.
    """

    address: ids.ReplicaAddress
    request_id: ids.RequestId
    incarnation: ids.Incarnation
    is_success: bool = True
    micros: int = 0
    tokens: int = 0
