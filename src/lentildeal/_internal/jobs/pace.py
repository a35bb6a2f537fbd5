"""Pace of replicas: seconds for an event, as their runs show it."""

from __future__ import annotations

import statistics
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock

# Weight of a new measurement; a replica that turns slow is known after about
# three of them.
WEIGHT = 0.35
# Events after which a run gives a measurement.
EVENTS_PER_MEASUREMENT = 6
# A measurement says nothing about a replica that has not been used for this
# time.
VALID_S = 6.0
# A replica is slow above this multiple of the median. Replicas of one
# service differ by less; slow phases make them two times slower or more.
SLOW_FACTOR = 1.7


class PaceTracker:
    """Pace of all replicas."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._paces: dict[ids.ReplicaId, tuple[float, float]] = {}

    def record(self, replica_id: ids.ReplicaId, event_s: float) -> None:
        """Takes in one measurement, in seconds for an event."""
        known = self.get(replica_id)
        if known is not None:
            event_s = known + WEIGHT * (event_s - known)
        self._paces[replica_id] = event_s, self._now()

    def get(self, replica_id: ids.ReplicaId) -> typing.Optional[float]:
        """Pace of a replica, None if it is not known."""
        pace = self._paces.get(replica_id)
        if pace is None or self._now() - pace[1] > VALID_S:
            return None
        return pace[0]

    def median(
        self, replica_ids: typing.Iterable[ids.ReplicaId]
    ) -> typing.Optional[float]:
        """Median of the known paces, the lower one of two."""
        known = [pace for pace in map(self.get, replica_ids) if pace]
        return statistics.median_low(known) if known else None

    def is_slow(
        self,
        replica_id: ids.ReplicaId,
        replica_ids: typing.Iterable[ids.ReplicaId],
    ) -> bool:
        """Whether a replica is much slower than the median."""
        pace, median = self.get(replica_id), self.median(replica_ids)
        if pace is None or median is None:
            return False
        return pace > SLOW_FACTOR * median
