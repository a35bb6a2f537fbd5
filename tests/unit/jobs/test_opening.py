"""Jobs that were accepted and that no daemon runs, as operators see them."""

import contextlib

import prometheus_client
import pytest

from lentildeal._internal.jobs import opening
from lentildeal._internal.jobs import runner as runner_module
from lentildeal._internal.logs import events
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel

Cause = opening.WaitCause


class Clock:
    """Time of a test."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        events, 'emit', lambda name, **fields: found.append((name, fields))
    )
    return found


def make_wait(cause=Cause.NO_HOLDER, job_id='job'):
    head = job_builders.make_head(job_id, step=7)
    return opening.WaitingJob(head, cause, 'the reason')


def read_gauge(cause):
    return prometheus_client.REGISTRY.get_sample_value(
        'lentildeal_jobs_not_opened', {'cause': cause.value}
    )


def test_job_that_waits_is_found_once_for_each_cause(clock):
    # Guards against a step that stands still without a trace, and against a
    # line about it in each round.
    tracker = opening.WaitTracker(clock)
    found = []
    for _ in range(10):
        found += tracker.record([make_wait()])
        clock.now_s += 1.0
    found += tracker.record([make_wait(Cause.NOT_LOADED)])
    assert [job.cause for job in found] == [Cause.NO_HOLDER, Cause.NOT_LOADED]
    assert tracker.get_waited_s('job') == 10.0
    assert read_gauge(Cause.NOT_LOADED) == 1
    assert read_gauge(Cause.NO_HOLDER) == 0


def test_job_that_is_opened_in_time_is_not_found(clock):
    # Guards against lines about each change of a lease.
    tracker = opening.WaitTracker(clock)
    assert not tracker.record([make_wait()])
    clock.now_s += opening.MAX_OPENING_S - 0.1
    assert not tracker.record([make_wait()])
    clock.now_s += 0.2
    assert not tracker.record([])
    clock.now_s += 0.2
    assert not tracker.record([make_wait()])
    assert read_gauge(Cause.NO_HOLDER) == 0


@pytest.fixture
def kernel(monkeypatch):
    monkeypatch.setattr(opening, 'CHECK_INTERVAL_S', 0.01)
    monkeypatch.setattr(opening, 'MAX_OPENING_S', 0.05)
    store = fake_store.FakeStore()
    with contextlib.closing(store_kernel.StoreKernel(store)) as found:
        found.add_work_log()
        found.runner = runner_module.JobRunner(found)
        yield found


def accept(kernel, text_version):
    log = kernel.plugin('work_log')
    store_kernel.submit(log, 'job', ('i0',), text_version)
    log.sync()
    log.clear_text_cache()


def hold_no_lease(kernel):
    kernel.plugin('duties').find_term = lambda _: None


def require_newer_text(kernel):
    kernel.plugin('directory').text = job_builders.make_published_text(
        version=1
    )


def fail_all_reads(kernel):
    kernel.store.failing_text_reads = 10**6


@pytest.mark.parametrize(
    ('hinder', 'text_version', 'cause'),
    [
        (hold_no_lease, 1, Cause.NO_HOLDER),
        (require_newer_text, 2, Cause.NO_TEXT),
        (fail_all_reads, 1, Cause.NOT_LOADED),
    ],
)
def test_status_names_the_cause(kernel, lines, hinder, text_version, cause):
    # Guards against a count of failed tasks that points to no step.
    hinder(kernel)
    accept(kernel, text_version)
    kernel.spawn('runner', kernel.runner.run)
    store_kernel.wait_for(
        lambda: 'job_not_opened' in [name for name, _ in lines]
    )
    fields = dict(lines)['job_not_opened']
    assert (fields['cause'], fields['step']) == (cause.value, 1)
    (row,) = kernel.runner.describe_open_jobs()
    assert (row['job'], row['state']) == ('job', cause.value)
    assert row['reason'] and row['waited_s'] > 0


def test_job_of_another_holder_is_no_wait(kernel, lines):
    # Guards against lines of all other daemons about each job.
    hold_no_lease(kernel)
    kernel.plugin('duties').is_taken_over = lambda _: True
    accept(kernel, 1)
    kernel.spawn('runner', kernel.runner.run)
    store_kernel.wait_for(lambda: kernel.runner.describe_open_jobs())
    (row,) = kernel.runner.describe_open_jobs()
    assert (row['state'], row['reason']) == ('run_elsewhere', '')
