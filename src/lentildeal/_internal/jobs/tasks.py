"""Items that this daemon runs, and its view of the replicas."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.jobs import attempts
from lentildeal._internal.jobs import scheduling
from lentildeal._internal.jobs import table
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.routing import failure_rate
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock

# Age after which the load that a replica reported is stale.
LOAD_VALID_S = 1.0
FIRST_AVOIDANCE_S = 0.4
MAX_AVOIDANCE_S = 4.0
# A replica that refused a request is full or loads weights, which takes a
# second.
REFUSAL_AVOIDANCE_S = 0.25
# An item is a straggler if it exceeds its estimate by this factor.
STRAGGLER_FACTOR = 2.0
# Attempts of an item that may break in a row, each at another replica, before
# the item counts as the cause.
MAX_BROKEN_IN_ROW = 4
# Delays between the attempts of such an item.
FIRST_SUSPECT_DELAY_S = 0.1
MAX_SUSPECT_DELAY_S = 1.0
# Replicas that may go down with an item in a row before the item counts as the
# cause. Others lose their replica together, which is chance once.
MAX_CRASHES_IN_ROW = 1
# Delay before the next attempt of such an item. Replicas are back after about
# three seconds, so that it takes down one at a time.
CRASH_DELAY_S = 3.0


class ItemTask:
    """An item without a result, and the state of its attempts."""

    def __init__(
        self,
        entry: table.JobEntry,
        index: int,
        item: jobs.Item,
        progress: jobs.Progress,
        *,
        expected_events: float,
        is_resubmitted: bool,
    ) -> None:
        self.entry = entry
        self.index = index
        self.item = item
        self.progress = progress
        self.expected_events = expected_events
        self.is_resubmitted = is_resubmitted
        self.attempt: typing.Optional[attempts.Attempt] = None
        self.thread: typing.Any = None
        self.is_done = False
        # Whether the text is complete and only lacks its score.
        self.is_generated = False
        self.attempt_count = 0
        self.failures = 0
        self.broken_in_row = 0
        self.crashes_in_row = 0
        self.moves = 0
        self.excluded: set[ids.ReplicaId] = set()
        self.created_s = clock.monotonic_s()
        self._blocked_since_s: typing.Optional[float] = None
        self._retry_at_s = 0.0
        self._failing_since_s: typing.Optional[float] = None
        self._retry_delays = backoff.Backoff(
            FIRST_SUSPECT_DELAY_S, MAX_SUSPECT_DELAY_S
        )
        self.saved_events = len(progress.events)

    @property
    def is_waiting(self) -> bool:
        """Whether the item waits for a replica."""
        if self.attempt or self.is_done or self.is_generated:
            return False
        return clock.monotonic_s() >= self._retry_at_s

    @property
    def is_suspect(self) -> bool:
        """Whether the item and not its replicas seems to break attempts."""
        return (
            self.broken_in_row > MAX_BROKEN_IN_ROW
            or self.crashes_in_row > MAX_CRASHES_IN_ROW
        )

    def record_broken(self, events: int) -> None:
        """Records a broken attempt and the events that it made."""
        self.broken_in_row = 0 if events else self.broken_in_row + 1
        if events:
            self.crashes_in_row = 0
        if self.is_suspect:
            self._retry_at_s = (
                clock.monotonic_s() + self._retry_delays.next_delay_s()
            )

    def record_blocked(self) -> float:
        """Records that no replica takes the item; returns since how long."""
        now_s = clock.monotonic_s()
        if self._blocked_since_s is None:
            self._blocked_since_s = now_s
        return now_s - self._blocked_since_s

    def record_start(self, attempt: attempts.Attempt) -> None:
        """Records the start of an attempt."""
        self.attempt = attempt
        self.attempt_count += 1
        self._blocked_since_s = None

    def record_crash(self) -> None:
        """Records that a replica went down with the item."""
        self.crashes_in_row += 1
        if self.is_suspect:
            self._retry_at_s = clock.monotonic_s() + CRASH_DELAY_S

    def record_internal_error(self) -> float:
        """Records an unexpected error; returns since how long there are any.

        The next attempt is delayed.
        """
        now_s = clock.monotonic_s()
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        self._retry_at_s = now_s + self._retry_delays.next_delay_s()
        return now_s - self._failing_since_s

    def clear_internal_errors(self) -> None:
        """Records that an attempt was processed without an error."""
        self._failing_since_s = None

    @property
    def is_unscored(self) -> bool:
        """Whether the item waits for the score of its text."""
        return self.is_generated and not self.is_done

    @property
    def expected_left(self) -> float:
        """Estimated number of remaining events.

        The length of responses has a long tail: an item that exceeds its
        estimate is expected to make half as many events again, and as many
        again if it exceeds it by far.
        """
        made = len(self.progress.events)
        if self.attempt is not None:
            made = self.attempt.event_count
        is_straggler = made > STRAGGLER_FACTOR * self.expected_events
        return max(
            self.expected_events - made, made if is_straggler else made / 2
        )

    def make_requirements(
        self, is_single_version: bool
    ) -> scheduling.Requirements:
        """Requirements of the item for its next replica."""
        required_version = None
        versions = self.progress.versions
        if self.attempt is not None:
            versions = self.attempt.versions
        if is_single_version and versions:
            required_version = ids.Version(versions[0])
        return scheduling.Requirements(
            self.entry.head.min_version,
            required_version,
            frozenset(self.excluded),
            self.expected_left,
        )

    def is_valid(self, progress: jobs.Progress, is_single: bool) -> bool:
        """Whether the job accepts the versions that made a text."""
        versions = progress.versions
        if any(v < self.entry.head.min_version for v in versions):
            return False
        return not is_single or len(versions) <= 1


@dataclasses.dataclass
class _Avoidance:
    until_s: float = 0.0
    next_s: float = FIRST_AVOIDANCE_S


class ReplicaTracker:
    """Load and failures of replicas, as observed by this daemon."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._running: dict[ids.ReplicaId, int] = {}
        self._other_requests: dict[ids.ReplicaId, tuple[int, float]] = {}
        self._avoidances: dict[ids.ReplicaId, _Avoidance] = {}
        self._failures: dict[ids.ReplicaId, failure_rate.FailureRate] = {}

    def record_start(self, replica_id: ids.ReplicaId) -> None:
        """Records the start of an attempt at a replica."""
        self._running[replica_id] = self._running.get(replica_id, 0) + 1

    def record_end(self, replica_id: ids.ReplicaId) -> None:
        """Records the end of an attempt at a replica."""
        left = self._running.get(replica_id, 1) - 1
        if left > 0:
            self._running[replica_id] = left
        else:
            self._running.pop(replica_id, None)

    def record_load(self, replica_id: ids.ReplicaId, total: int) -> None:
        """Records the load that a replica reports.

        Args:
            replica_id: The replica.
            total: Its running and waiting requests.
        """
        others = max(0, total - self._running.get(replica_id, 0))
        self._other_requests[replica_id] = others, self._now()

    def count_free(self, replica_id: ids.ReplicaId, slots: int) -> int:
        """Number of slots that this daemon believes to be free.

        A replica that failed gets a single attempt first. Otherwise each
        trial of an unreachable failure domain would delay as many items as
        it has slots.
        """
        if self.is_on_trial(replica_id):
            slots = 1
        others, at_s = self._other_requests.get(replica_id, (0, 0.0))
        if self._now() - at_s > LOAD_VALID_S:
            others = 0
        return slots - self._running.get(replica_id, 0) - others

    def record_success(self, replica_id: ids.ReplicaId) -> None:
        """Records a complete attempt."""
        self._avoidances.pop(replica_id, None)
        self._record_outcome(replica_id, True)

    def record_event(self, replica_id: ids.ReplicaId) -> None:
        """Records an event of an attempt, which ends a trial.

        An event does not lift the avoidance after a refusal: a replica that
        loads weights continues its requests and accepts no others.
        """
        if self.is_on_trial(replica_id):
            del self._avoidances[replica_id]

    def record_error(self, replica_id: ids.ReplicaId) -> None:
        """Records an error response.

        The item itself may be the cause, so one error has little effect.
        """
        self._record_outcome(replica_id, False)

    def record_failure(self, replica_id: ids.ReplicaId) -> None:
        """Records a broken attempt; avoids the replica with backoff."""
        self._record_outcome(replica_id, False)
        avoidance = self._avoidances.setdefault(replica_id, _Avoidance())
        if avoidance.until_s > self._now():
            # Attempts that break at the same time count as one failure.
            return
        avoidance.until_s = self._now() + avoidance.next_s
        avoidance.next_s = min(MAX_AVOIDANCE_S, avoidance.next_s * 2)

    def record_refusal(self, replica_id: ids.ReplicaId) -> None:
        """Records that a replica refused a request."""
        avoidance = self._avoidances.setdefault(replica_id, _Avoidance())
        avoidance.until_s = max(
            avoidance.until_s, self._now() + REFUSAL_AVOIDANCE_S
        )

    def is_on_trial(self, replica_id: ids.ReplicaId) -> bool:
        """Whether a replica made no event since its avoidance ended."""
        avoidance = self._avoidances.get(replica_id)
        return avoidance is not None and avoidance.until_s <= self._now()

    def failure_rate(self, replica_id: ids.ReplicaId) -> float:
        """Share of a replica's attempts that fail, from 0 to 1."""
        known = self._failures.get(replica_id)
        return 0.0 if known is None else known.value(self._now())

    def _record_outcome(
        self, replica_id: ids.ReplicaId, is_success: bool
    ) -> None:
        known = self._failures.setdefault(
            replica_id, failure_rate.FailureRate()
        )
        known.record(is_success, self._now())

    def is_avoided(self, replica_id: ids.ReplicaId) -> bool:
        """Whether a replica is avoided after a failure or refusal."""
        avoidance = self._avoidances.get(replica_id)
        return avoidance is not None and avoidance.until_s > self._now()
