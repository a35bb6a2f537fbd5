"""Slot queue of one replica and fair queueing."""

import hypothesis
from hypothesis import strategies
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.models import outcomes
from lentildeal._internal.routing import fairness
from lentildeal._internal.routing import limits
from lentildeal._internal.routing import slots
from lentildeal._internal.utils import clock

WEIGHTS = {'a': 1.0, 'b': 2.0, 'c': 5.0}
LIVE = outcomes.WorkClass.LIVE
ROLLOUT = outcomes.WorkClass.ROLLOUT
fixed = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None, database=None
)


class Clock:
    """Time set by the test, in seconds."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def make_queue(limit=4, length=1000, now=None):
    now = now or Clock()
    return slots.SlotQueue(
        limits.AdaptiveLimit(limit, now), WEIGHTS.get, length, now
    )


def enqueue(queue, club='a', remaining_s=1000.0):
    return queue.enqueue_live(club, clock.Deadline(remaining_s))


def is_granted(request):
    return request.state is slots.RequestState.GRANTED


@fixed
@hypothesis.given(
    limit=strategies.integers(1, 6),
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['live', 'rollout', 'end', 'fail']),
            strategies.sampled_from('abc'),
            strategies.integers(0, 50),
        ),
        max_size=120,
    ),
)
def test_limit_is_kept_and_no_slot_idles(limit, steps):
    """Guards against exceeding the limit or idling while live calls wait."""
    queue = make_queue(limit)
    requests = []
    for action, club, place in steps:
        if action == 'live':
            requests.append(enqueue(queue, club))
        elif action == 'rollout':
            requests.append(queue.enqueue_rollout())
        elif requests:
            request = requests.pop(place % len(requests))
            is_success = action == 'end'
            queue.release(
                request, is_success=is_success, seconds=0.01, cost=1.0
            )
        running = sum(is_granted(request) for request in requests)
        assert running == queue.in_flight
        assert queue.in_flight <= limit
        if queue.waiting:
            assert queue.in_flight >= queue.limit
    for request in list(requests):
        queue.release(request)
    assert (queue.in_flight, queue.waiting) == (0, 0)


@fixed
@hypothesis.given(
    costs=strategies.fixed_dictionaries(
        {club: strategies.floats(1.0, 100.0) for club in WEIGHTS}
    )
)
def test_backlogged_clubs_get_their_shares(costs):
    """Guards against shares off the weights when request costs differ."""
    shares = fairness.FairShare(WEIGHTS.get)
    served = dict.fromkeys(WEIGHTS, 0.0)
    for _ in range(20_000):
        club = shares.pick(WEIGHTS)
        shares.charge(club, costs[club])
        served[club] += costs[club]
    total = sum(served.values())
    for club, weight in WEIGHTS.items():
        expected = weight / sum(WEIGHTS.values())
        assert served[club] / total == pytest.approx(expected, rel=0.05)


def test_idle_club_saves_no_credit():
    """Guards against a club that starves others after a long idle time."""
    shares = fairness.FairShare(lambda club: 1.0)
    for _ in range(1000):
        shares.charge(shares.pick(['a']), 1.0)
    picked = []
    for _ in range(20):
        picked.append(shares.pick(['a', 'b']))
        shares.charge(picked[-1], 1.0)
    assert 9 <= picked.count('b') <= 11


def test_rollouts_keep_minimum_share_under_live_backlog():
    """Guards against starved rollouts and rollouts above their share."""
    queue = make_queue(10)
    running = [enqueue(queue) for _ in range(40)]
    for _ in range(10):
        queue.enqueue_rollout()
    for request in running[:10]:
        queue.release(request, seconds=0.01, cost=1.0)
    assert queue.in_flight_of(ROLLOUT) == 2
    assert queue.in_flight_of(LIVE) == 8


def test_rollout_gets_turn_at_replica_with_one_slot():
    """Guards against starved rollouts at a replica with one slot."""
    queue = make_queue(1)
    live_calls = [enqueue(queue) for _ in range(20)]
    rollout = queue.enqueue_rollout()
    ended = 0
    while not is_granted(rollout) and ended < 20:
        queue.release(live_calls[ended], seconds=0.01, cost=1.0)
        ended += 1
    assert ended <= 5


def test_headroom_is_kept_for_live_calls_and_released():
    """Guards against rollouts in all slots while live calls arrive."""
    now = Clock()
    queue = make_queue(8, now=now)
    for _ in range(50):
        now.now_s += 0.1
        queue.release(enqueue(queue), seconds=0.2, cost=1.0)
    for _ in range(20):
        queue.enqueue_rollout()
    # The mean load plus three times its square root is above 3.
    assert 1 <= queue.in_flight_of(ROLLOUT) <= 5
    assert is_granted(enqueue(queue))
    now.now_s += 1000.0
    queue.refresh()
    assert queue.in_flight == 8


def test_paused_rollouts_wait_and_live_calls_do_not():
    """Guards against a swap that starts rollouts or stops live calls."""
    queue = make_queue(4)
    queue.set_paused(True)
    rollout = queue.enqueue_rollout()
    assert not is_granted(rollout)
    assert is_granted(enqueue(queue))
    queue.set_paused(False)
    assert is_granted(rollout)


def test_call_that_would_miss_its_deadline_is_refused_at_once():
    """Guards against waiting for a slot that is free too late."""
    queue = make_queue(1)
    for _ in range(20):
        queue.release(enqueue(queue), seconds=1.0, cost=1.0)
    enqueue(queue)
    for _ in range(5):
        enqueue(queue)
    with pytest.raises(exceptions.NotRunError) as info:
        enqueue(queue, remaining_s=3.0)
    assert info.value.cause == outcomes.Cause.DEADLINE.value


def test_stale_estimate_does_not_refuse_for_ever():
    """Guards against refusing all calls after a slow period.

    Without calls, the estimate would never be corrected.
    """
    queue = make_queue(2)
    queue.release(enqueue(queue), seconds=100.0, cost=1.0)
    assert is_granted(enqueue(queue, remaining_s=1.0))


def test_flooding_club_does_not_fill_the_queue_for_others():
    """Guards against one club that fills the queue for the others."""
    queue = make_queue(1, length=10)
    flood = [enqueue(queue, 'a') for _ in range(11)]
    with pytest.raises(exceptions.NotRunError):
        enqueue(queue, 'a')
    other = enqueue(queue, 'b')
    assert flood[-1].state is slots.RequestState.ENDED
    queue.release(flood[0], seconds=0.01, cost=1.0)
    assert is_granted(other)


def test_wait_cause_tells_who_is_ahead():
    """Guards against a wait cause that names the wrong club."""
    queue = make_queue(1)
    queue.set_paused(True)
    swapping = queue.enqueue_rollout()
    assert swapping.wait_cause is outcomes.Cause.TARGET_SWAPPING
    assert enqueue(queue, 'a').wait_cause is None
    waits = [enqueue(queue, 'a').wait_cause for _ in range(3)]
    assert set(waits) == {outcomes.Cause.TARGET_FULL}
    assert enqueue(queue, 'b').wait_cause is outcomes.Cause.CLUB_SHARE


def test_adaptive_limit_falls_when_slow_and_recovers():
    """Guards against a limit that stays low or exceeds its maximum."""
    limit = limits.AdaptiveLimit(8)
    for _ in range(100):
        limit.record_success(0.1, 8)
    assert limit.limit == 8
    for _ in range(30):
        limit.record_success(1.0, 8)
    assert limit.limit < 8
    for _ in range(300):
        limit.record_success(0.1, 8)
    assert limit.limit == 8
