"""Outlier ejection of failing and slow replicas, local to this daemon."""

from __future__ import annotations

import collections
import enum
import random
import statistics
import typing

import prometheus_client

from lentildeal._internal.models import ids
from lentildeal._internal.routing import failure_rate
from lentildeal._internal.utils import clock

CONSECUTIVE_FAILURES = 3
# A replica that fails this share of its recent requests is ejected even if
# requests in between succeed.
FAILURE_SHARE = 0.5
RECENT_OUTCOMES = 20
RECENT_S = 30.0
# A replica is slow if its time per unit of cost is above this multiple of
# the median of the target's replicas.
SLOW_FACTOR = 3.0
MINIMUM_MEASUREMENTS = 10
LATENCY_WEIGHT = 0.2
# Load that is added for a replica whose requests all fail, relative to its
# limit.
FAILURE_PENALTY = 2.0
# At most this share of a target's replicas is ejected, so that a fault of
# this daemon's network does not eject the whole target.
LARGEST_EJECTED_SHARE = 1 / 3
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
# Complete responses that end the probation after an ejection.
PROBATION_SUCCESSES = 3


_ejections_total = prometheus_client.Counter(
    'lentildeal_ejections_total',
    'Ejections of replicas by this daemon.',
    ['address', 'reason'],
)


