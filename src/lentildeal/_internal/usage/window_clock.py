"""Time of day for the windows of usage reports."""

from __future__ import annotations

import typing

from lentildeal._internal.utils import clock

# Corrections of the time of day that are followed at once. Clocks that are
# kept in step are corrected by milliseconds.
FOLLOWED_STEP_S = 0.1
# A larger step is followed if it lasts this long. Steps of the time of day by
# seconds that are taken back soon would move requests to other windows.
LASTING_STEP_S = 30.0


class WindowClock:
    """Time of day that ignores steps for a while.

    It may be wrong when the process starts during such a step; the step back
    is then followed after the same time.
    """

    def __init__(
        self,
        now_unix: typing.Callable[[], float] = clock.unix_s,
        now_uptime: typing.Callable[[], float] = clock.uptime_s,
    ) -> None:
        self._now_unix = now_unix
        self._now_uptime = now_uptime
        self._offset_s = now_unix() - now_uptime()
        self._stepped_since_s: typing.Optional[float] = None

    def now_s(self) -> float:
        """Unix time without short steps, in seconds."""
        uptime_s = self._now_uptime()
        offset_s = self._now_unix() - uptime_s
        if abs(offset_s - self._offset_s) <= FOLLOWED_STEP_S:
            self._offset_s = offset_s
            self._stepped_since_s = None
        elif self._stepped_since_s is None:
            self._stepped_since_s = uptime_s
        elif uptime_s - self._stepped_since_s >= LASTING_STEP_S:
            self._offset_s = offset_s
            self._stepped_since_s = None
        return uptime_s + self._offset_s
