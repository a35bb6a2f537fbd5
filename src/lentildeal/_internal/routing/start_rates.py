"""Limits on the calls that this daemon starts a second, from load reports.

Daemons don't know each other's calls, but all see the queues that replicas
report. A limit falls by a factor while the queues are long and rises by an
amount otherwise, which makes the limits of all daemons converge (Chiu and
Jain, 1989). Nothing here waits or does I/O. See docs/design/admission.md.
"""

from __future__ import annotations

import math
import typing

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.routing import estimates
from lentildeal._internal.utils import clock

# Validity of reports. Without a newer one there is no limit.
REPORT_VALID_S = 1.0
# Time without a report after which a call is started to get one, for the most
# urgent rank; it doubles from rank to rank. With 137 daemons these are 450
# calls a second, two thirds of what a plain service of 24 slots can do.
PROBE_INTERVAL_S = 0.3
# Queue of a replica that has no room left, in shares of its slots, until one
# reports it with a refusal; plain services hold 24 calls for 6 slots. Refusals
# for other causes may come with a short queue, so there is a least value too.
FULL_QUEUE_SHARE = 4.0
MIN_FULL_QUEUE_SHARE = 1.0
# Part of a full queue above which it counts as long for the most urgent rank.
# It keeps the slots busy while daemons react, and delays a call by two service
# times.
MAX_QUEUE_FILL = 0.5
# Each rank's bound, as a part of that of the next more urgent one.
RANK_FACTOR = 0.5
# A limit falls by this factor, at most once in an interval in which the
# replicas can show the effect of the last change.
DECREASE = 0.85
CHANGE_INTERVAL_S = 0.1
# A limit rises each second by this part of what all replicas can do.
INCREASE_PER_S = 0.005
# A limit also rises by a factor in an interval, as a few daemons alone would
# take long: while queues are at most half as long as allowed, so that a more
# urgent rank displaces a less urgent one that holds them there; while replicas
# have free slots; and while under half of the slots are taken.
SHORT_QUEUE_GROWTH = 1.05
GROWTH = 1.15
IDLE_GROWTH = 2.0
# Lowest limit, in calls a second, so that it can rise again.
MIN_RATE = 0.2
# A limit this many times above what arrives has no effect and ends.
UNUSED_FACTOR = 2.0
# Times over which arrivals and starts are averaged, in seconds. The first
# limit follows from the starts, also soon after calls began to arrive.
ARRIVAL_WINDOW_S = 1.0
START_WINDOW_S = 0.2
# Starts that an unused limit saves up, in seconds.
BURST_S = 0.05


