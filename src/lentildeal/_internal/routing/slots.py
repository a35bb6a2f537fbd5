"""Slot queue of one replica.

The replica serves requests first-in first-out, so the queue decides their
order: live calls in weighted fair order of their clubs, then rollouts.
"""

from __future__ import annotations

import collections
import enum
import math
import typing

import eventlet
import eventlet.event

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import estimates
from lentildeal._internal.routing import fairness
from lentildeal._internal.routing import limits
from lentildeal._internal.utils import clock

# Share of the slots that is reserved for rollouts while live calls wait.
MINIMUM_ROLLOUT_SHARE = 0.2
RATE_WINDOW_S = 10.0
# Slots kept free of rollouts beyond the mean load of live calls, in standard
# deviations of a Poisson process. With two, 13 % of live calls wait; with
# three, 5 % (``python -m bench --only headroom``).
HEADROOM_DEVIATIONS = 3.0
# A need for less than this part of a slot does not reserve another slot.
ROUNDING = 0.01
# One slot stays free of rollouts for this time after a live call, because a
# rollout can hold its slot for minutes.
HEADROOM_HOLD_S = 60.0
RETRY_AFTER_S = 0.1
# Part of a call's time that is reserved for the network round trip.
TIME_MARGIN = 0.1


class RequestState(str, enum.Enum):
    """State of a request for a slot."""

    WAITING = 'waiting'
    GRANTED = 'granted'
    ENDED = 'ended'


class SlotRequest:
    """One request for a slot."""

    def __init__(
        self,
        work_class: outcomes.WorkClass,
        club: ids.ClubName,
        deadline: typing.Optional[clock.Deadline],
    ) -> None:
        self.work_class = work_class
        self.club = club
        self.deadline = deadline
        self.state = RequestState.WAITING
        self.wait_cause: typing.Optional[outcomes.Cause] = None
        self.charged_cost = 0.0
        self.granted_at_s = 0.0
        self.margin_s = TIME_MARGIN * deadline.remaining_s if deadline else 0.0
        self._event = eventlet.event.Event()

    def is_too_late(self, needed_s: float) -> bool:
        """Whether work of this duration would miss the deadline."""
        return self.deadline.remaining_s <= needed_s + self.margin_s

    def grant(self, now_s: float) -> None:
        """Grants the slot and wakes the waiting green thread."""
        self.granted_at_s = now_s
        self.state = RequestState.GRANTED
        self._event.send(None)

    def refuse(self, error: exceptions.NotRunError) -> None:
        """Ends the wait with an error."""
        self.state = RequestState.ENDED
        if not self._event.ready():
            self._event.send_exception(error)

    def wait(self) -> None:
        """Waits for the slot.

        Raises:
            exceptions.NotRunError: No slot became free in time.
        """
        if self.deadline is None:
            self._event.wait()
            return
        error = refusal(outcomes.Cause.DEADLINE, 'no free slot in time')
        with eventlet.Timeout(self.deadline.remaining_s, error):
            self._event.wait()


def refusal(
    cause: outcomes.Cause, problem: str, after_s: float = RETRY_AFTER_S
) -> exceptions.NotRunError:
    """Creates the error for a request that gets no slot."""
    return exceptions.NotRunError(
        problem, cause=cause.value, retry_after_s=after_s
    )


