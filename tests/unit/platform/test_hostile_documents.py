"""Documents and headers from outside with any single value replaced."""

import base64
import contextlib
import json

import hypothesis
from hypothesis import strategies as st
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import records
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_server
from lentildeal._internal.platform import adapter
from lentildeal._internal.platform import documents
from lentildeal._internal.platform import ingress
from lentildeal._internal.platform import names
from lentildeal._internal.platform import store
from tests.lib import byte_strategies
from tests.lib import platform_world

EXAMPLES = hypothesis.settings(max_examples=400, deadline=None)
JOB = platform_world.make_scored_job(['one', 'two'])
TEXT = {
    'Version': 3,
    'Routes': [
        platform_world.make_route('a', '/a/', 'rollout', 'engines'),
        {
            **platform_world.make_route('b', '/b/', 'stream', 'desk'),
            'TrafficSplit': [{'Service': 'desk', 'Weight': 1}],
        },
    ],
    'Services': [
        {
            'Name': 'engines',
            'MaxConnections': 50,
            'Engine': {'Slots': 4, 'Stride': 1, 'Models': [{'Name': 'm'}]},
        },
        {'Name': 'desk', 'MaxConnections': 50},
    ],
    'Limits': {'MaxHeaderBytes': 1, 'MaxBodyBytes': 1},
}
REPLICA = {
    'Service': 'engines',
    'Address': '127.0.0.1:80',
    'Zone': 'd1',
    'Slots': 4,
    'State': 'ready',
    'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
    'born': 1,
}


def make_request(body, **headers):
    fields = {'lentildeal-request-id': 'job', **headers}
    return http_server.Request('POST', '/', {}, {}, fields, body)


@EXAMPLES
@hypothesis.given(byte_strategies.mutated_documents(TEXT))
def test_published_text_is_decoded_or_rejected(document):
    # Guards against a text that ends the thread which follows the directory.
    with contextlib.suppress(exceptions.UnreadableRecordError):
        text = documents.decode_text(document)
        for route in text.routes:
            text.find_route(route.host, route.path_prefix)
            assert route.timeout_s >= 0 and route.objective_s >= 0
            assert route.max_attempts >= 0


@EXAMPLES
@hypothesis.given(byte_strategies.mutated_documents(REPLICA))
def test_directory_entry_is_decoded_or_rejected(document):
    with contextlib.suppress(exceptions.UnreadableRecordError):
        replica = documents.decode_replica(ids.ReplicaId('r'), document)
        host, _, port = replica.address.rpartition(':')
        assert host and 0 < int(port) < 65536
        assert replica.slots >= 0


@EXAMPLES
@hypothesis.given(byte_strategies.mutated_documents(JOB))
def test_job_is_accepted_completely_or_rejected(document):
    # A job that was accepted can be stored and is the same when it is read.
    request = make_request(json.dumps(document).encode())
    with contextlib.suppress(exceptions.BadRequestError):
        job = ingress.decode_job(request, 'h', '/')
        for _, part in records.split_items(job.items, 100_000):
            assert records.decode(records.encode(part)) == part
        json.dumps(document['Model']).encode()


@EXAMPLES
@hypothesis.given(
    st.sampled_from([names.DEADLINE, names.REQUEST_ID, 'Host']),
    st.text(max_size=6) | st.sampled_from(['\xb2', '9' * 5000, '1e9', '']),
)
def test_headers_of_a_call_are_accepted_or_rejected(name, value):
    request = make_request(b'', **{name.lower(): value})
    with contextlib.suppress(exceptions.BadRequestError):
        call = ingress.decode_call(request, 'h', '/')
        assert call.deadline.remaining_s < 10**9


@EXAMPLES
@hypothesis.given(
    st.sampled_from([names.VERSIONS, names.REPLICA_LOAD, names.STAMP]),
    st.text(max_size=8) | st.sampled_from(['\xb2', '9' * 5000, '1,2', ',']),
)
def test_headers_of_a_replica_never_end_an_attempt(name, value):
    platform = adapter.ExternalPlatform
    info = platform.read_response(None, 200, {name.lower(): value})
    assert info.request_id is None


@EXAMPLES
@hypothesis.given(st.binary(max_size=200), st.integers(0, 2**63))
def test_page_of_the_store_is_decoded_or_rejected(body, start):
    with contextlib.suppress(exceptions.PlatformError):
        page = store._decode_page(body, ids.Offset(start))
        assert sum(len(r.body) + 4 for r in page.records) + 16 == len(body)


@EXAMPLES
@hypothesis.given(st.binary(max_size=60))
def test_record_is_decoded_or_rejected(body):
    for decode in (records.decode, store.decode_json):
        with contextlib.suppress(exceptions.UnreadableRecordError):
            decode(body)


@pytest.mark.parametrize('value', ['\xb2', '9' * 5000, '-1', 'x'])
def test_number_headers_are_ascii_and_bounded(value):
    request = make_request(b'', **{names.DEADLINE.lower(): value})
    with pytest.raises(exceptions.BadRequestError):
        ingress.decode_call(request, 'h', '/')


def test_sound_documents_are_decoded():
    # The checks above would hold for decoders that reject everything.
    assert documents.decode_text(TEXT).version == 3
    replica = documents.decode_replica(ids.ReplicaId('r'), REPLICA)
    assert replica.versions == {'m': 1}
    job = ingress.decode_job(make_request(json.dumps(JOB).encode()), 'h', '/')
    assert job.items[1].body == base64.b64decode(JOB['Entries'][1]['Body'])
