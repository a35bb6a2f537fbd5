"""Choice of replicas for live calls and timing of hedged requests.

Nothing here waits or does I/O, so that load patterns can be tested without
a network.
"""

from __future__ import annotations

import dataclasses
import random
import typing

from lentildeal._internal.models import ids

# Share of its objective after which an unanswered call is sent to a second
# replica. By then a healthy replica has answered 49 of 50 calls, and the
# second one can still answer within the objective.
HEDGE_SHARE = 0.5
# Hedge delay of a call without an objective, in seconds.
DEFAULT_HEDGE_S = 1.0
# Load added to a replica in another failure domain, in shares of its slots.
# Small, since the network round trip is a small part of the response time.
REMOTE_DOMAIN_LOAD = 0.1
# Load added to a replica that limits its requests. It is in need, and its room
# is left to requests that no other replica can take.
LIMITED_LOAD = 0.5


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A replica that may get a call.

    Attributes:
        replica_id: The replica.
        load: Its known running requests, in shares of its slots.
        penalty: Load added for failures.
        is_local: Whether it is in this daemon's failure domain.
        is_limited: Whether it limits its requests.
    """

    replica_id: ids.ReplicaId
    load: float
    penalty: float
    is_local: bool
    is_limited: bool = False

    @property
    def extra_load(self) -> float:
        """Load added for failures, distance and request limits."""
        extra_load = 0.0 if self.is_local else REMOTE_DOMAIN_LOAD
        if self.is_limited:
            extra_load += LIMITED_LOAD
        return self.penalty + extra_load


def choose(
    candidates: typing.Sequence[Candidate],
    tried: typing.Container[ids.ReplicaId],
) -> typing.Optional[ids.ReplicaId]:
    """Returns the untried replica with the lowest cost, None without one."""
    untried = [
        candidate
        for candidate in candidates
        if candidate.replica_id not in tried
    ]
    if not untried:
        return None

    def cost(candidate: Candidate) -> tuple[float, float]:
        # Ties are broken at random, so that daemons don't all choose the
        # same replica.
        return candidate.load + candidate.extra_load, random.random()

    return min(untried, key=cost).replica_id


def get_hedge_delay_s(objective_s: float) -> float:
    """Returns the time after which a safe call is hedged."""
    return objective_s * HEDGE_SHARE if objective_s > 0 else DEFAULT_HEDGE_S


def choose_service(
    shares: typing.Sequence, position: float
) -> typing.Optional[ids.ServiceName]:
    """Returns the service at a position of a weighted split.

    Args:
        shares: Services with their weights.
        position: Position in the sum of weights, from 0 up to 1.
    """
    total = sum(share.weight for share in shares)
    remaining = position * total
    for share in shares:
        if remaining < share.weight:
            return share.service
        remaining -= share.weight
    return None
