"""Choice of a replica by its expected finish time.

Times are in units of the usual work of one request, so that replicas are
compared without knowing how long a request takes. Nothing here waits or does
I/O, so that load patterns can be tested without a network.
"""

from __future__ import annotations

import dataclasses
import math
import random
import typing

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock

# Age at which a report says nothing any more. Work takes tens of milliseconds,
# so the requests of a report have ended by then, and speeds change many times
# a second. Until then its weight falls linearly.
REPORT_VALID_S = 1.0
# Time over which reported work factors are averaged. A single figure varies
# between two reports; a replica that is slowed stays so for seconds.
FACTOR_WINDOW_S = 0.2
# Expected wait at a replica whose slots are just full, as a share of the time
# of one request. Calls of other daemons may be under way to its last slots.
LOAD_RISK = 0.5
# Replicas whose expected finish differs by less than this share of the best
# one count as near-equal, and the choice among them is random. Daemons that
# act on the same reports would otherwise all choose the same replica. Farther
# ones are left out: distance is known, load only estimated.
NEAR_EQUAL_SHARE = 0.4
# Weight of the usual work factor 1.0 among the reported ones, in reports.
USUAL_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True)
class Estimate:
    """What this daemon knows of a replica.

    Attributes:
        replica_id: The replica.
        running: Requests that it ran when it reported.
        waiting: Requests that waited there.
        slots: Requests that it runs concurrently.
        work_factor: How long work took there, 1.0 is usual; None if it did
            not say.
        age_s: Age of the report, infinite without one.
        own_running: This daemon's requests in flight there.
        own_since: By how many these have grown since the report.
        extra: Cost of distance, failures and request limits, in units of
            usual work.
    """

    replica_id: ids.ReplicaId
    running: int = 0
    waiting: int = 0
    slots: int = 1
    work_factor: typing.Optional[float] = None
    age_s: float = math.inf
    own_running: int = 0
    own_since: int = 0
    extra: float = 0.0

    @property
    def weight(self) -> float:
        """Weight of the report, from 1 for a new one to 0."""
        return max(0.0, 1.0 - self.age_s / REPORT_VALID_S)

    @property
    def others(self) -> int:
        """Requests of other daemons, according to the report."""
        total = self.running + self.waiting + self.own_since
        return max(0, total - self.own_running)


@dataclasses.dataclass(frozen=True)
class Usual:
    """What is assumed of a replica whose report is outdated.

    Attributes:
        work_factor: Work factor, 1.0 is usual.
        others_share: Requests of other daemons, as a share of its slots.
    """

    work_factor: float = 1.0
    others_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class Expectation:
    """Expected finish of one more request at a replica.

    Attributes:
        estimate: What is known of the replica.
        work_factor: Work factor that is assumed.
        load: Requests that are assumed there.
        finish: Time until the request ends, in units of usual work.
    """

    estimate: Estimate
    work_factor: float
    load: float
    finish: float

    def to_fields(self) -> dict[str, typing.Any]:
        """Fields that show in a log line why the replica was chosen."""
        fields = {
            'expected': round(self.finish, 2),
            'work_factor': round(self.work_factor, 2),
            'load': round(self.load, 1),
        }
        if self.estimate.weight > 0.0:
            fields['report_age_ms'] = int(self.estimate.age_s * 1000)
        return fields


def find_usual(estimates: typing.Iterable[Estimate]) -> Usual:
    """Averages the reports of a service by their weight.

    A replica without a recent report is taken for an average one. If it were
    taken for an idle one at its usual speed, requests would move from one
    replica to the next while all are slow.
    """
    factors, factor_weights = USUAL_WEIGHT, USUAL_WEIGHT
    shares, share_weights = 0.0, 0.0
    for estimate in estimates:
        weight = estimate.weight
        shares += weight * estimate.others / max(1, estimate.slots)
        share_weights += weight
        if estimate.work_factor is not None:
            factors += weight * estimate.work_factor
            factor_weights += weight
    return Usual(
        factors / factor_weights,
        shares / share_weights if share_weights else 0.0,
    )


