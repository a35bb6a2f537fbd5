"""Readiness while the store does not answer."""

import types

import eventlet
import pytest

from lentildeal._internal.directory import replicas
from lentildeal._internal.jobs import work_log
from lentildeal._internal.kernel import kernel as kernel_module
from lentildeal._internal.reports import readiness
from tests.lib import fake_store

# Checks come once a second, and the balancer acts on two in a row. A trainer
# whose job is refused comes back within two seconds of the cut at another
# domain only if the first check after 1.6 s fails.
CHECK_S = 1.0


@pytest.fixture
def store():
    return fake_store.FakeStore()


@pytest.fixture
def kernel(store):
    threads = []
    plugins = {
        'directory': types.SimpleNamespace(
            platform=types.SimpleNamespace(store=store),
            replicas=replicas.ReplicaTable(),
            is_loaded=True,
        )
    }
    found = types.SimpleNamespace(
        plugin=plugins.get,
        spawn=lambda _, f, *a: threads.append(eventlet.spawn(f, *a)),
        state=kernel_module.KernelState.SERVING,
        settings=types.SimpleNamespace(
            store=types.SimpleNamespace(
                call_bytes=2_000_000, record_bytes=262_144, status_s=120
            )
        ),
    )
    plugins['work_log'] = work_log.WorkLog(found)
    plugins['work_log'].start()
    yield found
    for thread in threads:
        thread.kill()


def wait_for(condition):
    with eventlet.Timeout(10.0):
        while not condition():
            eventlet.sleep(0.005)


def test_daemon_that_is_cut_off_is_soon_not_ready(store, kernel):
    # Guards against callers that are sent for seconds to a domain that can
    # accept no job (incident inc-7fb5).
    found = readiness.Readiness(kernel)
    wait_for(lambda: found.is_ready)
    store.is_silent = True
    eventlet.sleep(2 * CHECK_S)
    assert not found.is_ready


def test_slow_store_leaves_a_daemon_ready(store, kernel):
    # Guards against readiness that changes with each slow answer.
    found = readiness.Readiness(kernel)
    wait_for(lambda: found.is_ready)
    store.read_delay_s = 0.25
    for _ in range(20):
        eventlet.sleep(0.1)
        assert found.is_ready
