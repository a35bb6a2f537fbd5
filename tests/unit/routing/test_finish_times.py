"""Choice of replicas by expected finish time, under patterns of load."""

import collections
import random

import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.routing import finish_times
from tests.lib import replica_simulation

WORK_S = replica_simulation.WORK_S


def make_estimate(replica_id, **overrides):
    values = {'slots': 6, 'work_factor': 1.0, 'age_s': 0.0, **overrides}
    return finish_times.Estimate(replica_id, **values)


def count_choices(estimates, calls=300):
    generator = random.Random(1)
    return collections.Counter(
        finish_times.choose(estimates, (), generator).estimate.replica_id
        for _ in range(calls)
    )


def pick_at_random(estimates):
    return random.choice(estimates).replica_id


def test_one_replica_at_a_third_of_its_speed():
    # Guards against calls that wait at a slow replica while others are free.
    simulation = replica_simulation.Simulation(
        lambda number, now_s: 3.0 if number == 0 else 1.0
    )
    assert simulation.run(3000, per_s=400) < 1.2 * WORK_S
    assert simulation.counts['r0'] < 0.05 * 3000


def test_slow_replica_is_used_when_the_others_are_full():
    # A third of its speed is better than a queue of four rounds.
    full = [make_estimate(name, running=6, waiting=24) for name in 'ab']
    estimates = [make_estimate('slow', work_factor=3.0), *full]
    assert count_choices(estimates) == {'slow': 300}


def test_speeds_that_change_faster_than_reports_travel():
    # Guards against a flight to replicas that were fast a moment ago.
    def factors(number, now_s):
        seed = f'{number} {int(now_s / 0.02)}'
        return random.Random(seed).choice([0.5, 1.0, 2.5])

    def run(pick):
        simulation = replica_simulation.Simulation(
            factors, report_delay_s=0.05, pick=pick
        )
        mean_s = simulation.run(3000, per_s=400)
        return mean_s, simulation.counts

    mean_s, counts = run(None)
    assert mean_s < 1.15 * run(pick_at_random)[0]
    assert max(counts.values()) < 1.3 * min(counts.values())


@pytest.mark.parametrize('delay_s', [0.0, 0.3])
def test_all_slow_together(delay_s):
    # Guards against requests that all move from one replica to the next: a
    # replica that has not reported lately must not look fast.
    simulation = replica_simulation.Simulation(
        lambda number, now_s: 3.0, report_delay_s=delay_s
    )
    assert simulation.run(3000, per_s=100) < 1.1 * 3 * WORK_S
    counts = simulation.counts
    assert max(counts.values()) < 1.2 * min(counts.values())
    slow = [make_estimate(name, work_factor=3.0) for name in 'abc']
    silent = make_estimate('silent', age_s=5.0)
    assert count_choices([*slow, silent])['silent'] < 150


def test_daemons_that_act_on_one_report_choose_different_replicas():
    # Guards against a herd at the replica that looked best in the report.
    estimates = [
        make_estimate('a'),
        make_estimate('b', running=1),
        make_estimate('c', running=2),
    ]
    assert max(count_choices(estimates).values()) < 130


def test_hot_failure_domain():
    # Distance against load: calls stay in their domain at the usual load, and
    # leave it before they would wait there.
    def count_local(running, waiting=0):
        far = [make_estimate(name, extra=0.1) for name in 'ab']
        near = make_estimate('near', running=running, waiting=waiting)
        return count_choices([near, *far])['near']

    assert count_local(running=1) == 300
    assert count_local(running=6, waiting=6) == 0


def test_one_long_tail():
    # Long requests hold the slots of a fast replica: a slower one that is
    # free ends sooner.
    held = make_estimate('held', running=6, waiting=6)
    free = make_estimate('free', work_factor=1.5, running=1)
    assert count_choices([held, free]) == {'free': 300}


def test_report_loses_weight_with_age():
    # Guards against decisions on figures that are no longer true.
    usual = finish_times.Usual()
    finishes = [
        finish_times.expect(
            make_estimate('a', running=6, work_factor=3.0, age_s=age_s), usual
        ).finish
        for age_s in (0.0, 0.5, 1.0, 60.0)
    ]
    assert finishes == sorted(finishes, reverse=True)
    assert finishes[2] == finishes[3] == 1.0


def test_own_calls_since_the_report_count():
    # Guards against a burst of one daemon that goes to one replica, as no
    # report shows its calls yet.
    now_s = [0.0]
    reports = finish_times.LoadReports(lambda: now_s[0])
    reports.record('a', platform_base.ReplicaLoad(3, 0, 6, 1.0), 1)
    before = reports.estimate('a', 6, 0)
    after = reports.estimate('a', 6, 4)
    assert (before.others, after.others) == (2, 2)
    usual = finish_times.Usual()
    assert finish_times.expect(before, usual).load == 2
    assert finish_times.expect(after, usual).load == 6


def test_work_factor_is_averaged_over_reports_in_quick_succession():
    # Guards against a choice that follows each single figure.
    now_s = [0.0]
    reports = finish_times.LoadReports(lambda: now_s[0])
    for number in range(40):
        factor = 3.0 if number % 2 else 1.0
        load = platform_base.ReplicaLoad(1, 0, 6, factor)
        reports.record('a', load, 1)
        now_s[0] += 0.01
    assert reports.work_factor('a') == pytest.approx(2.0, abs=0.2)
    now_s[0] += finish_times.REPORT_VALID_S
    assert reports.work_factor('a') is None
    assert not reports.has_work_factor(['a'])