def expect(estimate: Estimate, usual: Usual) -> Expectation:
    """Computes the expected finish of one more request at a replica."""
    weight = estimate.weight
    slots = max(1, estimate.slots)
    factor = usual.work_factor
    if estimate.work_factor is not None:
        factor += weight * (estimate.work_factor - factor)
    assumed = usual.others_share * slots
    load = estimate.own_running + assumed
    load += weight * (estimate.others - assumed)
    queued = max(0.0, load + 1 - slots)
    wait = LOAD_RISK * min(1.0, load / slots) + queued / slots
    return Expectation(
        estimate, factor, load, factor * (1.0 + wait) + estimate.extra
    )


def compare(estimates: typing.Sequence[Estimate]) -> list[Expectation]:
    """Computes the expected finish at each replica, the soonest first."""
    usual = find_usual(estimates)
    return sorted(
        (expect(estimate, usual) for estimate in estimates),
        key=lambda e: e.finish,
    )


def choose(
    estimates: typing.Sequence[Estimate],
    tried: typing.Container[ids.ReplicaId] = (),
    generator: typing.Any = random,
) -> typing.Optional[Expectation]:
    """Chooses an untried replica at which a request ends soonest.

    Args:
        estimates: Replicas of the service, also those that were tried, as
            their reports show what is usual.
        tried: Replicas that are left out.
        generator: Random number generator.

    Returns:
        The expected finish at the chosen replica, None without an untried
        one.
    """
    untried = [
        expectation
        for expectation in compare(estimates)
        if expectation.estimate.replica_id not in tried
    ]
    if not untried:
        return None
    best = untried[0]
    near_equal = [
        expectation
        for expectation in untried
        if expectation.finish <= best.finish * (1.0 + NEAR_EQUAL_SHARE)
        and expectation.estimate.extra <= best.estimate.extra
    ]
    return generator.choice(near_equal)


@dataclasses.dataclass(frozen=True)
class _Report:
    load: platform_base.ReplicaLoad
    work_factor: typing.Optional[float]
    own_running: int
    at_s: float


class LoadReports:
    """Latest load report of each replica."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._reports: dict[ids.ReplicaId, _Report] = {}

    def record(
        self,
        replica_id: ids.ReplicaId,
        load: platform_base.ReplicaLoad,
        own_running: int,
    ) -> None:
        """Records a report.

        Args:
            replica_id: Replica that sent it.
            load: The reported load.
            own_running: This daemon's requests in flight there, with the one
                whose answer carried the report.
        """
        now_s = self._now()
        factor = load.work_factor
        self._drop_outdated(now_s)
        # Inserted anew, so that the oldest report is the first one.
        known = self._reports.pop(replica_id, None)
        if factor is not None and known and known.work_factor is not None:
            kept = math.exp((known.at_s - now_s) / FACTOR_WINDOW_S)
            factor += kept * (known.work_factor - factor)
        self._reports[replica_id] = _Report(load, factor, own_running, now_s)

    def has_work_factor(
        self, replica_ids: typing.Iterable[ids.ReplicaId]
    ) -> bool:
        """Whether a report that is still valid has a work factor."""
        return any(
            self.work_factor(replica_id) is not None
            for replica_id in replica_ids
        )

    def work_factor(self, replica_id: ids.ReplicaId) -> typing.Optional[float]:
        """Work factor of a replica, None if it is unknown or outdated."""
        report = self._reports.get(replica_id)
        if report is None or self._now() - report.at_s >= REPORT_VALID_S:
            return None
        return report.work_factor

    def estimate(
        self,
        replica_id: ids.ReplicaId,
        slots: int,
        own_running: int,
        extra: float = 0.0,
    ) -> Estimate:
        """Returns what is known of a replica.

        Args:
            replica_id: The replica.
            slots: Its slots, if it has not reported.
            own_running: This daemon's requests in flight there.
            extra: See ``Estimate``.
        """
        report = self._reports.get(replica_id)
        if report is None:
            return Estimate(
                replica_id, slots=slots, own_running=own_running, extra=extra
            )
        return Estimate(
            replica_id,
            report.load.running,
            report.load.waiting,
            report.load.slots or slots,
            report.work_factor,
            self._now() - report.at_s,
            own_running,
            own_running - report.own_running,
            extra,
        )

    def _drop_outdated(self, now_s: float) -> None:
        """Drops outdated reports; replicas get a new name at each start."""
        while self._reports:
            oldest = next(iter(self._reports))
            if now_s - self._reports[oldest].at_s < REPORT_VALID_S:
                return
            del self._reports[oldest]
