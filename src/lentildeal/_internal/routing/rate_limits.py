"""Pacing of requests to replicas that limit their requests.

A replica accepts a number of requests a second from all daemons together, so
a daemon counts the requests of the others as well. Nothing here waits or does
I/O, so that load patterns can be tested without a network.
"""

from __future__ import annotations

import enum
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import clock

# A replica that accepts fewer requests than this, in requests a second, still
# gets one now and then: only its answers tell when the limit ends.
MIN_RATE = 0.2
# Requests of other daemons that were learned of all at once, as after an
# outage of the store, delay those of this one by at most this time.
MAX_BACKLOG_S = 2.0
# Requests of this age no longer show how many daemons use a replica.
SENDER_VALID_S = 30.0


class Urgency(str, enum.Enum):
    """How urgent a request is, which decides what it leaves to others."""

    LIVE = 'live'
    BATCH = 'batch'


# Requests that may be sent at once after a pause, as the time in which the
# replica accepts as many. Items of batch jobs leave half of it to live calls.
_BURSTS_S = {Urgency.LIVE: 1.0, Urgency.BATCH: 0.5}
MAX_BURST_S = max(_BURSTS_S.values())


class RateLimit:
    """Times at which requests to one replica conform to its limit.

    Generic cell rate algorithm (ITU-T I.371): each request moves the time at
    which the next one is due by the interval of the limit.
    """

    def __init__(self, rate: float, now_s: float) -> None:
        """Starts without a burst: what others have just sent is not known.

        Args:
            rate: Requests a second.
            now_s: Current time.
        """
        self.rate = rate
        self._due_s = now_s + MAX_BURST_S + self._interval_s

    @property
    def _interval_s(self) -> float:
        return 1.0 / max(MIN_RATE, self.rate)

    def record(self, now_s: float, count: int = 1, senders: int = 1) -> float:
        """Records requests and returns when the last one is due.

        Args:
            now_s: Current time.
            count: Number of requests.
            senders: Daemons among which the limit is divided, more than 1
                only while their requests are not known.
        """
        due_s = max(self._due_s, now_s)
        self._due_s = due_s + count * senders * self._interval_s
        return self._due_s - senders * self._interval_s

    def limit_backlog(self, now_s: float) -> None:
        """Forgets requests beyond the longest backlog."""
        self._due_s = min(self._due_s, now_s + MAX_BURST_S + MAX_BACKLOG_S)

    def wait_s(self, now_s: float, burst_s: float) -> float:
        """Time until a request conforms, 0 if it does now."""
        return max(0.0, self._due_s - burst_s - now_s)


class RateLimitTable:
    """Limits of all replicas that name one."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._limits: dict[ids.ReplicaId, RateLimit] = {}
        # When each daemon last used a limited replica.
        self._used_s: dict[ids.ReplicaId, dict[ids.Incarnation, float]] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def get(self, replica_id: ids.ReplicaId) -> typing.Optional[float]:
        """Requests a second that a replica accepts, None without a limit."""
        limit = self._limits.get(replica_id)
        return None if limit is None else limit.rate

    def set(
        self, replica_id: ids.ReplicaId, rate: typing.Optional[float]
    ) -> None:
        """Sets the limit of a replica, None for no limit."""
        if rate is None:
            self._limits.pop(replica_id, None)
            self._used_s.pop(replica_id, None)
        elif replica_id in self._limits:
            self._limits[replica_id].rate = rate
        else:
            self._limits[replica_id] = RateLimit(rate, self._now())

    def wait_s(
        self,
        replica_id: ids.ReplicaId,
        urgency: Urgency,
        *,
        is_isolated: bool = False,
    ) -> float:
        """Time until a replica accepts a request, in seconds.

        Args:
            replica_id: The replica.
            urgency: Urgency of the request.
            is_isolated: Whether the requests of other daemons are not known;
                then a daemon has a share of the limit and no burst.
        """
        limit = self._limits.get(replica_id)
        if limit is None:
            return 0.0
        burst_s = 0.0 if is_isolated else _BURSTS_S[urgency]
        return limit.wait_s(self._now(), burst_s)

    def record_own(
        self, replica_id: ids.ReplicaId, *, is_isolated: bool = False
    ) -> None:
        """Records a request that this daemon sends now."""
        limit = self._limits.get(replica_id)
        if limit is not None:
            others = self._count_others(replica_id) if is_isolated else 0
            limit.record(self._now(), senders=1 + others)

    def record_others(
        self,
        replica_id: ids.ReplicaId,
        sender: ids.Incarnation,
        count: int,
    ) -> None:
        """Records requests that another daemon has sent."""
        limit = self._limits.get(replica_id)
        if limit is None:
            return
        now_s = self._now()
        limit.record(now_s, count)
        limit.limit_backlog(now_s)
        self._used_s.setdefault(replica_id, {})[sender] = now_s

    def record_turn(self, replica_id: ids.ReplicaId) -> float:
        """Records a request in the order of all daemons.

        Returns:
            Seconds until it conforms to the limit as a live request.
        """
        limit = self._limits.get(replica_id)
        if limit is None:
            return 0.0
        now_s = self._now()
        due_s = limit.record(now_s)
        return max(0.0, due_s - _BURSTS_S[Urgency.LIVE] - now_s)

    def _count_others(self, replica_id: ids.ReplicaId) -> int:
        used_s = self._used_s.get(replica_id, {})
        oldest_s = self._now() - SENDER_VALID_S
        for sender in [s for s, at_s in used_s.items() if at_s < oldest_s]:
            del used_s[sender]
        return len(used_s)
