"""Decides whether a live call is placed now, waits or is refused.

One object decides for the calls of one service at this daemon. Nothing here
waits or does I/O: the gateway reports what it sees and asks again when told.
See docs/design/admission.md.
"""

from __future__ import annotations

import enum
import math
import random
import typing

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import estimates
from lentildeal._internal.routing import fair_shares
from lentildeal._internal.routing import start_rates
from lentildeal._internal.utils import clock

# Part of a replica's slots up to which it counts as idle if nothing waits
# there. No call may be refused then.
IDLE_SHARE = 0.5
# Expected cost of a call before the first answer, in slot seconds. Only the
# ratio between the costs of calls matters.
DEFAULT_COST = 1.0
# Bounds of the Retry-After of a refusal. Clients wait for a third of their
# time at most, and a later time would be a guess about other clients.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
# Part by which the time of a return varies, so that the clients that several
# daemons refused at once don't return at once.
RETURN_SPREAD = 0.2
# Above this number, accounts whose clients have returned are forgotten.
MAX_RETURNS = 1000


class Action(enum.Enum):
    """What becomes of a call."""

    PLACE = 'place'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Decision(typing.NamedTuple):
    """Answer of the admission.

    Attributes:
        action: What becomes of the call.
        wait_s: Time after which a waiting call is asked about again.
        cause: Why it is refused.
        retry_after_s: Time after which a refused call is expected to have a
            place.
    """

    action: Action
    wait_s: float = 0.0
    cause: typing.Optional[outcomes.Cause] = None
    retry_after_s: float = 0.0


PLACE = Decision(Action.PLACE)


class Request(typing.NamedTuple):
    """A call for which admission is asked.

    Attributes:
        call: The call, with its account, rank and cost.
        ends_s: Steady time at which the caller stops waiting.
    """

    call: fair_shares.Call
    ends_s: float


