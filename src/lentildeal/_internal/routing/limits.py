"""Adaptive concurrency limit of one replica."""

from __future__ import annotations

import math
import typing

from lentildeal._internal.utils import clock

# Slowdown relative to the long-term time that is tolerated before the limit
# falls. With less, differences between requests would change the limit.
TOLERANCE = 2.0
# Weights of a new measurement in the short-term and long-term averages.
SHORT_WEIGHT = 0.1
LONG_WEIGHT = 0.005
SMOOTHING = 0.2
FAILURE_FACTOR = 0.9
# Failures within this time usually have one cause and lower the limit once.
FAILURE_PAUSE_S = 0.5


class AdaptiveLimit:
    """Adaptive limit between 1 and the configured concurrency.

    The limit follows the ratio of the long-term to the recent time per unit
    of cost and falls by a tenth when requests fail. Source: gradient
    algorithm of the ``concurrency-limits`` library of Netflix, 2018.
    """

    def __init__(
        self,
        configured: int,
        now: typing.Callable[[], float] = clock.monotonic_s,
    ) -> None:
        self._configured = configured
        self._now = now
        self._limit = float(configured)
        self._short_s: typing.Optional[float] = None
        self._long_s = 0.0
        self._failed_at_s = -math.inf

    @property
    def limit(self) -> int:
        """Most requests in flight at the replica."""
        return max(1, int(self._limit))

    def set_configured(self, configured: int) -> None:
        """Applies a new configured concurrency."""
        if configured != self._configured:
            self._configured = configured
            self._limit = float(configured)

    def record_success(self, unit_s: float, in_flight: int) -> None:
        """Records a completed request.

        Args:
            unit_s: Time per unit of cost, in seconds.
            in_flight: Requests in flight when it ended, including itself.
        """
        if self._short_s is None:
            self._short_s = self._long_s = unit_s
        self._short_s += SHORT_WEIGHT * (unit_s - self._short_s)
        self._long_s += LONG_WEIGHT * (unit_s - self._long_s)
        # Without this bound, the long-term average would tolerate any
        # slowness after a slow period.
        self._long_s = min(self._long_s, TOLERANCE * self._short_s)
        if in_flight * 2 < self._limit:
            return
        gradient = TOLERANCE * self._long_s / max(self._short_s, 1e-9)
        gradient = min(1.0, max(0.5, gradient))
        wanted = self._limit * gradient + math.sqrt(self._limit)
        self._set(self._limit + SMOOTHING * (wanted - self._limit))

    def record_failure(self) -> None:
        """Records a request that failed or got no complete response."""
        if self._now() - self._failed_at_s < FAILURE_PAUSE_S:
            return
        self._failed_at_s = self._now()
        self._set(self._limit * FAILURE_FACTOR)

    def _set(self, limit: float) -> None:
        self._limit = min(float(self._configured), max(1.0, limit))
