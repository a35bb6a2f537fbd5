"""Choice of replicas, health and retry budgets."""

import collections
import random

import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.routing import chooser
from lentildeal._internal.routing import failure_rate
from lentildeal._internal.routing import health
from lentildeal._internal.routing import refusals
from lentildeal._internal.routing import retries
from lentildeal._internal.utils import clock

REPLICAS = [f'127.0.0.1:{number}' for number in range(1, 7)]
SEED = 7


class Clock:
    """Time set by the test, in seconds."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def now():
    return Clock()


@pytest.fixture
def tracker(now):
    return health.HealthTracker(now)


def make_chooser(loads):
    generator = random.Random(SEED)
    return chooser.ReplicaChooser('a', loads, generator=generator)


def spread(count=2):
    """Replicas over the domains "a", "b" and "c", in turn."""
    return [
        chooser.Replica('abc'[index // count], address)
        for index, address in enumerate(REPLICAS)
    ]


def fail(tracker, address, count=3):
    for _ in range(count):
        tracker.record_failure(address, REPLICAS)


def test_failing_replica_is_ejected_and_returns_on_probation(now, tracker):
    """Guards against a crashed replica that still gets its share of calls."""
    fail(tracker, REPLICAS[0])
    assert REPLICAS[0] not in tracker.select_usable(REPLICAS)
    now.now_s += 10.0
    assert tracker.state_of(REPLICAS[0]) is health.HealthState.PROBATION
    tracker.record_start(REPLICAS[0])
    assert REPLICAS[0] not in tracker.select_usable(REPLICAS)
    tracker.record_end(REPLICAS[0])
    fail(tracker, REPLICAS[0], 1)
    assert tracker.state_of(REPLICAS[0]) is health.HealthState.EJECTED
    now.now_s += 100.0
    for _ in range(3):
        assert tracker.state_of(REPLICAS[0]) is health.HealthState.PROBATION
        tracker.record_success(REPLICAS[0], 0.1, REPLICAS)
    assert tracker.state_of(REPLICAS[0]) is health.HealthState.HEALTHY


def test_replica_that_fails_half_of_its_calls_is_ejected(tracker):
    """Guards against alternating failures that are never counted."""
    for _ in range(10):
        tracker.record_success(REPLICAS[0], 0.1, REPLICAS)
        tracker.record_failure(REPLICAS[0], REPLICAS)
    assert tracker.state_of(REPLICAS[0]) is health.HealthState.EJECTED


def test_slow_replica_is_ejected(tracker):
    """Guards against using a replica five times slower than the median."""
    for _ in range(20):
        for address in REPLICAS:
            is_slow = address == REPLICAS[3]
            tracker.record_success(address, 0.5 if is_slow else 0.1, REPLICAS)
    states = [tracker.state_of(a) for a in REPLICAS]
    assert states.count(health.HealthState.EJECTED) == 1
    assert states[3] is health.HealthState.EJECTED


def test_at_most_a_third_is_ejected(tracker):
    """Guards against a local network fault that ejects the whole target."""
    for address in REPLICAS:
        fail(tracker, address, 5)
    states = [tracker.state_of(a) for a in REPLICAS]
    assert states.count(health.HealthState.EJECTED) == 2


def test_failing_replica_is_avoided_when_no_more_may_be_ejected(now, tracker):
    """Guards against full load on a crashed replica.

    It can't be ejected because another one was ejected first.
    """
    loads = chooser.LoadTracker(now)
    for address in REPLICAS[:3]:
        fail(tracker, address)
    choose = chooser.ReplicaChooser('a', loads, tracker.penalty).choose
    usable = tracker.select_usable(REPLICAS[:4])
    assert usable == REPLICAS[2:4]
    replicas = [chooser.Replica('a', address) for address in usable]
    chosen = {choose(replicas, 8).address for _ in range(20)}
    assert chosen == {REPLICAS[3]}
    now.now_s += 10 * failure_rate.DECAY_S
    assert tracker.penalty(REPLICAS[2]) < 0.01


def test_short_deadline_of_a_caller_is_no_failure(tracker):
    """Guards against a club whose short deadlines eject replicas."""
    for address in REPLICAS:
        tracker.record_success(address, 0.1, REPLICAS)
    assert not tracker.is_overdue(REPLICAS[0], 0.2, REPLICAS)
    assert tracker.is_overdue(REPLICAS[0], 0.5, REPLICAS)


def test_own_domain_is_left_only_if_clearly_busier(now):
    """Guards against needless calls across domains, and against none."""
    loads = chooser.LoadTracker(now)
    chosen = make_chooser(loads).choose(spread(), 8)
    assert chosen.domain == 'a'
    for address in REPLICAS[:2]:
        loads.record_report(address, chooser.ReplicaLoad(8, 4, 8))
    domains = {make_chooser(loads).choose(spread(), 8).domain}
    assert 'a' not in domains


def test_stale_report_does_not_attract_all_requests(now):
    """Guards against all requests at the replica idle one second ago."""
    loads = chooser.LoadTracker(now)
    replicas = [chooser.Replica('a', address) for address in REPLICAS]
    for address in REPLICAS:
        is_idle = address == REPLICAS[0]
        load = chooser.ReplicaLoad(0 if is_idle else 8, 0, 8)
        loads.record_report(address, load)
    now.now_s += 1.0
    counts = collections.Counter()
    choose = make_chooser(loads).choose
    for _ in range(48):
        chosen = choose(replicas, 8).address
        loads.record_start(chosen)
        counts[chosen] += 1
    assert counts[REPLICAS[0]] <= 2 * 48 / len(REPLICAS)


def test_prefix_stays_at_its_replica_within_the_load_bound(now):
    """Guards against prefix cache misses and one overloaded replica."""
    loads = chooser.LoadTracker(now)
    replicas = [chooser.Replica('a', address) for address in REPLICAS]
    choose = make_chooser(loads).choose
    first = choose(replicas, 8, 'prompt').address
    assert {choose(replicas, 8, 'prompt').address for _ in range(20)} == {
        first
    }
    for _ in range(8):
        loads.record_start(first)
    assert choose(replicas, 8, 'prompt').address != first


def test_retries_are_at_most_a_tenth_of_requests(now):
    """Guards against retries that multiply the load of a failing target."""
    budget = retries.RetryBudget(now)
    spent = 0
    for _ in range(1000):
        budget.record_request()
        spent += budget.try_spend()
        now.now_s += 0.001
    assert 95 <= spent <= 100


def test_refusal_is_cached_briefly_and_for_its_club_only(now):
    """Guards against refusals from the cache after the queue is free."""
    cache = refusals.RefusalCache(now)
    error = exceptions.NotRunError('full', cause='deadline', retry_after_s=0.4)
    cache.record((REPLICAS[0], 'a'), 0.5, error)
    with pytest.raises(exceptions.NotRunError):
        cache.check((REPLICAS[0], 'a'), 0.5)
    cache.check((REPLICAS[0], 'a'), 0.6)
    cache.check((REPLICAS[0], 'b'), 0.5)
    now.now_s += 0.05
    cache.check((REPLICAS[0], 'a'), 0.5)


@pytest.mark.parametrize(
    (
        'is_idempotent',
        'were_bytes_sent',
        'was_delivered',
        'seconds',
        'expected',
    ),
    [
        (True, True, False, 1.0, True),
        (False, True, False, 1.0, False),
        (False, False, False, 1.0, True),
        (True, True, True, 1.0, False),
        (True, True, False, 0.0, False),
    ],
)
def test_only_safe_attempts_are_retried(
    is_idempotent, were_bytes_sent, was_delivered, seconds, expected
):
    """Guards against retrying non-idempotent calls or partial responses."""
    result = retries.may_retry(
        is_idempotent=is_idempotent,
        were_bytes_sent=were_bytes_sent,
        was_delivered=was_delivered,
        deadline=clock.Deadline(seconds),
    )
    assert result is expected
