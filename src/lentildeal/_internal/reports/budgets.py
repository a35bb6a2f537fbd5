"""Error budgets: sums over daemons and burn rates."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.network import wire
from lentildeal._internal.reports import causes as causes_module
from lentildeal._internal.reports import windows

# Short window, long window and the burn rate both must exceed. Source:
# "The Site Reliability Workbook", chapter 5, O'Reilly, 2018.
ALERT_WINDOW_PAIRS = (('5m', '1h', 14.4), ('30m', '6h', 6.0))
PERCENTILES = (50, 90, 99)
# An allowed share of 0 counts as one in a million to keep burn rates finite.
MIN_ALLOWED_SHARE = 1e-6
BUDGET_WINDOW = '6h'
KIND_SERVICE = 'service'
KIND_TRAINER = 'trainer'


@wire.message('burn.entry')
@dataclasses.dataclass(frozen=True)
class Entry:
    """Counts of one objective at one daemon.

    Attributes:
        kind: "service" or "trainer".
        name: Name of the service or trainer in the published text.
        windows: (total, bad, seconds, idle seconds) by window name.
        causes: Rows of the cause table of the longest window.
        latencies: Encoded histogram of the last hour, in milliseconds.
    """

    kind: str
    name: str
    windows: dict[str, tuple]
    causes: tuple = ()
    latencies: bytes = b''


@wire.message('burn.fetch')
@dataclasses.dataclass(frozen=True)
class Fetch:
    """Requests the counts of a daemon."""


@wire.message('burn.state')
@dataclasses.dataclass(frozen=True)
class State:
    """Counts of one daemon.

    Attributes:
        age_s: Time since the daemon began to count, in seconds.
        entries: Counts by objective.
    """

    age_s: float
    entries: tuple[Entry, ...]


def make_entry(kind: str, name: str, series: windows.Series) -> Entry:
    """Builds the message entry of a series."""
    sums = {
        window: dataclasses.astuple(series.sum(window_s))
        for window, window_s in windows.WINDOWS_S.items()
    }
    rows = series.sum_causes(windows.LONGEST_WINDOW_S).to_rows()
    return Entry(kind, name, sums, rows, series.latencies.merge().encode())


class ObjectiveTotals:
    """Counts of one objective, summed over daemons."""

    def __init__(self) -> None:
        self.sums = {name: windows.Counts() for name in windows.WINDOWS_S}
        self.causes = causes_module.CauseTable()
        self._latencies = windows.make_histogram()

    def add(self, entry: Entry) -> None:
        """Adds the counts of one daemon; unknown windows are ignored."""
        for name, row in entry.windows.items():
            if name in self.sums:
                self.sums[name].add(windows.Counts(*row[:4]))
        self.causes.add_all(causes_module.CauseTable.from_rows(entry.causes))
        if entry.latencies:
            self._latencies.decode_and_add(entry.latencies)

    def describe_bad_share(self, allowed_share: float) -> dict:
        """Describes budget and burn rates by the share of bad events."""
        return _describe(
            allowed_share, {n: (c.bad, c.total) for n, c in self.sums.items()}
        )

    def describe_idle_share(self, allowed_share: float) -> dict:
        """Describes budget and burn rates by the share of idle time."""
        return _describe(
            allowed_share,
            {n: (c.idle_s, c.seconds) for n, c in self.sums.items()},
        )

    def describe_latency(self) -> dict:
        """Describes latencies of the last hour; None if there are none."""
        count = self._latencies.get_total_count()
        result: dict[str, typing.Any] = {'count': count}
        for percentile in PERCENTILES:
            value = self._latencies.get_value_at_percentile(percentile)
            result[f'p{percentile}_ms'] = value if count else None
        return result


def merge_states(
    states: typing.Iterable[State],
) -> dict[tuple[str, str], ObjectiveTotals]:
    """Sums counts over daemons, by kind and name of the objective."""
    result: dict[tuple[str, str], ObjectiveTotals] = {}
    for state in states:
        for entry in state.entries:
            key = (entry.kind, entry.name)
            result.setdefault(key, ObjectiveTotals()).add(entry)
    return result


def describe_coverage(ages_s: list[float], unreached: int) -> list[dict]:
    """Describes how much of each window the counts cover.

    Args:
        ages_s: Time since each daemon that responded began to count, in
            seconds.
        unreached: Number of daemons that did not respond; they cover
            nothing.
    """
    rows = []
    for name, window_s in windows.WINDOWS_S.items():
        covered = [min(age_s, window_s) for age_s in ages_s]
        daemon_count = len(ages_s) + unreached
        rows.append(
            {
                'window': name,
                'window_s': window_s,
                'covered_share': _round(
                    sum(covered) / (daemon_count * window_s)
                )
                if daemon_count
                else 0.0,
                'shortest_covered_s': _round(min(covered, default=0.0)),
                'longest_covered_s': _round(max(covered, default=0.0)),
            }
        )
    return rows


def _describe(allowed_share: float, sums: dict[str, tuple]) -> dict:
    rates = {
        name: _burn_rate(bad, total, allowed_share)
        for name, (bad, total) in sums.items()
    }
    bad, total = sums[BUDGET_WINDOW]
    return {
        'allowed_share': allowed_share,
        'budget': {
            'window': BUDGET_WINDOW,
            'total': _round(total),
            'bad': _round(bad),
            'spent_share': rates[BUDGET_WINDOW],
        },
        'burn_rates': rates,
        'pairs': [_describe_pair(pair, rates) for pair in ALERT_WINDOW_PAIRS],
    }


def _describe_pair(pair: tuple, rates: dict) -> dict:
    short, long, limit = pair
    is_burning = all(
        rates[name] is not None and rates[name] > limit
        for name in (short, long)
    )
    return {
        'short': short,
        'long': long,
        'limit': limit,
        'is_burning': is_burning,
    }


def _burn_rate(
    bad: float, total: float, allowed_share: float
) -> typing.Optional[float]:
    """Returns the bad share over the allowed share; None if no events."""
    if not total:
        return None
    return _round(bad / total / max(allowed_share, MIN_ALLOWED_SHARE))


def _round(value: float) -> float:
    return round(value, 4)
