"""Items and results whose text the store can't give any more."""

import contextlib
import dataclasses
import time

import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import loading
from lentildeal._internal.jobs import plugin
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import renewal
from lentildeal._internal.jobs import runner as runner_module
from lentildeal._internal.jobs import tasks
from lentildeal._internal.models import deployment
from lentildeal._internal.models import jobs
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import job_engines
from tests.lib import store_kernel

STREAM = records.text_stream_name('job')
ITEM_IDS = ('i0', 'i1', 'i2', 'i3')
LOST_IDS = {'i2', 'i3'}
GIVEN_UP = jobs.ResultState.GIVEN_UP


@pytest.fixture
def engines(monkeypatch):
    return job_engines.install(monkeypatch)


@pytest.fixture
def store():
    return fake_store.FakeStore()


@pytest.fixture
def kernel(store, engines, monkeypatch):
    monkeypatch.setattr(
        runner_module.clock, 'unix_s', lambda: job_builders.NOW_S
    )
    monkeypatch.setattr(runner_module, 'OPEN_RETRY_S', 0.01)
    with contextlib.closing(store_kernel.StoreKernel(store)) as found:
        found.plugins['directory'].replicas.apply(
            deployment.ReplicaChange('r1', job_builders.make_replica('r1'))
        )
        found.add_work_log()
        yield found


@pytest.fixture
def log(kernel):
    return kernel.plugins['work_log']


def make_part(*item_ids):
    return records.JobPart(
        tuple(
            dataclasses.astuple(job_builders.make_item(item_id))
            for item_id in item_ids
        )
    )


def find_past_end(log, store):
    return records.RecordLocation(STREAM, len(store.streams[STREAM]) + 9, 50)


def store_other_text(log, store):
    return log.append_texts(STREAM, [records.EventTexts(('text',))])[0]


def store_bytes(log, store):
    store.streams[STREAM].append(b'\xc1\xc1')
    return records.RecordLocation(STREAM, len(store.streams[STREAM]) - 1, 2)


def store_shorter_part(log, store):
    return log.append_texts(STREAM, [make_part()])[0]


def store_other_items(log, store):
    return log.append_texts(STREAM, [make_part('x', 'y')])[0]


def store_odd_items(log, store):
    return log.append_texts(STREAM, [records.JobPart((7, ('i3', 1)))])[0]


def store_with_another_size(log, store):
    (location,) = log.append_texts(STREAM, [make_part('i2', 'i3')])
    return location._replace(size_bytes=location.size_bytes + 1)


LOSSES = [
    find_past_end,
    store_other_text,
    store_bytes,
    store_shorter_part,
    store_other_items,
    store_odd_items,
    store_with_another_size,
]


def submit(log, *locations):
    accepted = job_builders.make_accepted(
        item_ids=ITEM_IDS, submitted_ms=int(job_builders.NOW_S * 1000)
    )
    log.append(
        [
            records.JobText('job', 1),
            dataclasses.replace(
                accepted,
                parts=tuple(
                    (first, p.offset, p.size_bytes)
                    for first, p in zip((0, 2), locations, strict=True)
                ),
            ),
        ]
    )
    log.sync()
    log.clear_text_cache()
    return log.table.get('job')


def start_runner(kernel):
    runner = runner_module.JobRunner(kernel)
    kernel.spawn('runner', runner.run)
    return runner


def find_given_up(entry):
    return {
        entry.item_ids[r.index] for r in entry.results if r.state is GIVEN_UP
    }


@pytest.mark.parametrize('lose', LOSSES)
def test_items_that_can_not_be_read_are_given_up(
    kernel, log, store, engines, lose
):
    # Guards against a step that is accepted and of which no item is ever run,
    # as some of its requests can't be read.
    (sound,) = log.append_texts(STREAM, [make_part('i0', 'i1')])
    entry = submit(log, sound, lose(log, store))
    start_runner(kernel)
    store_kernel.wait_for(lambda: find_given_up(entry) == LOST_IDS)
    store_kernel.wait_for(lambda: set(engines.runs) == {'i0', 'i1'})


def test_items_that_the_store_has_dropped_are_given_up(
    kernel, log, store, engines
):
    # Guards against the same after the records of a job have expired.
    (lost,) = log.append_texts(STREAM, [make_part('i2', 'i3')])
    (sound,) = log.append_texts(STREAM, [make_part('i0', 'i1')])
    entry = submit(log, sound, lost)
    store.trim(STREAM, lost.end)
    start_runner(kernel)
    store_kernel.wait_for(lambda: find_given_up(entry) == LOST_IDS)
    store_kernel.wait_for(lambda: set(engines.runs) == {'i0', 'i1'})


