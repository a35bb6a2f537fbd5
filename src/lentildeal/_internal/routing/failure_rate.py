"""Share of a replica's requests that fail, from their outcomes."""

from __future__ import annotations

import math

# Three failures in a row make two thirds of the rate, and three successes
# take two thirds of it away.
WEIGHT = 0.3
# Without new outcomes the rate fades, so that the replica is tried again.
DECAY_S = 10.0


class FailureRate:
    """Moving average of outcomes that fades with time."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._noted_s = 0.0

    def note(self, is_success: bool, now_s: float) -> None:
        """Takes in the outcome of a request."""
        self._rate += WEIGHT * ((0.0 if is_success else 1.0) - self._rate)
        self._noted_s = now_s

    def value(self, now_s: float) -> float:
        """Share of requests that fail, from 0 to 1."""
        return self._rate * math.exp((self._noted_s - now_s) / DECAY_S)
