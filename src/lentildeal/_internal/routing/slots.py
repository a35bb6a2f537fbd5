"""Queue in front of one replica.

The replica admits first-in first-out, so the order of requests is decided
here: live calls in weighted fair order of their clubs, then rollouts.
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

# Share of a replica that rollouts keep while live calls are waiting.
MINIMUM_ROLLOUT_SHARE = 0.2
RATE_WINDOW_S = 10.0
# Slots beyond the mean load of live calls, in standard deviations of a
# Poisson process. Two let 13 % of live calls wait, three 5 %
# (``python -m bench --only headroom``).
HEADROOM_DEVIATIONS = 3.0
# Less than this part of a slot is no reason for another one.
ROUNDING = 0.01
# One slot stays free of rollouts for this time after a live call, because a
# rollout can hold its slot for minutes.
HEADROOM_MEMORY_S = 60.0
RETRY_AFTER_S = 0.1
# Part of a call's time that is kept for the way to the replica and back.
TIME_MARGIN = 0.1


class TicketState(str, enum.Enum):
    """Where a request for a slot stands."""

    WAITING = 'waiting'
    GRANTED = 'granted'
    ENDED = 'ended'


class Ticket:
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
        self.state = TicketState.WAITING
        self.wait_cause: typing.Optional[outcomes.Cause] = None
        self.charged = 0.0
        self.granted_s = 0.0
        self.margin_s = TIME_MARGIN * deadline.remaining_s if deadline else 0.0
        self._event = eventlet.event.Event()

    def is_hopeless(self, needed_s: float) -> bool:
        """Whether too little time is left for work that takes so long."""
        return self.deadline.remaining_s <= needed_s + self.margin_s

    def grant(self, now_s: float) -> None:
        """Hands out the slot."""
        self.granted_s = now_s
        self.state = TicketState.GRANTED
        self._event.send(None)

    def refuse(self, error: exceptions.NotRunError) -> None:
        """Ends the wait without a slot."""
        self.state = TicketState.ENDED
        if not self._event.ready():
            self._event.send_exception(error)

    def wait(self) -> None:
        """Waits for the slot.

        Raises:
            exceptions.NotRunError: There is none in time.
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
    """Makes the error for a request that gets no slot."""
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
        self._live: dict[ids.ClubName, collections.deque[Ticket]] = {}
        self._rollouts: collections.deque[Ticket] = collections.deque()
        self._in_flight = {kind: 0 for kind in outcomes.WorkClass}
        self._now = now
        self._paused = False
        self._lives_since_rollout = 0
        self._costs: dict[ids.ClubName, float] = {}
        self._live_time = estimates.ServiceTime()
        self._arrivals = estimates.ArrivalRate(RATE_WINDOW_S, now)

    @property
    def in_flight(self) -> int:
        """Slots in use."""
        return sum(self._in_flight.values())

    @property
    def waiting(self) -> int:
        """Live calls that wait."""
        return sum(len(queue) for queue in self._live.values())

    @property
    def limit(self) -> int:
        """Present limit."""
        return self.limiter.limit

    def in_flight_of(self, work_class: outcomes.WorkClass) -> int:
        """Slots in use by one class of work."""
        return self._in_flight[work_class]

    def enqueue_live(
        self, club: ids.ClubName, deadline: clock.Deadline
    ) -> Ticket:
        """Asks for a slot for a live call.

        Raises:
            exceptions.NotRunError: The wait would be too long.
        """
        self._arrivals.record()
        self._check_expected_time(club, deadline)
        self._make_room(club)
        ticket = Ticket(outcomes.WorkClass.LIVE, club, deadline)
        self._live.setdefault(club, collections.deque()).append(ticket)
        self._dispatch()
        self._note_wait_cause(ticket)
        return ticket

    def enqueue_rollout(self) -> Ticket:
        """Asks for a slot for a rollout; its club is picked later."""
        ticket = Ticket(outcomes.WorkClass.ROLLOUT, ids.ClubName(''), None)
        self._rollouts.append(ticket)
        self._dispatch()
        self._note_wait_cause(ticket)
        return ticket

    def release(
        self,
        ticket: Ticket,
        *,
        is_success: bool = True,
        seconds: float = 0.0,
        cost: float = 0.0,
        units: float = 1.0,
    ) -> None:
        """Gives a slot back or withdraws a waiting request.

        Args:
            ticket: As returned when asking; a second release has no effect.
            is_success: Whether a whole answer came.
            seconds: Time at the replica, 0 if it was not called.
            cost: Cost for the fair order, in its unit.
            units: Size of the work that the time is proportional to.
        """
        if ticket.state is TicketState.WAITING:
            self._withdraw(ticket)
        elif ticket.state is TicketState.GRANTED:
            self._settle(ticket, is_success, seconds, cost, units)
        ticket.state = TicketState.ENDED
        self._dispatch()

    def set_configured(self, configured: int) -> None:
        """Takes over a new configured concurrency."""
        self.limiter.set_configured(configured)
        self._dispatch()

    def refresh(self) -> None:
        """Uses headroom that is no longer needed as time has passed."""
        self._dispatch()

    def set_paused(self, is_paused: bool) -> None:
        """Holds rollouts back, or lets them start again."""
        self._paused = is_paused
        self._dispatch()

    def refuse_all(self, cause: outcomes.Cause, problem: str) -> None:
        """Ends all waits, because the queue moves to another daemon."""
        waiting = [t for queue in self._live.values() for t in queue]
        waiting.extend(self._rollouts)
        self._live.clear()
        self._rollouts.clear()
        for ticket in waiting:
            ticket.refuse(refusal(cause, problem))

    def expected_wait_s(self, club: ids.ClubName) -> float:
        """Wait that a new live call of a club has to expect, in seconds."""
        if self.in_flight < self.limit and not self.waiting:
            return 0.0
        slots = max(
            1, self.limit - self._in_flight[outcomes.WorkClass.ROLLOUT]
        )
        turns = self._count_ahead(club) + 1
        return turns * self._live_time.mean_s / slots

    def _count_ahead(self, club: ids.ClubName) -> float:
        """Live calls served before a new one, by the weighted order."""
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
            # A free slot is never refused: the estimate may be outdated.
            return
        raise refusal(
            outcomes.Cause.DEADLINE,
            f'the expected wait of {wait_s:.3f} s exceeds the deadline',
            max(RETRY_AFTER_S, wait_s),
        )

    def _make_room(self, club: ids.ClubName) -> None:
        """Keeps the queue within its bound, at the longest club's cost."""
        if self.waiting < self._queue_length:
            return
        longest = max(self._live, key=self._weighted_length)
        if self._weighted_length(club) + 1 / self._weight_of(club) >= (
            self._weighted_length(longest)
        ):
            raise refusal(outcomes.Cause.TARGET_FULL, 'the queue is full')
        ticket = self._live[longest].pop()
        if not self._live[longest]:
            del self._live[longest]
        ticket.refuse(
            refusal(
                outcomes.Cause.CLUB_SHARE,
                'the queue is full and another club is below its share',
            )
        )

    def _note_wait_cause(self, ticket: Ticket) -> None:
        """Notes at the start of a wait what it is caused by."""
        if ticket.state is not TicketState.WAITING:
            return
        ticket.wait_cause = outcomes.Cause.TARGET_FULL
        if ticket.work_class is outcomes.WorkClass.ROLLOUT:
            if self._paused:
                ticket.wait_cause = outcomes.Cause.TARGET_SWAPPING
        elif max(self._live, key=self._weighted_length) != ticket.club:
            ticket.wait_cause = outcomes.Cause.CLUB_SHARE

    def _weighted_length(self, club: ids.ClubName) -> float:
        return len(self._live.get(club, ())) / self._weight_of(club)

    def _dispatch(self) -> None:
        while self.in_flight < self.limit:
            ticket = self._pop_next()
            if ticket is None:
                return
            self._in_flight[ticket.work_class] += 1
            ticket.grant(self._now())

    def _pop_next(self) -> typing.Optional[Ticket]:
        self._drop_hopeless()
        if self._live and not (self._rollouts and self._is_rollout_due()):
            self._lives_since_rollout += 1
            return self._pop_live()
        if self._rollouts and self._may_start_rollout():
            self._lives_since_rollout = 0
            return self._rollouts.popleft()
        return None

    def _pop_live(self) -> Ticket:
        club = self._shares.pick(self._live)
        ticket = self._live[club].popleft()
        if not self._live[club]:
            del self._live[club]
        ticket.charged = self._costs.get(club, 0.0)
        self._shares.charge(club, ticket.charged)
        return ticket

    def _drop_hopeless(self) -> None:
        """Refuses waiting calls that can no longer end in time."""
        # With no live call in flight one is let through, because otherwise
        # an outdated estimate above all deadlines would never be corrected.
        if not self._in_flight[outcomes.WorkClass.LIVE]:
            return
        needed_s = self._live_time.high_s
        for club, queue in list(self._live.items()):
            while queue and queue[0].is_hopeless(needed_s):
                queue.popleft().refuse(
                    refusal(outcomes.Cause.DEADLINE, 'no free slot in time')
                )
            if not queue:
                del self._live[club]

    def _is_rollout_due(self) -> bool:
        """Whether rollouts are below their minimum while live calls wait."""
        if self._paused:
            return False
        if self.limit == 1:
            turns = 1 / MINIMUM_ROLLOUT_SHARE - 1
            return self._lives_since_rollout >= turns
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
        """Most rollouts at once while no live call waits."""
        load = self._arrivals.per_second * self._live_time.mean_s
        headroom = math.ceil(
            load + HEADROOM_DEVIATIONS * math.sqrt(load) - ROUNDING
        )
        if self._arrivals.silence_s < HEADROOM_MEMORY_S:
            headroom = max(1, headroom)
        return max(self._minimum_rollouts(), self.limit - headroom)

    def _withdraw(self, ticket: Ticket) -> None:
        if ticket in self._rollouts:
            self._rollouts.remove(ticket)
        queue = self._live.get(ticket.club)
        if queue and ticket in queue:
            queue.remove(ticket)
            if not queue:
                del self._live[ticket.club]

    def _settle(self, ticket, is_success, seconds, cost, units) -> None:
        running = self.in_flight
        self._in_flight[ticket.work_class] -= 1
        if ticket.work_class is outcomes.WorkClass.LIVE:
            self._shares.charge(ticket.club, cost - ticket.charged)
            if is_success and seconds > 0:
                # The slot is taken longer than the replica is busy.
                held_s = self._now() - ticket.granted_s
                self._live_time.record(max(seconds, held_s))
                mean = self._costs.get(ticket.club, cost)
                self._costs[ticket.club] = mean + (cost - mean) / 8
        if is_success and seconds > 0:
            self.limiter.record_success(seconds / max(units, 1e-9), running)
        elif not is_success:
            self.limiter.record_failure()
