"""Counts of events in rolling windows, by the clock of this daemon."""

from __future__ import annotations

import collections
import dataclasses
import typing

from hdrh import histogram

from lentildeal._internal.reports import causes as causes_module
from lentildeal._internal.utils import clock as clock_module

BUCKET_S = 10
# Windows of the multi-window burn-rate alert, in seconds by name. Source:
# "The Site Reliability Workbook", chapter 5, O'Reilly, 2018.
WINDOWS_S = {'5m': 300, '30m': 1800, '1h': 3600, '6h': 21_600}
LONGEST_WINDOW_S = max(WINDOWS_S.values())

# Range and precision of latencies: 1 ms to 1 h, two significant digits.
LATENCY_RANGE_MS = (1, 3_600_000, 2)
# Latencies are kept in segments longer than a bucket, since one histogram per
# bucket would take 35 MB for an objective. The segments cover the last hour.
LATENCY_SEGMENT_S = 300
LATENCY_SEGMENT_COUNT = 12

Clock = typing.Callable[[], float]


@dataclasses.dataclass
class Counts:
    """Sums of a bucket or window.

    Attributes:
        total: Number of calls or steps.
        bad: Number of those that missed the objective.
        seconds: Sum of their durations, in seconds.
        idle_s: Time a trainer waited for samples, in seconds.
    """

    total: int = 0
    bad: int = 0
    seconds: float = 0.0
    idle_s: float = 0.0

    def add(self, other: Counts) -> None:
        """Adds other counts to these."""
        self.total += other.total
        self.bad += other.bad
        self.seconds += other.seconds
        self.idle_s += other.idle_s


@dataclasses.dataclass
class _Bucket:
    number: int
    counts: Counts = dataclasses.field(default_factory=Counts)
    causes: causes_module.CauseTable = dataclasses.field(
        default_factory=causes_module.CauseTable
    )


class Latencies:
    """Latencies of the last hour."""

    def __init__(self, clock: Clock = clock_module.monotonic_s) -> None:
        self._clock = clock
        self._segments: collections.deque = collections.deque(
            maxlen=LATENCY_SEGMENT_COUNT
        )

    def record(self, seconds: float) -> None:
        """Records one latency; more than an hour counts as one hour."""
        number = int(self._clock() // LATENCY_SEGMENT_S)
        if not self._segments or self._segments[-1][0] != number:
            self._segments.append((number, make_histogram()))
        low, high, _ = LATENCY_RANGE_MS
        value = min(high, max(low, round(seconds * 1000)))
        self._segments[-1][1].record_value(value)

    def merge(self) -> histogram.HdrHistogram:
        """Returns the histogram of the last hour, in milliseconds."""
        oldest = (
            int(self._clock() // LATENCY_SEGMENT_S) - LATENCY_SEGMENT_COUNT
        )
        merged = make_histogram()
        for number, segment in self._segments:
            if number > oldest:
                merged.add(segment)
        return merged


class Series:
    """Counts of one objective in buckets, kept for the longest window."""

    def __init__(self, clock: Clock = clock_module.monotonic_s) -> None:
        self._clock = clock
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self.latencies = Latencies(clock)

    def record(
        self,
        counts: Counts,
        cause: typing.Optional[str],
        club: typing.Optional[str],
    ) -> None:
        """Adds counts to the current bucket.

        Args:
            counts: Counts to add.
            cause: Why the event was bad or waited; None if it was good.
            club: Club that caused it; None if no club did.
        """
        bucket = self._get_current_bucket()
        bucket.counts.add(counts)
        lost_s = counts.idle_s or (counts.seconds if counts.bad else 0.0)
        if counts.bad or (cause and lost_s):
            bucket.causes.add(cause, club, counts.bad, lost_s)

    def sum(self, window_s: int) -> Counts:
        """Sums the buckets of a window that ends now."""
        result = Counts()
        for bucket in self._iter_window(window_s):
            result.add(bucket.counts)
        return result

    def sum_causes(self, window_s: int) -> causes_module.CauseTable:
        """Sums the causes of a window that ends now."""
        result = causes_module.CauseTable()
        for bucket in self._iter_window(window_s):
            result.add_all(bucket.causes)
        return result

    def _get_current_bucket(self) -> _Bucket:
        number = int(self._clock() // BUCKET_S)
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
            oldest = number - LONGEST_WINDOW_S // BUCKET_S
            while self._buckets[0].number <= oldest:
                self._buckets.popleft()
        return self._buckets[-1]

    def _iter_window(self, window_s: int) -> typing.Iterator[_Bucket]:
        oldest = int(self._clock() // BUCKET_S) - window_s // BUCKET_S
        for bucket in reversed(self._buckets):
            if bucket.number <= oldest:
                return
            yield bucket


def make_histogram() -> histogram.HdrHistogram:
    """Makes an empty histogram of latencies in milliseconds."""
    return histogram.HdrHistogram(*LATENCY_RANGE_MS)
