"""Order of waiting live calls: by rank, then by fair share of accounts.

Start-time fair queueing (Goyal, Vin and Cheng, 1997): a call starts at the
virtual time at which its account's last one ended, or now. The call that
starts first goes first. Use before calls had to wait counts too, but decays.

Floors bound what the order costs a rank or an account. Nothing here waits or
does I/O. See docs/design/admission.md.
"""

from __future__ import annotations

import collections
import math
import random
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.routing import estimates
from lentildeal._internal.utils import clock

# Calls of routes without a key have no account and share as one account.
Account = typing.Optional[ids.AccountName]

# A rank or an account is served at least this part as often as all calls.
# Below 0.25 callers count as starved; the rest is for the daemons' errors.
FLOOR = 0.4
# Time in which what an account used counts for half, in seconds. Bursts of
# clients last for seconds.
USE_HALF_LIFE_S = 2.0
# Use of an account below which it is forgotten, in slot seconds.
MIN_LEAD_S = 0.001
# Time constant of the share of all calls that is served, in seconds.
SERVED_WINDOW_S = 5.0
# Time over which arrivals of an account are averaged, and the rate below which
# it doesn't count as sending, in seconds and calls a second.
ARRIVAL_WINDOW_S = 2.0
MIN_ACTIVE_RATE = 0.1
# Bounds of the credit of a floor, in calls: past service counts for a few
# calls only, so that a rank or an account is soon protected again.
MIN_CREDIT = -3.0
MAX_CREDIT = 3.0
# Above this number, accounts and ranks without waiting calls are forgotten.
MAX_RECORDS = 1000


class Call(typing.NamedTuple):
    """A waiting call.

    Attributes:
        call_id: Identifier, unique within the daemon.
        account: Account of the caller.
        priority: Rank, 0 is the highest.
        cost: Expected cost in slot seconds.
    """

    call_id: int
    account: Account
    priority: int
    cost: float


class _Floor:
    """Credit of ranks or accounts towards the calls due to them.

    A call that arrives adds the floor's part of a call, a call that is served
    takes one. A new name starts at a random credit: with many daemons each
    sees only a few of its calls, and none of them would reach a whole one.
    """

    def __init__(self, draw: typing.Callable[[], float]) -> None:
        self._draw = draw
        self._credits: dict[typing.Hashable, float] = {}

    def record_offered(self, name: typing.Hashable, share: float) -> None:
        self._add(name, FLOOR * share)

    def record_served(self, name: typing.Hashable) -> None:
        self._add(name, -1.0)

    def record_returned(self, name: typing.Hashable) -> None:
        self._add(name, 1.0)

    def list_due(
        self, names: typing.Iterable[typing.Hashable]
    ) -> list[typing.Any]:
        """Names with the credit of a call, the highest credit first."""
        due = [n for n in names if self._credits.get(n, 0.0) >= 1.0]
        return sorted(due, key=self._credits.__getitem__, reverse=True)

    def forget(self, kept: typing.Container[typing.Hashable]) -> None:
        if len(self._credits) > MAX_RECORDS:
            self._credits = {
                n: c for n, c in self._credits.items() if n in kept
            }

    def _add(self, name: typing.Hashable, change: float) -> None:
        credit = self._credits.get(name)
        if credit is None:
            credit = self._draw()
        self._credits[name] = min(MAX_CREDIT, max(MIN_CREDIT, credit + change))


class _DecayingSum:
    """Sum whose parts decay exponentially."""

    def __init__(self, now: typing.Callable[[], float]) -> None:
        self._now = now
        self._sum = 0.0
        self._updated_s = now()

    def get(self) -> float:
        now_s = self._now()
        age_s = now_s - self._updated_s
        self._sum *= math.exp(-age_s / SERVED_WINDOW_S)
        self._updated_s = now_s
        return self._sum

    def add(self, value: float) -> None:
        self._sum = self.get() + value


