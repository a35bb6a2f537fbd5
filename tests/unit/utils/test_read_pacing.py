"""Tests of read intervals at a store that limits its calls."""

import heapq
import random

import eventlet
import pytest

from lentildeal._internal.jobs import work_log
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import read_pacing

LIMIT_PER_S = 2000
SECONDS = 10


def simulate_reads(daemons, monkeypatch):
    """Simulates reads; returns answered and throttled calls by second.

    The store throttles calls that exceed its limit in a tenth of a second.
    """
    generator = random.Random(1)
    monkeypatch.setattr(read_pacing.random, 'uniform', generator.uniform)
    readers = [
        read_pacing.ReadPacer(work_log.SPACING_S, work_log.LONGEST_SPACING_S)
        for _ in range(daemons)
    ]
    due = [(generator.uniform(0, 0.1), number) for number in range(daemons)]
    heapq.heapify(due)
    answered = [0] * SECONDS
    throttled = [0] * SECONDS
    slice_calls, slice_number = 0, 0
    while due[0][0] < SECONDS:
        now_s, number = heapq.heappop(due)
        if int(now_s * 10) != slice_number:
            slice_calls, slice_number = 0, int(now_s * 10)
        slice_calls += 1
        if slice_calls > LIMIT_PER_S / 10:
            throttled[int(now_s)] += 1
            readers[number].record_throttling()
        else:
            answered[int(now_s)] += 1
            readers[number].record_response()
        heapq.heappush(
            due, (now_s + readers[number].next_interval_s(), number)
        )
    return answered, throttled


@pytest.mark.parametrize('daemons', [150, 350])
def test_daemons_slow_down_at_the_limit_of_the_store(daemons, monkeypatch):
    # Every append wakes all daemons: 350 of them would make 8,700 reads a
    # second, of which the store accepts 2,000.
    answered, throttled = simulate_reads(daemons, monkeypatch)
    assert throttled[0] > 0
    assert throttled[-1] < 0.2 * LIMIT_PER_S
    # The capacity of the store is still used.
    assert answered[-1] > 0.7 * LIMIT_PER_S


def test_few_daemons_read_without_delay(monkeypatch):
    # Guards against needless delays of results.
    answered, throttled = simulate_reads(40, monkeypatch)
    assert sum(throttled) == 0
    assert answered[-1] == pytest.approx(40 / work_log.SPACING_S, rel=0.1)


def count_reads(demand, seconds=1.0):
    """Counts the reads of one follower whose reads return at once."""
    pacer = read_pacing.ReadPacer(
        work_log.SPACING_S,
        work_log.LONGEST_SPACING_S,
        demand,
        work_log.IDLE_SPACING_S,
    )
    reads = []

    def read():
        while True:
            reads.append(clock.monotonic_s())
            pacer.wait()

    thread = eventlet.spawn(read)
    eventlet.sleep(seconds)
    thread.kill()
    return reads


def test_idle_daemon_reads_a_busy_stream_few_times_a_second():
    # Guards against 190 idle daemons that read each append of the holder.
    demand = read_pacing.ReadDemand()
    assert len(count_reads(demand)) <= 6
    with demand.hold():
        assert len(count_reads(demand)) >= 15


def test_caller_that_waits_for_a_result_ends_the_long_interval():
    # Guards against results that reach a trainer late at an idle daemon.
    demand = read_pacing.ReadDemand()
    eventlet.spawn_after(0.1, demand.add)
    reads = count_reads(demand, 0.3)
    assert reads[1] - reads[0] < 0.15
    assert len(reads) >= 4
