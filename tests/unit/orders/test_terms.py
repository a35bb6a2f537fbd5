"""Fencing terms and staggering of loads."""

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.orders import pacing
from lentildeal._internal.orders import terms


class FakeLog:
    """Returns increasing offsets; raises the queued errors first."""

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


def make_manager(log):
    return terms.TermManager(log, 'a1', 7)


def wait_for(condition):
    with eventlet.Timeout(10.0):
        while not condition():
            eventlet.sleep(0.001)


def test_first_token_is_above_that_of_a_fresh_target():
    """Guards against token 0, which a target reports before any order."""
    assert terms.make_token(0) > 0


def test_later_gain_has_higher_token_and_keeps_earlier_ones():
    """Guards against raising the token of replicas owned before.

    A paused owner that gains a replica when it resumes would otherwise send
    orders to its lost replicas with a token above that of their new owner.
    """
    manager = make_manager(FakeLog())
    manager.set_owned(['r1', 'r2'])
    wait_for(lambda: manager.is_ready('r1'))
    manager.set_owned(['r1', 'r2', 'r3'])
    wait_for(lambda: manager.is_ready('r3'))
    tokens = [manager.token_for(r, 0) for r in ('r1', 'r2', 'r3')]
    assert tokens == [1, 1, 2]


def test_regained_replica_gets_new_token():
    """Guards against reusing the term from before a replica was lost."""
    manager = make_manager(FakeLog())
    manager.set_owned(['r1'])
    wait_for(lambda: manager.is_ready('r1'))
    manager.set_owned([])
    manager.set_owned(['r1'])
    assert not manager.is_ready('r1')
    wait_for(lambda: manager.is_ready('r1'))
    assert manager.token_for('r1', 0) == 2


@pytest.mark.parametrize(
    'error',
    [
        exceptions.LogUnavailableError('down'),
        exceptions.LogAnswerLostError('lost'),
    ],
)
def test_reported_token_is_used_while_log_is_down(error):
    """Guards against a log outage that stops loads or blocks new tokens."""
    log = FakeLog(error, error)
    manager = make_manager(log)
    manager.set_owned(['r1'])
    wait_for(lambda: manager.is_ready('r1'))
    assert manager.token_for('r1', 41) == 41
    wait_for(lambda: log.records)
    wait_for(lambda: manager.token_for('r1', 41) == 1)


def test_refused_token_is_renewed():
    """Guards against repeating a refused token forever."""
    manager = make_manager(FakeLog())
    manager.set_owned(['r1'])
    wait_for(lambda: manager.is_ready('r1'))
    manager.renew('r1')
    wait_for(lambda: manager.token_for('r1', -1) == 2)


@pytest.mark.parametrize('load_s', [0.1, 1.0, 3.0, 6.0, 9.0])
def test_whole_pool_is_loaded_within_limit(load_s):
    """Guards against a stagger too long for the last replica's load."""
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
    """Guards against replicas that lag behind the bounds of trainers."""
    assert pacing.stagger_window_s(1.0, 2.0) == 0.5
    assert not pacing.is_within_bounds(1, [0])
    assert pacing.is_within_bounds(1, [0, 1])
