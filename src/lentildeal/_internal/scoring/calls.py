"""Which scoring call is sent next, how often it is retried, when it ends.

Both deployments score a complete text by a call to a service that also answers
live calls. Nothing here waits or does I/O, so that load patterns can be tested
without a network.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock

# Largest share of a replica's slots that scoring calls leave to live calls. A
# scoring call takes several times as long as a live call, which would
# otherwise wait for it.
MAX_LIVE_SLOT_SHARE = 1 / 2
# Time for which the number of other requests at a replica is remembered.
LIVE_PEAK_S = 3.0
FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.8
# Longest pause between single attempts at an unavailable service; its return
# is noticed within this time.
MAX_PAUSE_S = 0.25
LIMIT_DECREASE = 0.5
# An attempt without an answer is hedged after this multiple of the objective.
HEDGE_FACTOR = 1.0
# Timeout of an attempt as a multiple of the objective. A slow replica still
# answers within it, and an unresponsive one blocks few slots.
TIMEOUT_FACTOR = 2.5
# Objective of a route that has none, in seconds.
DEFAULT_OBJECTIVE_S = 1.0
MAX_CONCURRENT_ATTEMPTS = 2


class AttemptOutcome(str, enum.Enum):
    """Outcome of one attempt."""

    SCORED = 'scored'
    # The service processed the call and answered with an error.
    ERROR = 'error'
    # The service refused the call, or there was no complete answer.
    UNAVAILABLE = 'unavailable'


@dataclasses.dataclass(frozen=True)
class CallLimits:
    """Limits of one scoring call.

    Attributes:
        max_errors: Error answers after which the call is given up.
        objective_s: Latency up to which an answer is on time, in seconds.
    """

    max_errors: int
    objective_s: float = DEFAULT_OBJECTIVE_S

    @property
    def timeout_s(self) -> float:
        """Timeout of one attempt, in seconds."""
        return TIMEOUT_FACTOR * (self.objective_s or DEFAULT_OBJECTIVE_S)

    @property
    def hedge_delay_s(self) -> float:
        """Time without an answer before a second attempt, in seconds."""
        return HEDGE_FACTOR * (self.objective_s or DEFAULT_OBJECTIVE_S)


class ScoringCall:
    """Attempts of one scoring call.

    An error answer may be caused by the text itself, so the number of error
    answers is limited. An unavailable service says nothing about the text, so
    these attempts are repeated with backoff as long as the text is needed.
    """

    def __init__(self, limits: CallLimits) -> None:
        self.limits = limits
        self.attempt_count = 0
        self.error_count = 0
        # Replicas that failed, and those that run an attempt.
        self.tried: set[ids.ReplicaId] = set()
        self._running_since_s: list[float] = []
        self._delays = backoff.Backoff(FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self._retry_at_s = -math.inf

    @property
    def is_exhausted(self) -> bool:
        """Whether the call is given up."""
        return self.error_count >= self.limits.max_errors

    def is_attempt_due(self, now_s: float) -> bool:
        """Whether another attempt should be sent now."""
        if self.is_exhausted or now_s < self._retry_at_s:
            return False
        if not self._running_since_s:
            return True
        age_s = now_s - max(self._running_since_s)
        return (
            len(self._running_since_s) < MAX_CONCURRENT_ATTEMPTS
            and age_s >= self.limits.hedge_delay_s
        )

    def record_start(
        self, now_s: float, replica_id: typing.Optional[ids.ReplicaId] = None
    ) -> None:
        """Records the start of an attempt, at a replica if it is known."""
        self.attempt_count += 1
        self._running_since_s.append(now_s)
        if replica_id is not None:
            self.tried.add(replica_id)

    def record_outcome(
        self, outcome: AttemptOutcome, started_s: float, now_s: float
    ) -> None:
        """Records the outcome of an attempt.

        Args:
            outcome: The outcome.
            started_s: Time passed to ``record_start``.
            now_s: Current time.
        """
        self._running_since_s.remove(started_s)
        if outcome is AttemptOutcome.ERROR:
            self.error_count += 1
        elif outcome is AttemptOutcome.UNAVAILABLE:
            self._retry_at_s = now_s + self._delays.next_delay_s()


class AdmissionLimit:
    """Limit of concurrent scoring attempts at one service.

    The limit is halved when attempts fail and grows by one with each answer,
    so that an unavailable service gets single attempts, with backoff, and not
    the backlog of a whole step. Source: additive increase, multiplicative
    decrease (Chiu and Jain 1989).
    """

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._limit = math.inf
        self._decreased_at_s = -math.inf
        self._delays = backoff.Backoff(FIRST_RETRY_DELAY_S, MAX_PAUSE_S)
        self._paused_until_s = -math.inf

    def allowed(self, capacity: int) -> int:
        """Concurrent attempts that are allowed.

        Args:
            capacity: Slots that scoring calls may use.
        """
        self._limit = max(1.0, min(self._limit, capacity))
        if self._now() < self._paused_until_s:
            return 0
        return int(self._limit)

    def record_outcome(
        self, outcome: AttemptOutcome, running: int, started_s: float
    ) -> None:
        """Records the outcome of an attempt.

        Attempts that were in flight when the limit fell do not lower it again,
        as their failures usually have the same cause.

        Args:
            outcome: The outcome.
            running: Attempts in flight before it ended.
            started_s: When it started.
        """
        if outcome is not AttemptOutcome.UNAVAILABLE:
            self._limit += 1.0
            self._delays.reset()
            return
        if self._limit < 2.0:
            self._paused_until_s = self._now() + self._delays.next_delay_s()
        if started_s < self._decreased_at_s:
            return
        self._decreased_at_s = self._now()
        self._limit = max(1.0, LIMIT_DECREASE * min(self._limit, running))


class LiveLoad:
    """Highest recent number of other requests at each replica.

    Replicas report their load with each answer. The daemon that scores does
    not see the live calls of the others.
    """

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._peaks: dict[ids.ReplicaId, tuple[int, float]] = {}

    def record(self, replica_id: ids.ReplicaId, others: int) -> None:
        """Records the number of requests that are no scoring calls."""
        if others >= self.peak(replica_id):
            self._peaks[replica_id] = others, self._now()

    def peak(self, replica_id: ids.ReplicaId) -> int:
        """Returns the highest number of the last seconds."""
        others, at_s = self._peaks.get(replica_id, (0, -math.inf))
        return others if self._now() - at_s <= LIVE_PEAK_S else 0


def count_scoring_slots(slots: int, live_peak: int = 0) -> int:
    """Slots of a replica that scoring calls may use.

    One slot more than live calls used recently is left to them.

    Args:
        slots: Requests that the replica processes concurrently.
        live_peak: Highest recent number of other requests.
    """
    reserved = min(live_peak + 1, math.ceil(MAX_LIVE_SLOT_SHARE * slots))
    return max(1, slots - reserved)


def order_key(
    *, job_rank: int, is_resubmitted: bool, left_in_group: int, index: int
) -> tuple:
    """Sort key of texts that wait for a score; the smallest is sent first.

    Only complete groups count, so the groups that lack the fewest scores come
    first within a job.

    Args:
        job_rank: Number of older open jobs of the same trainer.
        is_resubmitted: Whether the item was part of an earlier job.
        left_in_group: Number of items of the group without a result.
        index: Position of the item in its job.
    """
    return job_rank, not is_resubmitted, left_in_group, index
