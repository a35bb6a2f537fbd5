"""Moving average of the share of a replica's requests that fail."""

from __future__ import annotations

import math

# Weight of one outcome. Three failures in a row raise the rate to about two
# thirds; three successes lower it by two thirds.
WEIGHT = 0.3
# Time constant of the decay without new outcomes, after which the replica is
# tried again.
DECAY_S = 10.0


class FailureRate:
    """Moving average of outcomes that decays over time."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_s = 0.0

    def record(self, is_success: bool, now_s: float) -> None:
        """Records the outcome of a request."""
        self._rate += WEIGHT * ((0.0 if is_success else 1.0) - self._rate)
        self._updated_s = now_s

    def value(self, now_s: float) -> float:
        """Share of requests that fail, from 0 to 1."""
        return self._rate * math.exp((self._updated_s - now_s) / DECAY_S)
