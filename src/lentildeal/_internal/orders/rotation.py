"""Which replica loads which version.

A step accepts the version named before its own, too. A new version is
therefore loaded on a part of the replicas only, those whose version is no
longer used, while the replicas of the version before go on serving. Nothing
here waits or does I/O.
"""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.models import ids

# Share of the replicas that may load at once. More loads at once slow each
# other: the sheets name 2 of 6 and 9 of 22 replicas as the limit.
LOADING_SHARE = 0.4
MIN_LOADING = 2
# Reports show the state of some hundred milliseconds ago.
REPORT_LAG_S = 0.2
LOAD_TIME_WEIGHT = 0.3


@dataclasses.dataclass(frozen=True)
class Holding:
    """Versions that one replica holds.

    Attributes:
        replica_id: The replica.
        versions: Version by model.
        pending: Model and version that it was ordered to load, None without
            an order that is not confirmed.
        is_load_over: Whether the pending load has probably ended already.
        is_avoided: Whether it failed lately or is slow.
    """

    replica_id: ids.ReplicaId
    versions: typing.Mapping[ids.ModelName, ids.Version]
    pending: typing.Optional[tuple[ids.ModelName, ids.Version]] = None
    is_load_over: bool = False
    is_avoided: bool = False

    @property
    def is_loading(self) -> bool:
        """Whether it counts as one of the loads at once."""
        return self.pending is not None and not self.is_load_over

    def version_of(self, model: ids.ModelName) -> int:
        """Version of a model after the pending order."""
        if self.pending is not None and self.pending[0] == model:
            return self.pending[1]
        return self.versions.get(model, 0)


class LoadTime:
    """Time that a load takes, from the confirmed ones.

    Reports lag, so that a load has ended a while before it is confirmed. The
    next one may begin then: with a confirmation for each, the loads that are
    allowed at once are used for three quarters of the time only.
    """

    def __init__(self) -> None:
        self._load_s: typing.Optional[float] = None

    def is_over(self, age_s: float) -> bool:
        """Whether a load ordered this long ago has probably ended."""
        return self._load_s is not None and age_s >= self._load_s

    def note_confirmed(self, elapsed_s: float) -> None:
        """A load was confirmed this long after its only order."""
        load_s = max(0.0, elapsed_s - REPORT_LAG_S)
        if self._load_s is None:
            self._load_s = load_s
        self._load_s += LOAD_TIME_WEIGHT * (load_s - self._load_s)


class PlannedLoad(typing.NamedTuple):
    """A version to load at a replica."""

    replica_id: ids.ReplicaId
    model: ids.ModelName
    version: ids.Version


def plan(
    named: typing.Mapping[ids.ModelName, ids.Version],
    model_count: int,
    holdings: typing.Sequence[Holding],
) -> list[PlannedLoad]:
    """Loads to order now.

    Args:
        named: Version that was named last, by model.
        model_count: Number of models that share the replicas.
        holdings: Replicas that take work.
    """
    limit = max(MIN_LOADING, round(LOADING_SHARE * len(holdings)))
    room = limit - sum(h.is_loading for h in holdings)
    share = max(1, len(holdings) // max(1, model_count))
    planned: list[PlannedLoad] = []
    chosen: set[ids.ReplicaId] = set()
    for model in _most_urgent_first(named, holdings, share):
        version = named[model]
        missing = _count_missing(model, version, holdings, share)
        for holding in _rank(model, version, named, holdings):
            if missing <= 0 or len(planned) >= room:
                break
            if holding.replica_id in chosen or holding.pending is not None:
                continue
            chosen.add(holding.replica_id)
            planned.append(PlannedLoad(holding.replica_id, model, version))
            missing -= 1
    return planned


def _most_urgent_first(named, holdings, share) -> list[ids.ModelName]:
    """Models with the fewest replicas that may serve their next step."""

    def usable(model: ids.ModelName) -> int:
        return sum(h.version_of(model) >= named[model] - 1 for h in holdings)

    return sorted(named, key=lambda model: (usable(model), model))


def _count_missing(model, version, holdings, share) -> int:
    """Loads that are needed for a share at the version and one before it."""
    sound = [h for h in holdings if not h.is_avoided] or holdings
    fresh = sum(h.version_of(model) >= version for h in sound)
    before = sum(h.version_of(model) == version - 1 for h in sound)
    wanted = max(share, 2 * share - before)
    return min(wanted, len(holdings)) - fresh


def _rank(model, version, named, holdings) -> list[Holding]:
    """Replicas without the version, the best one to load it first."""

    def roles(holding: Holding) -> int:
        return sum(
            holding.version_of(other) >= latest
            for other, latest in named.items()
            if other != model
        )

    def cost(holding: Holding) -> tuple:
        serves_before = holding.version_of(model) == version - 1
        return (
            holding.is_avoided,
            serves_before,
            roles(holding),
            holding.replica_id,
        )

    behind = [h for h in holdings if h.version_of(model) < version]
    return sorted(behind, key=cost)