class HealthState(str, enum.Enum):
    """Health of a replica."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBATION = 'probation'


class _ReplicaHealth:
    """Measurements and state of one replica."""

    def __init__(self) -> None:
        self.state = HealthState.HEALTHY
        self.failures_in_row = 0
        # Time and success of recent requests, oldest first.
        self.recent: collections.deque[tuple[float, bool]] = collections.deque(
            maxlen=RECENT_OUTCOMES
        )
        self.failures = failure_rate.FailureRate()
        self.mean_unit_s: typing.Optional[float] = None
        self.mean_call_s: typing.Optional[float] = None
        self.measurements = 0
        self.ejections = 0
        self.ejected_until_s = 0.0
        self.successes_on_probation = 0
        self.in_flight = 0

    def reset_history(self) -> None:
        """Resets the measurements after an ejection."""
        self.failures_in_row = 0
        self.recent.clear()
        self.mean_unit_s = None
        self.measurements = 0
        self.successes_on_probation = 0


class HealthTracker:
    """Health of all replicas of all targets."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._records: dict[ids.ReplicaAddress, _ReplicaHealth] = {}

    def state_of(self, address: ids.ReplicaAddress) -> HealthState:
        """Current state; an expired ejection becomes a probation."""
        record = self._get(address)
        is_over = self._now() >= record.ejected_until_s
        if record.state is HealthState.EJECTED and is_over:
            record.state = HealthState.PROBATION
            record.reset_history()
        return record.state

    def select_usable(
        self, replicas: typing.Sequence[ids.ReplicaAddress]
    ) -> list[ids.ReplicaAddress]:
        """Selects replicas that may get a request.

        Leaves out ejected replicas and those on probation with a request in
        flight. Returns all replicas if none is left.
        """
        usable = [a for a in replicas if self._is_usable(a)]
        return usable or list(replicas)

    def record_start(self, address: ids.ReplicaAddress) -> None:
        """Counts a request that is sent to a replica."""
        self._get(address).in_flight += 1

    def record_end(self, address: ids.ReplicaAddress) -> None:
        """Counts the end of a request, whatever its outcome."""
        self._get(address).in_flight -= 1

    def record_success(
        self,
        address: ids.ReplicaAddress,
        unit_s: float,
        replicas: typing.Sequence[ids.ReplicaAddress],
        call_s: typing.Optional[float] = None,
    ) -> None:
        """Records a complete response.

        Args:
            address: Replica that responded.
            unit_s: Time per unit of cost, in seconds.
            replicas: All replicas of the target.
            call_s: Time of the whole call, in seconds, if it differs.
        """
        record = self._get(address)
        call_s = unit_s if call_s is None else call_s
        if record.mean_call_s is None:
            record.mean_call_s = call_s
        record.mean_call_s += LATENCY_WEIGHT * (call_s - record.mean_call_s)
        record.failures_in_row = 0
        self._record_outcome(record, True)
        record.measurements += 1
        if record.mean_unit_s is None:
            record.mean_unit_s = unit_s
        record.mean_unit_s += LATENCY_WEIGHT * (unit_s - record.mean_unit_s)
        if self._is_slow(address, replicas):
            self._try_eject(address, replicas, 'slow')
        elif self.state_of(address) is HealthState.PROBATION:
            self._advance_probation(record)

    def record_failure(
        self,
        address: ids.ReplicaAddress,
        replicas: typing.Sequence[ids.ReplicaAddress],
    ) -> None:
        """Records a request without a complete response."""
        record = self._get(address)
        record.failures_in_row += 1
        self._record_outcome(record, False)
        if self._is_failing(record, self.state_of(address)):
            self._try_eject(address, replicas, 'failing')

    def penalty(self, address: ids.ReplicaAddress) -> float:
        """Load to add when choosing a replica, relative to its limit.

        A failing replica that can't be ejected, because a third of the
        target is ejected already, is avoided as long as others fail less.
        """
        rate = self._get(address).failures.value(self._now())
        return FAILURE_PENALTY * rate

    def is_overdue(
        self,
        address: ids.ReplicaAddress,
        seconds: float,
        replicas: typing.Sequence[ids.ReplicaAddress],
    ) -> bool:
        """Whether a request without a response counts as a failure.

        A caller's short deadline must not eject a replica for all callers.
        """
        times = [self._get(a).mean_call_s for a in replicas]
        known = [time for time in times if time is not None]
        if not known:
            return True
        return seconds > SLOW_FACTOR * statistics.median_low(known)

    def _get(self, address: ids.ReplicaAddress) -> _ReplicaHealth:
        return self._records.setdefault(address, _ReplicaHealth())

    def _record_outcome(
        self, record: _ReplicaHealth, is_success: bool
    ) -> None:
        now_s = self._now()
        record.recent.append((now_s, is_success))
        record.failures.record(is_success, now_s)

    def _is_usable(self, address: ids.ReplicaAddress) -> bool:
        state = self.state_of(address)
        if state is HealthState.PROBATION:
            return self._get(address).in_flight == 0
        return state is HealthState.HEALTHY

    def _is_failing(self, record: _ReplicaHealth, state: HealthState) -> bool:
        if state is HealthState.PROBATION:
            return True
        if record.failures_in_row >= CONSECUTIVE_FAILURES:
            return True
        return (
            len(record.recent) == RECENT_OUTCOMES
            and self._failure_share(record) >= FAILURE_SHARE
        )

    def _failure_share(self, record: _ReplicaHealth) -> float:
        oldest_s = self._now() - RECENT_S
        while record.recent and record.recent[0][0] < oldest_s:
            record.recent.popleft()
        failures = sum(not is_success for _, is_success in record.recent)
        return failures / max(1, len(record.recent))

    def _is_slow(self, address, replicas) -> bool:
        record = self._get(address)
        needed = MINIMUM_MEASUREMENTS
        if record.state is HealthState.PROBATION:
            needed = PROBATION_SUCCESSES
        median_s = self._median_s(replicas)
        if record.measurements < needed or median_s is None:
            return False
        return record.mean_unit_s > SLOW_FACTOR * median_s

    def _median_s(self, replicas) -> typing.Optional[float]:
        times = [self._get(a).mean_unit_s for a in replicas]
        known = [time for time in times if time is not None]
        return statistics.median_low(known) if len(known) >= 2 else None

    def _try_eject(self, address, replicas, reason: str) -> None:
        states = [self.state_of(a) for a in replicas if a != address]
        ejected = states.count(HealthState.EJECTED)
        if ejected + 1 > LARGEST_EJECTED_SHARE * len(replicas):
            return
        record = self._get(address)
        seconds = min(
            LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections
        )
        # Jitter prevents daemons from returning to a replica at the same time.
        seconds *= 0.75 + random.random() / 2
        record.state = HealthState.EJECTED
        _ejections_total.labels(address, reason).inc()
        record.ejections = min(record.ejections + 1, 10)
        record.ejected_until_s = self._now() + seconds

    def _advance_probation(self, record: _ReplicaHealth) -> None:
        record.successes_on_probation += 1
        if record.successes_on_probation >= PROBATION_SUCCESSES:
            record.state = HealthState.HEALTHY
            record.ejections = 0
