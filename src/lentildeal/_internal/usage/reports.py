"""Decides when a window is closed, what is reported and what is sent again.

The first record of a report in the log is the report of its window. It never
changes: counts that arrive later are lost, and each holder sends that same
report.
"""

from __future__ import annotations

import typing

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.jobs import records
from lentildeal._internal.models import ids
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.usage import counting

# Time after the end of a window from which it is closed if all counts are
# known. Daemons append counts within 0.5 s and then tell that they are
# complete.
EARLY_CLOSE_S = 2.0
# Time for the append and the calls of a report before it is due: an append to
# the slow store and three calls that get no answer.
SENDING_S = 3.5
# Interval of the calls while the platform does not answer, which grows.
FIRST_RETRY_S = 0.3
LONGEST_RETRY_S = 2.0
# Time after which a report that is overdue is no longer sent.
GIVE_UP_S = 30.0


class ReportBook:
    """Windows, their counts and their reports, derived from the log."""

    def __init__(
        self, duties: settings_module.Duties, started_s: float
    ) -> None:
        """Begins with the window in which this process started.

        Args:
            duties: Length of a window and due time.
            started_s: Unix time of the start.
        """
        self._window_s = duties.window_s
        self._due_s = duties.due_s
        self._late_close_s = max(0.0, duties.due_s - SENDING_S)
        self._started_window = int(started_s // duties.window_s)
        self._counts = counting.CountLedger()
        self._reports: dict[int, dict[ids.AccountName, int]] = {}
        self._confirmed: set[int] = set()
        self._next_s = 0.0
        self._retry_s = FIRST_RETRY_S

    def add_counts(self, record: records.UsageCounts) -> int:
        """Adds counts; returns how many came too late for their report."""
        if not self._counts.apply(record):
            return 0
        return sum(n for w, _, n in record.counts if w in self._reports)

    def add_report(
        self, window: int, counts: typing.Mapping[ids.AccountName, int]
    ) -> bool:
        """Adds a report of the log; returns whether it is the first one."""
        if window in self._reports:
            return False
        self._reports[window] = dict(counts)
        return True

    def confirm(self, window: int) -> None:
        """Records that the platform has answered the report of a window."""
        self._confirmed.add(window)
        self._next_s = 0.0
        self._retry_s = FIRST_RETRY_S

    def is_complete(self, window: int) -> bool:
        """Whether no daemon is known whose counts of a window may lack."""
        return self._counts.is_complete(window)

    def get_window(self, now_s: float) -> int:
        """Window at a time."""
        return int(now_s // self._window_s)

    def measure_age_s(self, window: int, now_s: float) -> float:
        """Time since the end of a window."""
        return now_s - (window + 1) * self._window_s

    def list_to_close(self, now_s: float) -> list[int]:
        """Windows without a report that are to be closed, oldest first."""
        return [
            window
            for window in range(
                self._find_first_window(now_s), self.get_window(now_s)
            )
            if window not in self._reports and self._may_close(window, now_s)
        ]

    def make_report(self, window: int) -> dict[ids.AccountName, int]:
        """Counts to report for a window that has no report yet."""
        return self._counts.get(window)

    def list_to_send(self, now_s: float) -> list[platform_base.UsageReport]:
        """Reports that are to be sent now, oldest first."""
        if now_s < self._next_s:
            return []
        return [
            platform_base.UsageReport(window, self._reports[window])
            for window in sorted(self._reports)
            if window not in self._confirmed
            and self.measure_age_s(window, now_s) <= self._give_up_age_s
        ]

    def record_failure(self, now_s: float) -> None:
        """Delays all reports after a call without a clear answer.

        A platform that is down gets one call at a time.
        """
        self._next_s = now_s + self._retry_s
        self._retry_s = min(LONGEST_RETRY_S, 2 * self._retry_s)

    def drop_old(self, now_s: float) -> None:
        """Drops windows of which nothing is sent any more."""
        oldest = self.get_window(now_s - self._give_up_age_s) - 2
        self._counts.drop_before(oldest)
        self._reports = {w: r for w, r in self._reports.items() if w >= oldest}
        self._confirmed = {w for w in self._confirmed if w >= oldest}

    @property
    def _give_up_age_s(self) -> float:
        return self._due_s + GIVE_UP_S

    def _find_first_window(self, now_s: float) -> int:
        """First window that this deployment reports.

        Windows that passed while all daemons were down are reported empty,
        because the log tells that there were earlier ones.
        """
        oldest = self.get_window(now_s - self._give_up_age_s)
        known = [*self._counts.list_windows(), *self._reports]
        return max(oldest, min([self._started_window, *known]))

    def _may_close(self, window: int, now_s: float) -> bool:
        age_s = self.measure_age_s(window, now_s)
        if age_s >= self._late_close_s:
            return True
        return age_s >= EARLY_CLOSE_S and self._counts.is_complete(window)
