"""Submissions of jobs while the store is silent."""

import math
import time
import types

import eventlet
import pytest

from lentildeal._internal.directory import replicas
from lentildeal._internal import exceptions
from lentildeal._internal.jobs import plugin
from lentildeal._internal.jobs import work_log
from lentildeal._internal.models import jobs
from tests.lib import fake_store
from tests.lib import job_builders

# A refusal is due within the sum of the time limit of a submission and the
# check of its last append.
REFUSAL_S = 2.0


class Kernel:
    """Kernel with a directory and a work log on a fake store."""

    def __init__(self, store):
        self.settings = types.SimpleNamespace(
            instance='a',
            store=types.SimpleNamespace(
                call_bytes=2_000_000, record_bytes=262_144, status_s=1e9
            ),
        )
        self.plugins = {
            'directory': types.SimpleNamespace(
                platform=types.SimpleNamespace(store=store),
                replicas=replicas.ReplicaTable(),
                text=job_builders.make_published_text(),
            ),
            'duties': types.SimpleNamespace(),
        }
        self.threads = []

    def plugin(self, name):
        return self.plugins[name]

    def spawn(self, name, function, *arguments):
        self.threads.append(eventlet.spawn(function, *arguments))


@pytest.fixture
def store():
    return fake_store.FakeStore()


@pytest.fixture
def kernel(store):
    result = Kernel(store)
    result.plugins['work_log'] = work_log.WorkLog(result)
    result.plugins['work_log'].start()
    wait_for(lambda: result.plugins['work_log'].is_caught_up)
    yield result
    for thread in result.threads:
        thread.kill()


def wait_for(condition):
    with eventlet.Timeout(10.0):
        while not condition():
            eventlet.sleep(0.005)


def submit(kernel, job_id='job'):
    items = (job_builders.make_item('i0'),)
    plugin.Jobs(kernel).submit(
        jobs.Job(job_builders.make_head(job_id, 1), items)
    )


def refuse(kernel):
    started_s = time.monotonic()
    with pytest.raises(exceptions.NotRunError) as refusal:
        submit(kernel)
    return time.monotonic() - started_s, refusal.value.retry_after_s


def test_submission_is_refused_soon_when_the_store_goes_silent(store, kernel):
    # Guards against a trainer that waits for the time limit of an append
    # before it learns that its job was not accepted.
    store.is_silent = True
    elapsed_s, retry_after_s = refuse(kernel)
    assert elapsed_s < REFUSAL_S
    assert retry_after_s <= plugin.RETRY_MAX_S


def test_submission_is_refused_at_once_in_a_known_outage(store, kernel):
    # Guards against holding a job whose refusal is already certain, and
    # against a repeat that falls into the same outage.
    store.is_silent = True
    wait_for(lambda: not kernel.plugin('work_log').is_answering)
    elapsed_s, retry_after_s = refuse(kernel)
    assert elapsed_s < 0.1
    assert retry_after_s >= work_log.GAP_S


def test_submission_is_accepted_soon_after_a_silent_outage(store, kernel):
    # Guards against a follower that waits for records on a dead connection
    # and refuses jobs long after the store has come back.
    log = kernel.plugin('work_log')
    store.is_silent = True
    wait_for(lambda: log.silence_s > work_log.WAIT_S + 2.0)
    store.is_silent = False
    started_s = time.monotonic()
    wait_for(lambda: log.is_answering)
    elapsed_s = time.monotonic() - started_s
    submit(kernel)
    assert elapsed_s < fake_store.READ_TIMEOUT_S + work_log.LONGEST_RETRY_S


def test_daemon_that_has_not_read_the_log_refuses_jobs(store):
    # Guards against an endless Retry-After before the first answer.
    result = Kernel(store)
    result.plugins['work_log'] = work_log.WorkLog(result)
    elapsed_s, retry_after_s = refuse(result)
    assert elapsed_s < 0.1
    assert math.isfinite(retry_after_s)
