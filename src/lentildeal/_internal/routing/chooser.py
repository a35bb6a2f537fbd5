"""Choice of a replica from load reports that may be stale."""

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

# Time in which a load report loses two thirds of its weight when failure
# domains are compared, so that calls return to the local domain.
REPORT_DECAY_S = 1.0
# The load that other daemons put on a replica is averaged over this time and
# weighted against this daemon's requests in flight. With a larger weight or
# a shorter time, all daemons choose the same replica at once: with reports
# 1 s late, a weight of 1 over 1 s makes queues ten times as long (see
# ``python -m bench --only late-reports``).
OTHERS_WINDOW_S = 10.0
OTHERS_WEIGHT = 0.1
# Most replicas that are compared for one call, to bound the work for large
# targets.
MAX_COMPARED = 32
# A replica in another failure domain is chosen only if its load is lower by
# more than this share of a replica's limit.
REMOTE_PENALTY = 0.5
# Prompts with the same prefix of this length go to the same replica.
PREFIX_CHARACTERS = 256
# Highest load of the preferred replica relative to the mean load. Source:
# Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
# loads", 2018.
AFFINITY_BOUND = 1.25


PenaltyOf = typing.Callable[[ids.ReplicaAddress], float]


@dataclasses.dataclass(frozen=True)
class ReplicaLoad:
    """Load of one replica as reported by its owner.

    Attributes:
        in_flight: Slots in use.
        waiting: Live calls that wait for a slot.
        limit: Current concurrency limit.
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
    """This daemon's requests in flight and the latest load reports."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._reports: dict[ids.ReplicaAddress, _Report] = {}
        self._request_numbers = itertools.count(1)
        self._last_numbers: collections.Counter[ids.ReplicaAddress] = (
            collections.Counter()
        )
        self._own_requests: collections.Counter[ids.ReplicaAddress] = (
            collections.Counter()
        )

    def record_start(self, address: ids.ReplicaAddress) -> None:
        """Counts a request that was sent to a replica's queue."""
        self._own_requests[address] += 1
        self._last_numbers[address] = next(self._request_numbers)

    def record_end(self, address: ids.ReplicaAddress) -> None:
        """Counts the end of a request."""
        self._own_requests[address] -= 1

    def record_report(
        self, address: ids.ReplicaAddress, load: ReplicaLoad
    ) -> None:
        """Records a load report from the owner of a replica."""
        now_s = self._now()
        own = self._own_requests[address]
        others = max(0, load.in_flight + load.waiting - own)
        average = float(others)
        last = self._reports.get(address)
        if last is not None:
            kept = math.exp((last.at_s - now_s) / OTHERS_WINDOW_S)
            average = kept * last.others_average + (1 - kept) * others
        self._reports[address] = _Report(load, own, average, now_s)

    def own_in_flight(self, address: ids.ReplicaAddress) -> int:
        """This daemon's requests at a replica or in its queue."""
        return self._own_requests[address]

    def last_request_number(self, address: ids.ReplicaAddress) -> int:
        """Sequence number of this daemon's last request, 0 without one."""
        return self._last_numbers[address]

    def others_average(
        self, address: ids.ReplicaAddress
    ) -> typing.Optional[float]:
        """Average load from other daemons, None without a report."""
        report = self._reports.get(address)
        return report.others_average if report else None

    def last_report(
        self, address: ids.ReplicaAddress
    ) -> typing.Optional[ReplicaLoad]:
        """Latest report, of any age; None without one."""
        report = self._reports.get(address)
        return report.load if report else None

    def estimate(self, address: ids.ReplicaAddress, limit: int) -> float:
        """Estimated load relative to the limit, 1 for a full replica.

        Args:
            address: The replica.
            limit: Limit that is assumed without a report.
        """
        own = self._own_requests[address]
        report = self._reports.get(address)
        if report is None:
            return own / limit
        others = (
            report.load.in_flight + report.load.waiting - report.own_in_flight
        )
        age_s = self._now() - report.at_s
        decayed = max(0, others) * math.exp(-age_s / REPORT_DECAY_S)
        return (own + decayed) / max(1, report.load.limit)


class ReplicaChooser:
    """Chooses among the usable replicas of a target.

    Args:
        domain: Failure domain of this instance.
        loads: Known loads.
        penalty_of: Load that is added for a failing replica, relative to
            its limit.
        generator: Random number generator.
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
            prefix: Prefix of the prompt, for prefix cache affinity.
        """
        local = [r for r in replicas if r.domain == self._domain]
        if prefix:
            preferred = self._find_preferred(local or replicas, limit, prefix)
            if preferred is not None:
                return preferred
        remote = [r for r in replicas if r.domain != self._domain]
        if not local or not remote:
            return self._choose_least(replicas, limit)
        local_choice = self._choose_least(local, limit)
        remote_choice = self._choose_least(remote, limit)
        local_load = self._estimate(local_choice.address, limit)
        remote_load = (
            self._estimate(remote_choice.address, limit) + REMOTE_PENALTY
        )
        return local_choice if local_load <= remote_load else remote_choice

    def _choose_least(
        self, replicas: typing.Sequence[Replica], limit: int
    ) -> Replica:
        """Chooses by this daemon's requests, corrected by others' load.

        Ties go to the replica whose last request is the oldest.
        """
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
            number = self._loads.last_request_number(address)
            return load, number, self._random.random()

        return min(zip(replicas, averages), key=score)[0]

    def _estimate(self, address: ids.ReplicaAddress, limit: int) -> float:
        penalty = self._penalty_of(address)
        return self._loads.estimate(address, limit) + penalty

    def _find_preferred(
        self, replicas: typing.Sequence[Replica], limit: int, prefix: str
    ) -> typing.Optional[Replica]:
        """First replica in rendezvous order that is within the load bound."""
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
