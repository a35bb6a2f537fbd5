"""Moving averages of service times and arrival rates."""

from __future__ import annotations

import math
import typing

from lentildeal._internal.utils import clock


class ServiceTime:
    """Mean service time and its mean deviation, in seconds.

    Source: the smoothed round-trip time of RFC 6298, section 2.
    """

    def __init__(self) -> None:
        self._mean_s: typing.Optional[float] = None
        self._deviation_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean, 0 before the first measurement."""
        return self._mean_s or 0.0

    @property
    def high_s(self) -> float:
        """Mean plus two deviations, 0 before the first measurement."""
        return self.mean_s + 2 * self._deviation_s

    def record(self, seconds: float) -> None:
        """Records one measurement."""
        if self._mean_s is None:
            self._mean_s = seconds
            self._deviation_s = seconds / 2
            return
        error_s = abs(seconds - self._mean_s)
        self._deviation_s += (error_s - self._deviation_s) / 4
        self._mean_s += (seconds - self._mean_s) / 8


class ArrivalRate:
    """Arrivals per second, averaged with exponential decay."""

    def __init__(
        self,
        window_s: float,
        now: typing.Callable[[], float] = clock.monotonic_s,
    ) -> None:
        self._window_s = window_s
        self._now = now
        self._count = 0.0
        self._updated_s = now()
        self._last_s = -math.inf

    @property
    def per_second(self) -> float:
        """Current rate."""
        self._decay()
        return self._count / self._window_s

    @property
    def silence_s(self) -> float:
        """Time since the last arrival, in seconds."""
        return self._now() - self._last_s

    def record(self) -> None:
        """Records one arrival."""
        self._decay()
        self._count += 1.0
        self._last_s = self._now()

    def _decay(self) -> None:
        now_s = self._now()
        self._count *= math.exp((self._updated_s - now_s) / self._window_s)
        self._updated_s = now_s
