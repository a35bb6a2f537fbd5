"""When a replica may begin to load a new version.

Owners do not coordinate: each computes the same order of all replicas of a
target and starts its own when their turn comes. The pool is thereby loaded
in a stagger instead of all at once, and the weight store's rate limit is met
by a steady flow of fetches instead of a burst.
"""

from __future__ import annotations

import math
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import hashing

# Time from the announcement until the whole pool is on a new version.
POOL_LIMIT_S = 13.0
# Part of it that is kept for the announcement (heartbeats, 1 s), the
# read-back (1 s) and one repeated order.
RESERVE_S = 4.0
# Assumed duration of a load before one has been seen.
FIRST_LOAD_S = 2.0
# Weight of a new observation in the mean.
LOAD_GAIN = 0.25
# Share of the time between two versions that the stagger may take.
INTERVAL_SHARE = 0.25
# Share of a target's replicas that one owner loads at once.
OWNED_SHARE = 0.5


class LoadTimes:
    """Mean duration of the loads seen by this daemon."""

    def __init__(self) -> None:
        self._mean_s = FIRST_LOAD_S
        self._is_assumed = True

    @property
    def mean_s(self) -> float:
        """Mean duration, in seconds."""
        return self._mean_s

    def observe(self, seconds: float) -> None:
        """Records the time from an order to its read-back."""
        gain = 1.0 if self._is_assumed else LOAD_GAIN
        self._is_assumed = False
        self._mean_s += gain * (seconds - self._mean_s)


class VersionTimes:
    """When versions of a model were heard, and how often they come."""

    def __init__(self) -> None:
        self._heard_s: dict[ids.ModelName, float] = {}
        self._intervals_s: dict[ids.ModelName, float] = {}

    def note(self, model: ids.ModelName, now_s: float) -> None:
        """Records a new version."""
        if model in self._heard_s:
            self._intervals_s[model] = now_s - self._heard_s[model]
        self._heard_s[model] = now_s

    def heard_s(self, model: ids.ModelName) -> float:
        """Time of the latest version, 0 before the first one."""
        return self._heard_s.get(model, 0.0)

    def interval_s(self, model: ids.ModelName) -> float:
        """Time between the two latest versions, infinite before them."""
        return self._intervals_s.get(model, math.inf)


def stagger_window_s(load_s: float, interval_s: float = math.inf) -> float:
    """Time over which the starts of a pool are spread.

    Twice the duration of a load keeps about half of the pool out of a load
    at any time. Slow loads and frequent versions shorten the window: the
    pool has to be done within its limit and before the next version.

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
    """Delay of a replica's load after its owner hears of the version.

    The order is by hash, which mixes the failure domains.
    """
    order = sorted(pool, key=hashing.hash_text)
    position = order.index(address) if address in order else 0
    return window_s * position / max(1, len(order))


def is_still_useful(
    lag: int, bounds: typing.Collection[int], default: int = 1
) -> bool:
    """Whether a replica's present version serves any trainer.

    A replica that serves none gains nothing by waiting for its turn.

    Args:
        lag: Versions by which the replica is behind.
        bounds: Staleness bounds of the trainers of its model.
        default: Bound that counts if there are no trainers.
    """
    return lag <= max(bounds, default=default)


def limit_at_once(owned: int) -> int:
    """Most replicas of one target that an owner loads at once."""
    return max(1, round(OWNED_SHARE * owned))
