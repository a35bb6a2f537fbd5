"""Checks of the soak on the requests to limited replicas."""

import math
import types

import pytest

from soak import checker
from soak import duties

REPLICA = types.SimpleNamespace(name='replica')


def make_limit(start_s, end_s=math.inf, rate=1.0):
    return checker.NamedLimit(REPLICA, rate, start_s, end_s)


@pytest.mark.parametrize(
    ('times_s', 'excused', 'excess'),
    [
        # Named at 10.1 s; the bound of 11 requests holds from 13.1 s.
        ([10.1, *(14.0 + 0.1 * n for n in range(11))], (), 0),
        ([10.1, *(14.0 + 0.1 * n for n in range(13))], (), 2),
        ([10.1, *(11.0 + 0.1 * n for n in range(20))], (), 0),
        ([10.1, *(14.0 + 0.1 * n for n in range(13))], [(9.0, 12.0)], 0),
        # Requests before the limit, which nobody was told of.
        ([1.0 + 0.1 * n for n in range(60)], (), 0),
    ],
)
def test_requests_over_the_bound_are_counted(times_s, excused, excess):
    assert make_limit(10.0).find_excess(times_s, excused) == excess


def test_windows_after_the_end_of_a_limit_are_not_counted():
    times_s = [10.1, *(14.0 + 0.1 * n for n in range(30))]
    assert make_limit(10.0, end_s=15.0).find_excess(times_s, ()) == 0


def make_call(holder, token, at_s, window=1, counts=()):
    return {
        'holder': holder,
        'token': token,
        'at_s': at_s,
        'body': {'WindowId': window, 'Counts': dict(counts)},
    }


@pytest.mark.parametrize(
    ('calls', 'count'),
    [
        ([('a', 1, 0), ('b', 2, 4), ('a', 3, 8)], 0),
        ([('a', 1, 0), ('b', 2, 4), ('b', 2, 5, 2), ('b', 2, 5, 3)], 0),
        ([('a', 1, 0), ('b', 2, 1), ('a', 3, 2)], 1),
        ([('a', 2, 0), ('b', 1, 9)], 1),
        ([('a', 1, 0), ('a', 1, 1, 1, {'x': 1})], 1),
        ([('a', 1, 0), ('a', 1, 9, 3)], 1),
    ],
)
def test_broken_rules_of_duties_are_counted(calls, count):
    """Guards against a check of holders and reports that can't fail."""
    found = duties.find_report_violations([make_call(*c) for c in calls])
    assert len(found) == count
