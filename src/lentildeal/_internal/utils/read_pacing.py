"""Intervals between reads of a shared store that limits its calls."""

from __future__ import annotations

import random

# Growth of the interval after a throttled read. All daemons share the limit,
# so each of them reduces its rate (multiplicative decrease).
THROTTLED_INTERVAL_FACTOR = 1.5
# Reduction of the interval after a response. Ten responses offset one
# throttled read, so that about one call in ten is throttled at the limit.
RESPONSE_INTERVAL_FACTOR = 0.96


class ReadPacer:
    """Read interval that grows while the store throttles reads.

    Every append wakes all readers, so the rate of reads grows with the number
    of daemons and appends, which no daemon knows.
    """

    def __init__(self, min_interval_s: float, max_interval_s: float) -> None:
        self._min_interval_s = min_interval_s
        self._max_interval_s = max_interval_s
        self._interval_s = min_interval_s

    def next_interval_s(self) -> float:
        """Returns the time until the next read, in seconds."""
        # Jitter spreads the reads of daemons that were woken together.
        return self._interval_s * random.uniform(0.8, 1.2)

    def record_response(self) -> None:
        """Records a read that got a response."""
        self._interval_s = max(
            self._min_interval_s, RESPONSE_INTERVAL_FACTOR * self._interval_s
        )

    def record_throttling(self) -> None:
        """Records a read that the store throttled."""
        self._interval_s = min(
            self._max_interval_s, THROTTLED_INTERVAL_FACTOR * self._interval_s
        )
