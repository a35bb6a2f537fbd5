"""Attributed causes: time and calls that each cause has cost."""

from __future__ import annotations

import collections
import dataclasses
import typing

# Causes named in a report; the rest is summed up.
LARGEST = 5
UNNAMED = 'unnamed'
REST = 'rest'


@dataclasses.dataclass
class Cost:
    """What a cause has cost.

    Attributes:
        count: Bad calls or late steps.
        seconds: Time that callers or trainers waited, in seconds.
    """

    count: int = 0
    seconds: float = 0.0

    def add(self, count: int, seconds: float) -> None:
        """Adds to both."""
        self.count += count
        self.seconds += seconds


# Cause and the club that caused it ("" if no club did).
CauseKey = tuple[str, str]


class CauseTable:
    """Costs by cause and causing club."""

    def __init__(self) -> None:
        self._costs: dict[CauseKey, Cost] = collections.defaultdict(Cost)

    def add(
        self,
        cause: typing.Optional[str],
        club: typing.Optional[str],
        count: int,
        seconds: float,
    ) -> None:
        """Adds a cost."""
        key = (cause or UNNAMED, club or '')
        self._costs[key].add(count, seconds)

    def add_all(self, other: CauseTable) -> None:
        """Adds the costs of another table."""
        for key, cost in other._costs.items():
            self._costs[key].add(cost.count, cost.seconds)

    def to_rows(self) -> tuple:
        """Rows ``(cause, club, count, seconds)`` for the wire."""
        return tuple(
            (*key, cost.count, cost.seconds)
            for key, cost in self._costs.items()
        )

    @classmethod
    def from_rows(cls, rows: typing.Iterable[tuple]) -> CauseTable:
        """Reads rows."""
        table = cls()
        for cause, club, count, seconds in rows:
            table.add(cause, club, count, seconds)
        return table

    def describe(self) -> list[dict]:
        """Largest causes by time lost, then by count; the rest in one."""
        ranked = sorted(
            self._costs.items(),
            key=lambda item: (-item[1].seconds, -item[1].count, item[0]),
        )
        rows = [_describe(key, cost) for key, cost in ranked[:LARGEST]]
        rest = Cost()
        for _, cost in ranked[LARGEST:]:
            rest.add(cost.count, cost.seconds)
        if rest.count or rest.seconds:
            rows.append(_describe((REST, ''), rest))
        return rows


def _describe(key: CauseKey, cost: Cost) -> dict:
    cause, club = key
    return {
        'cause': cause,
        'caused_by_club': club or None,
        'count': cost.count,
        'seconds': round(cost.seconds, 3),
    }
