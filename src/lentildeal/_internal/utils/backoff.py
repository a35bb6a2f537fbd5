"""Delays between retries."""

import random


class Backoff:
    """Exponential backoff with jitter, so that callers don't synchronize.

    Source: Brooker, "Exponential backoff and jitter", 2015.
    """

    def __init__(self, first_s: float = 0.05, longest_s: float = 2.0) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._attempt = 0

    def next_delay_s(self) -> float:
        """Returns the delay before the next attempt, in seconds."""
        bound = min(self._longest_s, self._first_s * 2**self._attempt)
        self._attempt = min(self._attempt + 1, 30)
        return bound * (0.5 + random.random() / 2)

    def reset(self) -> None:
        """Resets to the first delay, after a success."""
        self._attempt = 0