class SlotQueue:
    """Slots of one replica and the requests that wait for them."""

    def __init__(
        self,
        limit: limits.AdaptiveLimit,
        weight_of: fairness.WeightOf,
        queue_length: int,
        now: typing.Callable[[], float] = clock.monotonic_s,
    ) -> None:
        self.limiter = limit
        self._weight_of = weight_of
        self._queue_length = queue_length
        self._shares = fairness.FairShare(weight_of)
        self._live: dict[ids.ClubName, collections.deque[SlotRequest]] = {}
        self._rollouts: collections.deque[SlotRequest] = collections.deque()
        self._in_flight = {kind: 0 for kind in outcomes.WorkClass}
        self._now = now
        self._paused = False
        self._live_calls_since_rollout = 0
        self._mean_costs: dict[ids.ClubName, float] = {}
        self._live_time = estimates.ServiceTime()
        self._arrivals = estimates.ArrivalRate(RATE_WINDOW_S, now)

    @property
    def in_flight(self) -> int:
        """Slots in use."""
        return sum(self._in_flight.values())

    @property
    def waiting(self) -> int:
        """Live calls that wait for a slot."""
        return sum(len(queue) for queue in self._live.values())

    @property
    def limit(self) -> int:
        """Current concurrency limit."""
        return self.limiter.limit

    def in_flight_of(self, work_class: outcomes.WorkClass) -> int:
        """Slots in use by one class of work."""
        return self._in_flight[work_class]

    def enqueue_live(
        self, club: ids.ClubName, deadline: clock.Deadline
    ) -> SlotRequest:
        """Requests a slot for a live call.

        Raises:
            exceptions.NotRunError: The expected wait exceeds the deadline
                or the queue is full.
        """
        self._arrivals.record()
        self._check_expected_time(club, deadline)
        self._make_room(club)
        request = SlotRequest(outcomes.WorkClass.LIVE, club, deadline)
        self._live.setdefault(club, collections.deque()).append(request)
        self._dispatch()
        self._record_wait_cause(request)
        return request

    def enqueue_rollout(self) -> SlotRequest:
        """Requests a slot for a rollout; its club is chosen later."""
        request = SlotRequest(
            outcomes.WorkClass.ROLLOUT, ids.ClubName(''), None
        )
        self._rollouts.append(request)
        self._dispatch()
        self._record_wait_cause(request)
        return request

    def release(
        self,
        request: SlotRequest,
        *,
        is_success: bool = True,
        seconds: float = 0.0,
        cost: float = 0.0,
        units: float = 1.0,
    ) -> None:
        """Releases a slot or withdraws a waiting request.

        Args:
            request: As returned by ``enqueue_live`` or ``enqueue_rollout``; a
                second release has no effect.
            is_success: Whether the response was complete.
            seconds: Time at the replica, 0 if it was not called.
            cost: Cost for fair queueing, in the same unit for all clubs.
            units: Size of the work, which its time is proportional to.
        """
        if request.state is RequestState.WAITING:
            self._withdraw(request)
        elif request.state is RequestState.GRANTED:
            self._finish(request, is_success, seconds, cost, units)
        request.state = RequestState.ENDED
        self._dispatch()

    def set_configured(self, configured: int) -> None:
        """Applies a new configured concurrency."""
        self.limiter.set_configured(configured)
        self._dispatch()

    def refresh(self) -> None:
        """Grants slots of headroom that is no longer needed."""
        self._dispatch()

    def set_paused(self, is_paused: bool) -> None:
        """Pauses or resumes the start of rollouts."""
        self._paused = is_paused
        self._dispatch()

    def refuse_all(self, cause: outcomes.Cause, problem: str) -> None:
        """Refuses all waiting requests; the queue moves to another daemon."""
        waiting = [t for queue in self._live.values() for t in queue]
        waiting.extend(self._rollouts)
        self._live.clear()
        self._rollouts.clear()
        for request in waiting:
            request.refuse(refusal(cause, problem))

    def expected_wait_s(self, club: ids.ClubName) -> float:
        """Expected wait of a new live call of a club, in seconds."""
        if self.in_flight < self.limit and not self.waiting:
            return 0.0
        slots = max(
            1, self.limit - self._in_flight[outcomes.WorkClass.ROLLOUT]
        )
        calls_to_serve = self._count_ahead(club) + 1
        return calls_to_serve * self._live_time.mean_s / slots

    def _count_ahead(self, club: ids.ClubName) -> float:
        """Live calls that are served before a new one of the club."""
        own = len(self._live.get(club, ()))
        weights = sum(self._weight_of(c) for c in {club, *self._live})
        by_share = own * weights / self._weight_of(club)
        return min(float(self.waiting), by_share)

    def _check_expected_time(self, club, deadline) -> None:
        wait_s = self.expected_wait_s(club)
        usable_s = deadline.remaining_s * (1 - TIME_MARGIN)
        if wait_s + self._live_time.high_s <= usable_s:
            return
        if wait_s == 0.0 and not deadline.has_passed:
            # A call is never refused while a slot is free, since the estimate
            # may be stale.
            return
        raise refusal(
            outcomes.Cause.DEADLINE,
            f'the expected wait of {wait_s:.3f} s exceeds the deadline',
            max(RETRY_AFTER_S, wait_s),
        )

    def _make_room(self, club: ids.ClubName) -> None:
        """Refuses a request if the queue is full.

        Refuses the new request if its club would then have the longest queue
        relative to its weight, and otherwise the last request of the club
        with the longest one.
        """
        if self.waiting < self._queue_length:
            return
        longest = max(self._live, key=self._weighted_length)
        if self._weighted_length(club) + 1 / self._weight_of(club) >= (
            self._weighted_length(longest)
        ):
            raise refusal(outcomes.Cause.TARGET_FULL, 'the queue is full')
        request = self._live[longest].pop()
        if not self._live[longest]:
            del self._live[longest]
        request.refuse(
            refusal(
                outcomes.Cause.CLUB_SHARE,
                'the queue is full and another club is below its share',
            )
        )

    def _record_wait_cause(self, request: SlotRequest) -> None:
        """Records the cause of a wait when it starts."""
        if request.state is not RequestState.WAITING:
            return
        request.wait_cause = outcomes.Cause.TARGET_FULL
        if request.work_class is outcomes.WorkClass.ROLLOUT:
            if self._paused:
                request.wait_cause = outcomes.Cause.TARGET_SWAPPING
        elif max(self._live, key=self._weighted_length) != request.club:
            request.wait_cause = outcomes.Cause.CLUB_SHARE

    def _weighted_length(self, club: ids.ClubName) -> float:
        return len(self._live.get(club, ())) / self._weight_of(club)

    def _dispatch(self) -> None:
        while self.in_flight < self.limit:
            request = self._pop_next()
            if request is None:
                return
            self._in_flight[request.work_class] += 1
            request.grant(self._now())

    def _pop_next(self) -> typing.Optional[SlotRequest]:
        self._refuse_late_requests()
        if self._live and not (self._rollouts and self._is_rollout_due()):
            self._live_calls_since_rollout += 1
            return self._pop_live()
        if self._rollouts and self._may_start_rollout():
            self._live_calls_since_rollout = 0
            return self._rollouts.popleft()
        return None

    def _pop_live(self) -> SlotRequest:
        club = self._shares.pick(self._live)
        request = self._live[club].popleft()
        if not self._live[club]:
            del self._live[club]
        request.charged_cost = self._mean_costs.get(club, 0.0)
        self._shares.charge(club, request.charged_cost)
        return request

    def _refuse_late_requests(self) -> None:
        """Refuses waiting calls that would miss their deadline."""
        # Without a live call in flight, one is granted a slot in any case.
        # Otherwise a stale estimate above all deadlines would never be
        # corrected.
        if not self._in_flight[outcomes.WorkClass.LIVE]:
            return
        needed_s = self._live_time.high_s
        for club, queue in list(self._live.items()):
            while queue and queue[0].is_too_late(needed_s):
                queue.popleft().refuse(
                    refusal(outcomes.Cause.DEADLINE, 'no free slot in time')
                )
            if not queue:
                del self._live[club]

    def _is_rollout_due(self) -> bool:
        """Whether rollouts are below their reserved share of the slots."""
        if self._paused:
            return False
        if self.limit == 1:
            calls_between = 1 / MINIMUM_ROLLOUT_SHARE - 1
            return self._live_calls_since_rollout >= calls_between
        running = self._in_flight[outcomes.WorkClass.ROLLOUT]
        return running < self._minimum_rollouts()

    def _may_start_rollout(self) -> bool:
        if self._paused:
            return False
        if self._live:
            return self._is_rollout_due()
        running = self._in_flight[outcomes.WorkClass.ROLLOUT]
        return running < self.rollout_limit()

    def _minimum_rollouts(self) -> int:
        return max(1, int(self.limit * MINIMUM_ROLLOUT_SHARE))

    def rollout_limit(self) -> int:
        """Most rollouts in flight while no live call waits."""
        load = self._arrivals.per_second * self._live_time.mean_s
        headroom = math.ceil(
            load + HEADROOM_DEVIATIONS * math.sqrt(load) - ROUNDING
        )
        if self._arrivals.silence_s < HEADROOM_HOLD_S:
            headroom = max(1, headroom)
        return max(self._minimum_rollouts(), self.limit - headroom)

    def _withdraw(self, request: SlotRequest) -> None:
        if request in self._rollouts:
            self._rollouts.remove(request)
        queue = self._live.get(request.club)
        if queue and request in queue:
            queue.remove(request)
            if not queue:
                del self._live[request.club]

    def _finish(self, request, is_success, seconds, cost, units) -> None:
        running = self.in_flight
        self._in_flight[request.work_class] -= 1
        if request.work_class is outcomes.WorkClass.LIVE:
            self._shares.charge(request.club, cost - request.charged_cost)
            if is_success and seconds > 0:
                # The slot is held longer than the replica is busy.
                held_s = self._now() - request.granted_at_s
                self._live_time.record(max(seconds, held_s))
                mean = self._mean_costs.get(request.club, cost)
                self._mean_costs[request.club] = mean + (cost - mean) / 8
        if is_success and seconds > 0:
            self.limiter.record_success(seconds / max(units, 1e-9), running)
        elif not is_success:
            self.limiter.record_failure()
