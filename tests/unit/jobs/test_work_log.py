"""The work log under refused, lost and late appends."""

import contextlib
import time

import eventlet
import msgpack
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import leases
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import texts as texts_module
from lentildeal._internal.jobs import work_log
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel

Fault = fake_store.Fault


@pytest.fixture
def store():
    return fake_store.FakeStore()


@pytest.fixture
def log(store):
    with contextlib.closing(store_kernel.StoreKernel(store, 120)) as kernel:
        yield kernel.add_work_log()


def entry_of(log):
    return log.table.get('job')


def list_result(log, index=0, events=('one', 'two')):
    log.enqueue(
        records.ItemResult('job', index, 'done', (1,)),
        records.EventTexts(events),
    )


@pytest.mark.parametrize('fault', list(Fault))
@pytest.mark.parametrize('failing', [0, 1, 2])
def test_result_is_listed_once_whatever_append_fails(
    store, log, fault, failing
):
    # Guards against lost and duplicate results when the store refuses an
    # append, loses its response or applies it late.
    log.append([job_builders.make_accepted()])
    store.faults = [None] * failing + [fault]
    list_result(log)
    store_kernel.wait_for(lambda: entry_of(log) and entry_of(log).results)
    store.apply_late_appends()
    list_result(log, events=('other',))
    list_result(log, 1, ('last',))
    store_kernel.wait_for(lambda: entry_of(log).is_complete)
    first, _ = log.read_texts([r.location for r in entry_of(log).results])
    assert first.text == 'one\ntwo'


def test_result_is_listed_soon_despite_lost_responses(store, log):
    # The store applies appends and loses 35 of 100 responses, so a trainer
    # waits for a step whose last text is stored but not listed.
    log.append([job_builders.make_accepted()])
    store.faults = [Fault.SILENT, None, Fault.SILENT]
    started_s = time.monotonic()
    list_result(log)
    store_kernel.wait_for(lambda: entry_of(log) and entry_of(log).results)
    assert time.monotonic() - started_s < 2.0
    store_kernel.wait_for(lambda: not log.queued_count and not store.faults)


def test_text_is_stored_once_if_its_listing_fails(store, log):
    # Guards against texts that are sent again with each retry of an append.
    log.append([job_builders.make_accepted()])
    store.faults = [None, Fault.REFUSED, Fault.LOST_RESPONSE]
    list_result(log)
    store_kernel.wait_for(lambda: entry_of(log) and entry_of(log).results)
    assert len(store.streams[records.text_stream_name('job')]) == 1


def test_failing_stream_does_not_delay_others(store, log):
    # A batch has texts of three jobs and one response in three is lost. If the
    # batch succeeded only as a whole, it would take five attempts.
    streams = {
        records.text_stream_name(f'job{n}'): f'job{n}' for n in range(20)
    }
    for job_id in streams.values():
        log.append([job_builders.make_accepted(job_id)])
    store_kernel.wait_for(lambda: all(map(log.table.get, streams.values())))
    store.failing_stream = next(iter(streams))
    for job_id in streams.values():
        log.enqueue(
            records.ItemResult(job_id, 0, 'done', (1,)),
            records.EventTexts(('text',)),
        )
    sound = list(streams.values())[1:]
    store_kernel.wait_for(lambda: all(log.table.get(j).results for j in sound))
    assert not log.table.get(streams[store.failing_stream]).results
    store.failing_stream = None
    store_kernel.wait_for(lambda: not log.queued_count)


def read_kinds(store):
    return [
        type(records.decode(body))
        for body in store.streams[records.WORK_STREAM]
    ]


def leave_with_a_checkpoint(log):
    log.append([job_builders.make_accepted()])
    store_kernel.wait_for(lambda: entry_of(log))
    log.enqueue(
        records.Checkpoint('job', 0, (1,), 2, '1'),
        records.EventTexts(('one', 'two')),
    )
    log.enqueue(records.Resignation('jobs/m', 7))


@pytest.mark.parametrize(
    'fault', [Fault.REFUSED, Fault.LOST_RESPONSE, Fault.SILENT]
)
def test_resignation_does_not_overtake_a_checkpoint(store, log, fault):
    # Guards against a planned stop whose successor starts all items from the
    # beginning, as one failed append held up their checkpoints only.
    log.append([job_builders.make_accepted()])
    store.faults = [None, fault]
    leave_with_a_checkpoint(log)
    store_kernel.wait_for(lambda: not log.queued_count)
    store_kernel.wait_for(lambda: records.Resignation in read_kinds(store))
    kinds = read_kinds(store)
    assert kinds.index(records.Checkpoint) < kinds.index(records.Resignation)


def test_resignation_waits_half_a_second_for_a_failing_stream(store, log):
    # Guards against a lease that expires, as a stream of texts is away.
    store.failing_stream = records.text_stream_name('job')
    leave_with_a_checkpoint(log)
    started_s = time.monotonic()
    store_kernel.wait_for(lambda: records.Resignation in read_kinds(store))
    assert time.monotonic() - started_s < 1.0
    assert records.Checkpoint not in read_kinds(store)


