"""Turns of live requests at limited replicas, with a fake store."""

import contextlib
import time

import eventlet
import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.jobs import records
from lentildeal._internal.models import ids
from lentildeal._internal.routing import replica_limits
from tests.lib import fake_store
from tests.lib import store_kernel

REPLICA = ids.ReplicaId('r1')
LIMIT = 4.0
# A second's worth of requests and one more may be sent at once.
MAX_AT_ONCE = 5


@pytest.fixture
def store():
    return fake_store.FakeStore()


@pytest.fixture
def make_daemon(store):
    with contextlib.ExitStack() as stack:

        def make(incarnation):
            kernel = store_kernel.StoreKernel(store)
            kernel.incarnation = incarnation
            stack.enter_context(contextlib.closing(kernel))
            log = kernel.add_work_log()
            limits = kernel.plugins['replica_limits']
            limits.start()
            store_kernel.wait_for(lambda: log.is_caught_up)
            return limits

        yield make


def name_limit(daemon, limit=LIMIT):
    daemon.record_answer(
        REPLICA,
        platform_base.ResponseInfo('1', False, None, None, rate_limit=limit),
    )


def test_calls_that_wait_for_their_turn_are_counted(make_daemon):
    """Guards against a call that waits and is sent without its turn.

    It came when the limit had no room, but would have within its wait.
    """
    daemons = [make_daemon(number) for number in (1, 2, 3)]
    name_limit(daemons[0])
    store_kernel.wait_for(
        lambda: all(daemon.is_limited(REPLICA) for daemon in daemons)
    )
    sent = []

    def send_calls(daemon):
        for _ in range(50):
            if daemon.acquire(REPLICA, 0.2):
                sent.append(1)
            eventlet.sleep(0.05)

    started_s = time.monotonic()
    for thread in [eventlet.spawn(send_calls, d) for d in daemons]:
        thread.wait()
    elapsed_s = time.monotonic() - started_s
    assert 0.5 * LIMIT * elapsed_s <= len(sent) <= LIMIT * elapsed_s + 1


def test_concurrent_calls_of_one_daemon_share_the_limit(make_daemon):
    """Guards against calls that all find room before one of them is sent."""
    daemon = make_daemon(1)
    name_limit(daemon)
    eventlet.sleep(1.5)
    threads = [
        eventlet.spawn(daemon.acquire, REPLICA, 0.05) for _ in range(20)
    ]
    assert sum(thread.wait() for thread in threads) <= MAX_AT_ONCE


@pytest.mark.parametrize('refresh_s, retention_s', [(0.3, 300.0), (60.0, 1.2)])
def test_limit_in_force_outlives_the_retention_of_the_log(
    make_daemon, store, monkeypatch, refresh_s, retention_s
):
    """Guards against a new daemon that is not told of a limit named long ago.

    The store keeps records for some minutes only, or for less than the usual
    interval at which a limit is appended again.
    """
    monkeypatch.setattr(replica_limits, 'REFRESH_S', refresh_s)
    monkeypatch.setattr(store_kernel, 'RETENTION_S', retention_s)
    daemon = make_daemon(1)
    for _ in range(10):
        name_limit(daemon)
        eventlet.sleep(0.1)
    stream = records.WORK_STREAM
    named = len(store.streams[stream])
    assert 2 <= named <= 5
    store.trim(stream, named - 1)
    assert make_daemon(2).is_limited(REPLICA)


def test_limit_is_shared_once(make_daemon, store):
    """Guards against records of each answer of a limited replica."""
    daemons = [make_daemon(number) for number in (1, 2)]
    for _ in range(5):
        for daemon in daemons:
            name_limit(daemon)
        eventlet.sleep(0.2)
    # Both may be told before either has read the record of the other.
    assert 1 <= len(store.streams[records.WORK_STREAM]) <= 2
    name_limit(daemons[0], None)
    store_kernel.wait_for(lambda: not daemons[1].is_limited(REPLICA))


def test_daemon_cut_off_from_the_store_takes_a_share(make_daemon, store):
    """Guards against a daemon that stops, or goes on, without the store."""
    daemons = [make_daemon(number) for number in (1, 2)]
    name_limit(daemons[0])
    store_kernel.wait_for(lambda: daemons[1].is_limited(REPLICA))
    for daemon in daemons:
        store_kernel.wait_for(lambda d=daemon: d.acquire(REPLICA, 0.1))
    eventlet.sleep(0.5)
    store.is_silent = True
    eventlet.sleep(2.0)
    sent, until_s = 0, time.monotonic() + 3.0
    while time.monotonic() < until_s:
        sent += daemons[0].acquire(REPLICA, 0.05)
        eventlet.sleep(0.02)
    assert 3 <= sent <= 0.5 * LIMIT * 3.0 + 1
