"""Items that this daemon runs, and the replicas as it sees them."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.jobs import attempts
from lentildeal._internal.jobs import scheduling
from lentildeal._internal.jobs import table
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.routing import failure_rate
from lentildeal._internal.utils import clock

# Time for which a replica's report of its load is used.
LOAD_VALID_S = 1.0
FIRST_AVOIDANCE_S = 0.4
LONGEST_AVOIDANCE_S = 4.0
# A replica that refused is full or loads weights, which takes a second.
REFUSAL_AVOIDANCE_S = 0.25


class ItemTask:
    """An item without a result."""

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
        self.attempt_count = 0
        self.failures = 0
        self.moves = 0
        self.excluded: set[ids.ReplicaId] = set()
        self.created_s = clock.monotonic_s()
        self.saved_events = len(progress.events)

    @property
    def is_waiting(self) -> bool:
        """Whether the item needs a replica."""
        return self.attempt is None and not self.is_done

    @property
    def expected_left(self) -> float:
        """Estimate of the events that are left.

        An item that has outgrown its estimate is expected to go on for half
        of what it has made, as long answers have a long tail.
        """
        made = len(self.progress.events)
        if self.attempt is not None:
            made = self.attempt.event_count
        return max(self.expected_events - made, made / 2)

    def make_requirements(
        self, is_single_version: bool
    ) -> scheduling.Requirements:
        """What the item needs from its next replica."""
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
        )

    def is_valid(self, progress: jobs.Progress, is_single: bool) -> bool:
        """Whether a text's versions are those that the job accepts."""
        versions = progress.versions
        if any(v < self.entry.head.min_version for v in versions):
            return False
        return not is_single or len(versions) <= 1


@dataclasses.dataclass
class _Avoidance:
    until_s: float = 0.0
    next_s: float = FIRST_AVOIDANCE_S


class ReplicaTracker:
    """Load and failures of replicas, as this daemon's runs show them."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._running: dict[ids.ReplicaId, int] = {}
        self._others: dict[ids.ReplicaId, tuple[int, float]] = {}
        self._avoidances: dict[ids.ReplicaId, _Avoidance] = {}
        self._failures: dict[ids.ReplicaId, failure_rate.FailureRate] = {}

    def record_start(self, replica_id: ids.ReplicaId) -> None:
        """Notes that a run begins."""
        self._running[replica_id] = self._running.get(replica_id, 0) + 1

    def record_end(self, replica_id: ids.ReplicaId) -> None:
        """Notes that a run has ended."""
        left = self._running.get(replica_id, 1) - 1
        if left > 0:
            self._running[replica_id] = left
        else:
            self._running.pop(replica_id, None)

    def record_load(self, replica_id: ids.ReplicaId, total: int) -> None:
        """Takes in the running and waiting requests that a replica reports."""
        others = max(0, total - self._running.get(replica_id, 0))
        self._others[replica_id] = others, self._now()

    def count_free(self, replica_id: ids.ReplicaId, slots: int) -> int:
        """Slots that are free as far as this daemon knows.

        A replica that failed is tried with one run, so that a cut-off domain
        does not hold up as many items as it has slots each time.
        """
        if self.is_on_trial(replica_id):
            slots = 1
        others, at_s = self._others.get(replica_id, (0, 0.0))
        if self._now() - at_s > LOAD_VALID_S:
            others = 0
        return slots - self._running.get(replica_id, 0) - others

    def record_success(self, replica_id: ids.ReplicaId) -> None:
        """A run was complete."""
        self._avoidances.pop(replica_id, None)
        self._record_outcome(replica_id, True)

    def record_event(self, replica_id: ids.ReplicaId) -> None:
        """A run has made an event, which ends a trial.

        It says nothing about a refusal: a replica that loads weights goes on
        with its runs and takes no others.
        """
        if self.is_on_trial(replica_id):
            del self._avoidances[replica_id]

    def record_error(self, replica_id: ids.ReplicaId) -> None:
        """A run was answered with an error.

        The item may be at fault, so that one error has little effect.
        """
        self._record_outcome(replica_id, False)

    def record_failure(self, replica_id: ids.ReplicaId) -> None:
        """A run broke; the replica is avoided for a time that grows."""
        self._record_outcome(replica_id, False)
        known = self._avoidances.setdefault(replica_id, _Avoidance())
        if known.until_s > self._now():
            # Runs that break together are one failure.
            return
        known.until_s = self._now() + known.next_s
        known.next_s = min(LONGEST_AVOIDANCE_S, known.next_s * 2)

    def record_refusal(self, replica_id: ids.ReplicaId) -> None:
        """A replica did not take a run."""
        known = self._avoidances.setdefault(replica_id, _Avoidance())
        known.until_s = max(known.until_s, self._now() + REFUSAL_AVOIDANCE_S)

    def is_on_trial(self, replica_id: ids.ReplicaId) -> bool:
        """Whether a replica has made nothing since its avoidance ended."""
        known = self._avoidances.get(replica_id)
        return known is not None and known.until_s <= self._now()

    def failure_rate(self, replica_id: ids.ReplicaId) -> float:
        """Share of a replica's runs that fail, from 0 to 1."""
        known = self._failures.get(replica_id)
        return 0.0 if known is None else known.value(self._now())

    def _record_outcome(
        self, replica_id: ids.ReplicaId, is_success: bool
    ) -> None:
        known = self._failures.setdefault(
            replica_id, failure_rate.FailureRate()
        )
        known.note(is_success, self._now())

    def is_avoided(self, replica_id: ids.ReplicaId) -> bool:
        """Whether a replica failed lately."""
        known = self._avoidances.get(replica_id)
        return known is not None and known.until_s > self._now()
