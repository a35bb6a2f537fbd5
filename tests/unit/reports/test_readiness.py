"""Tests of readiness while the store does not respond."""

import contextlib

import eventlet
import pytest

from lentildeal._internal.reports import readiness
from tests.lib import fake_store
from tests.lib import store_kernel

# The load balancer checks once a second and acts on two failed checks in a
# row. A trainer whose job is refused reaches another domain within two
# seconds of the partition only if the first check after 1.6 s fails.
CHECK_INTERVAL_S = 1.0


@pytest.fixture
def store():
    return fake_store.FakeStore()


@pytest.fixture
def kernel(store):
    with contextlib.closing(store_kernel.StoreKernel(store)) as found:
        found.add_work_log()
        yield found


def test_daemon_cut_off_from_the_store_becomes_not_ready(store, kernel):
    # Guards against callers that are routed for seconds to a domain that
    # can't accept jobs (incident inc-7fb5).
    found = readiness.Readiness(kernel)
    store_kernel.wait_for(lambda: found.is_ready)
    store.is_silent = True
    eventlet.sleep(2 * CHECK_INTERVAL_S)
    assert not found.is_ready


def test_slow_store_leaves_a_daemon_ready(store, kernel):
    # Guards against readiness that flaps with each slow response.
    found = readiness.Readiness(kernel)
    store_kernel.wait_for(lambda: found.is_ready)
    store.read_delay_s = 0.25
    for _ in range(20):
        eventlet.sleep(0.1)
        assert found.is_ready
