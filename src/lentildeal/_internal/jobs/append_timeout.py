"""Adaptive timeout of appends to the store.

Every record of the work log may be appended twice, so a lost response is
handled by retrying the append after a short timeout. The timeout grows while
the store is slow, so that retries do not fill its queue.
"""

from __future__ import annotations

# A response takes 4 ms, and 60 times as long while the platform is slow.
MIN_TIMEOUT_S = 0.4
# The store rejects appends that would wait for more than 2 s.
MAX_TIMEOUT_S = 2.5
# Latency varies with the number of appends queued at the store.
LATENCY_FACTOR = 8.0
LATENCY_WEIGHT = 0.3
# The links of the smallest instances carry 2.6 MB/s.
BYTES_PER_S = 1_000_000


class AppendTimeout:
    """Timeout of appends, derived from the latency of earlier ones."""

    def __init__(self) -> None:
        self._latency_s = 0.0
        self._limit_s = MIN_TIMEOUT_S

    def limit_s(self, size_bytes: int) -> float:
        """Timeout of an append of the given size, in seconds."""
        return min(MAX_TIMEOUT_S, self._limit_s + size_bytes / BYTES_PER_S)

    def record_response(self, elapsed_s: float) -> None:
        """Records that the store responded to an append."""
        self._latency_s += LATENCY_WEIGHT * (elapsed_s - self._latency_s)
        self._limit_s = min(
            MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, LATENCY_FACTOR * self._latency_s)
        )

    def record_timeout(self) -> None:
        """Records that an append got no response within its timeout."""
        self._limit_s = min(MAX_TIMEOUT_S, 2 * self._limit_s)
