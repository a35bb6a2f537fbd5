"""Which item runs next, where, and when a run is moved.

Nothing here waits or does I/O, so that a pattern of load can be tested
without a network.
"""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.models import ids

# Longest silence before the first event: connecting, a full batch of prompts
# and a first step together take a tenth of it.
FIRST_EVENT_TIMEOUT_S = 1.0
# Shortest silence between two events that counts as one; a slow phase makes
# an event take 0.15 s.
MIN_SILENCE_S = 0.6
# Silence as a multiple of the replica's pace.
SILENCE_FACTOR = 8.0
# A run is moved if another replica is faster by this factor.
MOVE_FACTOR = 1.6
# Events that a run must have made before its pace is judged.
MIN_PACE_EVENTS = 6
# Moving costs a prefill and an event; a run that is nearly done stays.
MOVE_MIN_LEFT_EVENTS = 5
# Bounds the expected number of repeats at a replica that fails always.
MIN_SUCCESS_RATE = 0.05
# Moves of one item for its replica's pace; more would chase noise.
MAX_MOVES = 4


@dataclasses.dataclass
class Candidate:
    """A replica as a place for an item.

    Attributes:
        replica_id: The replica.
        version: Version of the job's model that it holds.
        free_slots: Requests that it can run besides those known.
        slots: Requests that it runs at once.
        pace_s: Seconds for an event, None if not known.
        is_avoided: Whether it failed lately.
        failure_rate: Share of its runs that failed, from 0 to 1.
        is_on_trial: Whether it has made nothing since it failed.
    """

    replica_id: ids.ReplicaId
    version: ids.Version
    free_slots: int
    slots: int
    pace_s: typing.Optional[float] = None
    is_avoided: bool = False
    failure_rate: float = 0.0
    is_on_trial: bool = False


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What an item needs from its replica.

    Attributes:
        min_version: Oldest version that may generate.
        only_version: The single version that may go on, None for any.
        excluded: Replicas that the item has just failed at.
    """

    min_version: ids.Version
    required_version: typing.Optional[ids.Version] = None
    excluded: frozenset[ids.ReplicaId] = frozenset()


def order_key(
    *,
    job_rank: int,
    is_resubmitted: bool,
    expected_events: float,
    left_in_group: int,
) -> tuple:
    """Sort key of waiting items; the smallest runs first.

    Groups that come again are waited for whatever else is complete. Among
    the others the longest items go first (longest processing time first,
    Graham 1969), as the step ends with its last item.

    Args:
        job_rank: Number of older open jobs of the same trainer.
        is_carried: Whether the item's group comes again.
        expected_events: Estimate of the events to generate.
        left_in_group: Items of the group without a result.
    """
    return job_rank, not is_resubmitted, -expected_events, left_in_group


def choose_replica(
    requirements: Requirements, candidates: typing.Iterable[Candidate]
) -> typing.Optional[Candidate]:
    """Best replica with a free slot, None if the item has to wait."""
    suitable = [
        c
        for c in candidates
        if c.free_slots > 0 and has_accepted_version(requirements, c)
    ]
    if not suitable:
        return None
    known = [c.pace_s for c in suitable if c.pace_s is not None]
    best_pace_s = min(known) if known else 1.0

    def cost(candidate: Candidate) -> tuple:
        # A run that fails is repeated, so that its item takes longer.
        success_rate = max(MIN_SUCCESS_RATE, 1.0 - candidate.failure_rate)
        pace_s = (candidate.pace_s or best_pace_s) / success_rate
        used = 1.0 - candidate.free_slots / max(1, candidate.slots)
        is_excluded = candidate.replica_id in requirements.excluded
        return (
            is_excluded,
            candidate.is_avoided,
            candidate.is_on_trial,
            # Load decides among replicas of about the same pace.
            round(pace_s / best_pace_s, 0),
            used,
            candidate.replica_id,
        )

    return min(suitable, key=cost)


def has_accepted_version(
    requirements: Requirements, candidate: Candidate
) -> bool:
    """Whether a replica holds a version that an item accepts."""
    if requirements.required_version is not None:
        return candidate.version == requirements.required_version
    return candidate.version >= requirements.min_version


def is_unresponsive(
    *,
    silence_s: float,
    has_event: bool,
    pace_s: typing.Optional[float],
) -> bool:
    """Whether a run's replica has said nothing for too long."""
    if not has_event:
        return silence_s > FIRST_EVENT_TIMEOUT_S
    limit_s = max(MIN_SILENCE_S, SILENCE_FACTOR * (pace_s or 0.0))
    return silence_s > limit_s


def find_faster_replica(
    *,
    requirements: Requirements,
    run_pace_s: float,
    run_events: int,
    expected_left: float,
    moves: int,
    current: ids.ReplicaId,
    candidates: typing.Iterable[Candidate],
) -> typing.Optional[Candidate]:
    """Replica at which a run ends sooner, None if it should stay.

    The run has to go on at this replica at once: if it waited with the other
    items, these could take the slots that it was moved for.

    Args:
        need: What the item needs.
        run_pace_s: Seconds for an event of this run.
        run_events: Events that this run has made.
        expected_left: Estimate of the events that are left.
        moves: Moves of the item so far.
        current: Replica that runs it.
        candidates: All replicas.
    """
    if run_events < MIN_PACE_EVENTS or moves >= MAX_MOVES:
        return None
    if expected_left < MOVE_MIN_LEFT_EVENTS:
        return None
    return choose_replica(
        requirements,
        (
            candidate
            for candidate in candidates
            if candidate.pace_s is not None
            and candidate.replica_id != current
            and not candidate.is_avoided
            and candidate.pace_s * MOVE_FACTOR < run_pace_s
        ),
    )
