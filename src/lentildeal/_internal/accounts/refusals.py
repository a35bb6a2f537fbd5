"""Counts refusals, and bounds the log lines that report them."""

from __future__ import annotations

import collections
import typing

from lentildeal._internal.accounts import authentication
from lentildeal._internal.utils import clock

# Shortest time between two lines of one cause. A client with a wrong key may
# send hundreds of requests a second.
LINE_INTERVAL_S = 1.0


class RefusalCounter:
    """Refusals by cause that were not reported yet."""

    def __init__(
        self, now: typing.Callable[[], float] = clock.monotonic_s
    ) -> None:
        self._now = now
        self._unreported: collections.Counter = collections.Counter()
        self._reported_s: dict[authentication.Cause, float] = {}

    def record(self, cause: authentication.Cause) -> int:
        """Records a refusal.

        Returns:
            Number of refusals to report now, 0 for no line.
        """
        self._unreported[cause] += 1
        now_s = self._now()
        if now_s - self._reported_s.get(cause, -1e9) < LINE_INTERVAL_S:
            return 0
        self._reported_s[cause] = now_s
        return self._unreported.pop(cause)
