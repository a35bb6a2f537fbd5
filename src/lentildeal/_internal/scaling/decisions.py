"""Decides how many replicas of each kind to order in each failure domain.

Orders are absolute numbers, so that one that is executed late is harmless: the
replicas' entries show it, and the number is ordered again. Before an order in
the opposite direction there is a wait, longer than a call may be late.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from lentildeal._internal.models import deployment
from lentildeal._internal.scaling import allocation
from lentildeal._internal.scaling import need as need_module

# A call without an answer may be executed this much later.
LATE_CALL_S = 12.0
# Time from the first replica until all are taken to be known. An order that
# does not know the others could lower their number.
SETTLING_S = 3.0
# An order without an answer is repeated after this time.
RETRY_S = 1.0
# Time beyond the start of a replica until its entry has to be there.
ENTRY_S = 4.0
# Time for which no more replicas are expected where none were to be had or
# where replicas were lost.
AVOIDANCE_S = 15.0
# Replicas above the need, for uneven lengths of items.
HEADROOM = 1.1
# Share of the price from which replicas are replaced by cheaper ones. While
# the new ones start, both are paid.
LEAST_SAVING = 0.15


@dataclasses.dataclass
class PlaceState:
    """What is known of the replicas at one place.

    Attributes:
        ordered: Last ordered number, None without an order.
        found: Most replicas that were there without an order.
        ordered_s: When it was ordered.
        is_answered: Whether that order was answered.
        raised_s: When the number was raised last.
        lowered_s: When the number was lowered last.
        ready: Replicas that serve.
        avoided_until_s: Until when no more replicas are expected here.
        late_until_s: Until when an order without an answer that lowered the
            number may be carried out, also after its repeat was answered.
        repeat_s: When the order is repeated because it got no answer.
    """

    ordered: typing.Optional[int] = None
    found: int = 0
    ordered_s: float = -math.inf
    is_answered: bool = True
    raised_s: float = -math.inf
    lowered_s: float = -math.inf
    ready: int = 0
    avoided_until_s: float = -math.inf
    late_until_s: float = -math.inf
    repeat_s: float = math.inf

    @property
    def target(self) -> int:
        """Number that the platform is taken to aim at."""
        return self.found if self.ordered is None else self.ordered


class ScalingPlan:
    """Orders for the replicas of one service."""

    def __init__(self) -> None:
        self.need = need_module.SteadyNeed()
        self._places: dict[allocation.Place, PlaceState] = {}
        # Replicas that were there at the start, which nobody may have ordered.
        self._found = 0
        self._since_s: typing.Optional[float] = None

    def list_ordered(self) -> allocation.Counts:
        """The last ordered numbers."""
        return {
            place: state.ordered
            for place, state in self._places.items()
            if state.ordered is not None
        }

    def get(self, place: allocation.Place) -> PlaceState:
        """State of a place."""
        return self._places.setdefault(place, PlaceState())

    def record_ready(
        self,
        scaling: deployment.Scaling,
        ready: typing.Mapping[allocation.Place, int],
        now_s: float,
    ) -> None:
        """Records the replicas that serve.

        Fewer than before without an order are lost or reclaimed, and others
        at the same place may go, too.
        """
        if self._since_s is None and any(ready.values()):
            self._since_s = now_s
        if self._is_settling(now_s):
            self._found = max(self._found, sum(ready.values()))
        for place in allocation.list_places(scaling):
            state = self.get(place)
            count = ready.get(place, 0)
            if count < state.ready and count < state.target:
                state.avoided_until_s = now_s + AVOIDANCE_S
            state.ready = count
            state.found = max(state.found, count)

    def record_order(
        self, place: allocation.Place, count: int, now_s: float
    ) -> None:
        """Records an order before it is sent, also one of another holder."""
        state = self.get(place)
        if count > state.target:
            state.raised_s = now_s
        elif count < state.target:
            state.lowered_s = now_s
        state.ordered = count
        state.ordered_s = now_s
        state.is_answered = False
        state.repeat_s = math.inf

    def record_answer(self, place: allocation.Place) -> None:
        """Records that an order was carried out."""
        state = self.get(place)
        state.is_answered = True
        state.repeat_s = math.inf

    def take_over(self, now_s: float) -> None:
        """Repeats orders that the previous holder may not have sent."""
        for state in self._places.values():
            if state.ordered is not None and not state.is_answered:
                state.repeat_s = now_s

    def record_failure(self, place: allocation.Place, now_s: float) -> None:
        """Records that an order was not sent, or got no answer."""
        state = self.get(place)
        state.repeat_s = now_s + RETRY_S
        if state.lowered_s > state.raised_s:
            state.late_until_s = now_s + LATE_CALL_S

    def record_refusal(self, place: allocation.Place, now_s: float) -> None:
        """Records that no replicas are to be had at a place."""
        state = self.get(place)
        state.is_answered = True
        state.ordered = state.ready
        state.avoided_until_s = now_s + AVOIDANCE_S

    def decide(
        self, scaling: deployment.Scaling, slots: int, now_s: float
    ) -> allocation.Counts:
        """Returns the numbers to order now.

        Args:
            scaling: Bounds and prices.
            slots: Slots of a replica.
            now_s: Current time.
        """
        if self._is_settling(now_s):
            return {}
        limits = self._find_limits(scaling, now_s)
        wanted = allocation.allocate(
            scaling, self._count_wanted(scaling, slots, now_s), limits
        )
        raises = self._find_raises(scaling, wanted, limits, now_s)
        if raises:
            return raises
        return {
            **self._find_lowers(wanted, now_s),
            **self._find_repeats(scaling, now_s),
        }

    def _is_settling(self, now_s: float) -> bool:
        """Whether entries of replicas may not have been read yet."""
        return self._since_s is None or now_s - self._since_s < SETTLING_S

    def _count_wanted(
        self, scaling: deployment.Scaling, slots: int, now_s: float
    ) -> int:
        need = HEADROOM * self.need.slots / max(1, slots)
        wanted = allocation.add_reserve(need, len(scaling.prices))
        if self.need.is_known(now_s):
            return wanted
        if self.need.is_recorded and not self.need.is_open:
            return 0
        # Lost replicas are replaced before the need is known.
        return max(wanted, self._found)

    def _find_limits(
        self, scaling: deployment.Scaling, now_s: float
    ) -> allocation.Counts:
        limits = {}
        for place, state in self._places.items():
            is_starting = now_s - state.raised_s <= scaling.start_s + ENTRY_S
            if state.avoided_until_s > now_s:
                limits[place] = state.ready
            elif state.ready < state.target and not is_starting:
                # Replicas that did not come are replaced elsewhere.
                limits[place] = state.ready
        return limits

    def _find_raises(
        self,
        scaling: deployment.Scaling,
        wanted: allocation.Counts,
        limits: allocation.Counts,
        now_s: float,
    ) -> allocation.Counts:
        """Numbers that are raised because replicas lack or cheaper ones pay.

        A number that was lowered by a call that may still come late is raised
        after that call.
        """
        expected = {
            place: min(self.get(place).target, limits.get(place, math.inf))
            for place in wanted
        }
        lacking = sum(wanted.values()) - sum(expected.values())
        if lacking <= 0 and self._is_saving(scaling, wanted, expected, now_s):
            lacking = sum(wanted.values())
        raises = {}
        for place, count in wanted.items():
            state = self.get(place)
            other = allocation.Place(place.failure_domain, not place.is_spot)
            room = scaling.max_replicas - self.get(other).target
            count = min(count, room)
            is_under_minimum = (
                expected[place] + expected[other] < scaling.min_replicas
            )
            if not is_under_minimum:
                count = min(count, state.target + max(0, lacking))
            is_late_possible = now_s < state.late_until_s or (
                not state.is_answered and now_s - state.lowered_s < LATE_CALL_S
            )
            if count > state.target and not is_late_possible:
                raises[place] = count
                lacking -= count - state.target
        return raises

    def _is_saving(
        self,
        scaling: deployment.Scaling,
        wanted: allocation.Counts,
        expected: allocation.Counts,
        now_s: float,
    ) -> bool:
        """Whether the same number of replicas costs much less elsewhere."""
        if not self.need.is_known(now_s):
            return False
        if sum(wanted.values()) != sum(expected.values()):
            return False
        prices = {p: allocation.get_price(scaling, p) for p in wanted}
        now = sum(prices[p] * n for p, n in expected.items())
        later = sum(prices[p] * n for p, n in wanted.items())
        return now - later > LEAST_SAVING * now

    def _find_lowers(
        self, wanted: allocation.Counts, now_s: float
    ) -> allocation.Counts:
        """Numbers that are lowered while the others suffice.

        Replicas that are still to start don't replace any that serve.
        """
        if now_s - self._since_s < need_module.LOWER_AFTER_S:
            return {}
        spare = sum(
            min(state.ready, state.target) for state in self._places.values()
        ) - sum(wanted.values())
        lowers = {}
        for place, count in wanted.items():
            state = self.get(place)
            if now_s - state.raised_s < LATE_CALL_S:
                continue
            surplus = state.target - count
            if state.ready <= count:
                # Lost replicas: nothing that serves is given back.
                released = surplus
            else:
                released = min(surplus, max(0, spare))
                spare -= released
            if released > 0:
                lowers[place] = state.target - released
        return lowers

    def _find_repeats(
        self, scaling: deployment.Scaling, now_s: float
    ) -> allocation.Counts:
        """Orders that had no effect, or were overtaken by a late one."""
        wait_s = max(LATE_CALL_S, scaling.start_s + ENTRY_S)
        return {
            place: state.ordered
            for place, state in self._places.items()
            if state.ordered is not None
            and (
                now_s >= state.repeat_s
                or now_s - state.ordered_s >= wait_s
                and state.ready != state.ordered
                and state.avoided_until_s <= now_s
            )
        }
