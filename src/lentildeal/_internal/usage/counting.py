"""Counts of the requests that replicas began, by window and account.

Each daemon appends its counts as records that are added up. A record has the
process and a sequence number, so that a repeated append counts once.
"""

from __future__ import annotations

import collections
import typing

from lentildeal._internal.jobs import records
from lentildeal._internal.models import ids

# Time after the end of a window from which a daemon tells that all its counts
# are in the log. Longer than the answers of most calls that began before.
COMPLETE_S = 0.8
# Growth of the shortest known time of a route with each call.
SHORTEST_GROWTH = 1.002


class StartEstimator:
    """Estimates when a replica began a call whose answer has arrived.

    Only the answer shows that it did. The shortest call of a route waited
    nowhere, so that it took as long as the work; longer ones waited before.
    """

    def __init__(self) -> None:
        self._shortest_s: dict[ids.RouteName, float] = {}

    def find_work_s(self, route: ids.RouteName, elapsed_s: float) -> float:
        """Time from the start of the work to the answer.

        Args:
            route: Route of the call.
            elapsed_s: Time from sending the call to its answer.
        """
        known_s = self._shortest_s.get(route, elapsed_s)
        # Follows work that has become slower.
        shortest_s = min(elapsed_s, known_s * SHORTEST_GROWTH)
        self._shortest_s[route] = shortest_s
        return shortest_s


class RequestCounter:
    """Counts the requests of this daemon until they are appended."""

    def __init__(self, incarnation: ids.Incarnation, window_s: float) -> None:
        self._incarnation = incarnation
        self._window_s = window_s
        self._counts: collections.Counter[tuple[int, ids.AccountName]] = (
            collections.Counter()
        )
        self._sequence = 0
        # Last window with a request, and the window before which the log has
        # all counts of this daemon.
        self._last_window = -1
        self._complete_until = -1

    def record(self, account: ids.AccountName, now_s: float) -> None:
        """Counts a request that a replica began."""
        window = int(now_s // self._window_s)
        self._counts[window, account] += 1
        self._last_window = max(self._last_window, window)

    def is_due(self, now_s: float) -> bool:
        """Whether there is something to append."""
        if self._counts:
            return True
        if self._last_window < 0:
            return False
        # The window after the last one with requests is told to be complete,
        # too, because the holder can't know yet that there were none.
        return self._complete_until <= min(
            self._last_window + 1, self._find_complete_until(now_s) - 1
        )

    def take(self, now_s: float) -> records.UsageCounts:
        """Returns the counts since the last call as a record."""
        self._sequence += 1
        self._complete_until = self._find_complete_until(now_s)
        record = records.UsageCounts(
            self._incarnation,
            self._sequence,
            self._complete_until,
            tuple((w, a, n) for (w, a), n in self._counts.items()),
        )
        self._counts.clear()
        return record

    def _find_complete_until(self, now_s: float) -> int:
        return int((now_s - COMPLETE_S) // self._window_s)


class _DaemonState(typing.NamedTuple):
    """What the records of a process say.

    Attributes:
        sequence: Number of its last record.
        complete_until: Window before which its counts are complete.
        last_window: Last window with a request.
    """

    sequence: int
    complete_until: int
    last_window: int


class CountLedger:
    """Counts of all daemons, derived from the records in the log."""

    def __init__(self) -> None:
        self._counts: dict[int, collections.Counter[ids.AccountName]] = {}
        self._daemons: dict[ids.Incarnation, _DaemonState] = {}

    def apply(self, record: records.UsageCounts) -> bool:
        """Adds a record; returns False for a repeated one."""
        known = self._daemons.get(record.incarnation, _DaemonState(0, -1, -1))
        # A process appends a record only after the one before.
        if record.sequence <= known.sequence:
            return False
        last_window = known.last_window
        for window, account, number in record.counts:
            counts = self._counts.setdefault(window, collections.Counter())
            counts[account] += number
            last_window = max(last_window, window)
        self._daemons[record.incarnation] = _DaemonState(
            record.sequence,
            max(known.complete_until, record.complete_until),
            last_window,
        )
        return True

    def get(self, window: int) -> dict[ids.AccountName, int]:
        """Counts of a window so far."""
        return dict(self._counts.get(window, {}))

    def list_windows(self) -> list[int]:
        """Windows with counts, oldest first."""
        return sorted(self._counts)

    def is_complete(self, window: int) -> bool:
        """Whether no daemon is known whose counts of a window may lack.

        Daemons that had requests in the window or in the one before are
        expected to tell that their counts are complete.
        """
        return all(
            daemon.complete_until > window
            for daemon in self._daemons.values()
            if daemon.last_window >= window - 1
        )

    def drop_before(self, window: int) -> None:
        """Drops the counts of older windows and of ended processes."""
        for old in [w for w in self._counts if w < window]:
            del self._counts[old]
        for incarnation, daemon in list(self._daemons.items()):
            if daemon.last_window < window:
                del self._daemons[incarnation]
