"""When a replica may begin to load a new version.

Owners do not coordinate. Each computes the same order of all replicas of a
target and starts the loads of its own replicas at their offsets. The loads of
the pool are thereby staggered, and the fetches from the weight store are
spread over time, which keeps them within its rate limit.
"""

from __future__ import annotations

import math
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import hashing

# Longest time from the announcement of a version until all replicas of the
# pool have loaded it.
POOL_LIMIT_S = 13.0
# Part of this time that is reserved for the announcement (heartbeats, 1 s),
# the read-back (1 s) and one repeated order.
RESERVE_S = 4.0
# Assumed duration of a load before the first observation.
ASSUMED_LOAD_S = 2.0
# Weight of a new observation in the mean.
LOAD_WEIGHT = 0.25
# Largest stagger window relative to the time between two versions.
INTERVAL_SHARE = 0.25
# Share of its replicas of a target that an owner loads concurrently.
OWNED_LOADING_SHARE = 0.5


class MeanLoadTime:
    """Mean duration of the loads that this daemon ordered."""

    def __init__(self) -> None:
        self._mean_s = ASSUMED_LOAD_S
        self._is_assumed = True

    @property
    def mean_s(self) -> float:
        """Mean duration, in seconds."""
        return self._mean_s

    def record(self, seconds: float) -> None:
        """Records the time from an order to its read-back."""
        weight = 1.0 if self._is_assumed else LOAD_WEIGHT
        self._is_assumed = False
        self._mean_s += weight * (seconds - self._mean_s)


class VersionTimes:
    """Times and intervals of the announced versions of each model."""

    def __init__(self) -> None:
        self._announced_at_s: dict[ids.ModelName, float] = {}
        self._intervals_s: dict[ids.ModelName, float] = {}

    def record(self, model: ids.ModelName, now_s: float) -> None:
        """Records a new version."""
        if model in self._announced_at_s:
            self._intervals_s[model] = now_s - self._announced_at_s[model]
        self._announced_at_s[model] = now_s

    def announced_at_s(self, model: ids.ModelName) -> float:
        """Time of the latest announcement, 0 before the first one."""
        return self._announced_at_s.get(model, 0.0)

    def interval_s(self, model: ids.ModelName) -> float:
        """Time between the two latest versions, infinite before the second."""
        return self._intervals_s.get(model, math.inf)


def stagger_window_s(load_s: float, interval_s: float = math.inf) -> float:
    """Time over which the load starts of a pool are spread.

    With twice the duration of a load, about half of the pool is not loading
    at any time. Slow loads and frequent versions shorten the window, since
    the pool has to finish within its limit and before the next version.

    Args:
        load_s: Duration of a load.
        interval_s: Time between two versions.
    """
    latest_s = POOL_LIMIT_S - RESERVE_S - load_s
    return max(0.0, min(2 * load_s, latest_s, INTERVAL_SHARE * interval_s))


def start_offset_s(
    address: ids.ReplicaAddress,
    pool: typing.Collection[ids.ReplicaAddress],
    window_s: float,
) -> float:
    """Delay of a replica's load after its owner learns of the version.

    Replicas are ordered by hash, which mixes the failure domains.
    """
    order = sorted(pool, key=hashing.hash_text)
    position = order.index(address) if address in order else 0
    return window_s * position / max(1, len(order))


def is_within_bounds(
    lag: int, bounds: typing.Collection[int], default: int = 1
) -> bool:
    """Whether a replica's current version is recent enough for any trainer.

    A replica whose version is too old for all trainers may load at once.

    Args:
        lag: Versions by which the replica is behind.
        bounds: Staleness bounds of the trainers of its model.
        default: Bound that applies if there are no trainers.
    """
    return lag <= max(bounds, default=default)


def max_concurrent_loads(owned: int) -> int:
    """Most replicas of one target that an owner loads concurrently."""
    return max(1, round(OWNED_LOADING_SHARE * owned))
