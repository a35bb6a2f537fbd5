"""Order of waiting calls of one service."""

import collections

from lentildeal._internal.routing import fair_shares


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def make_shares(now):
    return fair_shares.FairShares(now, lambda: 0.0)


def add_calls(shares, count, account, priority=0, first=0):
    for number in range(first, first + count):
        call = fair_shares.Call(number, account, priority, 1.0)
        shares.record_offered(call)
        shares.add(call)


def serve(shares, count):
    """Serves calls in their order; returns the calls by account and rank."""
    served = collections.Counter()
    for _ in range(count):
        call, _ = shares.pick()
        shares.remove(call)
        shares.record_served(call)
        served[call.account, call.priority] += 1
    return served


def test_accounts_take_turns_however_many_calls_wait():
    now = Clock()
    shares = make_shares(now)
    add_calls(shares, 100, 'flood')
    add_calls(shares, 10, 'a', first=100)
    # A call of a public route has no account and counts as one of its own.
    add_calls(shares, 10, None, first=200)
    served = serve(shares, 30)
    assert served['a', 0] >= 9 and served[None, 0] >= 9


def test_use_before_the_wait_counts_and_decays():
    # Guards against an account that floods until calls have to wait, and then
    # is served as if it had not, and against one that is held to it for long.
    now = Clock()
    shares = make_shares(now)
    for number in range(30):
        call = fair_shares.Call(-number, 'flood', 0, 1.0)
        shares.record_offered(call)
        shares.record_served(call)
    add_calls(shares, 40, 'flood')
    add_calls(shares, 40, 'a', first=100)
    # The floor allows a few calls.
    assert serve(shares, 20)['flood', 0] <= fair_shares.MAX_CREDIT
    now.now_s += 20 * fair_shares.USE_HALF_LIFE_S
    assert serve(shares, 20)['flood', 0] >= 8


def test_urgent_calls_go_first_but_for_the_floor():
    now = Clock()
    shares = make_shares(now)
    served = collections.Counter()
    for number in range(200):
        add_calls(shares, 1, 'a', priority=1, first=2 * number)
        add_calls(shares, 1, 'a', priority=0, first=2 * number + 1)
        served += serve(shares, 1)
    # Half of all calls are served; the floor is a part of that.
    floor = fair_shares.FLOOR * 0.5 * 200
    assert 0.7 * floor <= served['a', 1] <= 1.2 * floor


def test_floor_of_a_rank_is_a_part_of_its_own_calls():
    # Guards against a floor that serves few less urgent calls before many
    # urgent ones.
    now = Clock()
    shares = make_shares(now)
    add_calls(shares, 2, 'a', priority=1)
    add_calls(shares, 100, 'a', priority=0, first=100)
    assert serve(shares, 80)['a', 1] <= 1


def test_removed_call_leaves_no_trace_in_the_order():
    now = Clock()
    shares = make_shares(now)
    call = fair_shares.Call(1, 'a', 0, 1.0)
    shares.add(call)
    shares.remove(call)
    shares.remove(call)
    assert shares.pick() is None and len(shares) == 0


def test_records_of_accounts_are_bounded():
    # Guards against memory that grows with the names that calls had.
    now = Clock()
    shares = make_shares(now)
    for number in range(3 * fair_shares.MAX_RECORDS):
        call = fair_shares.Call(number, f'a{number}', 0, 1.0)
        shares.record_offered(call)
        shares.record_served(call)
        now.now_s += 1.0
    assert len(shares._ends) <= fair_shares.MAX_RECORDS + 1
    assert len(shares._arrivals) <= fair_shares.MAX_RECORDS + 1
    assert len(shares._account_floor._credits) <= fair_shares.MAX_RECORDS + 1
