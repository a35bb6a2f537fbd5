"""Rules for the order, placement, hedging and restarts of samples.

All functions are pure, so that each rule can be tested and replaced on its
own.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import statistics
import typing

from lentildeal._internal.models import ids

# Length assumed before any sample of a trainer has finished, in tokens.
DEFAULT_LENGTH = 128.0
# Weight of the mean length of the trainer, in samples of the group.
PRIOR_WEIGHT = 2.0
# Number of recent lengths in the mean of a trainer.
HISTORY_LENGTH = 256
# Expected total of a sample that has reached t tokens, as a multiple of t.
# For a Pareto tail with exponent 2, E[X | X > t] = 2 t.
TAIL_FACTOR = 2.0
# Time after which a waiting group is no longer reserved for replicas that
# have its prompt prefix cached, in seconds. A prefix saves far less time.
AFFINITY_TIMEOUT_S = 2.0
# Time for which samples are left to replicas that run fewer, in seconds. It
# covers the pulls of all replicas at a few milliseconds each.
SPREAD_TIMEOUT_S = 0.2
# Maximum cost of hedges, as a share of the tokens the step has generated.
HEDGE_TOKEN_SHARE = 0.05
# Share of the median rate of the step below which an attempt is slow.
SLOW_RATE_SHARE = 0.5
# Minimum time of observation for a meaningful rate, in seconds.
HEDGE_MIN_AGE_S = 2.0
# Maximum number of voluntary restarts of a sample. Without a limit, a sample
# that takes longer than the interval between versions would never finish.
MAX_VOLUNTARY_RESTARTS = 1
# Minimum number of owners that are notified of a backlog.
MIN_NOTIFIED_OWNERS = 16
# Share of samples waiting for a score at which generation pauses.
UNSCORED_SHARE = 0.5


class LengthPredictor:
    """Predicts lengths of samples from those of finished samples."""

    def __init__(self) -> None:
        self._recent: collections.deque[int] = collections.deque(
            maxlen=HISTORY_LENGTH
        )
        self._recent_sum = 0
        self._groups: dict[ids.GroupId, list[int]] = {}

    def record_length(self, group: ids.GroupId, token_count: int) -> None:
        """Records the length of a finished sample, in tokens."""
        if len(self._recent) == HISTORY_LENGTH:
            self._recent_sum -= self._recent[0]
        self._recent.append(token_count)
        self._recent_sum += token_count
        self._groups.setdefault(group, []).append(token_count)

    def clear_groups(self) -> None:
        """Removes the lengths by group, before a new attachment."""
        self._groups.clear()

    def predict(self, group: ids.GroupId, reached_tokens: int = 0) -> float:
        """Predicts the total length of a sample, in tokens.

        Args:
            group: Group of the sample.
            reached_tokens: Tokens that an attempt has generated so far.

        Returns:
            The mean of the group, shrunk towards that of the trainer, or
            more for a sample that has already exceeded it.
        """
        prior = DEFAULT_LENGTH
        if self._recent:
            prior = self._recent_sum / len(self._recent)
        seen = self._groups.get(group, ())
        mean = (sum(seen) + PRIOR_WEIGHT * prior) / (len(seen) + PRIOR_WEIGHT)
        if reached_tokens <= mean / TAIL_FACTOR:
            return mean
        return max(mean, TAIL_FACTOR * reached_tokens)


@dataclasses.dataclass(frozen=True)
class GroupStats:
    """Properties of a group that determine its order.

    Attributes:
        unfinished: Samples of the group that have no result yet.
        predicted: Longest predicted length among waiting samples, in tokens.
        replicas: Replicas that have started a sample of the group.
        idle_s: Time since a sample of the group was last started.
        position: Position of the group in the trainer's request.
    """

    unfinished: int
    predicted: float
    replicas: typing.Collection[ids.ReplicaAddress]
    idle_s: float
    position: int


def has_affinity(
    address: ids.ReplicaAddress,
    replicas: typing.Collection[ids.ReplicaAddress],
    idle_s: float,
) -> bool:
    """Whether a replica has affinity to a started group.

    After AFFINITY_TIMEOUT_S without a start, all replicas have affinity.
    """
    return address in replicas or idle_s > AFFINITY_TIMEOUT_S


def make_group_sort_key(
    stats: GroupStats, address: ids.ReplicaAddress
) -> tuple:
    """Makes the sort key of a group for a replica; the lowest goes first.

    Groups that the replica has affinity to go first, then new groups, then
    those of other replicas. Within a class, groups nearest to completion go
    first, then those with the longest sample.
    """
    if not stats.replicas:
        affinity = 1
    elif has_affinity(address, stats.replicas, stats.idle_s):
        affinity = 0
    else:
        affinity = 2
    return (affinity, stats.unfinished, -stats.predicted, stats.position)


@dataclasses.dataclass(frozen=True)
class AttemptStats:
    """Progress of a running attempt, for the choice of a hedge.

    Attributes:
        number: Number of the attempt.
        address: Replica that runs it.
        observed_s: Time from its start to the last progress notice.
        tokens: Tokens generated, as last reported.
        is_only_attempt: Whether its sample has no other running attempt.
    """

    number: int
    address: ids.ReplicaAddress
    observed_s: float
    tokens: int
    is_only_attempt: bool

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self.tokens / max(self.observed_s, 0.001)


def choose_hedge(
    attempts: typing.Sequence[AttemptStats],
    address: typing.Optional[ids.ReplicaAddress],
    finished_rates: typing.Sequence[float] = (),
) -> typing.Optional[int]:
    """Chooses the oldest slow attempt to hedge on another replica.

    The rate of an attempt is compared with running and finished attempts:
    at the end of a step all running attempts may be on one slow replica.

    Hedges are for slow replicas only, not for long samples: the first
    attempt to finish wins, so hedging a long sample would bias the
    trainer's data towards short ones.

    Returns:
        Number of the attempt, None if none is slow.
    """
    observed = [
        stats for stats in attempts if stats.observed_s >= HEDGE_MIN_AGE_S
    ]
    if not observed:
        return None
    rates = [*finished_rates, *(stats.rate for stats in observed)]
    median = statistics.median(rates)
    slow = [
        stats
        for stats in observed
        if stats.is_only_attempt
        and stats.address != address
        and (stats.tokens == 0 or stats.rate < SLOW_RATE_SHARE * median)
    ]
    if not slow:
        return None
    return max(
        slow, key=lambda stats: (stats.observed_s, -stats.number)
    ).number


def estimate_hedge_cost(tokens: int, predicted: float) -> float:
    """Estimates the tokens that are wasted when a hedge wins.

    These are the tokens of the slow attempt: those generated so far and,
    while the hedge generates the complete sample, at most SLOW_RATE_SHARE
    of its predicted length.
    """
    return tokens + SLOW_RATE_SHARE * predicted


def may_spend_on_hedge(
    spent: float, cost: float, generated: float, floor: float
) -> bool:
    """Whether a hedge is within the limit on the cost of hedges.

    Args:
        spent: Cost of earlier hedges of the step, in tokens.
        cost: Cost of this hedge, in tokens.
        generated: Tokens that the step has generated.
        floor: Tokens of one group, which may be spent in any case: the share
            of a small step is too small for one hedge, but a slow replica
            delays it as much.
    """
    return spent + cost <= max(floor, HEDGE_TOKEN_SHARE * generated)


def should_restart(
    *,
    staleness: int,
    bound: int,
    progress: float,
    staleness_weight: float,
    restarts: int,
) -> bool:
    """Whether a running sample restarts after a version change.

    A restart on the new version reduces staleness and discards the work
    done so far. Relative to the remaining work, that is p / (1 - p) for a
    progress p. With a bound of 1 the rule is equivalent to p < weight.

    Args:
        staleness: Versions by which its oldest token is behind.
        bound: Maximum staleness allowed at delivery, in versions.
        progress: Expected share of the sample that is generated, 0 to 1.
        staleness_weight: Weight of staleness against idle time, 0 to 1.
        restarts: Voluntary restarts of the sample so far.
    """
    if staleness <= 0 or restarts >= MAX_VOLUNTARY_RESTARTS or progress >= 1:
        return False
    used = staleness / max(1, bound)
    gain = staleness_weight * used
    return gain > (1.0 - staleness_weight) * progress / (1.0 - progress)


def should_leave_to_others(
    running: int, unfinished: int, pool_size: int, others_idle_s: float
) -> bool:
    """Whether a replica should leave waiting samples to other replicas.

    An engine slows down as its batch grows, so a step that does not fill
    the pool is spread evenly. The replica takes more than its share when no
    other replica has pulled for SPREAD_TIMEOUT_S.

    Args:
        running: Samples of the step that the replica is running.
        unfinished: Samples of the step without a result.
        pool_size: Replicas that serve the model.
        others_idle_s: Time since another replica last pulled a sample.
    """
    if others_idle_s > SPREAD_TIMEOUT_S:
        return False
    return running >= math.ceil(unfinished / max(1, pool_size))


def count_owners_to_notify(pullable: int, owners: int) -> int:
    """Number of owners to notify of a backlog.

    Two for each sample, because the first may have no free slot. Otherwise
    all owners of a large pool would pull for the last few samples of a step.
    The next tick selects other owners.
    """
    return min(owners, max(MIN_NOTIFIED_OWNERS, 2 * pullable))


def compute_unscored_limit(samples: int, group_size: int) -> int:
    """Number of samples without a score that pauses generation."""
    return max(2 * group_size, int(UNSCORED_SHARE * samples))
