"""Choice of a replica from figures that may be out of date."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import random
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import hashing

# A load report loses two thirds of its weight in this time when domains are
# compared, so that calls return to the own domain.
REPORT_DECAY_S = 1.0
# Load of other daemons at a replica, averaged over this time and weighted
# against own calls in flight. A larger weight or a shorter time makes daemons
# herd: with reports 1 s late a weight of 1 over 1 s gave queues ten times as
# long (``python -m bench --only late-reports`` measures the values here).
OTHERS_WINDOW_S = 10.0
OTHERS_WEIGHT = 0.1
# Replicas that are compared for one call; bounds the work for large targets.
MAX_COMPARED = 32
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
    others_average: float
    at_s: float


class LoadTracker:
    """Own requests in flight and the latest reports of owners."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._reports: dict[ids.ReplicaAddress, _Report] = {}
        self._numbers = itertools.count(1)
        self._turns: collections.Counter[ids.ReplicaAddress] = (
            collections.Counter()
        )
        self._own: collections.Counter[ids.ReplicaAddress] = (
            collections.Counter()
        )

    def begin(self, address: ids.ReplicaAddress) -> None:
        """Counts a request that has been sent to a replica's queue."""
        self._own[address] += 1
        self._turns[address] = next(self._numbers)

    def end(self, address: ids.ReplicaAddress) -> None:
        """Counts the end of a request."""
        self._own[address] -= 1

    def report(self, address: ids.ReplicaAddress, load: ReplicaLoad) -> None:
        """Takes in a report of the owner."""
        now_s = self._now()
        own = self._own[address]
        others = max(0, load.in_flight + load.waiting - own)
        average = float(others)
        last = self._reports.get(address)
        if last is not None:
            kept = math.exp((last.at_s - now_s) / OTHERS_WINDOW_S)
            average = kept * last.others_average + (1 - kept) * others
        self._reports[address] = _Report(load, own, average, now_s)

    def own_in_flight(self, address: ids.ReplicaAddress) -> int:
        """Own requests at a replica or in its queue."""
        return self._own[address]

    def last_turn(self, address: ids.ReplicaAddress) -> int:
        """Number of the last own request, lower for an earlier one."""
        return self._turns[address]

    def others_average(
        self, address: ids.ReplicaAddress
    ) -> typing.Optional[float]:
        """Average load by other daemons, None if nothing is known."""
        report = self._reports.get(address)
        return report.others_average if report else None

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
        loads: LoadTracker,
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
        remote = [r for r in replicas if r.domain != self._domain]
        if not local or not remote:
            return self._choose_least(replicas, limit)
        near = self._choose_least(local, limit)
        far = self._choose_least(remote, limit)
        near_load = self._estimate(near.address, limit)
        far_load = self._estimate(far.address, limit) + REMOTE_PENALTY
        return near if near_load <= far_load else far

    def _choose_least(
        self, replicas: typing.Sequence[Replica], limit: int
    ) -> Replica:
        """Least own requests, corrected by what others do; then in turn."""
        if len(replicas) > MAX_COMPARED:
            replicas = self._random.sample(replicas, MAX_COMPARED)
        averages = [self._loads.others_average(r.address) for r in replicas]
        known = [average for average in averages if average is not None]
        mean = sum(known) / len(known) if known else 0.0

        def score(item: tuple[Replica, typing.Optional[float]]) -> tuple:
            address, average = item[0].address, item[1]
            excess = 0.0 if average is None else average - mean
            load = self._loads.own_in_flight(address) + OTHERS_WEIGHT * excess
            load += limit * self._penalty_of(address)
            turn = self._loads.last_turn(address)
            return load, turn, self._random.random()

        return min(zip(replicas, averages), key=score)[0]

    def _estimate(self, address: ids.ReplicaAddress, limit: int) -> float:
        penalty = self._penalty_of(address)
        return self._loads.estimate(address, limit) + penalty

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
