"""Clocks of this instance; never compare times of two instances."""

import time


def monotonic_s() -> float:
    """Returns the monotonic clock, for intervals and timeouts."""
    return time.monotonic()


def uptime_s() -> float:
    """Returns the time since boot, including time spent suspended.

    Leases need it: another daemon may claim a lease while this instance is
    suspended, which the monotonic clock does not show.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s() -> float:
    """Returns the Unix time; use it only for ages of seconds or more."""
    return time.time()


class Deadline:
    """Point in time by which a response is due."""

    def __init__(self, remaining_s: float) -> None:
        self._at_s = monotonic_s() + remaining_s

    @property
    def remaining_s(self) -> float:
        """Seconds left, 0 after the deadline has passed."""
        return max(0.0, self._at_s - monotonic_s())

    @property
    def overdue_s(self) -> float:
        """Seconds since the deadline, 0 before it."""
        return max(0.0, monotonic_s() - self._at_s)

    @property
    def has_passed(self) -> bool:
        """Whether no time is left."""
        return self.remaining_s <= 0.0
