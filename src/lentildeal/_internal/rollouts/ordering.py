"""Decisions on order, placement, hedging and restarts of samples.

All functions are pure, so that each rule can be tested and replaced alone.
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
# Observations of the trainer that weigh as much as one of the group.
PRIOR_WEIGHT = 2.0
# Lengths that the average of a trainer looks back on.
HISTORY_LENGTH = 256
# Expected total of a sample that has reached t tokens, as a multiple of t.
# For a Pareto tail with exponent 2, E[X | X > t] = 2 t.
TAIL_FACTOR = 2.0
# Time after which a waiting group is no longer kept for the replica that
# holds its prompt prefix, in seconds. A prefix saves far less than that.
AFFINITY_TIMEOUT_S = 2.0
# Time for which samples are left to replicas that run fewer, in seconds. It
# covers the pulls of all replicas, which take a few milliseconds each.
SPREAD_TIMEOUT_S = 0.2
# Hedges may cost this share of the tokens that the step has generated.
HEDGE_TOKEN_SHARE = 0.05
# An attempt is slow below this share of the median rate of its step.
SLOW_RATE_SHARE = 0.5
# Attempts observed for less than this have no meaningful rate, in seconds.
HEDGE_MIN_AGE_S = 2.0
# A sample starts again of its own accord once only; a sample that takes
# longer than the interval between versions would never finish otherwise.
MAX_VOLUNTARY_RESTARTS = 1
# Owners that are told of any backlog.
MIN_NOTIFIED_OWNERS = 16
# Samples without a score that stop generation, as a share of the step.
UNSCORED_SHARE = 0.5


class LengthPredictor:
    """Predicts lengths of samples from those that have finished."""

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
        """Drops the lengths by group at the end of a step."""
        self._groups.clear()

    def predict(self, group: ids.GroupId, reached_tokens: int = 0) -> float:
        """Predicts the total length of a sample, in tokens.

        Args:
            group: Group of the sample.
            reached_tokens: Tokens that an attempt at the sample has reached.

        Returns:
            The mean of the group, shrunk towards that of the trainer, or
            more for a sample that has already run past it.
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
    """What the order of groups depends on.

    Attributes:
        unfinished: Samples of the group that have no result yet.
        predicted: Longest predicted length among waiting samples, in tokens.
        replicas: Replicas that have taken a sample of the group.
        idle_s: Time since a sample of the group was last handed out.
        position: Place of the group in the trainer's request.
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
    """Whether a started group counts as held by a replica.

    A group that has waited too long for its own replica is held by all.
    """
    return address in replicas or idle_s > AFFINITY_TIMEOUT_S


def make_group_sort_key(
    stats: GroupStats, address: ids.ReplicaAddress
) -> tuple:
    """Sort key of a group for a pulling replica; the lowest goes first.

    Groups whose prefix the replica holds go first, then new groups, then
    those of other replicas. A group that has waited too long for its own
    replica counts as held by all. Within a class, groups nearest to
    completion go first, then those with the longest sample.
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
    """A running attempt as the hedging rule sees it.

    Attributes:
        number: Number of the attempt.
        address: Replica that runs it.
        observed_s: Time from its start to the latest progress notice.
        tokens: Tokens reported by then.
        is_only_attempt: Whether no other attempt at its sample runs.
    """

    number: int
    address: ids.ReplicaAddress
    observed_s: float
    tokens: int
    is_only_attempt: bool

    @property
    def rate(self) -> float:
        """Tokens a second."""
        return self.tokens / max(self.observed_s, 0.001)


def choose_hedge(
    attempts: typing.Sequence[AttemptStats],
    address: typing.Optional[ids.ReplicaAddress],
    finished_rates: typing.Sequence[float] = (),
) -> typing.Optional[int]:
    """Chooses the oldest slow attempt to run again on another replica.

    An attempt is slow in relation to those that run and to those that have
    finished: at the end of a step all that still run may be on one slow
    replica.

    Only a slow replica is hedged, never a sample that is merely long: the
    first attempt to finish wins, and a race between two draws of a long
    sample would shift the trainer's data towards short ones.
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
    """Tokens that are wasted when a hedge wins.

    That is what the slow attempt has generated by then: its tokens so far
    and, while the hedge generates the whole sample, at most the share of it
    that makes an attempt count as slow.
    """
    return tokens + SLOW_RATE_SHARE * predicted


def may_spend_on_hedge(
    spent: float, cost: float, generated: float, floor: float
) -> bool:
    """Whether a hedge of a cost in tokens is within the bound.

    Args:
        spent: Cost of earlier hedges of the step.
        cost: Cost of this one.
        generated: Tokens that the step has generated.
        floor: Tokens of one group, which may be spent in any case: the share
            of a small step would not pay for one hedge, and it stalls just
            the same.
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
    """Decides whether a sample that carries over a change starts again.

    A restart on the new version saves staleness and costs the work done so
    far. Relative to the work that remains, that is p / (1 - p) for a
    progress p. With a bound of 1 the rule amounts to p < weight.

    Args:
        staleness: Versions by which its oldest token is behind.
        bound: Most versions allowed at delivery.
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
    """Whether a replica leaves waiting samples to others for a moment.

    An engine slows down with the size of its batch, so a step that does not
    fill the pool is spread evenly. Others lose the claim when none of them
    has pulled for a while.

    Args:
        running: Samples of the step that the replica runs.
        unfinished: Samples of the step without a result.
        pool_size: Replicas that serve the model.
        others_idle_s: Time since another replica has pulled.
    """
    if others_idle_s > SPREAD_TIMEOUT_S:
        return False
    return running >= math.ceil(unfinished / max(1, pool_size))


def count_owners_to_notify(pullable: int, owners: int) -> int:
    """Number of owners that are told of a backlog at a time.

    Two for each sample, as the first may have no free slot. All of a large
    pool would otherwise pull for the last few samples of a step. Others are
    drawn at the next tick.
    """
    return min(owners, max(MIN_NOTIFIED_OWNERS, 2 * pullable))


def compute_unscored_limit(samples: int, group_size: int) -> int:
    """Samples waiting for a score at which no further one is started."""
    return max(2 * group_size, int(UNSCORED_SHARE * samples))