class FairShares:
    """Waiting calls of one service in the order in which they go."""

    def __init__(
        self,
        now: typing.Callable[[], float] = clock.monotonic_s,
        draw: typing.Callable[[], float] = random.random,
    ) -> None:
        self._now = now
        self._queues: dict[
            int, dict[Account, collections.OrderedDict[int, Call]]
        ] = {}
        self._count = 0
        # Virtual time, and by account how far its use is ahead of it, in slot
        # seconds, with the time of that record.
        self._virtual_time = 0.0
        self._ends: dict[Account, tuple[float, float]] = {}
        self._offered = _DecayingSum(now)
        self._served = _DecayingSum(now)
        self._arrivals: dict[tuple[int, Account], estimates.ArrivalRate] = {}
        self._rank_floor = _Floor(draw)
        self._account_floor = _Floor(draw)

    def __len__(self) -> int:
        return self._count

    def record_offered(self, call: Call) -> None:
        """Records a call that has arrived, whether or not it will wait."""
        offered, served = self._offered.get(), self._served.get()
        share = min(1.0, served / offered) if offered > 0.0 else 1.0
        self._offered.add(1.0)
        name = call.priority, call.account
        if name not in self._arrivals:
            self._arrivals[name] = estimates.ArrivalRate(
                ARRIVAL_WINDOW_S, self._now
            )
        self._arrivals[name].record()
        self._rank_floor.record_offered(call.priority, share)
        self._account_floor.record_offered(call.account, share)

    def record_served(self, call: Call) -> None:
        """Records a call that is placed now."""
        self._served.add(1.0)
        self._rank_floor.record_served(call.priority)
        self._account_floor.record_served(call.account)
        start = self._find_start(call.account)
        self._ends[call.account] = start + call.cost, self._now()
        if self._count:
            # A call that went first by its floor doesn't move the time past
            # the starts of those that still wait.
            waiting = [
                self._find_start(account)
                for queues in self._queues.values()
                for account in queues
            ]
            self._virtual_time = max(self._virtual_time, min(start, *waiting))
        if len(self._ends) > MAX_RECORDS:
            self._forget()

    def record_returned(self, call: Call) -> None:
        """Records that a call that was placed has not run."""
        self._served.add(-1.0)
        self._rank_floor.record_returned(call.priority)
        self._account_floor.record_returned(call.account)
        end, recorded_s = self._ends.get(call.account, (0.0, 0.0))
        self._ends[call.account] = end - call.cost, recorded_s

    def add(self, call: Call) -> None:
        """Adds a waiting call."""
        queues = self._queues.setdefault(call.priority, {})
        queue = queues.setdefault(call.account, collections.OrderedDict())
        queue[call.call_id] = call
        self._count += 1

    def remove(self, call: Call) -> None:
        """Removes a call that no longer waits; others have no effect."""
        queues = self._queues.get(call.priority, {})
        queue = queues.get(call.account, {})
        if queue.pop(call.call_id, None) is None:
            return
        self._count -= 1
        if not queue:
            del queues[call.account]
        if not queues:
            del self._queues[call.priority]

    def pick(self) -> typing.Optional[tuple[Call, bool]]:
        """Returns the call that goes first, if any.

        Returns:
            The call, and whether it goes before more urgent ones because its
            rank is at its floor.
        """
        if not self._queues:
            return None
        top = min(self._queues)
        rank = next(iter(self._rank_floor.list_due(self._queues)), top)
        queues = self._queues[rank]
        due = self._account_floor.list_due(queues)
        account = due[0] if due else min(queues, key=self._find_start)
        return next(iter(queues[account].values())), rank != top

    def iter_waiting(self) -> typing.Iterator[Call]:
        """Yields all waiting calls, the most urgent ranks first."""
        for priority in sorted(self._queues):
            for queue in self._queues[priority].values():
                yield from queue.values()

    def count_more_urgent(self, call: Call) -> int:
        """Waiting calls of more urgent ranks than that of a call."""
        return sum(
            len(queue)
            for priority, queues in self._queues.items()
            if priority < call.priority
            for queue in queues.values()
        )

    def count_ahead(self, call: Call) -> int:
        """Waiting calls of its rank that go before a new call."""
        ahead = 0
        queues = self._queues.get(call.priority, {})
        own = len(queues.get(call.account, ()))
        start = self._find_start(call.account) + own * call.cost
        for account, queue in queues.items():
            if account == call.account:
                ahead += own
                continue
            lead = start - self._find_start(account)
            # Turns that this account has until then, one at least on a tie.
            turns = math.ceil(max(0.0, lead) / call.cost + 0.5)
            ahead += min(len(queue), turns)
        return ahead

    def count_own(self, call: Call) -> int:
        """Waiting calls of the same account and rank."""
        return len(self._queues.get(call.priority, {}).get(call.account, ()))

    def find_rate(self, call: Call, per_second: float) -> float:
        """Part of a rate of the rank that the account of a call can use.

        What the others don't ask for, or an equal share if that is more.

        Args:
            call: The call.
            per_second: Calls of its rank that start in a second.
        """
        rates = {
            name[1]: arrivals.per_second
            for name, arrivals in self._arrivals.items()
            if name[0] == call.priority
        }
        own = rates.pop(call.account, 0.0)
        active = [rate for rate in rates.values() if rate > MIN_ACTIVE_RATE]
        unused = per_second - sum(active)
        fair = per_second / (1 + len(active))
        due = FLOOR * per_second * own / max(own + sum(active), 1e-9)
        return max(unused, fair, due)

    def _find_start(self, account: Account) -> float:
        """Virtual time at which the next call of an account starts."""
        end, recorded_s = self._ends.get(account, (0.0, 0.0))
        lead = end - self._virtual_time
        if lead <= 0.0:
            return self._virtual_time
        half_lives = (self._now() - recorded_s) / USE_HALF_LIFE_S
        return self._virtual_time + lead * 0.5**half_lives

    def _forget(self) -> None:
        """Forgets accounts that aren't ahead of the others any more."""
        waiting = {a for queues in self._queues.values() for a in queues}
        self._ends = {
            account: end
            for account, end in self._ends.items()
            if self._find_start(account) - self._virtual_time > MIN_LEAD_S
        }
        self._arrivals = {
            name: rate
            for name, rate in self._arrivals.items()
            if rate.per_second > MIN_ACTIVE_RATE
        }
        self._account_floor.forget(waiting)
        self._rank_floor.forget(self._queues)