class StartRate:
    """Limit on the starts of one service and rank, or none.

    Attributes:
        rank_index: Position of the rank, 0 for the most urgent one.
        arrivals: Calls that arrive.
    """

    def __init__(
        self,
        rank_index: int,
        now: typing.Callable[[], float] = clock.monotonic_s,
    ) -> None:
        """Starts without a limit."""
        self.rank_index = rank_index
        self.arrivals = estimates.ArrivalRate(ARRIVAL_WINDOW_S, now)
        self._now = now
        self._full_queue_share = FULL_QUEUE_SHARE
        self._rate: typing.Optional[float] = None
        self._starts = estimates.ArrivalRate(START_WINDOW_S, now)
        self._next_start_s = -math.inf
        self._changed_s = -math.inf
        self._reported_s = -math.inf
        self._probed_s = -math.inf

    @property
    def per_second(self) -> typing.Optional[float]:
        """Calls that may start in a second, None without a limit."""
        if self._now() - self._reported_s > REPORT_VALID_S:
            self._rate = None
        return self._rate

    @property
    def wait_s(self) -> float:
        """Time until a call may start."""
        if self.per_second is None:
            return 0.0
        start_s = min(self._next_start_s, self._find_probe_s())
        return max(0.0, start_s - self._now())

    @property
    def max_queue_share(self) -> float:
        """Queue that isn't too long yet, in shares of the slots."""
        fill = MAX_QUEUE_FILL * RANK_FACTOR**self.rank_index
        return self._full_queue_share * fill

    def record_start(self) -> None:
        """Records a call that is placed now."""
        self._starts.record()
        rate = self.per_second
        if rate is None:
            return
        now_s = self._now()
        if now_s >= self._find_probe_s():
            self._probed_s = now_s
        start_s = max(self._next_start_s, now_s - BURST_S)
        self._next_start_s = start_s + 1.0 / rate

    def record_report(
        self, load: platform_base.ReplicaLoad, capacity_per_s: float
    ) -> None:
        """Records a report of a replica.

        Args:
            load: The report.
            capacity_per_s: Calls that all replicas can do in a second, 0 if
                unknown.
        """
        if load.waiting > self.max_queue_share * max(1, load.slots):
            self._record_long_queue()
        elif self.per_second is not None:
            self._increase(load, capacity_per_s)

    def record_full(
        self, load: typing.Optional[platform_base.ReplicaLoad]
    ) -> None:
        """Records a replica that had no room, with its report if it sent one.

        The queues of services differ, and their lengths aren't published.
        """
        if load is not None:
            share = load.waiting / max(1, load.slots)
            self._full_queue_share = min(
                FULL_QUEUE_SHARE, max(MIN_FULL_QUEUE_SHARE, share)
            )
        self._record_long_queue()

    def end_unused(self) -> None:
        """Ends a limit that is far above what arrives."""
        used = UNUSED_FACTOR * self.arrivals.per_second + MIN_RATE
        if self._rate is not None and self._rate > used:
            self._rate = None

    def scale(self, factor: float) -> None:
        """Applies a change of the number of slots."""
        if self._rate is not None:
            self._change(max(MIN_RATE, self._rate * factor))

    def _record_long_queue(self) -> None:
        now_s = self._now()
        rate = self.per_second
        self._reported_s = now_s
        if rate is None:
            # What was started lately was too much.
            rate = self._starts.per_second
        elif now_s - self._changed_s < CHANGE_INTERVAL_S:
            return
        self._change(max(MIN_RATE, rate * DECREASE))

    def _increase(
        self, load: platform_base.ReplicaLoad, capacity_per_s: float
    ) -> None:
        now_s = self._now()
        self._reported_s = now_s
        elapsed_s = min(now_s - self._changed_s, REPORT_VALID_S)
        if elapsed_s < CHANGE_INTERVAL_S:
            return
        rate = self._rate + INCREASE_PER_S * capacity_per_s * elapsed_s
        rate *= self._find_growth(load) ** (elapsed_s / CHANGE_INTERVAL_S)
        self._change(rate)

    def _find_growth(self, load: platform_base.ReplicaLoad) -> float:
        """Factor by which the limit rises in an interval."""
        if not load.waiting and load.running < load.slots:
            is_idle = load.running < 0.5 * load.slots
            return IDLE_GROWTH if is_idle else GROWTH
        is_short = load.waiting <= 0.5 * self.max_queue_share * load.slots
        return SHORT_QUEUE_GROWTH if is_short else 1.0

    def _change(self, rate: float) -> None:
        """Sets the limit; the time until the next start changes with it."""
        now_s = self._now()
        if self._rate is None or self._next_start_s < now_s:
            self._next_start_s = max(self._next_start_s, now_s - BURST_S)
        else:
            left_s = (self._next_start_s - now_s) * self._rate / rate
            self._next_start_s = now_s + left_s
        self._rate = rate
        self._changed_s = now_s

    def _find_probe_s(self) -> float:
        """Time from which a call is started to get a report."""
        interval_s = PROBE_INTERVAL_S * 2.0**self.rank_index
        last_s = max(self._reported_s, self._probed_s)
        return last_s + min(REPORT_VALID_S, interval_s)
