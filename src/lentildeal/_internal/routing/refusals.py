"""Short-lived cache of refusals, to spare overloaded queues requests."""

from __future__ import annotations

import typing

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock

# A refusal is cached for this part of its retry delay; the queue can't become
# much shorter in this time.
CACHED_WAIT_SHARE = 0.1
MAX_CACHED_S = 0.05
CACHED_CAUSES = frozenset(
    (outcomes.Cause.DEADLINE.value, outcomes.Cause.TARGET_FULL.value)
)

Key = tuple[ids.ReplicaAddress, ids.ClubName]


class _Refusal(typing.NamedTuple):
    remaining_s: float
    expires_s: float
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
        """Caches the refusal of a call that had this much time left."""
        if error.cause not in CACHED_CAUSES:
            return
        cached_s = min(MAX_CACHED_S, CACHED_WAIT_SHARE * error.retry_after_s)
        expires_s = self._now() + cached_s
        self._refusals[key] = _Refusal(remaining_s, expires_s, error)

    def check(self, key: Key, remaining_s: float) -> None:
        """Refuses a call with no more time left than the last refused one.

        Raises:
            exceptions.NotRunError: The queue would refuse it too.
        """
        last = self._refusals.get(key)
        if last is None:
            return
        if self._now() >= last.expires_s:
            del self._refusals[key]
        elif remaining_s <= last.remaining_s:
            raise slots.refusal(
                outcomes.Cause(last.error.cause),
                last.error.message,
                last.error.retry_after_s,
            )
