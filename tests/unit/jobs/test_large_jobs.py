"""Jobs that are larger than one call to the store."""

import contextlib

import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import loading
from lentildeal._internal.jobs import plugin
from lentildeal._internal.models import jobs
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel

CALL_BYTES = 2_000_000
BODY = b'x' * 100_000


@pytest.fixture
def store():
    found = fake_store.FakeStore()
    found.call_bytes = CALL_BYTES
    found.record_bytes = store_kernel.RECORD_BYTES
    return found


@pytest.fixture
def kernel(store):
    with contextlib.closing(store_kernel.StoreKernel(store)) as found:
        log = found.add_work_log()
        store_kernel.wait_for(lambda: log.is_caught_up)
        yield found


def submit(kernel, item_ids, body):
    items = tuple(job_builders.make_item(i, body=body) for i in item_ids)
    head = job_builders.make_head('job', len(items))
    plugin.Jobs(kernel).submit(jobs.Job(head, items))


@pytest.mark.parametrize(
    'faults',
    [[], [None, fake_store.Fault.REFUSED], [fake_store.Fault.REFUSED]],
)
def test_job_over_the_size_of_a_call_is_accepted(kernel, store, faults):
    # Guards against a job that every daemon refuses for good, as its items
    # don't fit into one append.
    store.faults = faults
    item_ids = [f'i{n}' for n in range(50)]
    submit(kernel, item_ids, BODY)
    log = kernel.plugin('work_log')
    store_kernel.wait_for(lambda: log.table.get('job'))
    entry = log.table.get('job')
    for index in (0, 19, 20, 49):
        item = loading.load_item(log, entry, index)
        assert (item.item_id, item.body) == (f'i{index}', BODY)
    # Nothing that was stored is stored again.
    stream = entry.parts[0][1].stream
    assert sum(map(len, store.streams[stream])) < 51 * len(BODY)


def test_job_with_too_many_ids_is_rejected(kernel):
    # Guards against a job that is refused as if the store did not respond.
    with pytest.raises(exceptions.BadRequestError, match='ids'):
        submit(kernel, [f'{n:0100}' for n in range(3000)], b'')
