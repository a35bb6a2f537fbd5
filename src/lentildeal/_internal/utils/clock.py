"""Time of this instance. Clocks of two instances are never compared."""

import time


def monotonic_s() -> float:
    """Seconds of the monotonic clock, for intervals and time limits."""
    return time.monotonic()


def boottime_s() -> float:
    """Seconds of a clock that also runs while the instance is suspended.

    Leases need it: another daemon takes a duty over during a suspension, of
    which the monotonic clock shows nothing.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s() -> float:
    """Time of day, in seconds; only for ages of seconds and more."""
    return time.time()


class Deadline:
    """A point in time by which an answer is wanted."""

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
