"""How long to wait for the store's answer to an append.

Every record of the work log may be appended twice, so that a lost answer is
best met by repeating the append soon. A slow store must not be filled with
repeats, though.
"""

from __future__ import annotations

# Answers take 4 ms; 60 times as long, in a slow phase of the platform, still
# fits.
MIN_TIMEOUT_S = 0.4
# The store refuses what would wait for more than 2 s.
MAX_TIMEOUT_S = 2.5
# Answers vary by the number of appends that wait at the store.
LATENCY_FACTOR = 8.0
LATENCY_WEIGHT = 0.3
# Links of the smallest instances carry 2.6 MB a second.
BYTES_PER_S = 1_000_000


class AppendTimeout:
    """Time limit of appends, from the answers to earlier ones."""

    def __init__(self) -> None:
        self._latency_s = 0.0
        self._limit_s = MIN_TIMEOUT_S

    def limit_s(self, size_bytes: int) -> float:
        """Time limit of an append of a size, in seconds."""
        return min(MAX_TIMEOUT_S, self._limit_s + size_bytes / BYTES_PER_S)

    def record_response(self, elapsed_s: float) -> None:
        """The store has answered an append."""
        self._latency_s += LATENCY_WEIGHT * (elapsed_s - self._latency_s)
        self._limit_s = min(
            MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, LATENCY_FACTOR * self._latency_s)
        )

    def record_timeout(self) -> None:
        """The store has not answered within the limit."""
        self._limit_s = min(MAX_TIMEOUT_S, 2 * self._limit_s)
