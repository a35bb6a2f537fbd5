"""Client accounts at daemons that use the platform's stand-ins."""

import pytest

from tests.lib import platform_world
from tests.lib import processes

HOST = platform_world.HOST
ITEMS = ('item0', 'item1', 'item2', 'item3')
KEYS = {'a': ['key-a', 'key-a2'], 'b': ['key-b'], 'empty': []}


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


def call(daemon, key=None, path='/desk/1', method='POST', **headers):
    """Sends a request and returns its status."""
    if key is not None:
        headers['X-Api-Key'] = key
    return daemon.call(
        method, path, Host=HOST, Lentildeal_Request_Id='c1', **headers
    )[0]


def list_runs(world):
    """Returns what all replicas ran."""
    replicas = [world.plain, *world.engines]
    return [run for r in replicas for run in r.read_journal()['runs']]


def check_no_key_left(world):
    """Checks that no key is in a log or in a request to a replica."""
    texts = [repr(run) for run in list_runs(world)]
    for daemon in world.daemons:
        texts += [daemon.output_path.read_text(), daemon.errors]
    for text in texts:
        assert 'key-' not in text


def test_only_known_keys_are_served_and_replicas_get_the_account(launcher):
    """Guards against a call without a key, and a key sent to a replica."""
    world = platform_world.World(launcher, daemons=1, accounts=KEYS)
    (daemon,) = world.daemons
    assert call(daemon, 'key-a', Lentildeal_Tenant='b') == 200
    assert call(daemon, 'key-b', lentildeal_tenant='a') == 200
    assert [run['account'] for run in list_runs(world)] == ['a', 'b']
    for key in (None, '', 'key-c', 'KEY-A', 'key-a,key-b'):
        assert call(daemon, key) == 401
        assert call(daemon, key, '/unknown') == 401
        assert call(daemon, key, '/rollouts/1') == 401
        assert call(daemon, key, '/lots/1', 'GET') == 401
    assert call(daemon, 'key-a', '/unknown') == 404
    assert len(list_runs(world)) == 2
    check_no_key_left(world)


def test_job_belongs_to_the_account_that_submitted_it(launcher):
    """Guards against results that another account reads or ends."""
    world = platform_world.World(launcher, daemons=2, accounts=KEYS)
    first, second = world.daemons
    job = platform_world.make_job(ITEMS)
    for entry in job['Entries']:
        entry['Headers']['X-Api-Key'] = 'key-b'
        entry['Headers']['Lentildeal-Tenant'] = 'b'
    assert platform_world.submit(first, 'job', job) == 401
    submit = platform_world.submit
    assert submit(first, 'job', job, X_Api_Key='key-a') == 202
    # Another key of the account, at another daemon, right after the 202.
    assert submit(second, 'job', job, X_Api_Key='key-a2') == 202
    results = world.read_all(second, 'job', X_Api_Key='key-a2')
    assert sorted(r['Id'] for r in results) == sorted(ITEMS)
    assert {run['account'] for run in list_runs(world)} == {'a'}
    item = '/items/job?Id=item0'
    for path, method in (
        ('/lots/job', 'GET'),
        (item, 'GET'),
        ('/lots/job', 'DELETE'),
    ):
        assert call(second, 'key-b', path, method) == 404
        assert call(second, None, path, method) == 401
        assert call(second, 'key-c', path, method) == 401
    assert submit(second, 'job', job, X_Api_Key='key-b') == 404
    assert call(second, 'key-a', item, 'GET') == 200
    assert call(first, 'key-a', '/lots/job', 'DELETE') == 200
    assert call(second, 'key-a2', '/lots/job', 'DELETE') == 200
    check_no_key_left(world)
