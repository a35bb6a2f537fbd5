"""Choice of a replica from figures that may be out of date."""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import hashing

# A load report loses half of its weight in about 0.7 s, so that daemons with
# the same old report do not all go to the same replica.
REPORT_DECAY_S = 1.0
# Two random replicas of the own domain are compared. Source: Mitzenmacher,
# "The power of two choices in randomized load balancing", 2001.
LOCAL_SAMPLES = 2
REMOTE_SAMPLES = 1
# Another domain is chosen if the load there is lower by more than this
# share of a replica's limit.
REMOTE_PENALTY = 0.5
# Prompts with the same beginning go to the same replica.
PREFIX_CHARACTERS = 256
# Load of the preferred replica relative to the mean of all. Source:
# Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
# loads", 2018.
AFFINITY_BOUND = 1.25


PenaltyOf = typing.Callable[[ids.ReplicaAddress], float]


@dataclasses.dataclass(frozen=True)
class ReplicaLoad:
    """Load of one replica as its owner sees it.

    Attributes:
        in_flight: Slots in use.
        waiting: Live calls that wait.
        limit: Present limit.
    """

    in_flight: int
    waiting: int
    limit: int


@dataclasses.dataclass(frozen=True)
class Replica:
    """A replica that a request may go to."""

    domain: ids.FailureDomain
    address: ids.ReplicaAddress


@dataclasses.dataclass
class _Report:
    load: ReplicaLoad
    own_in_flight: int
    at_s: float


class LoadBook:
    """Own requests in flight and the latest reports of owners."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._reports: dict[ids.ReplicaAddress, _Report] = {}
        self._own: collections.Counter[ids.ReplicaAddress] = (
            collections.Counter()
        )

    def begin(self, address: ids.ReplicaAddress) -> None:
        """Counts a request that has been sent to a replica's queue."""
        self._own[address] += 1

    def end(self, address: ids.ReplicaAddress) -> None:
        """Counts the end of a request."""
        self._own[address] -= 1

    def report(self, address: ids.ReplicaAddress, load: ReplicaLoad) -> None:
        """Takes in a report of the owner."""
        own = self._own[address]
        self._reports[address] = _Report(load, own, self._now())

    def last_report(
        self, address: ids.ReplicaAddress
    ) -> typing.Optional[ReplicaLoad]:
        """Latest report, however old."""
        report = self._reports.get(address)
        return report.load if report else None

    def estimate(self, address: ids.ReplicaAddress, limit: int) -> float:
        """Expected load relative to the limit, 1 for a full replica.

        Args:
            address: The replica.
            limit: Limit to assume without a report.
        """
        own = self._own[address]
        report = self._reports.get(address)
        if report is None:
            return own / limit
        others = (
            report.load.in_flight + report.load.waiting - report.own_in_flight
        )
        age_s = self._now() - report.at_s
        fresh = max(0, others) * math.exp(-age_s / REPORT_DECAY_S)
        return (own + fresh) / max(1, report.load.limit)


class ReplicaChooser:
    """Chooses among the usable replicas of a target.

    Args:
        domain: Failure domain of this instance.
        loads: Known loads.
        penalty_of: Load to add for a replica that fails.
        generator: Source of random numbers.
    """

    def __init__(
        self,
        domain: ids.FailureDomain,
        loads: LoadBook,
        penalty_of: PenaltyOf = lambda address: 0.0,
        generator: typing.Optional[random.Random] = None,
    ) -> None:
        self._domain = domain
        self._loads = loads
        self._penalty_of = penalty_of
        self._random = generator or random.Random()

    def choose(
        self,
        replicas: typing.Sequence[Replica],
        limit: int,
        prefix: typing.Optional[str] = None,
    ) -> Replica:
        """Chooses a replica.

        Args:
            replicas: Candidates, at least one.
            limit: Configured concurrency of a replica.
            prefix: Beginning of the prompt, for the prefix cache.
        """
        local = [r for r in replicas if r.domain == self._domain]
        if prefix:
            preferred = self._find_preferred(local or replicas, limit, prefix)
            if preferred is not None:
                return preferred
        return min(self._sample(replicas), key=self._make_score(limit))

    def _make_score(self, limit: int):
        def score(replica: Replica) -> tuple[float, float]:
            load = self._estimate(replica.address, limit)
            if replica.domain != self._domain:
                load += REMOTE_PENALTY
            return load, self._random.random()

        return score

    def _estimate(self, address: ids.ReplicaAddress, limit: int) -> float:
        penalty = self._penalty_of(address)
        return self._loads.estimate(address, limit) + penalty

    def _sample(self, replicas: typing.Sequence[Replica]) -> list[Replica]:
        local = [r for r in replicas if r.domain == self._domain]
        remote = [r for r in replicas if r.domain != self._domain]
        if not local:
            return self._draw(remote, LOCAL_SAMPLES)
        return self._draw(local, LOCAL_SAMPLES) + self._draw(
            remote, REMOTE_SAMPLES
        )

    def _draw(self, replicas: list[Replica], count: int) -> list[Replica]:
        return self._random.sample(replicas, min(count, len(replicas)))

    def _find_preferred(
        self, replicas: typing.Sequence[Replica], limit: int, prefix: str
    ) -> typing.Optional[Replica]:
        """First replica in the prefix's order that is within the bound."""
        by_address = {replica.address: replica for replica in replicas}
        estimates = {
            address: self._estimate(address, limit) for address in by_address
        }
        mean = sum(estimates.values()) / len(estimates)
        bound = max(AFFINITY_BOUND * mean, 1 / limit)
        order = hashing.rank_by_rendezvous(
            prefix[:PREFIX_CHARACTERS], list(by_address)
        )
        for address in order:
            if estimates[address] < bound and estimates[address] < 1.0:
                return by_address[address]
        return None