def test_store_that_does_not_respond_gives_up_no_item(
    kernel, log, store, engines
):
    # Guards against lost items where waiting would have helped.
    (one,) = log.append_texts(STREAM, [make_part('i0', 'i1')])
    (two,) = log.append_texts(STREAM, [make_part('i2', 'i3')])
    store.failing_text_reads = 5
    entry = submit(log, one, two)
    start_runner(kernel)
    store_kernel.wait_for(lambda: set(engines.runs) == set(ITEM_IDS))
    assert not entry.results


@pytest.mark.parametrize('failing_ids', [{'i1'}, set(ITEM_IDS)])
def test_item_that_fails_to_load_costs_itself_alone(
    kernel, log, store, engines, monkeypatch, failing_ids
):
    # Guards against one item whose load fails with an unexpected error, at
    # each restart of the task that loads its step.
    class Task(tasks.ItemTask):
        def __init__(self, entry, index, item, *args, **kwargs):
            if item.item_id in failing_ids:
                raise ZeroDivisionError
            super().__init__(entry, index, item, *args, **kwargs)

    monkeypatch.setattr(tasks, 'ItemTask', Task)
    (one,) = log.append_texts(STREAM, [make_part('i0', 'i1')])
    (two,) = log.append_texts(STREAM, [make_part('i2', 'i3')])
    entry = submit(log, one, two)
    start_runner(kernel)
    store_kernel.wait_for(lambda: find_given_up(entry) == failing_ids)
    store_kernel.wait_for(
        lambda: set(engines.runs) == set(ITEM_IDS) - failing_ids
    )


def test_job_that_fails_to_load_is_given_up(kernel, log, store, monkeypatch):
    # Guards against a task that fails in the same way for good, while a
    # trainer waits for its step.
    (one,) = log.append_texts(STREAM, [make_part('i0', 'i1')])
    (two,) = log.append_texts(STREAM, [make_part('i2', 'i3')])
    entry = submit(log, one, two)

    def fail(*_arguments):
        raise RecursionError

    monkeypatch.setattr(loading, 'load_job', fail)
    monkeypatch.setattr(runner_module, 'MAX_FAILING_S', 0.2)
    start_runner(kernel)
    store_kernel.wait_for(lambda: find_given_up(entry) == set(ITEM_IDS))


def list_two_results(log, store):
    """Lists results of a job; the store has lost the text of the first."""
    (one,) = log.append_texts(STREAM, [make_part('i0', 'i1')])
    (two,) = log.append_texts(STREAM, [make_part('i2', 'i3')])
    entry = submit(log, one, two)
    lost = find_past_end(log, store)
    log.append(
        [
            records.ItemResult(
                'job', 0, 'done', (1,), lost.offset, lost.size_bytes
            )
        ]
    )
    log.enqueue(
        records.ItemResult('job', 1, 'done', (1,)),
        records.EventTexts(('text',)),
    )
    store_kernel.wait_for(lambda: len(entry.results) == 2)
    log.clear_text_cache()
    return entry


def test_results_after_a_lost_text_can_be_read(kernel, log, store):
    # Guards against a trainer that is told to come back for as long as it
    # asks, as the text of one result is lost.
    list_two_results(log, store)
    page = plugin.Jobs(kernel).read('job', 0, 0.0)
    found = [(r.item_id, r.state.value, r.text) for r in page.results]
    assert found == [('i0', 'given_up', ''), ('i1', 'done', 'text')]


@pytest.mark.parametrize('item_id, state', [('i1', 'given_up'), ('', 'done')])
def test_text_of_another_item_is_not_listed(
    kernel, log, store, item_id, state
):
    """Guards against a result with a text that the store gave by mistake.

    Texts of older releases name no item.
    """
    (part,) = log.append_texts(STREAM, [make_part(*ITEM_IDS)])
    entry = submit(log, part, part)
    texts = [
        records.EventTexts(('other',), item_id),
        records.EventTexts(('own',), 'i1'),
    ]
    places = log.append_texts(STREAM, texts)
    log.append(
        [
            records.ItemResult('job', n, 'done', (1,), p.offset, p.size_bytes)
            for n, p in enumerate(places)
        ]
    )
    store_kernel.wait_for(lambda: len(entry.results) == 2)
    log.clear_text_cache()
    page = plugin.Jobs(kernel).read('job', 0, 0.0)
    text = 'other' if state == 'done' else ''
    found = [(r.item_id, r.state.value, r.text) for r in page.results]
    assert found == [('i0', state, text), ('i1', 'done', 'own')]


