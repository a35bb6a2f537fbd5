"""Headers that identify the sender are for the daemon only."""

import json

import pytest

from lentildeal._internal.network import http_server
from lentildeal._internal.platform import credentials
from lentildeal._internal.platform import ingress
from tests.lib import platform_world

NAMES = [
    'X-Api-Key',
    'x-api-key',
    'X_API_KEY',
    'X-Api_Key',
    'X-Api-Key ',
    'Lentildeal-Tenant',
    'LENTILDEAL-TENANT',
    'Lentildeal_Tenant',
]


def make_request(*headers, body=b''):
    fields = {'lentildeal-request-id': 'job'}
    return http_server.Request(
        'POST', '/', {}, {}, fields, body, raw_headers=headers
    )


@pytest.mark.parametrize('name', NAMES)
def test_no_spelling_of_a_private_header_is_forwarded(name):
    # Guards against replicas that take an underscore for a hyphen.
    kept = ('X-Kept', 'yes')
    call = ingress.decode_call(make_request((name, 'secret'), kept), 'h', '/')
    assert call.headers == (kept,)
    job = platform_world.make_job(['one'])
    # Names with a space are no header names, which rejects the job.
    if name == name.strip():
        job['Entries'][0]['Headers'][name] = 'secret'
    job['Entries'][0]['Headers']['X-Kept'] = 'yes'
    request = make_request(body=json.dumps(job).encode())
    (item,) = ingress.decode_job(request, 'h', '/').items
    assert item.headers['X-Kept'] == 'yes'
    assert 'secret' not in repr(item)


def test_only_the_key_header_itself_names_a_key():
    headers = [(name, name) for name in NAMES]
    assert credentials.read_keys(make_request(*headers)) == [
        'X-Api-Key',
        'x-api-key',
    ]
