"""Fencing terms and the pace of loads."""

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.orders import pacing
from lentildeal._internal.orders import terms


class FakeLog:
    """Counts offsets up; raises the queued errors first."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.records = []

    def append(self, stream, body):
        if self.errors:
            error = self.errors.pop(0)
            if error is not None:
                raise error
        self.records.append(body)
        return len(self.records) - 1


@pytest.fixture(autouse=True)
def short_batches(monkeypatch):
    monkeypatch.setattr(terms, 'BATCH_S', 0.001)


def make_keeper(log):
    return terms.TermKeeper(log, 'a1', 7)


def wait_for(condition):
    with eventlet.Timeout(10.0):
        while not condition():
            eventlet.sleep(0.001)


def test_first_token_is_above_that_of_a_fresh_target():
    """A target that saw no order reports 0; no order may carry that token."""
    assert terms.make_token(0) > 0


def test_later_gain_has_higher_token_and_keeps_earlier_ones():
    """Gaining one replica must not raise the token of another one.

    A paused owner that gains a replica on waking would otherwise order its
    lost replicas with a token above that of their new owner.
    """
    keeper = make_keeper(FakeLog())
    keeper.set_owned(['r1', 'r2'])
    wait_for(lambda: keeper.is_ready('r1'))
    keeper.set_owned(['r1', 'r2', 'r3'])
    wait_for(lambda: keeper.is_ready('r3'))
    tokens = [keeper.token_for(r, 0) for r in ('r1', 'r2', 'r3')]
    assert tokens == [1, 1, 2]


def test_regained_replica_gets_new_token():
    """An owner that lost a replica must not use its old term again."""
    keeper = make_keeper(FakeLog())
    keeper.set_owned(['r1'])
    wait_for(lambda: keeper.is_ready('r1'))
    keeper.set_owned([])
    keeper.set_owned(['r1'])
    assert not keeper.is_ready('r1')
    wait_for(lambda: keeper.is_ready('r1'))
    assert keeper.token_for('r1', 0) == 2


@pytest.mark.parametrize(
    'error',
    [
        exceptions.LogUnavailableError('down'),
        exceptions.LogAnswerLostError('lost'),
    ],
)
def test_reported_token_serves_while_log_is_down(error):
    """A log outage must not stop loads, and its end must give a token."""
    log = FakeLog(error, error)
    keeper = make_keeper(log)
    keeper.set_owned(['r1'])
    wait_for(lambda: keeper.is_ready('r1'))
    assert keeper.token_for('r1', 41) == 41
    wait_for(lambda: log.records)
    wait_for(lambda: keeper.token_for('r1', 41) == 1)


def test_refused_token_is_renewed():
    """An owner that is refused must not repeat the same token for ever."""
    keeper = make_keeper(FakeLog())
    keeper.set_owned(['r1'])
    wait_for(lambda: keeper.is_ready('r1'))
    keeper.renew('r1')
    wait_for(lambda: keeper.token_for('r1', -1) == 2)


@pytest.mark.parametrize('load_s', [0.1, 1.0, 3.0, 6.0, 9.0])
def test_whole_pool_is_loaded_within_limit(load_s):
    """The stagger must leave time for the last replica's load."""
    pool = [f'10.0.0.{number}:80' for number in range(40)]
    window_s = pacing.stagger_window_s(load_s)
    offsets = [pacing.start_offset_s(r, pool, window_s) for r in pool]
    last_s = max(offsets) + load_s + pacing.RESERVE_S
    assert last_s <= pacing.POOL_LIMIT_S
    if load_s <= 3.0:
        at_once = max(
            sum(start <= other < start + load_s for other in offsets)
            for start in offsets
        )
        assert at_once <= len(pool) / 2 + 1


def test_frequent_versions_shorten_the_stagger():
    """Replicas must not lag behind by more versions than a trainer allows."""
    assert pacing.stagger_window_s(1.0, 2.0) == 0.5
    assert not pacing.is_still_useful(1, [0])
    assert pacing.is_still_useful(1, [0, 1])
