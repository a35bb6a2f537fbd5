"""Records of other releases and records with fields of another type."""

import contextlib
import dataclasses

import msgpack
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import record_fields
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import table
from lentildeal._internal.logs import events
from lentildeal._internal.models import jobs
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import store_kernel

NEW_TYPE = 99
NEW_FIELD = 'field of a newer release'
SAMPLES = [
    job_builders.make_accepted(),
    job_builders.make_result(),
    records.JobEnd('job'),
    records.Checkpoint('job', 1, (3,), 2, '2', 7, 9),
    records.Claim('jobs/m', -1, 0, 'a', 1),
    records.Renewal((('jobs/m', 4),)),
    records.Resignation('jobs/m', 4),
    records.VersionLoaded('r1', 'm', 2),
    records.RateLimitNamed(1, 'r1', 2.5),
    records.RateLimitNamed(1, 'r1', None),
    records.RequestsSent(1, (('r1', 3),)),
    records.RequestTurn(1, 'r1', 3),
    records.JobText('job', 1),
    records.ClaimBasis(3),
    records.RenewedResults('job', 3, ((0, 'done', (1,), 7, 9),)),
    records.LargeJobRenewal(1, (3, 1, (), ('i0',), ((0, 0, 10),), ())),
    records.JobPart((('i', 'g', '/p', {'a': 'b'}, b'', 1),)),
    records.EventTexts(('one',)),
    records.UsageCounts(1, 1, 1, ((1, 'a', 2),)),
    records.DutyCallPlanned('usage', '1', (('a', 1),), ('0',)),
]


@pytest.fixture
def store():
    return fake_store.FakeStore()


@pytest.fixture
def log(store):
    with contextlib.closing(store_kernel.StoreKernel(store)) as kernel:
        yield kernel.add_work_log()


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        events, 'emit', lambda name, **fields: found.append((name, fields))
    )
    return found


@pytest.mark.parametrize('record', SAMPLES, ids=lambda r: type(r).__name__)
def test_fields_of_a_newer_release_are_ignored(record):
    # Guards against a job or result that a daemon misses while releases are
    # replaced, or after a release was taken back.
    defaults = [
        field.default
        for field in dataclasses.fields(record)
        if field.default is not dataclasses.MISSING
    ]
    body = msgpack.unpackb(records.encode(record), use_list=False)
    missing = len(dataclasses.fields(record)) + 1 - len(body)
    body += tuple(defaults[len(defaults) - missing :])
    found = records.decode(msgpack.packb([*body, NEW_FIELD, 7]))
    assert found == record


@pytest.mark.parametrize('scoring', [None, job_builders.make_scoring()])
def test_items_of_a_newer_release_can_be_read(scoring):
    # Guards against a step that is accepted by a newer daemon and is never run
    # by an older one.
    item = job_builders.make_item(scoring=scoring)
    fields = (*dataclasses.astuple(item), NEW_FIELD)
    if scoring is not None:
        fields = (*fields[:6], (*fields[6], NEW_FIELD), NEW_FIELD)
    body = records.encode(records.JobPart((fields,)))
    assert records.decode(body).get_item(0) == item


def test_job_of_a_newer_release_is_known():
    # Guards against a 404 for a job that other daemons have accepted.
    accepted = job_builders.make_accepted()
    head = (*accepted.head, NEW_FIELD)
    found = table.JobTable()
    found.apply(dataclasses.replace(accepted, head=head))
    assert found.get('job').head == accepted.job_head


def test_unknown_state_of_a_result_keeps_the_positions():
    # Guards against positions that differ between daemons of two releases.
    found = table.JobTable()
    found.apply(job_builders.make_accepted())
    found.apply(job_builders.make_result(index=1, state='paused'))
    found.apply(job_builders.make_result(index=0))
    first, second = found.get('job').results
    assert (first.index, first.state) == (1, jobs.ResultState.GIVEN_UP)
    assert second.index == 0


@pytest.mark.parametrize('record', SAMPLES, ids=lambda r: type(r).__name__)
def test_fields_of_another_type_are_unreadable(record):
    # Guards against a record that is applied and fails later, in work that
    # others depend on.
    body = msgpack.unpackb(records.encode(record), use_list=False)
    for index in range(1, len(body)):
        for value in ({}, {'x': 1}):
            changed = list(body)
            changed[index] = value
            with pytest.raises(exceptions.UnreadableRecordError):
                records.decode(msgpack.packb(changed))


@pytest.mark.parametrize(
    'fields',
    [
        {'item_count': 3},
        {'submitted_ms': 'yesterday'},
        {'model': 7},
        {'step': None},
    ],
)
def test_job_whose_fields_do_not_fit_is_unreadable(fields):
    # Guards against a job that ends a round of all jobs, at each round.
    accepted = job_builders.make_accepted()
    head = {**dataclasses.asdict(accepted.job_head), **fields}
    accepted = dataclasses.replace(accepted, head=tuple(head.values()))
    with pytest.raises(exceptions.UnreadableRecordError):
        table.JobTable().apply(accepted)


def test_missing_field_is_named():
    # Guards against an error that doesn't tell an operator what is wrong.
    with pytest.raises(exceptions.UnreadableRecordError, match='VersionLoad'):
        record_fields.read_fields(records.VersionLoaded, ('r1',))


def test_records_of_unknown_types_are_named_once(store, log, lines):
    # Guards against a line for each record of a newer release.
    store.streams[records.WORK_STREAM] += [
        msgpack.packb([NEW_TYPE, number]) for number in range(20)
    ]
    log.append([job_builders.make_accepted()])
    store_kernel.wait_for(lambda: log.table.get('job'))
    assert [name for name, _ in lines].count('record_ignored') == 1


def test_handler_that_fails_does_not_delay_the_records_after(store, log):
    # Guards against a record that ends the reading of the log at all daemons.
    def fail(_record):
        raise KeyError('count')

    log.on_record(records.DutyCallPlanned, fail)
    log.append(
        [records.DutyCallPlanned('scaling/s', 's', ())]
        + [job_builders.make_accepted()]
    )
    log.sync()
    assert log.table.get('job') is not None
    assert log.read_until == 1
