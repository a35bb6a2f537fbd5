"""Pace of replicas: seconds per event, measured from their attempts."""

from __future__ import annotations

import statistics
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock

# Weight of a new measurement in the moving average; a replica that becomes
# slow is detected after about three measurements.
WEIGHT = 0.35
# Number of events of an attempt that make one measurement.
EVENTS_PER_MEASUREMENT = 6
# Age after which a measurement is stale.
VALID_S = 6.0
# Age after which a measurement says nothing any more.
LAST_VALID_S = 60.0
# A replica is slow above this multiple of the median. Healthy replicas of one
# service differ by less; slow ones take at least two times as long.
SLOW_FACTOR = 1.7


class PaceTracker:
    """Moving average of the pace of each replica."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._paces: dict[ids.ReplicaId, tuple[float, float]] = {}

    def record(self, replica_id: ids.ReplicaId, event_s: float) -> None:
        """Records one measurement, in seconds per event."""
        known = self.get(replica_id)
        if known is not None:
            event_s = known + WEIGHT * (event_s - known)
        self._paces[replica_id] = event_s, self._now()

    def get(self, replica_id: ids.ReplicaId) -> typing.Optional[float]:
        """Pace of a replica, None if it is unknown or stale."""
        pace = self._paces.get(replica_id)
        if pace is None or self._now() - pace[1] > VALID_S:
            return None
        return pace[0]

    def get_last(self, replica_id: ids.ReplicaId) -> typing.Optional[float]:
        """Last known pace of a replica, which may be outdated."""
        pace = self._paces.get(replica_id)
        if pace is None or self._now() - pace[1] > LAST_VALID_S:
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
