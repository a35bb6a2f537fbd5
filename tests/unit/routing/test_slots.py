"""Queue of one replica and fair order."""

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


def ask(queue, club='a', remaining_s=1000.0):
    return queue.enqueue_live(club, clock.Deadline(remaining_s))


def is_granted(ticket):
    return ticket.state is slots.TicketState.GRANTED


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
    """A queue that exceeds its limit, or idles while live calls wait."""
    queue = make_queue(limit)
    tickets = []
    for action, club, place in steps:
        if action == 'live':
            tickets.append(ask(queue, club))
        elif action == 'rollout':
            tickets.append(queue.enqueue_rollout())
        elif tickets:
            ticket = tickets.pop(place % len(tickets))
            is_success = action == 'end'
            queue.release(
                ticket, is_success=is_success, seconds=0.01, cost=1.0
            )
        running = sum(is_granted(ticket) for ticket in tickets)
        assert running == queue.in_flight
        assert queue.in_flight <= limit
        if queue.waiting:
            assert queue.in_flight >= queue.limit
    for ticket in list(tickets):
        queue.release(ticket)
    assert (queue.in_flight, queue.waiting) == (0, 0)


@fixed
@hypothesis.given(
    costs=strategies.fixed_dictionaries(
        {club: strategies.floats(1.0, 100.0) for club in WEIGHTS}
    )
)
def test_backlogged_clubs_get_their_shares(costs):
    """Shares that drift from the weights when requests differ in cost."""
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
    """A club that was idle for long starves the others on its return."""
    shares = fairness.FairShare(lambda club: 1.0)
    for _ in range(1000):
        shares.charge(shares.pick(['a']), 1.0)
    picked = []
    for _ in range(20):
        picked.append(shares.pick(['a', 'b']))
        shares.charge(picked[-1], 1.0)
    assert 9 <= picked.count('b') <= 11


def test_rollouts_keep_minimum_share_under_live_backlog():
    """Live calls that push rollouts out, or rollouts above their share."""
    queue = make_queue(10)
    running = [ask(queue) for _ in range(40)]
    for _ in range(10):
        queue.enqueue_rollout()
    for ticket in running[:10]:
        queue.release(ticket, seconds=0.01, cost=1.0)
    assert queue.in_flight_of(ROLLOUT) == 2
    assert queue.in_flight_of(LIVE) == 8


def test_rollout_gets_turn_at_replica_with_one_slot():
    """A replica with one slot that never runs a rollout under load."""
    queue = make_queue(1)
    lives = [ask(queue) for _ in range(20)]
    rollout = queue.enqueue_rollout()
    ended = 0
    while not is_granted(rollout) and ended < 20:
        queue.release(lives[ended], seconds=0.01, cost=1.0)
        ended += 1
    assert ended <= 5


def test_headroom_is_kept_for_live_calls_and_given_back():
    """Rollouts that fill a replica on which live calls arrive."""
    now = Clock()
    queue = make_queue(8, now=now)
    for _ in range(50):
        now.now_s += 0.1
        queue.release(ask(queue), seconds=0.2, cost=1.0)
    for _ in range(20):
        queue.enqueue_rollout()
    # The mean load plus three times its square root is above 3.
    assert 1 <= queue.in_flight_of(ROLLOUT) <= 5
    assert is_granted(ask(queue))
    now.now_s += 1000.0
    queue.refresh()
    assert queue.in_flight == 8


def test_paused_rollouts_wait_and_live_calls_do_not():
    """A swap that starts rollouts or that stops live calls."""
    queue = make_queue(4)
    queue.set_paused(True)
    rollout = queue.enqueue_rollout()
    assert not is_granted(rollout)
    assert is_granted(ask(queue))
    queue.set_paused(False)
    assert is_granted(rollout)


def test_hopeless_call_is_refused_at_once():
    """A call that waits for a slot it can't use before its deadline."""
    queue = make_queue(1)
    for _ in range(20):
        queue.release(ask(queue), seconds=1.0, cost=1.0)
    ask(queue)
    for _ in range(5):
        ask(queue)
    with pytest.raises(exceptions.NotRunError) as info:
        ask(queue, remaining_s=3.0)
    assert info.value.cause == outcomes.Cause.DEADLINE.value


def test_outdated_estimate_does_not_refuse_for_ever():
    """A slow phase after which every call is refused unmeasured."""
    queue = make_queue(2)
    queue.release(ask(queue), seconds=100.0, cost=1.0)
    assert is_granted(ask(queue, remaining_s=1.0))


def test_flooding_club_does_not_fill_the_queue_for_others():
    """A club whose flood makes the queue refuse another club."""
    queue = make_queue(1, length=10)
    flood = [ask(queue, 'a') for _ in range(11)]
    with pytest.raises(exceptions.NotRunError):
        ask(queue, 'a')
    other = ask(queue, 'b')
    assert flood[-1].state is slots.TicketState.ENDED
    queue.release(flood[0], seconds=0.01, cost=1.0)
    assert is_granted(other)


def test_cause_of_a_wait_names_who_is_ahead():
    """A club that is blamed for the wait that another one causes."""
    queue = make_queue(1)
    queue.set_paused(True)
    swapping = queue.enqueue_rollout()
    assert swapping.wait_cause is outcomes.Cause.TARGET_SWAPPING
    assert ask(queue, 'a').wait_cause is None
    waits = [ask(queue, 'a').wait_cause for _ in range(3)]
    assert set(waits) == {outcomes.Cause.TARGET_FULL}
    assert ask(queue, 'b').wait_cause is outcomes.Cause.CLUB_SHARE


def test_adaptive_limit_falls_when_slow_and_recovers():
    """A limit that exceeds the configured one or never comes back."""
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
