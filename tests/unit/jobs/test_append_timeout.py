"""Timeouts of appends under patterns of store latency."""

from lentildeal._internal.jobs import append_timeout


def test_timeout_doubles_with_each_lost_response():
    # The store loses some or all responses.
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


def test_slow_store_gets_a_long_timeout():
    # Guards against retries that fill the queue of the store: responses take
    # 60 times as long and are queued.
    timeout = append_timeout.AppendTimeout()
    for _ in range(10):
        timeout.record_response(0.24)
    assert timeout.limit_s(0) > 1.5


def test_timeout_of_a_large_append_covers_a_slow_link():
    # Guards against endless retries of a megabyte over a link of 21 Mbit/s.
    timeout = append_timeout.AppendTimeout()
    assert timeout.limit_s(1_000_000) > 1_000_000 / 2_600_000 + 0.4
