"""Decides which item runs next, at which replica, and when it is moved.

The functions neither wait nor do I/O, so that load patterns can be tested
without a network.
"""

from __future__ import annotations

import dataclasses
import statistics
import typing

from lentildeal._internal.models import ids

# Timeout of the first event. Connecting, a full batch of prompts and a first
# step together take a tenth of it.
FIRST_EVENT_TIMEOUT_S = 1.0
# Minimum timeout between two events; an event takes 0.15 s while the platform
# is slow.
MIN_SILENCE_S = 0.6
# Timeout between two events as a multiple of the replica's pace.
SILENCE_FACTOR = 8.0
# An item is moved if another replica is faster by this factor.
MOVE_FACTOR = 1.6
# Time that a move has to save for a replica that is faster by less than that.
MOVE_MIN_GAIN_S = 0.6
# Paces that differ by less than this factor count as equal. Measurements vary,
# and replicas of two speeds differ by 1.3.
SIMILAR_PACE_FACTOR = 1.15
# Events that a move costs: the prefill, and the event that was under way.
MOVE_COST_EVENTS = 2
# An item with at least this many events left is long: it is sent to one of the
# fastest replicas, and not to one whose pace has to be found out again.
LONG_ITEM_EVENTS = 30
# Number of events of an attempt before its pace is evaluated.
MIN_PACE_EVENTS = 6
# Moving costs a prefill and an event, so an item that is nearly complete is
# not moved.
MOVE_MIN_LEFT_EVENTS = 5
# Time for which an item waits for a replica with the version of its text, and
# is then generated anew. A replica that refuses is tried again sooner.
RESTART_WAIT_S = 1.0
# Bounds the expected number of attempts at a replica that always fails.
MIN_SUCCESS_RATE = 0.05
# Maximum number of moves of one item for pace; more would react to noise.
MAX_MOVES = 4


@dataclasses.dataclass
class Candidate:
    """A replica that may run an item.

    Attributes:
        replica_id: The replica.
        version: Version of the job's model that it holds.
        free_slots: Slots that are not used by known requests.
        slots: Requests that it runs concurrently.
        pace_s: Seconds per event, None if unknown or outdated.
        last_pace_s: The same, also if it is outdated.
        is_avoided: Whether it is avoided after a failure or refusal.
        failure_rate: Share of its attempts that failed, from 0 to 1.
        is_on_trial: Whether it made no event since it failed.
        work_factor: How long work takes there according to its last report,
            1.0 is usual; None if it is unknown or outdated.
    """

    replica_id: ids.ReplicaId
    version: ids.Version
    free_slots: int
    slots: int
    pace_s: typing.Optional[float] = None
    last_pace_s: typing.Optional[float] = None
    is_avoided: bool = False
    failure_rate: float = 0.0
    is_on_trial: bool = False
    work_factor: typing.Optional[float] = None


@dataclasses.dataclass(frozen=True)
class Requirements:
    """Requirements of an item for its replica.

    Attributes:
        min_version: Oldest acceptable version.
        required_version: The only acceptable version, None for any.
        excluded: Replicas at which the item failed recently.
        expected_left: Estimated number of events to generate.
    """

    min_version: ids.Version
    required_version: typing.Optional[ids.Version] = None
    excluded: frozenset[ids.ReplicaId] = frozenset()
    expected_left: float = 0.0


def order_key(
    *,
    job_rank: int,
    is_resubmitted: bool,
    expected_events: float,
    left_in_group: int,
) -> tuple:
    """Sort key of waiting items; the smallest runs first.

    The trainer waits for resubmitted groups even if all others are complete,
    so these run first. Among the others the longest items run first (longest
    processing time first, Graham 1969), as the step ends with its last item.

    Args:
        job_rank: Number of older open jobs of the same trainer.
        is_resubmitted: Whether the item was part of an earlier job.
        expected_events: Estimated number of events to generate.
        left_in_group: Number of items of the group without a result.
    """
    return job_rank, not is_resubmitted, -expected_events, left_in_group


def choose_replica(
    requirements: Requirements, candidates: typing.Iterable[Candidate]
) -> typing.Optional[Candidate]:
    """Chooses the best replica with a free slot, None if there is none."""
    candidates = list(candidates)
    suitable = [
        c
        for c in candidates
        if c.free_slots > 0 and has_accepted_version(requirements, c)
    ]
    if not suitable:
        return None
    is_long = requirements.expected_left >= LONG_ITEM_EVENTS
    # Without any known pace, work factors still rank the replicas.
    usual_pace_s = find_usual_pace_s(candidates) or 1.0
    paces_s = {
        c.replica_id: expect_pace_s(c, usual_pace_s)
        or (c.last_pace_s if is_long else None)
        for c in suitable
    }
    best_pace_s = min((p for p in paces_s.values() if p), default=1.0)

    def cost(candidate: Candidate) -> tuple:
        # Failed attempts are retried, which adds to the time of the item.
        success_rate = max(MIN_SUCCESS_RATE, 1.0 - candidate.failure_rate)
        pace_s = paces_s[candidate.replica_id] or best_pace_s
        used = 1.0 - candidate.free_slots / max(1, candidate.slots)
        is_excluded = candidate.replica_id in requirements.excluded
        return (
            is_excluded,
            candidate.is_avoided,
            candidate.is_on_trial,
            # Among replicas of a similar pace the least loaded wins.
            _rank_pace(pace_s / best_pace_s, success_rate, is_long),
            used,
            candidate.replica_id,
        )

    return min(suitable, key=cost)


