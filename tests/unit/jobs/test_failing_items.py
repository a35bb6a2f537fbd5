"""Unexpected errors of single items, records and services beside others."""

import contextlib

import eventlet
import pytest

from lentildeal._internal.jobs import recording
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import runner as runner_module
from lentildeal._internal.jobs import scheduling
from lentildeal._internal.jobs import tasks
from lentildeal._internal.models import deployment
from lentildeal._internal.models import jobs
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import job_engines
from tests.lib import store_kernel

BAD = 'bad'
GOOD = ('i0', 'i1', 'i2')
MAX_FAILING_S = 0.3


@pytest.fixture
def engines(monkeypatch):
    return job_engines.install(monkeypatch)


@pytest.fixture
def kernel(engines, monkeypatch):
    monkeypatch.setattr(
        runner_module.clock, 'unix_s', lambda: job_builders.NOW_S
    )
    monkeypatch.setattr(
        runner_module, 'MAX_FAILING_S', MAX_FAILING_S, raising=False
    )
    store = fake_store.FakeStore()
    with contextlib.closing(store_kernel.StoreKernel(store)) as found:
        found.plugins['directory'].replicas.apply(
            deployment.ReplicaChange('r1', job_builders.make_replica('r1'))
        )
        found.add_work_log()
        found.runner = runner_module.JobRunner(found)
        found.spawn('runner', found.runner.run)
        yield found


@pytest.fixture
def log(kernel):
    return kernel.plugins['work_log']


def submit(log, job_id, item_ids):
    store_kernel.submit(log, job_id, item_ids)
    log.sync()
    return log.table.get(job_id)


def fail_for_bad(function):
    """Makes a method of a task, or with a task, fail for one item."""

    def wrapped(*arguments):
        (task,) = (a for a in arguments if isinstance(a, tasks.ItemTask))
        if task.item.item_id == BAD:
            raise LookupError('unexpected')
        return function(*arguments)

    return wrapped


@pytest.mark.parametrize(
    ('cls', 'name'),
    [
        (tasks.ItemTask, 'make_requirements'),
        (runner_module.JobRunner, '_find_route'),
        (tasks.ItemTask, 'record_start'),
    ],
)
def test_item_that_fails_costs_itself_alone(
    kernel, log, engines, monkeypatch, cls, name
):
    # Guards against one item whose error ends the round of all items of all
    # jobs, at each round. It comes first, so the others follow it.
    monkeypatch.setattr(cls, name, fail_for_bad(getattr(cls, name)))
    entry = submit(log, 'job', (BAD, *GOOD))
    store_kernel.wait_for(lambda: set(GOOD) <= set(engines.runs))
    store_kernel.wait_for(lambda: entry.results)
    (listed,) = entry.results
    assert entry.item_ids[listed.index] == BAD
    assert listed.state is jobs.ResultState.GIVEN_UP


def test_text_that_fails_to_be_listed_is_not_silent(
    kernel, log, engines, monkeypatch
):
    # Guards against an item that is marked as done and has no result.
    original = recording.ItemRecorder.list_result
    failures = [0, 0]

    def fail_twice(self, task, state, *rest):
        if failures and state is jobs.ResultState.DONE:
            failures.pop()
            raise LookupError('unexpected')
        return original(self, task, state, *rest)

    monkeypatch.setattr(recording.ItemRecorder, 'list_result', fail_twice)
    entry = submit(log, 'job', ('i0',))
    while failures:
        store_kernel.wait_for(lambda: 'i0' in engines.runs)
        attempt = engines.runs.pop('i0')
        attempt.make_events(2)
        attempt.complete()
        eventlet.sleep(0)
    store_kernel.wait_for(lambda: 'i0' in engines.runs or entry.results)
    if not entry.results:
        engines.runs['i0'].make_events(2)
        engines.runs['i0'].complete()
    store_kernel.wait_for(lambda: entry.results)


def test_step_of_a_round_that_fails_does_not_end_the_round(
    kernel, log, engines, monkeypatch
):
    # Guards against a check of running items that keeps others from starting.
    def fail(**_arguments):
        raise LookupError('unexpected')

    monkeypatch.setattr(scheduling, 'is_unresponsive', fail)
    submit(log, 'one', ('i0',))
    store_kernel.wait_for(lambda: 'i0' in engines.runs)
    submit(log, 'two', ('i1',))
    store_kernel.wait_for(lambda: 'i1' in engines.runs)


def test_planned_stop_saves_the_others(kernel, log, engines, monkeypatch):
    # Guards against a stop that keeps its leases because one item fails.
    entry = submit(log, 'job', (BAD, *GOOD))
    store_kernel.wait_for(lambda: len(engines.runs) == 4)
    for attempt in engines.runs.values():
        attempt.make_events(3)
    monkeypatch.setattr(
        recording.ItemRecorder,
        'save_checkpoint',
        fail_for_bad(recording.ItemRecorder.save_checkpoint),
    )
    kernel.runner.drain()
    store_kernel.wait_for(lambda: set(entry.checkpoints) == {1, 2, 3})


def test_record_that_can_not_be_encoded_costs_itself_alone(log):
    # Guards against results of all items that are lost with a batch.
    entry = submit(log, 'job', ('i0', 'i1', 'i2'))
    log.enqueue(
        records.ItemResult('job', 0, 'done', (1,)),
        records.EventTexts(('one',)),
    )
    log.enqueue(
        records.ItemResult('job', 1, 'done', (2**70,)),
        records.EventTexts(('two',)),
    )
    log.enqueue(
        records.ItemResult('job', 2, 'done', (1,)),
        records.EventTexts(('three',)),
    )
    store_kernel.wait_for(lambda: len(entry.results) == 3)
    states = {r.index: r.state.value for r in entry.results}
    assert states == {0: 'done', 1: 'given_up', 2: 'done'}


def test_unexpected_error_of_the_store_loses_no_record(log, monkeypatch):
    # Guards against records that are dropped for an error that passes.
    entry = submit(log, 'job', ('i0', 'i1'))
    original, failures = log.append, [0, 0]

    def fail_twice(batch, timeout_s=None):
        if failures:
            failures.pop()
            raise LookupError('unexpected')
        return original(batch, timeout_s)

    monkeypatch.setattr(log, 'append', fail_twice)
    log.enqueue(
        records.ItemResult('job', 0, 'done', (1,)),
        records.EventTexts(('one',)),
    )
    log.enqueue(
        records.ItemResult('job', 1, 'done', (1,)),
        records.EventTexts(('two',)),
    )
    store_kernel.wait_for(lambda: len(entry.results) == 2)
    assert {r.state.value for r in entry.results} == {'done'}
