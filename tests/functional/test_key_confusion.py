"""Attack: requests that try to get an account by an odd form of a key."""

import base64
import http.client
import socket

import pytest

from tests.functional import test_accounts
from tests.lib import platform_world
from tests.lib import processes

HOST = platform_world.HOST
KEYS = {'a': ['key-a', 'Key-Mixed'], 'b': ['key-b'], 'comma': ['key-a,key-b']}
# Head lines that name exactly one known key, and its account.
PROPER = [
    ('X-Api-Key: key-a', 'a'),
    ('x-api-key:key-b', 'b'),
    ('X-API-KEY: \t key-b \t', 'b'),
    ('X-Api-Key: Key-Mixed', 'a'),
    ('X-Api-Key: key-a,key-b', 'comma'),
    ('X-Api-Key: key-a\r\nLentildeal-Tenant: b', 'a'),
    ('lentildeal-tenant: b\r\nX-Api-Key: key-a\r\nLENTILDEAL-TENANT: b', 'a'),
    ('X-Api-Key: key-a\r\nX_Api_Key: key-b\r\nLentildeal_Tenant: b', 'a'),
    ('X-Api-Key: key-a\r\nConnection: Lentildeal-Tenant, X-Api-Key', 'a'),
]
# Head lines that name none, or more than one.
ODD = [
    '',
    'X-Api-Key:',
    'X-Api-Key: KEY-A',
    'X-Api-Key: key-mixed',
    'X-Api-Key: key -a',
    'X-Api-Key: "key-a"',
    'X-Api-Key: key-a;',
    'X-Api-Key: key-b,key-a',
    'X-Api-Key: key-a, key-b',
    'X-Api-Key: key-a\xa0',
    'X-Api-Key: key-a\x00',
    'X-Api-Key: key-a\r\nX-Api-Key: key-b',
    'X-Api-Key: key-a\r\nx-api-key: key-a',
    'X-Api-Key: key-a\r\nX-Api-Key:',
    'X-Api-Key: key\r\n -a',
    'X_Api_Key: key-a',
    'X-Api-Key : key-a',
    'X-Api-Keys: key-a',
    'Lentildeal-Tenant: a',
    'Authorization: Bearer key-a',
    'Cookie: X-Api-Key=key-a',
    'X-Api-Key: a',
    f'X-Api-Key: {"key-a" * 200}',
]


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


def send(connection, head, target='/desk/1', body='{"X-Api-Key":"key-a"}'):
    """Sends a request and returns its status."""
    lines = [
        f'POST {target} HTTP/1.1',
        f'Host: {HOST}',
        'Lentildeal-Request-Id: c1',
        f'Content-Length: {len(body)}',
        *([head] if head else []),
    ]
    data = '\r\n'.join(lines) + '\r\n\r\n' + body
    connection.sendall(data.encode('latin-1'))
    response = http.client.HTTPResponse(connection, method='POST')
    response.begin()
    response.read()
    return response.status


def open_connection(daemon):
    """Connects to a daemon."""
    return socket.create_connection(('127.0.0.1', daemon.port), timeout=10)


def test_only_the_exact_key_names_its_account(launcher):
    """Guards against the account of another client, and passed-on keys."""
    route = platform_world.make_route('open', '/open/', 'safe', 'desk')
    world = platform_world.World(launcher, daemons=1, accounts=KEYS)
    world.write_text(2, [{**route, 'Public': True}], KEYS)
    (daemon,) = world.daemons
    processes.wait_for(
        lambda: test_accounts.call(daemon, None, '/open/1') == 200,
        'the public route is served',
    )
    with open_connection(daemon) as connection:
        for head, account in PROPER:
            assert send(connection, head) == 200, head
            # The key of an earlier request on the connection does not count.
            assert send(connection, '') == 401, head
    ran = len(test_accounts.list_runs(world))
    for head in ODD:
        with open_connection(daemon) as connection:
            assert send(connection, head) in (400, 401), head
        with open_connection(daemon) as connection:
            target = '/desk/1?X-Api-Key=key-a'
            assert send(connection, head, target) in (400, 401), head
        with open_connection(daemon) as connection:
            # Nobody has to be known here, and nobody is.
            assert send(connection, head, '/open/1') in (200, 400), head
    runs = test_accounts.list_runs(world)
    accounts = [run['account'] for run in runs]
    assert accounts[1:ran] == [account for _, account in PROPER]
    assert set(accounts[ran:]) == {None}
    for run in runs:
        assert "'x-api-key'" not in run['headers'].lower()
    for run in runs[:ran]:
        assert 'key-' not in run['headers'].lower()
    output = daemon.output_path.read_text() + daemon.errors
    assert 'key-' not in output.lower()


def test_keys_inside_a_job_have_no_effect(launcher):
    """Guards against items that run for another account than the job's."""
    world = platform_world.World(launcher, daemons=1, accounts=KEYS)
    (daemon,) = world.daemons
    items = ('item0', 'item1', 'item2', 'item3')
    odd_names = ('X-Api-Key', 'x-api-key', 'X_API_KEY', 'Lentildeal-Tenant')
    job = platform_world.make_scored_job(items, ApiKey='key-b', Tenant='b')
    for entry, name in zip(job['Entries'], odd_names, strict=True):
        entry['Headers'][name] = 'b' if 'Tenant' in name else 'key-b'
        entry['ApiKey'] = 'key-b'
        entry['Body'] = base64.b64encode(b'X-Api-Key: key-b').decode()
        entry['Scorer']['ApiKey'] = 'key-b'
    assert platform_world.submit(daemon, 'job', job) == 401
    submit = platform_world.submit
    assert submit(daemon, 'job', job, X_Api_Key='key-a') == 202
    results = world.read_all(daemon, 'job', X_Api_Key='key-a')
    assert {result['State'] for result in results} == {'done'}
    assert test_accounts.call(daemon, 'key-b', '/lots/job', 'GET') == 404
    runs = [r for e in world.engines for r in e.read_journal()['runs']]
    assert {run['account'] for run in runs} == {'a'}
    scores = world.plain.read_journal()['runs']
    assert len(scores) >= len(items)
    assert {run['account'] for run in scores} == {None}
    for run in runs + scores:
        assert 'key-b' not in run['headers']
    test_accounts.check_no_key_left(world)
