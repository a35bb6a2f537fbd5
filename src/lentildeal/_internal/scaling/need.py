"""Number of slots that the open work of a service needs."""

from __future__ import annotations

import collections
import dataclasses
import typing

from lentildeal._internal.models import ids

# Duration of an item until enough results were seen.
DEFAULT_ITEM_S = 3.0
# Slot seconds after which an observation counts half.
MEMORY_SLOT_S = 2000.0
# Jobs older than this hold no replicas: their trainers have given up.
LONGEST_JOB_S = 60.0
# The need is averaged over this time. It is short: the items of a job come at
# once, and each one that waits for a slot may be the longest of its group.
AVERAGE_S = 0.5
# Jobs whose durations are kept; the longest counts.
KEPT_DURATIONS = 20
# The need is taken to be lower once all averages of this time are lower.
# Stragglers run for seconds, and trainers pause for seconds between jobs.
LOWER_AFTER_S = 20.0


@dataclasses.dataclass(frozen=True)
class OpenJob:
    """Work that a trainer waits for.

    Attributes:
        job_id: The job.
        remaining: Items without a result.
        done: Items with a result.
        age_s: Time since this daemon has read of the job.
        due_s: Age at which the results are due.
    """

    job_id: ids.JobId
    remaining: int
    done: int
    age_s: float
    due_s: float


class ItemDuration:
    """Time that an item takes in a slot, from results and busy slots."""

    def __init__(self) -> None:
        self._slot_s = DEFAULT_ITEM_S
        self._items = 1.0
        self._done: dict[ids.JobId, int] = {}

    @property
    def item_s(self) -> float:
        """Estimated duration, in seconds."""
        return self._slot_s / self._items

    def record(
        self,
        jobs: typing.Sequence[OpenJob],
        slots: int,
        elapsed_s: float,
    ) -> None:
        """Records the progress of open jobs since the last call."""
        remaining = sum(job.remaining for job in jobs)
        finished = sum(
            job.done - self._done.get(job.job_id, job.done) for job in jobs
        )
        self._done = {job.job_id: job.done for job in jobs}
        slot_s = min(remaining, slots) * elapsed_s
        kept = 0.5 ** (slot_s / MEMORY_SLOT_S)
        self._slot_s = kept * self._slot_s + slot_s
        self._items = max(0.1, kept * self._items + finished)


class JobDuration:
    """Time that the longest of the last jobs took, from their open times."""

    def __init__(self) -> None:
        self._open: dict[ids.JobId, float] = {}
        self._ended_s: collections.deque[float] = collections.deque(
            maxlen=KEPT_DURATIONS
        )

    @property
    def longest_s(self) -> float:
        """Longest duration, 0 before the first job has ended."""
        return max(self._ended_s, default=0.0)

    def record(self, jobs: typing.Sequence[OpenJob]) -> None:
        """Records the jobs that are open."""
        ages_s = {job.job_id: job.age_s for job in jobs}
        self._ended_s.extend(
            age_s
            for job_id, age_s in self._open.items()
            if job_id not in ages_s
        )
        self._open = ages_s


def find_job_slots(
    jobs: typing.Iterable[OpenJob], item_s: float, longest_s: float = 0.0
) -> float:
    """Slots that finish open jobs when they are due.

    The length of an item is not known beforehand, and a group is late with its
    longest item. Items may only wait for a slot as long as the longest one of
    them would still be in time.

    Args:
        jobs: Open jobs.
        item_s: Usual duration of an item.
        longest_s: Time that the longest item of a job takes.
    """
    return sum(
        job.remaining * item_s / max(item_s, job.due_s - job.age_s - longest_s)
        for job in jobs
        if job.age_s <= LONGEST_JOB_S
    )


class SteadyNeed:
    """Average need, which falls only after it was lower for a while."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._averages: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._since_s: typing.Optional[float] = None

    def record(self, slots: float, now_s: float) -> None:
        """Records the need at a time."""
        if self._since_s is None:
            self._since_s = now_s
        self._samples.append((now_s, slots))
        _drop_before(self._samples, now_s - AVERAGE_S)
        average = sum(s for _, s in self._samples) / len(self._samples)
        self._averages.append((now_s, average))
        _drop_before(self._averages, now_s - LOWER_AFTER_S)

    def is_known(self, now_s: float) -> bool:
        """Whether the need was observed for long enough to lower it."""
        return (
            self._since_s is not None
            and now_s - self._since_s >= LOWER_AFTER_S
        )

    @property
    def is_recorded(self) -> bool:
        """Whether the need is observed at all."""
        return self._since_s is not None

    @property
    def is_open(self) -> bool:
        """Whether there was work at the last record."""
        return bool(self._samples) and self._samples[-1][1] > 0

    @property
    def slots(self) -> float:
        """Highest average of the last time."""
        return max((average for _, average in self._averages), default=0.0)


def _drop_before(
    samples: collections.deque[tuple[float, float]], oldest_s: float
) -> None:
    while samples[0][0] < oldest_s:
        samples.popleft()
