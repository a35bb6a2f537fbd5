"""Weighted fair queueing between clubs.

Start-time fair queueing: each club has a virtual time that advances by the
cost of its work divided by its weight. The backlogged club with the lowest
virtual time is served next. Source: Goyal, Vin and Cheng, "Start-time fair
queueing", IEEE/ACM Transactions on Networking, 1997.
"""

from __future__ import annotations

import typing

from lentildeal._internal.models import ids

WeightOf = typing.Callable[[ids.ClubName], float]


class FairShare:
    """Picks the club that is furthest behind its weighted share."""

    def __init__(self, weight_of: WeightOf) -> None:
        """Initializes the virtual times of all clubs to 0.

        Args:
            weight_of: Returns the current weight of a club, above 0.
        """
        self._weight_of = weight_of
        self._virtual_times: dict[ids.ClubName, float] = {}
        self._system_time = 0.0
        self._backlogged: frozenset[ids.ClubName] = frozenset()

    def charge(self, club: ids.ClubName, cost: float) -> None:
        """Adds the cost of work done for a club.

        Charge an estimate when the work starts and a correction when it
        ends; a correction may be negative.

        Args:
            club: Club that the work was done for.
            cost: Cost in tokens, seconds or any other unit that is used for
                all clubs.
        """
        current = self._virtual_times.get(club, self._system_time)
        self._virtual_times[club] = current + cost / self._weight_of(club)

    def pick(self, backlogged: typing.Iterable[ids.ClubName]) -> ids.ClubName:
        """Returns the club that is served next.

        Args:
            backlogged: Clubs that have work waiting, at least one.
        """
        clubs = frozenset(backlogged)
        for club in clubs - self._backlogged:
            self._end_idle_time(club)
        self._backlogged = clubs
        chosen = min(clubs, key=lambda club: (self._virtual_times[club], club))
        self._system_time = max(self._system_time, self._virtual_times[chosen])
        return chosen

    def _end_idle_time(self, club: ids.ClubName) -> None:
        """Forfeits the share that a club left unused while it was idle."""
        current = self._virtual_times.get(club, self._system_time)
        self._virtual_times[club] = max(current, self._system_time)