def find_usual_pace_s(
    candidates: typing.Iterable[Candidate],
) -> typing.Optional[float]:
    """Pace at the usual work factor, None if no pace is known."""
    paces_s = [
        c.pace_s / (c.work_factor or 1.0)
        for c in candidates
        if c.pace_s is not None
    ]
    return statistics.median_low(paces_s) if paces_s else None


def expect_pace_s(
    candidate: Candidate, usual_pace_s: typing.Optional[float]
) -> typing.Optional[float]:
    """Measured pace, otherwise the one that the work factor stands for."""
    if candidate.pace_s is not None:
        return candidate.pace_s
    if candidate.work_factor is None or usual_pace_s is None:
        return None
    return candidate.work_factor * usual_pace_s


def _rank_pace(ratio: float, success_rate: float, is_long: bool) -> float:
    """Rounds a pace relative to the best one; similar paces are equal.

    Short items are spread over replicas of any usual pace, which leaves slots
    at the fastest ones to long items. The failure rate is known less precisely
    than the pace, and one failed attempt must not divert load.
    """
    rank = round(ratio / success_rate, 0)
    if is_long and ratio >= SIMILAR_PACE_FACTOR:
        return max(rank, round(ratio, 1))
    return rank


def has_accepted_version(
    requirements: Requirements, candidate: Candidate
) -> bool:
    """Whether a replica has loaded a version that the item accepts."""
    if requirements.required_version is not None:
        return candidate.version == requirements.required_version
    return candidate.version >= requirements.min_version


def choose_for_restart(
    requirements: Requirements,
    candidates: typing.Sequence[Candidate],
    blocked_s: float,
) -> typing.Optional[Candidate]:
    """Chooses a replica at which a blocked item is generated anew.

    A text of a single version can only be continued at a replica with that
    version. There may be none any more, as replicas leave and never return to
    a version, or only ones that are busy or fail.

    Args:
        requirements: Requirements of the item.
        candidates: All replicas.
        blocked_s: Time for which no replica could continue the item.

    Returns:
        The replica, None to wait.
    """
    version = requirements.required_version
    if version is None:
        return None
    has_version = any(c.version == version for c in candidates)
    if has_version and blocked_s < RESTART_WAIT_S:
        return None
    return choose_replica(
        dataclasses.replace(requirements, required_version=None), candidates
    )


def is_unresponsive(
    *,
    silence_s: float,
    has_event: bool,
    pace_s: typing.Optional[float],
) -> bool:
    """Whether the replica of an attempt has sent no data for too long.

    Args:
        silence_s: Time since data was received.
        has_event: Whether the attempt has made an event.
        pace_s: Seconds per event of the replica, None if unknown.
    """
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
    """Finds a replica at which an item ends sooner, None to leave it.

    The caller has to start the item there at once. If the item waited with
    the others, these could take the slot that it was moved for.

    Args:
        requirements: Requirements of the item.
        run_pace_s: Seconds per event of the current attempt.
        run_events: Number of events of the current attempt.
        expected_left: Estimated number of remaining events.
        moves: Number of moves of the item so far.
        current: Replica that runs the item.
        candidates: All replicas.
    """
    if run_events < MIN_PACE_EVENTS or moves >= MAX_MOVES:
        return None
    if expected_left < MOVE_MIN_LEFT_EVENTS:
        return None
    candidates = list(candidates)
    usual_pace_s = find_usual_pace_s(candidates)
    return choose_replica(
        requirements,
        (
            candidate
            for candidate in candidates
            if candidate.replica_id != current
            and not candidate.is_avoided
            and _ends_sooner(
                candidate, usual_pace_s, run_pace_s, expected_left
            )
        ),
    )


def _ends_sooner(
    candidate: Candidate,
    usual_pace_s: typing.Optional[float],
    run_pace_s: float,
    expected_left: float,
) -> bool:
    """Whether an item ends sooner at another replica, with a margin."""
    if candidate.pace_s is not None:
        return _is_move_worthwhile(run_pace_s, candidate.pace_s, expected_left)
    pace_s = expect_pace_s(candidate, usual_pace_s)
    if pace_s is None:
        return False
    # A pace that nobody measured has to pay for the move by a wide margin.
    elsewhere_s = (expected_left + MOVE_COST_EVENTS) * pace_s
    return elsewhere_s * MOVE_FACTOR < expected_left * run_pace_s


def _is_move_worthwhile(
    run_pace_s: float, pace_s: float, expected_left: float
) -> bool:
    if pace_s * MOVE_FACTOR < run_pace_s:
        return True
    gain_s = (run_pace_s - pace_s) * expected_left
    return pace_s * SIMILAR_PACE_FACTOR < run_pace_s and (
        gain_s > MOVE_MIN_GAIN_S
    )
