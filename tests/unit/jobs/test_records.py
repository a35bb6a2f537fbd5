"""Encoding of the work log's records."""

import msgpack
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import records
from tests.lib import job_builders


def test_decoding_restores_encoded_records():
    # Guards against a field that a restarted daemon reads differently.
    found = [
        job_builders.make_accepted(),
        job_builders.make_result(versions=(1, 2)),
        records.Checkpoint('job', 1, (3,), 2, '2', 7, 9),
        records.Checkpoint('job', 1, (3,), 2, '2', 7, 9, True),
        records.ItemResult('job', 1, 'done', (1,), 7, 9, 'signature'),
        records.ItemResult('job', 1, 'done', (1,), score='signature'),
        records.Claim('jobs/m', -1, 0, 'a', 2**62),
        records.Renewal((('jobs/m', 4),)),
        records.JobPart((('i', 'g', '/p', {'a': 'b'}, b'\x00', 1),)),
        records.EventTexts(('one', 'two\udcff')),
    ]
    for record in found:
        assert records.decode(records.encode(record)) == record


@pytest.mark.parametrize('body', [b'', b'\xc1', b'\x91\x63', b'\x91\x01'])
def test_unknown_bytes_raise_unreadable_record_error(body):
    # Guards against a follower that stops at a record of another release.
    with pytest.raises(exceptions.UnreadableRecordError):
        records.decode(body)


def test_items_are_split_by_size_in_order():
    # Guards against a record that exceeds the store's limit.
    items = [
        job_builders.make_item(f'i{n}', body=b'x' * 3000) for n in range(10)
    ]
    parts = records.split_items(items, 12_000)
    assert len(parts) > 1
    assert all(len(records.encode(part)) <= 12_000 for _, part in parts)
    found = [item for _, part in parts for item in part.iter_items()]
    assert found == items
    assert [first for first, _ in parts] == [
        sum(len(part.items) for _, part in parts[:n])
        for n in range(len(parts))
    ]


def test_scoring_request_is_stored_with_its_item():
    # Guards against a takeover that loses how a text is scored.
    scored = job_builders.make_item(scoring=job_builders.make_scoring())
    plain = job_builders.make_item('i1')
    ((_, part),) = records.split_items([scored, plain], 12_000)
    part = records.decode(records.encode(part))
    assert list(part.iter_items()) == [scored, plain]
    assert part.get_item(0) == scored


def test_records_without_scores_are_readable_by_the_release_before():
    # Guards against daemons of two releases that list different results.
    # The release before reads six fields of these records and of an item.
    result = records.ItemResult('job', 1, 'done', (1,), 7, 9)
    saved = records.Checkpoint('job', 1, (3,), 2, '2', 7, 9)
    ((_, part),) = records.split_items([job_builders.make_item()], 12_000)
    for record, count in ((result, 6), (saved, 7)):
        assert len(msgpack.unpackb(records.encode(record))) == 1 + count
    assert len(part.items[0]) == 6


def test_item_over_the_limit_is_refused():
    # Guards against a job that can't be stored after its acceptance.
    with pytest.raises(exceptions.BadRequestError, match='item big'):
        records.split_items(
            [job_builders.make_item('big', body=b'x' * 20_000)], 12_000
        )
