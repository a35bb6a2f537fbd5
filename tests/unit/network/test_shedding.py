"""Decisions about whose memory or connection is taken back."""

from lentildeal._internal.network import shedding

NOW_S = 100.0
MB = 1024 * 1024


def make(phase, size_bytes=0, quiet_s=0.0):
    return shedding.Holder(phase, NOW_S - quiet_s, size_bytes)


def choose(holders, requester, size_bytes, needed_bytes):
    return shedding.choose_for_memory(
        [*holders, requester], requester, size_bytes, needed_bytes, NOW_S
    )


def test_many_stalled_bodies_give_way_to_a_small_request():
    """Guards against an ordinary caller who pays for stalled ones."""
    stalled = [make(shedding.Phase.BODY, n * MB, 5.0) for n in (1, 3, 2)]
    active = make(shedding.Phase.BODY, 8 * MB)
    small = make(shedding.Phase.HEAD)
    chosen = choose([*stalled, active], small, 1000, 4 * MB)
    assert chosen == [stalled[1], stalled[2]]


def test_largest_body_gives_way_if_none_is_stalled():
    """Guards against a large body that locks out all small ones."""
    bodies = [make(shedding.Phase.BODY, n * MB) for n in (2, 8, 4)]
    small = make(shedding.Phase.BODY, 1000)
    assert choose(bodies, small, 1000, 1000) == [bodies[1]]


def test_largest_holder_that_asks_for_more_closes_no_smaller_one():
    """Guards against one huge body that closes many ordinary ones."""
    others = [make(shedding.Phase.BODY, 4 * MB) for _ in range(3)]
    large = make(shedding.Phase.BODY, 20 * MB)
    assert choose(others, large, 65536, 65536) == []


def test_nobody_is_closed_in_vain():
    """Guards against closed connections whose memory doesn't suffice."""
    stalled = make(shedding.Phase.BODY, MB, 5.0)
    assert choose([stalled], make(shedding.Phase.HEAD), 9, 2 * MB) == []


def test_request_that_may_have_run_is_not_closed():
    """Guards against calls that are lost when memory is scarce."""
    running = make(shedding.Phase.HANDLER, 30 * MB, 5.0)
    taking = make(shedding.Phase.ANSWER, 30 * MB)
    small = make(shedding.Phase.HEAD)
    assert choose([running, taking], small, 1000, 1000) == []


def test_reader_that_takes_nothing_is_closed():
    """Guards against answers that are held for readers without end."""
    reader = make(shedding.Phase.ANSWER, MB, 5.0)
    assert choose([reader], make(shedding.Phase.HEAD), 9, 1000) == [reader]


def test_longest_idle_connection_is_closed_first():
    """Guards against a new caller who is locked out by idle ones."""
    idle = [make(shedding.Phase.IDLE, quiet_s=s) for s in (2.0, 9.0, 4.0)]
    slow = make(shedding.Phase.HEAD, quiet_s=20.0)
    chosen = shedding.choose_for_connection([slow, *idle], NOW_S)
    assert chosen is idle[1]


def test_slow_senders_are_closed_before_new_connections():
    """Guards against a crowd of slow heads that locks out new callers."""
    new = make(shedding.Phase.HEAD, quiet_s=0.1)
    slow = make(shedding.Phase.BODY, quiet_s=3.0)
    assert shedding.choose_for_connection([new, slow], NOW_S) is slow
    assert shedding.choose_for_connection([new], NOW_S) is new


def test_connections_in_use_are_not_closed_for_new_ones():
    """Guards against calls that are lost when many clients connect."""
    used = [make(shedding.Phase.HANDLER, quiet_s=9.0) for _ in range(3)]
    assert shedding.choose_for_connection(used, NOW_S) is None