def test_lost_body_is_not_found(kernel, log, store):
    # Guards against a caller that is told to come back for a lost body.
    (one,) = log.append_texts(STREAM, [make_part('i0', 'i1')])
    submit(log, one, find_past_end(log, store))
    found = plugin.Jobs(kernel)
    assert found.read_body('job', 'i0') == b'prompt'
    with pytest.raises(exceptions.NotFoundError, match='i2'):
        found.read_body('job', 'i2')
    store.failing_text_reads = 1
    log.clear_text_cache()
    with pytest.raises(exceptions.NotRunError):
        found.read_body('job', 'i0')


def list_scattered_results(log, count):
    """Lists results whose texts lie between those of another job."""
    item_ids = [f'i{n}' for n in range(count)]
    (part,) = log.append_texts(STREAM, [make_part(*item_ids)])
    accepted = job_builders.make_accepted(
        item_ids=tuple(item_ids),
        submitted_ms=int(job_builders.NOW_S * 1000),
    )
    log.append(
        [
            dataclasses.replace(
                accepted, parts=((0, part.offset, part.size_bytes),)
            )
        ]
    )
    for number, item_id in enumerate(item_ids):
        texts = [records.EventTexts((item_id,), i) for i in (item_id, 'other')]
        place, _ = log.append_texts(STREAM, texts)
        log.append(
            [
                records.ItemResult(
                    'job', number, 'done', (1,), place.offset, place.size_bytes
                )
            ]
        )
    log.sync()
    log.clear_text_cache()


def read_page(jobs_plugin, after):
    started_s = time.monotonic()
    page = jobs_plugin.read('job', after, 0.0)
    # Trainers wait for 1.5 s.
    assert time.monotonic() - started_s < 1.5
    return page


def test_results_can_be_read_from_a_slow_store(kernel, log, store):
    """Guards against a job that nobody can read while the store is slow.

    A page of 90 texts took as many calls, one after another.
    """
    list_scattered_results(log, 90)
    store.read_delay_s = 0.24
    jobs_plugin = plugin.Jobs(kernel)
    found = []
    while len(found) < 90:
        page = read_page(jobs_plugin, len(found))
        assert page.results
        found += page.results
        assert page.next == len(found)
    assert [r.text for r in found] == [f'i{n}' for n in range(90)]


def test_page_ends_before_a_text_that_can_not_be_read_now(kernel, log, store):
    """Guards against results that wait for a later one."""
    list_scattered_results(log, 40)
    jobs_plugin = plugin.Jobs(kernel)
    read_texts = log.read_texts

    def fail_later(locations):
        if locations and locations[0].offset > 60:
            raise exceptions.LogUnavailableError('one read failed')
        return read_texts(locations)

    log.read_texts = fail_later
    page = read_page(jobs_plugin, 0)
    assert 0 < len(page.results) < 40
    with pytest.raises(exceptions.NotRunError):
        jobs_plugin.read('job', len(page.results), 0.0)


def test_read_that_fails_is_logged(kernel, log, store, monkeypatch):
    # Guards against a job that can't be read for a reason that nobody sees.
    found = []
    monkeypatch.setattr(
        plugin.events,
        'emit',
        lambda name, **fields: found.append((name, fields)),
    )
    list_two_results(log, store)
    jobs_plugin = plugin.Jobs(kernel)
    found.clear()
    store.failing_text_reads = 9
    with pytest.raises(exceptions.NotRunError):
        jobs_plugin.read('job', 0, 0.0)
    with pytest.raises(exceptions.NotFoundError):
        jobs_plugin.read('other', 0, 0.0)
    names = [
        (fields['job'], fields['asked'])
        for name, fields in found
        if name == 'job_read_failed'
    ]
    assert names == [('job', 0), ('other', 0)]


def test_job_with_a_lost_text_is_renewed(kernel, log, store, monkeypatch):
    # Guards against a job that expires as one of its texts can't be renewed.
    entry = list_two_results(log, store)
    monkeypatch.setattr(
        renewal.clock, 'unix_s', lambda: job_builders.NOW_S + 100
    )
    renewer = renewal.JobRenewer(log, kernel.settings.store)
    renewer.start_due([entry])
    store_kernel.wait_for(lambda: entry.renewal_count)
    first, second = entry.results
    assert first.state is GIVEN_UP
    (text,) = log.read_texts([second.location])
    assert text.text == 'text'
