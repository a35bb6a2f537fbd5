"""Attributed causes: calls and time lost to each cause."""

from __future__ import annotations

import collections
import dataclasses
import typing

# Causes listed in a report; the remaining ones are summed up in one row.
MAX_CAUSES = 5
UNNAMED = 'unnamed'
REST = 'rest'


@dataclasses.dataclass
class Loss:
    """Calls and time lost to a cause.

    Attributes:
        count: Bad calls or late steps.
        seconds: Time that callers or trainers lost waiting, in seconds.
    """

    count: int = 0
    seconds: float = 0.0

    def add(self, count: int, seconds: float) -> None:
        """Adds to the count and the time."""
        self.count += count
        self.seconds += seconds


# Cause and club that caused it ("" if no club did).
CauseKey = tuple[str, str]


class CauseTable:
    """Losses by cause and by the club that caused them."""

    def __init__(self) -> None:
        self._losses: dict[CauseKey, Loss] = collections.defaultdict(Loss)

    def add(
        self,
        cause: typing.Optional[str],
        club: typing.Optional[str],
        count: int,
        seconds: float,
    ) -> None:
        """Adds losses to a cause.

        Args:
            cause: Name of the cause; None counts as unnamed.
            club: Club that caused it; None if no club did.
            count: Bad calls or late steps.
            seconds: Time lost, in seconds.
        """
        key = (cause or UNNAMED, club or '')
        self._losses[key].add(count, seconds)

    def add_all(self, other: CauseTable) -> None:
        """Adds the losses of another table."""
        for key, loss in other._losses.items():
            self._losses[key].add(loss.count, loss.seconds)

    def to_rows(self) -> tuple:
        """Returns rows ``(cause, club, count, seconds)`` for messages."""
        return tuple(
            (*key, loss.count, loss.seconds)
            for key, loss in self._losses.items()
        )

    @classmethod
    def from_rows(cls, rows: typing.Iterable[tuple]) -> CauseTable:
        """Builds a table from the rows of `to_rows`."""
        table = cls()
        for cause, club, count, seconds in rows:
            table.add(cause, club, count, seconds)
        return table

    def describe(self) -> list[dict]:
        """Lists the largest causes by time lost and count, then the rest."""
        ranked = sorted(
            self._losses.items(),
            key=lambda item: (-item[1].seconds, -item[1].count, item[0]),
        )
        rows = [_describe(key, loss) for key, loss in ranked[:MAX_CAUSES]]
        rest = Loss()
        for _, loss in ranked[MAX_CAUSES:]:
            rest.add(loss.count, loss.seconds)
        if rest.count or rest.seconds:
            rows.append(_describe((REST, ''), rest))
        return rows


def _describe(key: CauseKey, loss: Loss) -> dict:
    cause, club = key
    return {
        'cause': cause,
        'caused_by_club': club or None,
        'count': loss.count,
        'seconds': round(loss.seconds, 3),
    }
