"""Log lines of refusals."""

from lentildeal._internal.accounts import authentication
from lentildeal._internal.accounts import refusals

UNKNOWN = authentication.Cause.UNKNOWN_KEY
MISSING = authentication.Cause.MISSING_KEY


def test_flood_of_wrong_keys_is_reported_once_a_second():
    # Guards against a client that fills the log.
    now = [0.0]
    counter = refusals.RefusalCounter(lambda: now[0])
    assert counter.record(UNKNOWN) == 1
    assert [counter.record(UNKNOWN) for _ in range(500)] == [0] * 500
    assert counter.record(MISSING) == 1
    now[0] += refusals.LINE_INTERVAL_S
    assert counter.record(UNKNOWN) == 501
