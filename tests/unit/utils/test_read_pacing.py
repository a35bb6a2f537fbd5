"""Reads of many daemons at a store with a limit on its calls."""

import heapq
import random

import pytest

from lentildeal._internal.jobs import work_log
from lentildeal._internal.utils import read_pacing

LIMIT_PER_S = 2000
SECONDS = 10


def play(daemons, monkeypatch):
    """Lets daemons read whenever they may; returns calls of each second.

    The store refuses what comes beyond its limit in a tenth of a second.
    """
    chance = random.Random(1)
    monkeypatch.setattr(read_pacing.random, 'uniform', chance.uniform)
    readers = [
        read_pacing.ReadPacer(work_log.SPACING_S, work_log.LONGEST_SPACING_S)
        for _ in range(daemons)
    ]
    due = [(chance.uniform(0, 0.1), number) for number in range(daemons)]
    heapq.heapify(due)
    answered = [0] * SECONDS
    refused = [0] * SECONDS
    in_slice, slice_number = 0, 0
    while due[0][0] < SECONDS:
        now_s, number = heapq.heappop(due)
        if int(now_s * 10) != slice_number:
            in_slice, slice_number = 0, int(now_s * 10)
        in_slice += 1
        if in_slice > LIMIT_PER_S / 10:
            refused[int(now_s)] += 1
            readers[number].record_throttling()
        else:
            answered[int(now_s)] += 1
            readers[number].record_response()
        heapq.heappush(
            due, (now_s + readers[number].next_interval_s(), number)
        )
    return answered, refused


@pytest.mark.parametrize('daemons', [150, 350])
def test_daemons_give_way_at_the_limit_of_the_store(daemons, monkeypatch):
    # Pattern: every append wakes all daemons; 350 of them make 8,700 reads a
    # second, where the store takes 2,000.
    answered, refused = play(daemons, monkeypatch)
    assert refused[0] > 0
    assert refused[-1] < 0.2 * LIMIT_PER_S
    # What the store offers is used.
    assert answered[-1] > 0.7 * LIMIT_PER_S


def test_few_daemons_read_without_delay(monkeypatch):
    # Guards against results that are known late without need.
    answered, refused = play(40, monkeypatch)
    assert sum(refused) == 0
    assert answered[-1] == pytest.approx(40 / work_log.SPACING_S, rel=0.1)
