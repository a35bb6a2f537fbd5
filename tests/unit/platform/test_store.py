"""Pages of the store, and the effect reported for a failed append."""

import struct

import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.network import http_client
from lentildeal._internal.platform import store
from lentildeal._internal.settings import settings


class FakeClient:
    """Returns or raises the next given response for each call."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    def request(self, method, url, **options):
        self.calls.append((method, url, options.get('body')))
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response

    def close_idle(self):
        self.calls.append('close_idle')


def make_store(*responses):
    result = store.PlatformStore(settings.Store('10.0.0.9:80'))
    result._client = FakeClient(*responses)
    return result


def make_response(status, body=b''):
    return http_client.HttpResponse(status, {}, body)


def test_page_is_decoded():
    body = struct.pack('>QQ', 9, 2)
    body += struct.pack('>I', 2) + b'ab' + struct.pack('>I', 0)
    page = make_store(make_response(200, body)).read('s', 5)
    assert [(r.offset, r.body) for r in page.records] == [(5, b'ab'), (6, b'')]
    assert page.end == 9


@pytest.mark.parametrize('cut', [3, 15, 17, 19, 21])
def test_incomplete_page_is_an_error(cut):
    # Guards against losing records of an incomplete page unnoticed.
    body = struct.pack('>QQ', 9, 2) + struct.pack('>I', 2) + b'ab'
    with pytest.raises(exceptions.LogUnavailableError):
        make_store(make_response(200, body[:cut])).read('s', 5)


def test_appended_records_have_length_prefixes():
    made = make_store(make_response(200, b'{"Offset": 7, "End": 9}'))
    assert made.append('s', [b'ab', b'c']) == 7
    assert made._client.calls[0][2] == b'\0\0\0\2ab\0\0\0\1c'


def test_throttled_read_has_its_own_error():
    # Guards against reading from an overloaded store at an unchanged rate.
    with pytest.raises(exceptions.LogOverloadedError):
        make_store(make_response(429)).read('s', 5)
    with pytest.raises(exceptions.LogUnavailableError) as refusal:
        make_store(make_response(503)).read('s', 5)
    assert not isinstance(refusal.value, exceptions.LogOverloadedError)


@pytest.mark.parametrize('status', [400, 403, 429, 503, 507])
def test_refused_append_had_no_effect(status):
    with pytest.raises(exceptions.LogUnavailableError):
        make_store(make_response(status)).append('s', [b'a'])


@pytest.mark.parametrize(
    'failure',
    [
        exceptions.MayHaveRunError('time out'),
        make_response(200, b'{}'),
        make_response(200, b'garbage'),
        make_response(500),
        make_response(504),
    ],
)
def test_append_without_a_clear_answer_may_have_effect(failure):
    # Guards against refusing a job that is in the log.
    with pytest.raises(exceptions.LogAnswerLostError):
        make_store(failure).append('s', [b'a'])


def test_append_without_a_connection_had_no_effect():
    failure = exceptions.NotRunError('refused', cause='target_down')
    with pytest.raises(exceptions.LogUnavailableError):
        make_store(failure).append('s', [b'a'])


def test_trimmed_read_reports_the_oldest_offset():
    made = make_store(make_response(410, b'{"First": 12}'))
    with pytest.raises(exceptions.LogTrimmedError) as caught:
        made.read('s', 5)
    assert caught.value.oldest == 12


def test_newest_records_are_read_from_all_pages():
    # Guards against missing changes that were written between two pages.
    pages = [
        b'{"Entries":[{"Key":"a","Value":"MQ==","Offset":1}],'
        b'"HasMore":true,"End":5}',
        b'{"Entries":[{"Key":"b","Value":"Mg==","Offset":2}],'
        b'"HasMore":false,"End":8}',
    ]
    made = make_store(*(make_response(200, page) for page in pages))
    found, end = made.read_newest('keyed')
    assert [(r.key, r.value) for r in found] == [('a', b'1'), ('b', b'2')]
    assert end == 5


@pytest.mark.parametrize('body', [b'', b'\x05ab', b'\x01\xff'])
def test_record_without_a_key_is_unreadable(body):
    with pytest.raises(exceptions.UnreadableRecordError):
        make_store().decode_keyed(body)


@pytest.mark.parametrize(
    'body', [b'{"Offset": -3}', b'{"Offset": 1.0}', b'{"Offset": true}', b'{}']
)
def test_append_without_a_place_may_have_effect(body):
    """Guards against results that point to a text at no place."""
    with pytest.raises(exceptions.LogAnswerLostError):
        make_store(make_response(200, body)).append('s', [b'ab'])


def test_negative_end_of_a_stream_is_an_error():
    # Guards against a stream that is read again from its start.
    body = b'{"Entries": [], "HasMore": false, "End": -1}'
    with pytest.raises(exceptions.LogUnavailableError):
        make_store(make_response(200, body)).read_newest('s')
