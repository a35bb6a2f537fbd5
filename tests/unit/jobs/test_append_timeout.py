"""Time limits of appends, by patterns of the store's answers."""

from lentildeal._internal.jobs import append_timeout


def test_lost_answers_are_met_soon_and_then_more_patiently():
    # Pattern: the store loses some answers, or all of them.
    timeout = append_timeout.AppendTimeout()
    limits = []
    for _ in range(5):
        limits.append(timeout.limit_s(0))
        timeout.record_timeout()
    assert limits[0] == append_timeout.MIN_TIMEOUT_S
    assert limits == sorted(limits)
    assert limits[-1] == append_timeout.MAX_TIMEOUT_S
    timeout.record_response(0.004)
    assert timeout.limit_s(0) == append_timeout.MIN_TIMEOUT_S


def test_slow_store_is_not_filled_with_repeats():
    # Pattern: answers take 60 times as long and wait for each other.
    timeout = append_timeout.AppendTimeout()
    for _ in range(10):
        timeout.record_response(0.24)
    assert timeout.limit_s(0) > 1.5


def test_large_append_gets_the_time_of_a_small_link():
    # Guards against endless repeats of a megabyte over 21 Mbit/s.
    timeout = append_timeout.AppendTimeout()
    assert timeout.limit_s(1_000_000) > 1_000_000 / 2_600_000 + 0.4