class ServiceAdmission:
    """Admission of the calls of one service."""

    def __init__(
        self,
        now: typing.Callable[[], float] = clock.monotonic_s,
        draw: typing.Callable[[], float] = random.random,
    ) -> None:
        self._now = now
        self._draw = draw
        self._shares = fair_shares.FairShares(now, draw)
        self._waiting: dict[int, Request] = {}
        self._run_time = estimates.ServiceTime()
        self._ranks: tuple[int, ...] = ()
        self._rates: dict[int, start_rates.StartRate] = {}
        self._slots = 0
        self._running = 0
        # Calls that replicas have free slots for, by their reports.
        self._free: dict[ids.ReplicaId, tuple[float, float]] = {}
        # When the last refused client of an account is told to return.
        self._returns_s: dict[fair_shares.Account, float] = {}

    @property
    def cost(self) -> float:
        """Expected cost of a call in slot seconds."""
        return self._run_time.mean_s or DEFAULT_COST

    @property
    def waiting_count(self) -> int:
        """Waiting calls."""
        return len(self._waiting)

    # What the gateway reports.

    def set_ranks(self, ranks: typing.Iterable[int]) -> None:
        """Sets the ranks that calls of the service may have."""
        ranks = tuple(sorted(ranks))
        if ranks != self._ranks:
            self._ranks = ranks
            for index, rank in enumerate(ranks):
                self._find_rate(rank).rank_index = index

    def set_slots(self, slots: int) -> bool:
        """Sets the slots of all ready replicas; returns if this is a change.

        The limits in force follow at once. Without a replica they stay: the
        calls are placed and fail at once.
        """
        if slots == self._slots:
            return False
        if slots and self._slots:
            for rate in self._rates.values():
                rate.scale(slots / self._slots)
        if slots < self._slots:
            self._free.clear()
        self._slots = slots
        return True

    def record_report(
        self, replica_id: ids.ReplicaId, load: platform_base.ReplicaLoad
    ) -> None:
        """Records the load that a replica has reported."""
        for rate in self._rates.values():
            rate.record_report(load, self._capacity_per_s)
            if not self._waiting and not load.waiting:
                rate.end_unused()
        # The report includes the call whose answer carried it.
        taken = max(0, load.running - 1)
        free = 0.0 if load.waiting else IDLE_SHARE * load.slots - taken
        if free > 0.0:
            self._free[replica_id] = free, self._now()
        else:
            self._free.pop(replica_id, None)

    def record_full(
        self, load: typing.Optional[platform_base.ReplicaLoad]
    ) -> None:
        """Records that a replica had no room for a call."""
        for rate in self._rates.values():
            rate.record_full(load)

    def record_run(self, elapsed_s: float) -> None:
        """Records how long a replica took for a call."""
        self._run_time.record(elapsed_s)

    def record_end(self) -> None:
        """Records the end of a call that was placed."""
        self._running -= 1

    # Decisions.

    def ask(self, request: Request) -> Decision:
        """Decides about a call that has arrived."""
        self._find_rate(request.call.priority).arrivals.record()
        self._shares.record_offered(request.call)
        return self._decide(request)

    def ask_again(self, request: Request) -> Decision:
        """Decides about a placed call that a replica had no room for."""
        self._running -= 1
        self._shares.record_returned(request.call)
        return self._decide(request)

    def find_retry_after_s(self, request: Request) -> float:
        """Time after which the client of a call that didn't run returns."""
        wait_s = self._estimate_wait_s(request.call)
        return self._plan_return_s(request, wait_s)

    def _decide(self, request: Request) -> Decision:
        call = request.call
        if not self._waiting and not self._find_wait_s(call, False):
            self._record_start(call)
            return PLACE
        decision = self._judge(request)
        if decision.action is Action.WAIT:
            self._waiting[call.call_id] = request
            self._shares.add(call)
        return decision

    def forget(self, call_id: int) -> None:
        """Forgets a waiting call whose client has left."""
        request = self._waiting.pop(call_id, None)
        if request is not None:
            self._shares.remove(request.call)

    def take_due(self) -> list[tuple[int, Decision]]:
        """Takes the waiting calls that are placed or refused now."""
        due = []
        for call_id, request in list(self._waiting.items()):
            if self._is_too_late(request, 0.0):
                self.forget(call_id)
                due.append((call_id, self._refuse(request, 0.0)))
        while True:
            picked = self._shares.pick()
            if picked is None or self._find_wait_s(*picked) > 0.0:
                return due
            call = picked[0]
            self.forget(call.call_id)
            self._record_start(call)
            due.append((call.call_id, PLACE))

    def refuse_excess(self) -> list[tuple[int, Decision]]:
        """Takes the waiting calls that can't finish in time any more.

        Asked when the capacity has shrunk. The calls are judged again in
        their order, so that those that fit keep their places.
        """
        requests = [
            self._waiting[call.call_id] for call in self._shares.iter_waiting()
        ]
        for request in requests:
            self._shares.remove(request.call)
        refused = []
        for request in requests:
            decision = self._judge(request)
            if decision.action is Action.REFUSE:
                del self._waiting[request.call.call_id]
                refused.append((request.call.call_id, decision))
            else:
                self._shares.add(request.call)
        return refused

    def find_wait_s(self) -> float:
        """Time until ``take_due`` may have a call, infinite without one."""
        picked = self._shares.pick()
        if picked is None:
            return math.inf
        now_s = self._now()
        latest_s = min(r.ends_s for r in self._waiting.values())
        expiry_s = max(0.0, latest_s - self._run_time.high_s - now_s)
        return min(self._find_wait_s(*picked), expiry_s)

    def _find_rate(self, priority: int) -> start_rates.StartRate:
        rate = self._rates.get(priority)
        if rate is None:
            index = sum(rank < priority for rank in self._ranks)
            rate = start_rates.StartRate(index, self._now)
            self._rates[priority] = rate
        return rate

    def _find_wait_s(self, call: fair_shares.Call, is_due: bool) -> float:
        """Time until there is room for a call that goes first.

        Infinite while only the end of a call makes room.
        """
        if self._has_free_slot():
            return 0.0
        # A rank at its floor starts with the limit of the urgent one.
        priority = min(self._rates) if is_due else call.priority
        rate = self._find_rate(priority)
        if self._is_full(rate):
            return math.inf
        return rate.wait_s

    def _is_full(self, rate: start_rates.StartRate) -> bool:
        """Whether calls of this daemon alone fill slots and queues."""
        most = self._slots * (1.0 + rate.max_queue_share)
        return 0 < most <= self._running

    def _has_free_slot(self) -> bool:
        """Whether a replica was at most half taken, also by calls since."""
        oldest_s = self._now() - start_rates.REPORT_VALID_S
        return any(
            free > 0.0 and reported_s >= oldest_s
            for free, reported_s in self._free.values()
        )

    def _judge(self, request: Request) -> Decision:
        """Decides about a call that is not in the order."""
        wait_s = self._estimate_wait_s(request.call)
        if self._is_too_late(request, wait_s):
            return self._refuse(request, wait_s)
        return Decision(Action.WAIT, wait_s)

    def _estimate_wait_s(self, call: fair_shares.Call) -> float:
        """Time until a call is placed if it waits from now on."""
        if self._has_free_slot():
            return 0.0
        per_second, is_floor = self._find_rank_rate(call.priority)
        if not per_second:
            return 0.0
        ahead = self._shares.count_ahead(call)
        if not is_floor:
            ahead += self._shares.count_more_urgent(call)
        wait_s = max(ahead / per_second, self._find_own_wait_s(call))
        return self._find_rate(call.priority).wait_s + wait_s

    def _find_own_wait_s(self, call: fair_shares.Call) -> float:
        """Time until the waiting calls of its own account are placed."""
        per_second, _ = self._find_rank_rate(call.priority)
        if not per_second:
            return 0.0
        own_per_second = self._shares.find_rate(call, per_second)
        return self._shares.count_own(call) / own_per_second

    def _find_rank_rate(self, priority: int) -> tuple[float, bool]:
        """Calls of a rank that can start in a second, 0 if unknown.

        Its limit, as more urgent calls already shape the reports that lower
        it. While more urgent calls arrive faster than they start, only the
        floor is left.

        Returns:
            The rate, and whether it is that of the floor.
        """
        arrivals = {p: r.arrivals.per_second for p, r in self._rates.items()}
        own_part = arrivals[priority] / max(sum(arrivals.values()), 1e-9)
        for urgent in sorted(p for p in self._rates if p < priority):
            limit = self._rates[urgent].per_second
            if limit and limit <= arrivals[urgent]:
                return fair_shares.FLOOR * own_part * limit, True
        limit = self._rates[priority].per_second
        if limit:
            return limit, False
        more_urgent = sum(a for p, a in arrivals.items() if p < priority)
        floor = fair_shares.FLOOR * own_part * self._capacity_per_s
        unused = self._capacity_per_s - more_urgent
        return max(unused, floor), floor > unused

    @property
    def _capacity_per_s(self) -> float:
        """Calls that all replicas can do in a second, 0 if unknown."""
        run_s = self._run_time.mean_s
        return self._slots / run_s if run_s else 0.0

    def _is_too_late(self, request: Request, wait_s: float) -> bool:
        ends_s = self._now() + wait_s + self._run_time.high_s
        return ends_s > request.ends_s

    def _refuse(self, request: Request, wait_s: float) -> Decision:
        call = request.call
        # Whether it could finish if its account had no other calls waiting.
        others_s = wait_s - self._find_own_wait_s(call)
        cause = outcomes.Cause.DEADLINE
        if others_s < wait_s and not self._is_too_late(request, others_s):
            cause = outcomes.Cause.ACCOUNT_SHARE
        return Decision(
            Action.REFUSE,
            cause=cause,
            retry_after_s=self._plan_return_s(request, wait_s),
        )

    def _plan_return_s(self, request: Request, wait_s: float) -> float:
        """Time after which a refused client has a place if it returns.

        The returns of one account follow each other at its share of the
        limit, so clients that were refused together return one by one, and
        an account that floods doesn't delay the returns of others.
        """
        now_s = self._now()
        call = request.call
        time_left_s = max(0.0, request.ends_s - now_s)
        # A call with the same time left would have been in time.
        needed_s = wait_s + self._run_time.high_s - time_left_s
        first_s = now_s + max(MIN_RETRY_AFTER_S, needed_s)
        per_second, _ = self._find_rank_rate(call.priority)
        gap_s = 0.0
        if per_second:
            gap_s = 1.0 / self._shares.find_rate(call, per_second)
        if len(self._returns_s) > MAX_RETURNS:
            self._returns_s = {
                a: at_s for a, at_s in self._returns_s.items() if at_s > now_s
            }
        last_s = self._returns_s.get(call.account, -math.inf)
        return_s = max(first_s, last_s + gap_s)
        self._returns_s[call.account] = min(
            return_s, now_s + MAX_RETRY_AFTER_S
        )
        spread = 1.0 + RETURN_SPREAD * self._draw()
        return round(min(MAX_RETRY_AFTER_S, (return_s - now_s) * spread), 3)

    def _record_start(self, call: fair_shares.Call) -> None:
        self._running += 1
        self._shares.record_served(call)
        self._find_rate(call.priority).record_start()
        for replica_id, (free, reported_s) in self._free.items():
            if free > 0.0:
                self._free[replica_id] = free - 1.0, reported_s
                return
