"""Which replica loads which version.

A step also accepts the version before its own. A new version is therefore
loaded only on some of the replicas, those whose version is no longer used,
while the replicas with the previous version continue to serve. Nothing in
this module blocks or does I/O.
"""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.models import ids

# Share of the replicas that may load concurrently. More concurrent loads slow
# each other down: the data sheets give 2 of 6 and 9 of 22 replicas as the
# limit.
LOADING_SHARE = 0.4
MIN_LOADING = 2
# Reports are some hundred milliseconds old.
REPORT_LAG_S = 0.2
LOAD_DURATION_WEIGHT = 0.3


@dataclasses.dataclass(frozen=True)
class ReplicaLoadState:
    """Loaded versions of one replica and its pending load.

    Attributes:
        replica_id: The replica.
        versions: Loaded version of each model.
        pending: Model and version of an order that is not confirmed yet,
            None without one.
        is_load_over: Whether the pending load has probably ended.
        is_avoided: Whether the replica failed recently or is slow.
    """

    replica_id: ids.ReplicaId
    versions: typing.Mapping[ids.ModelName, ids.Version]
    pending: typing.Optional[tuple[ids.ModelName, ids.Version]] = None
    is_load_over: bool = False
    is_avoided: bool = False

    @property
    def is_loading(self) -> bool:
        """Whether it counts as a concurrent load."""
        return self.pending is not None and not self.is_load_over

    def version_of(self, model: ids.ModelName) -> int:
        """Version of a model once the pending order is carried out."""
        if self.pending is not None and self.pending[0] == model:
            return self.pending[1]
        return self.versions.get(model, 0)


class LoadDuration:
    """Estimated duration of a load, from confirmed loads.

    Reports lag, so a load ends some time before it is confirmed. The next load
    may begin at the estimated end: waiting for each confirmation would use
    the allowed concurrent loads for only three quarters of the time.
    """

    def __init__(self) -> None:
        self._load_s: typing.Optional[float] = None

    def is_over(self, age_s: float) -> bool:
        """Whether a load that was ordered this long ago has probably ended."""
        return self._load_s is not None and age_s >= self._load_s

    def record_confirmed(self, elapsed_s: float) -> None:
        """Records the time from a load's only order to its confirmation."""
        load_s = max(0.0, elapsed_s - REPORT_LAG_S)
        if self._load_s is None:
            self._load_s = load_s
        self._load_s += LOAD_DURATION_WEIGHT * (load_s - self._load_s)


class PlannedLoad(typing.NamedTuple):
    """A version to load at a replica."""

    replica_id: ids.ReplicaId
    model: ids.ModelName
    version: ids.Version


def plan(
    announced: typing.Mapping[ids.ModelName, ids.Version],
    model_count: int,
    states: typing.Sequence[ReplicaLoadState],
) -> list[PlannedLoad]:
    """Lists the loads to order now.

    Args:
        announced: Latest announced version of each model.
        model_count: Number of models that share the replicas.
        states: Replicas that accept work.
    """
    limit = max(MIN_LOADING, round(LOADING_SHARE * len(states)))
    available = limit - sum(s.is_loading for s in states)
    share = max(1, len(states) // max(1, model_count))
    planned: list[PlannedLoad] = []
    chosen: set[ids.ReplicaId] = set()
    for model in _sort_by_urgency(announced, states, share):
        version = announced[model]
        missing = _count_missing(model, version, states, share)
        for state in _sort_by_cost(model, version, announced, states):
            if missing <= 0 or len(planned) >= available:
                break
            if state.replica_id in chosen or state.pending is not None:
                continue
            chosen.add(state.replica_id)
            planned.append(PlannedLoad(state.replica_id, model, version))
            missing -= 1
    return planned


def _sort_by_urgency(announced, states, share) -> list[ids.ModelName]:
    """Sorts models by the number of replicas that can serve the next step."""

    def count_usable(model: ids.ModelName) -> int:
        return sum(s.version_of(model) >= announced[model] - 1 for s in states)

    return sorted(announced, key=lambda model: (count_usable(model), model))


def _count_missing(model, version, states, share) -> int:
    """Number of loads for a share at the version and one at the previous."""
    healthy = [s for s in states if not s.is_avoided] or states
    current = sum(s.version_of(model) >= version for s in healthy)
    previous = sum(s.version_of(model) == version - 1 for s in healthy)
    wanted = max(share, 2 * share - previous)
    return min(wanted, len(states)) - current


def _sort_by_cost(model, version, announced, states) -> list[ReplicaLoadState]:
    """Sorts the replicas without the version, the best one to load first."""

    def count_current_models(state: ReplicaLoadState) -> int:
        return sum(
            state.version_of(other) >= latest
            for other, latest in announced.items()
            if other != model
        )

    def sort_key(state: ReplicaLoadState) -> tuple:
        has_previous = state.version_of(model) == version - 1
        return (
            state.is_avoided,
            has_previous,
            count_current_models(state),
            state.replica_id,
        )

    behind = [s for s in states if s.version_of(model) < version]
    return sorted(behind, key=sort_key)
