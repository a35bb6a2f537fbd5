"""Jobs that are open for longer than the store keeps records."""

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import loading
from lentildeal._internal.jobs import plugin
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import renewal
from lentildeal._internal.jobs import table
from lentildeal._internal.jobs import work_log as work_log_module
from lentildeal._internal.models import jobs
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel

ITEM_IDS = ('i0', 'i1', 'i2')
RESULT = job_builders.make_result(index=2, offset=5)


def make_renewal(read_until, *results):
    accepted = job_builders.make_accepted(item_ids=ITEM_IDS)
    return records.JobRenewal(
        read_until,
        7,
        accepted.head,
        accepted.item_ids,
        ((0, 40, 10),),
        tuple((r.index, r.state, r.versions, 50, 8) for r in results),
    )


def fold(first, *found):
    """Applies records as a process does that can read from an offset on."""
    result = table.JobTable()
    result.skip_to(first)
    for offset, record in enumerate(found, start=first):
        result.apply(record, offset)
    return result


def test_process_that_reads_only_the_renewal_knows_the_job():
    """Guards against a 404 for an open job whose records have expired."""
    entry = fold(90, make_renewal(89, RESULT)).get('job')
    assert entry.text_version == 7
    assert [r.index for r in entry.results] == [2]
    assert entry.results[0].location.offset == 50
    assert not entry.list_result(entry.results[0])


def test_renewal_moves_texts_of_a_known_job():
    """Guards against reads of texts that the store has dropped."""
    accepted = job_builders.make_accepted(item_ids=ITEM_IDS)
    entry = fold(0, accepted, RESULT, make_renewal(1, RESULT)).get('job')
    assert entry.parts[0][1].offset == 40
    assert [r.location.offset for r in entry.results] == [50]


@pytest.mark.parametrize('change', [RESULT, records.JobEnd('job')])
def test_renewal_without_a_later_change_has_no_effect(change):
    """Guards against positions that differ between old and new processes.

    The result is in the log before the renewal, whose writer had not read it.
    """
    assert fold(89, change, make_renewal(88)).get('job') is None


def test_renewal_that_may_lack_a_change_has_no_effect():
    """Guards against a process that starts between a change and a renewal."""
    assert fold(90, make_renewal(85)).get('job') is None
    assert fold(90, make_renewal(85), make_renewal(90)).get('job') is not None


@pytest.mark.parametrize(
    ('age_s', 'since_s', 'expected'),
    [(74, 1e9, False), (76, 1e9, True), (500, 74, False), (500, 76, True)],
)
def test_renewal_is_due_after_a_quarter_of_the_retention(
    age_s, since_s, expected
):
    """Guards against records that expire, and against needless appends."""
    due = renewal.is_due(age_s=age_s, since_renewal_s=since_s, retention_s=300)
    assert due is expected


@pytest.fixture
def store():
    return fake_store.FakeStore()


def start_log(store):
    kernel = store_kernel.StoreKernel(store)
    log = kernel.add_work_log()
    store_kernel.wait_for(lambda: log.is_caught_up)
    return kernel, log


def accept(log: work_log_module.WorkLog):
    """Appends a job of three items and a result."""
    items = [job_builders.make_item(i, body=i.encode()) for i in ITEM_IDS]
    stream = records.text_stream_name('job')
    ((_, part),) = records.split_items(items, store_kernel.RECORD_BYTES)
    (location,) = log.append_texts(stream, [part])
    head = job_builders.make_head(item_count=3)
    (text,) = log.append_texts(stream, [records.EventTexts(('a', 'b'))])
    log.append(
        [
            records.JobAccepted(
                records.encode_head(head),
                ITEM_IDS,
                ((0, location.offset, location.size_bytes),),
            ),
            records.ItemResult(
                'job', 1, 'done', (1,), text.offset, text.size_bytes
            ),
        ]
    )
    log.sync()


