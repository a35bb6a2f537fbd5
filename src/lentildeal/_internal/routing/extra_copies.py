"""Extra copies of requests that may be repeated: when, and how many.

Nothing here waits or does I/O, so that load patterns can be tested without a
network.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import random
import statistics
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.routing import finish_times
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import clock

# A request is late if it takes longer than this share of its kind.
USUAL_SHARE = 0.95
# It is also not late before this multiple of the usual time: where all take
# about as long, it will answer before a copy could.
MIN_LATE_FACTOR = 1.5
# Measurements whose median counts. With fewer, one or two slow requests would
# pass for what is usual.
MIN_MEASUREMENTS = 5
# Time after which a request is late without measurements and an objective.
DEFAULT_LATE_S = 1.0
# Measurements that are kept for each kind of request, and for how long. Slow
# times of replicas last seconds, and a day's traffic changes over minutes.
MAX_MEASUREMENTS = 200
MEASUREMENT_VALID_S = 120.0
# Copies that may be sent in a row after a time without any.
BURST_COPIES = 3.0
# Share of a replica's slots from which no copy is sent there. Above it, a copy
# would soon wait or make others wait.
MAX_TAKEN_SHARE = 0.5
# Age of a report from which the replica is asked for its status first. About
# two requests are served in this time.
MAX_REPORT_AGE_S = 0.1
# The service as a whole is slow if more than this share of the last calls was
# late. Copies then add load and help nobody. One slow replica of three makes a
# third of the calls late, which is what copies are for.
MAX_LATE_SHARE = 0.5
LATE_WINDOW_CALLS = 20
LATE_VALID_S = 10.0
# Late calls that are needed for that; fewer are chance.
MIN_LATE_CALLS = 4
# Time without copies after a replica of the service refused a request, which
# it does when its queue is full.
REFUSAL_PAUSE_S = 2.0


class Verdict(str, enum.Enum):
    """Whether a copy may be sent, and otherwise why not."""

    SEND = 'send'
    NOT_LATE = 'not_late'
    NO_TIME = 'no_time'
    OVERLOAD = 'overload'
    NO_BUDGET = 'no_budget'
    NO_ROOM = 'no_room'


@dataclasses.dataclass(frozen=True)
class Request:
    """A request in flight that may be repeated.

    Attributes:
        kind: Requests of one kind take about as long; the name of the route.
        service: Service that it was sent to.
        elapsed_s: Time since its first attempt, in seconds.
        remaining_s: Time that its caller still waits, in seconds.
        objective_s: Latency objective of its route, 0 without one.
    """

    kind: ids.RouteName
    service: ids.ServiceName
    elapsed_s: float
    remaining_s: float
    objective_s: float


class _Kind:
    """Times that requests of one kind took lately."""

    def __init__(self) -> None:
        self._times: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_MEASUREMENTS)
        )

    def record(self, now_s: float, seconds: float) -> None:
        self._times.append((now_s, seconds))

    def list_recent(self, now_s: float) -> list[float]:
        """Recent times, ascending."""
        while self._times:
            if now_s - self._times[0][0] <= MEASUREMENT_VALID_S:
                break
            self._times.popleft()
        return sorted(seconds for _, seconds in self._times)


class CopyPolicy:
    """Decides on extra copies of the requests of one daemon.

    Args:
        settings: Settings section ``hedging``.
        now: Steady clock.
        generator: Random number generator.
    """

    def __init__(
        self,
        settings: settings_module.Hedging,
        now: typing.Callable[[], float] = clock.monotonic_s,
        generator: typing.Any = random,
    ) -> None:
        self._settings = settings
        self._now = now
        # A random fraction of a copy, so that of all daemons, and over all
        # restarts, as many copies are sent as the share allows on average. A
        # daemon with few requests would never send one from 0, and restarts
        # would give more than the share from 1.
        self._tokens = generator.random()
        self._kinds: dict[ids.RouteName, _Kind] = {}
        self._late: dict[ids.ServiceName, collections.deque] = {}
        self._refused_s: dict[ids.ServiceName, float] = {}
        # Copies of this daemon in flight.
        self._running: collections.Counter[ids.ReplicaId] = (
            collections.Counter()
        )

    @property
    def is_on(self) -> bool:
        """Whether operators allow extra copies."""
        return self._settings.share_of_requests > 0

    def record_request(self) -> None:
        """Counts a request that may be repeated."""
        self._tokens = min(
            BURST_COPIES, self._tokens + self._settings.share_of_requests
        )

    def record_time(self, request: Request) -> None:
        """Records the time that a request took.

        Args:
            request: The request; one that a copy has overtaken counts with
                the time until then, since it would have taken longer.
        """
        late_after_s = self.late_after_s(request)
        self._late.setdefault(
            request.service, collections.deque(maxlen=LATE_WINDOW_CALLS)
        ).append((self._now(), request.elapsed_s > late_after_s))
        self._kinds.setdefault(request.kind, _Kind()).record(
            self._now(), request.elapsed_s
        )

    def record_refusal(self, service: ids.ServiceName) -> None:
        """Records that a replica refused a request as it is full."""
        self._refused_s[service] = self._now()

    def record_sent(self, replica_id: ids.ReplicaId) -> None:
        """Charges a copy to the budget."""
        self._tokens -= 1.0
        self._running[replica_id] += 1

    def record_end(
        self, replica_id: ids.ReplicaId, *, is_refunded: bool
    ) -> None:
        """Records the end of a copy.

        Args:
            replica_id: Replica of the copy.
            is_refunded: Whether it was not sent in the end.
        """
        if is_refunded:
            self._tokens += 1.0
        self._running[replica_id] -= 1
        if not self._running[replica_id]:
            del self._running[replica_id]

    def late_after_s(self, request: Request) -> float:
        """Time after which a request is slower than nearly all of its kind.

        A new request takes longer than the k-th smallest of n with a
        probability of (n + 1 - k) / (n + 1), whatever the distribution. With
        fewer than 19 measurements no k makes that 5 %. Then a request is late
        after half of its objective, unless the median says that its kind takes
        longer; a maximum would follow a single slow request.
        """
        times = self._list_times(request)
        late_s = request.objective_s / 2 or DEFAULT_LATE_S
        rank = math.ceil(USUAL_SHARE * (len(times) + 1))
        if rank <= len(times):
            late_s = times[rank - 1]
        return max(late_s, MIN_LATE_FACTOR * _find_usual_s(times))

    def is_overloaded(self, service: ids.ServiceName) -> bool:
        """Whether copies would make a slow service slower."""
        refused_s = self._refused_s.get(service, -math.inf)
        if self._now() - refused_s < REFUSAL_PAUSE_S:
            return True
        late = [
            is_late
            for at_s, is_late in self._late.get(service, ())
            if self._now() - at_s <= LATE_VALID_S
        ]
        return sum(late) >= max(MIN_LATE_CALLS, MAX_LATE_SHARE * len(late))

    def judge(self, request: Request) -> Verdict:
        """Judges whether a copy of a request may be sent at all."""
        if request.elapsed_s < self.late_after_s(request):
            return Verdict.NOT_LATE
        # A copy usually takes as long as half of the requests do.
        if request.remaining_s <= _find_usual_s(self._list_times(request)):
            return Verdict.NO_TIME
        if self.is_overloaded(request.service):
            return Verdict.OVERLOAD
        if self._tokens < 1.0:
            return Verdict.NO_BUDGET
        return Verdict.SEND

    def has_room(self, estimate: finish_times.Estimate) -> bool:
        """Whether a replica has room for a copy that is charged already.

        Args:
            estimate: What is known of it. Callers make sure that the report is
                new; a replica that reports nothing is judged by this
                daemon's own requests.
        """
        taken = estimate.own_running + estimate.others
        if taken >= MAX_TAKEN_SHARE * estimate.slots:
            return False
        allowed = max(1.0, self._settings.share_of_slots * estimate.slots)
        return self._running[estimate.replica_id] <= allowed

    def _list_times(self, request: Request) -> list[float]:
        kind = self._kinds.get(request.kind)
        return [] if kind is None else kind.list_recent(self._now())


def _find_usual_s(times: typing.Sequence[float]) -> float:
    """Median of enough times, otherwise 0."""
    return statistics.median(times) if len(times) >= MIN_MEASUREMENTS else 0.0
