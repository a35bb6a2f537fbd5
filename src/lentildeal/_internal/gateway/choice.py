"""Which replica gets a live call, and when it is sent to a second one.

Nothing here waits or does I/O, so that a pattern of load can be tested
without a network.
"""

from __future__ import annotations

import dataclasses
import random
import typing

from lentildeal._internal.models import ids

# A call without an answer is sent to a second replica after this share of
# its objective: late enough for 49 of 50 answers of a replica that is well,
# early enough for an answer within the objective.
HEDGE_SHARE = 0.5
# Time in which a call without an objective is hedged, in seconds.
DEFAULT_HEDGE_S = 1.0
# Added load of a replica in another failure domain, in shares of its slots:
# the way there and back is a small part of an answer's time.
FOREIGN_DOMAIN_LOAD = 0.1


@dataclasses.dataclass(frozen=True)
class Option:
    """A replica as a place for a call.

    Attributes:
        replica_id: The replica.
        load: Requests known at it, in shares of its slots.
        penalty: Load added for failures.
        is_local: Whether it is in this daemon's failure domain.
    """

    replica_id: ids.ReplicaId
    load: float
    penalty: float
    is_local: bool


def choose(
    options: typing.Sequence[Option],
    used: typing.Container[ids.ReplicaId],
) -> typing.Optional[ids.ReplicaId]:
    """Replica with the least load among those not used yet."""
    fresh = [option for option in options if option.replica_id not in used]
    if not fresh:
        return None

    def cost(option: Option) -> tuple[float, float]:
        foreign = 0.0 if option.is_local else FOREIGN_DOMAIN_LOAD
        # Ties are broken at random, so that daemons don't herd.
        return option.load + option.penalty + foreign, random.random()

    return min(fresh, key=cost).replica_id


def hedge_after_s(objective_s: float) -> float:
    """Time after which a call that may be repeated is sent once more."""
    return objective_s * HEDGE_SHARE if objective_s > 0 else DEFAULT_HEDGE_S


def choose_service(
    shares: typing.Sequence, position: float
) -> typing.Optional[ids.ServiceName]:
    """Service at a position of a weighted split.

    Args:
        shares: Services with their weights.
        position: Position in the sum of weights, from 0 up to 1.
    """
    total = sum(share.weight for share in shares)
    left = position * total
    for share in shares:
        if left < share.weight:
            return share.service
        left -= share.weight
    return None