def test_records_queued_in_an_outage_are_appended_after_it(store, log):
    # Guards against results lost with an outage of the store.
    log.append([job_builders.make_accepted()])
    store.is_down = True
    list_result(log)
    eventlet.sleep(0.2)
    assert log.queued_count
    store.is_down = False
    store_kernel.wait_for(lambda: entry_of(log) and entry_of(log).results)


def test_outage_resets_the_time_since_which_the_log_is_read(
    store, log, monkeypatch
):
    # Guards against claims of leases right after an outage.
    monkeypatch.setattr(work_log, 'MAX_RESPONSE_GAP_S', 0.1)
    store_kernel.wait_for(lambda: log.is_caught_up)
    before_s = log.connected_since_s
    store.is_down = True
    eventlet.sleep(0.3)
    store.is_down = False
    store_kernel.wait_for(lambda: log.connected_since_s > before_s + 0.1)


def test_reading_continues_at_the_oldest_record_left(store, log):
    # Guards against a follower that hangs after records were dropped.
    store_kernel.wait_for(lambda: log.is_caught_up)
    store.is_down = True
    eventlet.sleep(0.05)
    store.streams[records.WORK_STREAM] += [b'dropped'] * 5
    store.trim(records.WORK_STREAM, 5)
    store.is_down = False
    log.append([job_builders.make_accepted()])
    store_kernel.wait_for(lambda: entry_of(log))


def test_claim_that_the_store_has_dropped_leaves_its_lease_held(store):
    # Guards against a process that starts later than the retention of the
    # store after the claim, and becomes a second holder of the lease.
    with contextlib.closing(store_kernel.StoreKernel(store)) as kernel:
        holder = kernel.add_work_log()
        store_kernel.wait_for(lambda: holder.is_caught_up)
        holder.append(
            [
                holder.leases.make_basis(),
                holder.leases.make_claim('jobs/m', 'a', 1),
            ]
        )
        store_kernel.wait_for(lambda: holder.leases.get('jobs/m').holder)
        term = holder.leases.get('jobs/m').term
        holder.append([records.Renewal((('jobs/m', term),))])
        store.trim(records.WORK_STREAM, 2)
        started = work_log.WorkLog(store_kernel.StoreKernel(store))
        started.sync()
    state = started.leases.get('jobs/m')
    assert (state.term, state.holder) == (term, leases.UNKNOWN_HOLDER)


def test_adjacent_texts_are_read_in_one_call(store, log):
    # Guards against one call to the store for each result of a page.
    log.append([job_builders.make_accepted(item_ids=tuple('abcdefgh'))])
    store_kernel.wait_for(lambda: entry_of(log))
    locations = log.append_texts(
        records.text_stream_name('job'),
        [records.EventTexts((f'text {n}',)) for n in range(8)],
    )
    fresh = work_log.WorkLog(store_kernel.StoreKernel(store))
    store.reads = 0
    texts = fresh.read_texts(locations)
    assert [text.text for text in texts] == [f'text {n}' for n in range(8)]
    assert store.reads == 1


def test_texts_larger_than_the_cache_are_read_completely(
    store, log, monkeypatch
):
    # Guards against a text that is evicted while the others are read.
    monkeypatch.setattr(texts_module, 'CACHE_BYTES', 100)
    locations = log.append_texts(
        records.text_stream_name('job'),
        [records.EventTexts(('x' * 40,)) for _ in range(8)],
    )
    assert len(log.read_texts([locations[7], *locations[:7]])) == 8


def test_missing_text_is_an_error(store, log):
    # Guards against a page of results with a gap.
    location = records.RecordLocation(records.text_stream_name('job'), 3, 8)
    with pytest.raises(exceptions.LogUnavailableError):
        log.read_texts([location])


def test_text_above_the_record_size_blocks_no_other_result(store, log):
    """Guards against one long text that stops the results of all jobs.

    The store refuses records above its limit, each time.
    """
    store.record_bytes = store_kernel.RECORD_BYTES
    log.append([job_builders.make_accepted()])
    store_kernel.wait_for(lambda: entry_of(log))
    long_events = ('x' * 1000, '\u20ac' * store_kernel.RECORD_BYTES, 'end')
    list_result(log, 0, long_events)
    list_result(log, 1, ('short',))
    store_kernel.wait_for(lambda: entry_of(log).is_complete)
    log.clear_text_cache()
    texts = log.read_texts([r.location for r in entry_of(log).results])
    found = {r.index: t.events for r, t in zip(entry_of(log).results, texts)}
    assert found == {0: long_events, 1: ('short',)}


def test_adjacent_texts_of_several_records_are_read_in_one_go(store, log):
    # Guards against a reader that takes the records of one text for another.
    store.record_bytes = store_kernel.RECORD_BYTES
    stream = records.text_stream_name('job')
    written = [
        records.EventTexts((letter * size,))
        for letter, size in (
            ('a', 10),
            ('b', 600_000),
            ('c', 5),
            ('d', 300_000),
        )
    ]
    locations = log.append_texts(stream, written)
    log.clear_text_cache()
    assert log.read_texts(locations[::-1]) == written[::-1]
    assert [p.record_count for p in locations] == [1, 3, 1, 2]


def test_result_of_one_record_is_read_by_older_releases():
    # Older releases know no number of records.
    short = records.ItemResult('job', 0, 'done', (1,), 5, 8)
    assert len(msgpack.unpackb(records.encode(short))) == 7
