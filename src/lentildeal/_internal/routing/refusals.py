"""Short memory of refusals, so that an overloaded queue is asked less."""

from __future__ import annotations

import typing

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock

# A refusal holds for this part of the wait that it names: the queue can't
# have become much shorter in the meantime.
MEMORY_SHARE = 0.1
LONGEST_MEMORY_S = 0.05
REMEMBERED_CAUSES = frozenset(
    (outcomes.Cause.DEADLINE.value, outcomes.Cause.TARGET_FULL.value)
)

Key = tuple[ids.ReplicaAddress, ids.ClubName]


class _Refusal(typing.NamedTuple):
    remaining_s: float
    until_s: float
    error: exceptions.NotRunError


class RefusalCache:
    """Last refusal of each replica's queue for each club."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._refusals: dict[Key, _Refusal] = {}

    def record(
        self, key: Key, remaining_s: float, error: exceptions.NotRunError
    ) -> None:
        """Takes in the refusal of a call that had some time left."""
        if error.cause not in REMEMBERED_CAUSES:
            return
        memory_s = min(LONGEST_MEMORY_S, MEMORY_SHARE * error.retry_after_s)
        until_s = self._now() + memory_s
        self._refusals[key] = _Refusal(remaining_s, until_s, error)

    def check(self, key: Key, remaining_s: float) -> None:
        """Refuses a call that has no more time than the one refused last.

        Raises:
            exceptions.NotRunError: The queue would refuse it too.
        """
        last = self._refusals.get(key)
        if last is None:
            return
        if self._now() >= last.until_s:
            del self._refusals[key]
        elif remaining_s <= last.remaining_s:
            raise slots.refusal(
                outcomes.Cause(last.error.cause),
                last.error.message,
                last.error.retry_after_s,
            )
