"""Causes of calls that were not answered in time."""

import types

import pytest

from lentildeal._internal.callers import calls
from lentildeal._internal.callers import objectives
from lentildeal._internal import exceptions
from lentildeal._internal.utils import clock


class FakeBurn:
    """Keeps the recorded calls."""

    def __init__(self):
        self.records = []

    def record_call(self, service, is_good, seconds, cause=None):
        self.records.append((is_good, cause))


@pytest.mark.parametrize(
    ('error', 'remaining_s', 'is_gone', 'expected'),
    [
        (None, 1.0, False, [(True, None)]),
        (None, 0.0, False, [(False, 'deadline')]),
        (
            exceptions.NotRunError('full', cause='target_full'),
            1.0,
            False,
            [(False, 'target_full')],
        ),
        (
            exceptions.MayHaveRunError('cut'),
            1.0,
            False,
            [(False, 'target_down')],
        ),
        (exceptions.MayHaveRunError('late'), 0.0, True, []),
        (
            exceptions.RanAndFailedError('bad', status=400),
            1.0,
            False,
            [],
        ),
    ],
)
def test_end_of_call_counts_for_its_objective(
    error, remaining_s, is_gone, expected
):
    """Caller faults must not burn a club's budget; other failures must."""
    burn = FakeBurn()
    kernel = types.SimpleNamespace(find_plugin={'burn': burn}.get)
    call = calls.Call(
        'r',
        's',
        None,
        None,
        clock.Deadline(remaining_s),
        is_client_gone=lambda: is_gone,
    )
    objectives.record(kernel, call, error)
    assert burn.records == expected