@pytest.mark.parametrize(
    'faults',
    [
        [],
        [fake_store.Fault.REFUSED],
        [None, fake_store.Fault.REFUSED],
        [None, fake_store.Fault.LOST_RESPONSE],
        [fake_store.Fault.LOST_RESPONSE],
    ],
)
def test_job_outlives_its_records(store, faults):
    """Guards against an open job that ends with the records of the store."""
    kernel, log = start_log(store)
    accept(log)
    expired = {name: len(found) for name, found in store.streams.items()}
    renewer = renewal.JobRenewer(log, kernel.settings.store)
    entry = log.table.get('job')
    store.faults = list(faults)
    renewer.start_due([entry])
    store_kernel.wait_for(lambda: entry.renewal_count)
    eventlet.sleep(0)
    kernel.close()
    for name, end in expired.items():
        store.trim(name, end)
    kernel, log = start_log(store)
    entry = log.table.get('job')
    item = loading.load_item(log, entry, 2)
    assert (item.item_id, item.body) == ('i2', b'i2')
    (listed,) = entry.results
    (text,) = log.read_texts([listed.location])
    assert (listed.index, text.events) == (1, ('a', 'b'))
    kernel.close()


RECORD_BYTES = 16_384


def make_large_renewal(count):
    """Renewal of a job with a result for each item."""
    item_ids = tuple(f'{n:016x}' for n in range(count))
    accepted = job_builders.make_accepted(item_ids=item_ids)
    return records.JobRenewal(
        3,
        7,
        accepted.head,
        item_ids,
        ((0, 40, 10),),
        tuple(
            (n, 'done', (1, 2), 10**9 + n, 1000, '', 1) for n in range(count)
        ),
    )


def test_large_renewal_is_the_same_in_several_records():
    """Guards against a job of many items that ends with its records."""
    whole = make_large_renewal(900)
    found = records.split_renewal(whole, RECORD_BYTES)
    bodies = [records.encode(record) for record in found]
    assert len(bodies) > 2
    assert max(map(len, bodies)) <= RECORD_BYTES
    decoded = [records.decode(body) for body in bodies]
    split, joined = fold(4, *decoded).get('job'), fold(4, whole).get('job')
    assert split.results == joined.results
    assert len(split.results) == 900
    assert split.parts == joined.parts
    assert split.renewal_count == 1
    assert records.split_renewal(make_renewal(3), RECORD_BYTES) == [
        make_renewal(3)
    ]


@pytest.mark.parametrize('missing', [0, 1])
def test_large_renewal_without_all_results_has_no_effect(missing):
    """Guards against a renewal that loses results of a job.

    The records before it were not read, or belong to another renewal.
    """
    first = records.split_renewal(make_large_renewal(900), RECORD_BYTES)
    del first[missing]
    found = table.JobTable()
    found.skip_to(4)
    with pytest.raises(exceptions.UnreadableRecordError):
        for offset, record in enumerate(first, start=4):
            found.apply(record, offset)
    assert found.get('job') is None
    # A renewal after it is not affected.
    for record in records.split_renewal(make_large_renewal(900), RECORD_BYTES):
        found.apply(record, 99)
    assert len(found.get('job').results) == 900


def test_largest_job_outlives_its_records(store):
    """Guards against a bound on the items of a job that renewals exceed."""
    store.record_bytes = RECORD_BYTES
    kernel = store_kernel.StoreKernel(store)
    kernel.settings.store.record_bytes = RECORD_BYTES
    log = kernel.add_work_log()
    store_kernel.wait_for(lambda: log.is_caught_up)
    found = plugin.Jobs(kernel)
    count = 900

    def submit(item_count):
        items = tuple(
            job_builders.make_item(f'{n:016x}') for n in range(item_count)
        )
        head = job_builders.make_head('job', item_count)
        found.submit(jobs.Job(head, items))

    with pytest.raises(exceptions.BadRequestError, match='ids'):
        submit(1024)
    submit(count)
    (place,) = log.append_texts(
        records.text_stream_name('job'), [records.EventTexts(('a',))]
    )
    for start in range(0, count, 100):
        log.append(
            [
                job_builders.make_result(index=n, offset=place.offset)
                for n in range(start, min(start + 100, count - 1))
            ]
        )
    log.sync()
    entry = log.table.get('job')
    assert len(entry.results) == count - 1
    expired = {name: len(s) for name, s in store.streams.items()}
    renewer = renewal.JobRenewer(log, kernel.settings.store)
    renewer.start_due([entry])
    store_kernel.wait_for(lambda: entry.renewal_count)
    kernel.close()
    for name, end in expired.items():
        store.trim(name, end)
    kernel, log = start_log(store)
    entry = log.table.get('job')
    assert len(entry.results) == count - 1
    assert loading.load_item(log, entry, count - 1).item_id == f'{899:016x}'
    kernel.close()
