"""Extra copies of requests, under patterns of load."""

import random

import pytest

from lentildeal._internal.routing import extra_copies
from lentildeal._internal.routing import finish_times
from lentildeal._internal.settings import settings

OBJECTIVE_S = 0.2
WORK_S = 0.035
SHARE = 0.1
Verdict = extra_copies.Verdict


class Daemon:
    """A policy with a clock, and calls that take a given time."""

    def __init__(self, share=SHARE, seed=1, call_interval_s=0.05):
        self.now_s = 0.0
        self.sent = 0
        self._interval_s = call_interval_s
        self.policy = extra_copies.CopyPolicy(
            settings.Hedging(share),
            lambda: self.now_s,
            random.Random(seed),
        )

    def judge(self, elapsed_s, remaining_s=0.5):
        return self.policy.judge(make_request(elapsed_s, remaining_s))

    def call(self, seconds, copy_s=WORK_S):
        """Runs a call; returns its time with a copy if one is sent."""
        self.now_s += self._interval_s
        self.policy.record_request()
        late_after_s = self.policy.late_after_s(make_request(0.0))
        if seconds > late_after_s:
            if self.judge(late_after_s) is Verdict.SEND:
                self.sent += 1
                self.policy.record_sent('r')
                self.policy.record_end('r', is_refunded=False)
                seconds = min(seconds, late_after_s + copy_s)
        self.policy.record_time(make_request(seconds))
        return seconds

    def warm_up(self):
        for _ in range(200):
            self.call(WORK_S)


def make_request(elapsed_s, remaining_s=0.5):
    return extra_copies.Request(
        'desk', 'desk', elapsed_s, remaining_s, OBJECTIVE_S
    )


def make_estimate(**overrides):
    values = {'slots': 6, 'age_s': 0.0, **overrides}
    return finish_times.Estimate('r', **values)


def test_few_measurements_are_no_basis():
    # Guards against a 95th percentile of three calls.
    daemon = Daemon()
    request = make_request(0.0)
    daemon.call(5.0)
    assert daemon.policy.late_after_s(request) == OBJECTIVE_S / 2
    for seconds in (0.03, 0.04, 0.05):
        daemon.call(seconds)
    assert daemon.policy.late_after_s(request) == OBJECTIVE_S / 2
    daemon.call(5.0)
    assert daemon.policy.late_after_s(request) == OBJECTIVE_S / 2
    for _ in range(6):
        daemon.call(0.4)
    assert daemon.policy.late_after_s(request) == pytest.approx(0.6)


def test_call_is_late_if_slower_than_nearly_all():
    # Guards against copies of usual calls.
    daemon = Daemon()
    for number in range(200):
        daemon.call(WORK_S if number % 10 else 0.09)
    assert daemon.judge(0.08) is Verdict.NOT_LATE
    assert daemon.judge(0.09) is Verdict.SEND
    daemon.now_s += extra_copies.MEASUREMENT_VALID_S + 1
    assert daemon.judge(0.09) is Verdict.NOT_LATE


def test_call_is_not_late_where_all_take_as_long():
    # Guards against copies of calls that are about to be answered.
    daemon = Daemon()
    daemon.warm_up()
    assert daemon.judge(1.4 * WORK_S) is Verdict.NOT_LATE
    assert daemon.judge(1.6 * WORK_S) is Verdict.SEND


def test_no_copy_past_the_time_left():
    # Guards against work whose answer nobody waits for.
    daemon = Daemon()
    daemon.warm_up()
    assert daemon.judge(0.1, remaining_s=0.02) is Verdict.NO_TIME


def test_one_long_tail():
    # 3 calls in 100 take 600 ms: the slowest 1 % end sooner, within the limit.
    daemon, generator = Daemon(), random.Random(1)
    daemon.warm_up()
    times_s = sorted(
        daemon.call(0.6 if generator.random() < 0.03 else WORK_S)
        for _ in range(4000)
    )
    assert times_s[int(0.99 * len(times_s))] < 0.1
    assert 80 < daemon.sent < 160


def test_overload_turns_copies_off():
    # Guards against a slow service that is made slower: a queue grows, so that
    # each call takes longer than the one before.
    daemon = Daemon()
    daemon.warm_up()
    for number in range(80):
        slow_s = (3 + number / 10) * WORK_S
        daemon.call(slow_s, copy_s=slow_s)
    assert daemon.sent <= extra_copies.BURST_COPIES
    assert daemon.judge(12 * WORK_S) is Verdict.OVERLOAD


def test_one_slow_replica_of_three_is_no_overload():
    # Guards against copies that are off when they are needed.
    daemon = Daemon(share=0.5)
    daemon.warm_up()
    times_s = [
        daemon.call(WORK_S if number % 3 else 0.6) for number in range(60)
    ]
    assert daemon.sent >= 15
    assert sum(seconds > OBJECTIVE_S for seconds in times_s) <= 2


def test_refusal_of_a_full_replica_turns_copies_off():
    # Guards against copies while replicas refuse first attempts.
    daemon = Daemon()
    daemon.warm_up()
    daemon.policy.record_refusal('desk')
    assert daemon.judge(0.1) is Verdict.OVERLOAD
    daemon.now_s += extra_copies.REFUSAL_PAUSE_S
    assert daemon.judge(0.1) is Verdict.SEND


@pytest.mark.parametrize(('daemons', 'calls'), [(2, 5000), (1000, 5)])
def test_budget_over_a_long_run_and_over_restarts(daemons, calls):
    # Guards against more copies than the share, also of daemons that start
    # anew after a few calls, and against none at all of these.
    sent = 0
    for seed in range(daemons):
        policy = Daemon(seed=seed).policy
        for _ in range(calls):
            policy.record_request()
            if policy.judge(make_request(10.0)) is Verdict.SEND:
                policy.record_sent('r')
                sent += 1
    assert 0.09 < sent / (daemons * calls) < 0.11


def test_unused_budget_gives_a_small_burst_only():
    # Guards against a wave of copies when a long quiet time ends.
    daemon = Daemon()
    daemon.warm_up()
    sent = 0
    while daemon.judge(0.1) is Verdict.SEND:
        daemon.policy.record_sent('r')
        sent += 1
    assert sent == extra_copies.BURST_COPIES


def test_no_copy_where_half_of_the_slots_are_taken():
    # Guards against copies that wait or make others wait.
    policy = Daemon().policy
    assert policy.has_room(make_estimate(running=2))
    assert not policy.has_room(make_estimate(running=3))
    assert not policy.has_room(make_estimate(waiting=3))
    assert not policy.has_room(make_estimate(own_running=3))


def test_copies_take_only_their_share_of_the_slots():
    # Guards against all copies at the one replica that is free.
    policy = Daemon().policy
    policy.record_sent('r')
    assert policy.has_room(make_estimate())
    policy.record_sent('r')
    assert not policy.has_room(make_estimate())
    assert policy.has_room(make_estimate(slots=10))
    policy.record_end('r', is_refunded=False)
    assert policy.has_room(make_estimate())


def test_copy_that_was_not_sent_is_not_charged():
    # Guards against a budget spent on replicas without room.
    daemon = Daemon()
    daemon.warm_up()
    for _ in range(20):
        daemon.policy.record_sent('r')
        daemon.policy.record_end('r', is_refunded=True)
    assert daemon.judge(0.1) is Verdict.SEND
