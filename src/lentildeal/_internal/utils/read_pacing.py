"""Time between two reads of a shared store with a limit on its calls."""

from __future__ import annotations

import random

# Spacing after a refusal, relative to the one before; the limit is shared by
# all daemons, so each of them gives way (multiplicative decrease).
INCREASE = 1.5
# Spacing after an answer. Ten answers make up for one refusal, so that about
# one call in ten is refused at the limit.
DECREASE = 0.96


class ReadPacer:
    """Spacing that grows while the store refuses reads for their number.

    Every append wakes all readers, so that their reads grow with the number
    of daemons and appends, which no daemon knows.
    """

    def __init__(self, shortest_s: float, longest_s: float) -> None:
        self._shortest_s = shortest_s
        self._longest_s = longest_s
        self._spacing_s = shortest_s

    def next_interval_s(self) -> float:
        """Time until the next read, in seconds."""
        # Jitter keeps daemons that were woken together from reading so.
        return self._spacing_s * random.uniform(0.8, 1.2)

    def record_response(self) -> None:
        """A read was answered."""
        self._spacing_s = max(self._shortest_s, DECREASE * self._spacing_s)

    def record_throttling(self) -> None:
        """A read was refused because there were too many."""
        self._spacing_s = min(self._longest_s, INCREASE * self._spacing_s)
