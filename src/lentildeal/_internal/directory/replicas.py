"""Table of the replicas of all services that this daemon knows."""

from __future__ import annotations

import collections
import dataclasses
import typing

from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock

# Entries that expired while the store was unreachable are back about two
# seconds after it is reachable again if the replica is alive. Until then,
# missing entries are kept.
EXPIRY_GRACE_S = 2.0
# Above this number, replicas without an entry are no longer remembered as
# leaving.
MAX_LEAVING = 1000
# Entries of an earlier start, without one of the known start between them,
# after which the known one counts as wrong. A process that has ended can still
# have one or two on their way.
MAX_LATE_ENTRIES = 3


class ReplicaTable:
    """Replicas by id, with versions confirmed after their last entry."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.uptime_s
    ) -> None:
        self._now = now
        self._replicas: dict[ids.ReplicaId, deployment.Replica] = {}
        self._kept_until_s: dict[ids.ReplicaId, float] = {}
        # Start times of replicas that have said that they will leave.
        self._leaving: dict[ids.ReplicaId, int] = {}
        # Entries of an earlier start since the last one of the known start.
        self._late_entries: collections.Counter[ids.ReplicaId] = (
            collections.Counter()
        )
        self._unreachable_since_s: typing.Optional[float] = None
        self._reachable_again_s: typing.Optional[float] = None

    def mark_store_unreachable(self) -> None:
        """Records that the store does not respond."""
        if self._unreachable_since_s is None:
            self._unreachable_since_s = self._now()

    def mark_store_reachable(self) -> None:
        """Records that the store responds."""
        if self._unreachable_since_s is not None:
            self._unreachable_since_s = None
            self._reachable_again_s = self._now()

    def get(
        self, replica_id: ids.ReplicaId
    ) -> typing.Optional[deployment.Replica]:
        """Returns a replica, None if it is unknown or was removed."""
        self._expire()
        return self._replicas.get(replica_id)

    def list_ready(self, service: ids.ServiceName) -> list[deployment.Replica]:
        """Replicas of a service that accept new work, sorted by id."""
        self._expire()
        found = [
            replica
            for replica in self._replicas.values()
            if replica.service == service
            and replica.state is deployment.ReplicaState.READY
        ]
        return sorted(found, key=lambda replica: replica.replica_id)

    def apply(self, change: deployment.ReplicaChange) -> None:
        """Applies the change of an entry."""
        if change.replica is None:
            self._remove(change.replica_id)
            return
        self._kept_until_s.pop(change.replica_id, None)
        known = self._replicas.get(change.replica_id)
        replica = change.replica
        if known is not None and known.started_ms > replica.started_ms:
            self._late_entries[change.replica_id] += 1
            if self._late_entries[change.replica_id] <= MAX_LATE_ENTRIES:
                return
            # The replica goes on to write, so the known entry is not from it.
            self._leaving.pop(change.replica_id, None)
        self._late_entries.pop(change.replica_id, None)
        if known is not None and known.started_ms == replica.started_ms:
            replica = _merge_versions(replica, known.versions)
        self._replicas[change.replica_id] = self._merge_state(replica)

    def mark_leaving(self, replica: deployment.Replica) -> bool:
        """Records that a replica itself has said that it will leave.

        Its entry may say so later, or never. Only a restart of the replica
        ends it.

        Args:
            replica: The replica as it was when the request was sent.

        Returns:
            Whether this was not known yet.
        """
        self._leaving[replica.replica_id] = max(
            replica.started_ms, self._leaving.get(replica.replica_id, 0)
        )
        if len(self._leaving) > MAX_LEAVING:
            self._leaving = {
                replica_id: started_ms
                for replica_id, started_ms in self._leaving.items()
                if replica_id in self._replicas
            }
        known = self._replicas.get(replica.replica_id)
        if known is None or known.started_ms != replica.started_ms:
            return False
        self._replicas[replica.replica_id] = self._merge_state(known)
        return known.state is deployment.ReplicaState.READY

    def _merge_state(self, replica: deployment.Replica) -> deployment.Replica:
        """Keeps the state that the replica itself has told."""
        if self._leaving.get(replica.replica_id) != replica.started_ms:
            return replica
        return dataclasses.replace(
            replica, state=deployment.ReplicaState.LEAVING
        )

    def confirm_version(
        self,
        replica_id: ids.ReplicaId,
        model: ids.ModelName,
        version: ids.Version,
    ) -> None:
        """Records a version that the replica itself confirmed."""
        known = self._replicas.get(replica_id)
        if known is not None and version > known.versions.get(model, -1):
            self._replicas[replica_id] = _merge_versions(
                known, {model: version}
            )

    def replace_all(
        self, changes: typing.Iterable[deployment.ReplicaChange]
    ) -> None:
        """Applies all current entries and removes replicas without one."""
        found = set()
        for change in changes:
            found.add(change.replica_id)
            self.apply(change)
        for replica_id in set(self._replicas) - found:
            if replica_id not in self._kept_until_s:
                self._remove(replica_id)

    def _remove(self, replica_id: ids.ReplicaId) -> None:
        self._late_entries.pop(replica_id, None)
        known = self._replicas.get(replica_id)
        if known is None:
            return
        is_leaving = known.state is deployment.ReplicaState.LEAVING
        until_s = self._find_grace_end_s()
        if is_leaving or until_s is None:
            del self._replicas[replica_id]
            return
        self._kept_until_s[replica_id] = until_s

    def _find_grace_end_s(self) -> typing.Optional[float]:
        """End of the time in which missing entries are kept, None if over."""
        if self._reachable_again_s is None:
            return None
        until_s = self._reachable_again_s + EXPIRY_GRACE_S
        return until_s if until_s > self._now() else None

    def _expire(self) -> None:
        if not self._kept_until_s:
            return
        now_s = self._now()
        for replica_id, until_s in list(self._kept_until_s.items()):
            if until_s <= now_s:
                del self._kept_until_s[replica_id]
                self._replicas.pop(replica_id, None)


def _merge_versions(
    replica: deployment.Replica, versions: dict[ids.ModelName, ids.Version]
) -> deployment.Replica:
    """Keeps the highest versions, which never fall until a restart."""
    merged = dict(replica.versions)
    for model, version in versions.items():
        merged[model] = max(version, merged.get(model, version))
    return dataclasses.replace(replica, versions=merged)
