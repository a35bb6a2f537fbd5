"""Knows how old the published text may be and whether it can be read anew."""

from __future__ import annotations

import typing

from lentildeal._internal.accounts import authentication
from lentildeal._internal.utils import clock

# Longest time for which a request waits for a read of the text. A read takes
# 4 ms, and 60 times as long while the platform is slow; callers of the
# shortest calls wait for 0.8 s in all.
READ_WAIT_S = 0.4


class TextReads:
    """Reads of the published text.

    Uses the clock that counts suspension: the text of a daemon that was
    suspended has grown old.
    """

    def __init__(
        self, now: typing.Callable[[], float] = clock.uptime_s
    ) -> None:
        self.now = now
        # Start of the last read that found all changes before it.
        self._confirmed_s = float('-inf')
        self._failed_s: typing.Optional[float] = None
        # Start of the read in progress that requests wait for.
        self._started_s: typing.Optional[float] = None

    def measure(self, arrived_s: float) -> authentication.Freshness:
        """Returns how old the text was when a request arrived.

        Args:
            arrived_s: Time of its arrival. A read that began later found the
                newest text, however long it took.
        """
        now_s = self.now()
        failed_age_s = None
        if self._failed_s is not None:
            failed_age_s = now_s - self._failed_s
        elif self._started_s is not None:
            # A read that takes long counts as failed until it ends.
            overdue_s = now_s - self._started_s - READ_WAIT_S
            failed_age_s = 0.0 if overdue_s >= 0.0 else None
        return authentication.Freshness(
            max(0.0, arrived_s - self._confirmed_s), failed_age_s
        )

    def record_start(self) -> float:
        """Records the start of a read; returns its time."""
        self._started_s = self.now()
        return self._started_s

    def record_end(self) -> None:
        """Records that the read that requests wait for has ended."""
        self._started_s = None

    def record_success(self, started_s: float) -> None:
        """Records a read that found all changes before its start."""
        if started_s >= self._confirmed_s:
            self._confirmed_s = started_s
            self._failed_s = None

    def record_failure(self) -> None:
        """Records a read without a result."""
        self._failed_s = self.now()
