"""Keys that change while daemons are cut off, frozen or restarted."""

import contextlib
import json
import signal
import socket

import pytest

from lentildeal._internal.accounts import authentication
from tests.functional import test_accounts
from tests.lib import platform_world
from tests.lib import processes

HOST = platform_world.HOST
KEYS = {'a': ['key-a', 'key-old'], 'b': ['key-b']}
CHANGED = {'a': ['key-a', 'key-new'], 'b': []}
call = test_accounts.call


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


@contextlib.contextmanager
def silent_address():
    """Address whose connections are accepted and never answered."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield f'127.0.0.1:{listener.getsockname()[1]}'


def set_store(launcher, daemon, address):
    """Makes a daemon use another address of the store."""
    path = launcher.directory / f'{daemon.name}.jsonc'
    settings = json.loads(path.read_text())
    settings['store']['address'] = address
    path.write_text(json.dumps(settings))
    reloads = len(daemon.read_events('settings_reloaded'))
    daemon.signal(signal.SIGHUP)
    processes.wait_for(
        lambda: len(daemon.read_events('settings_reloaded')) > reloads,
        'the settings are reloaded',
    )


def wait_for_status(daemon, key, status):
    """Waits until a key gets a status; only 503 may come before."""
    seen = set()

    def is_reached():
        seen.add(call(daemon, key))
        return status in seen

    processes.wait_for(is_reached, f'{daemon.name} answers {status}')
    return seen


def test_added_and_removed_keys_are_in_force_at_every_daemon(launcher):
    """Guards against a daemon that keeps an earlier set of keys."""
    world = platform_world.World(launcher, accounts=KEYS)
    for daemon in world.daemons:
        assert call(daemon, 'key-new') == 401
        assert [call(daemon, k) for k in ('key-old', 'key-b')] == [200, 200]
    world.write_text(2, accounts=CHANGED)
    for daemon in world.daemons:
        wait_for_status(daemon, 'key-new', 200)
        # The text that adds the one key removes the others.
        assert [call(daemon, k) for k in ('key-old', 'key-b')] == [401, 401]
        assert call(daemon, 'key-a') == 200
    world.write_text(1, accounts=KEYS)
    world.write_text(2, accounts=KEYS)
    for daemon in world.daemons:
        for _ in range(20):
            assert call(daemon, 'key-old') == 401


def test_invalid_accounts_leave_the_earlier_ones_in_force(launcher):
    """Guards against a text that lets in nobody, everybody or the wrong."""
    world = platform_world.World(launcher, daemons=1, accounts=KEYS)
    (daemon,) = world.daemons
    twice = {'a': ['key-a', 'key-b'], 'b': ['key-b']}
    world.write_text(2, accounts=twice)
    (event,) = processes.wait_for(
        lambda: daemon.read_events('record_ignored'), 'the text is rejected'
    )
    assert 'Tenants[1].ApiKeys' in event['reason']
    assert [call(daemon, k) for k in ('key-a', 'key-old')] == [200, 200]
    assert call(daemon, 'key-none') == 401
    test_accounts.check_no_key_left(world)


@pytest.mark.parametrize('is_silent', [False, True])
def test_daemon_that_is_cut_off_serves_what_it_knows(launcher, is_silent):
    """Guards against 401 for a new key, and against an outage of all."""
    world = platform_world.World(launcher, daemons=2, accounts=KEYS)
    cut_off, other = world.daemons
    with silent_address() as silent:
        address = silent
        if not is_silent:
            address = f'127.0.0.1:{processes.find_free_port()}'
        set_store(launcher, cut_off, address)
        # A read that was in progress still uses the earlier address.
        processes.wait_for(
            lambda: any(
                event['dependency'] == 'keyed.op'
                for event in cut_off.read_events('dependency_lost')
            ),
            'the daemon notices that it cannot read the text',
        )
        world.write_text(2, accounts=CHANGED)
        wait_for_status(other, 'key-new', 200)
        assert call(cut_off, 'key-a') == 200
        assert call(cut_off, 'key-old') == 200
        assert call(cut_off, 'key-new') == 503
        assert call(cut_off, 'key-none') == 503
        assert call(cut_off) == 401
        ran = {run['id'] for run in test_accounts.list_runs(world)}
        assert ran == {'c1'}
    set_store(launcher, cut_off, world.store.address)
    assert wait_for_status(cut_off, 'key-new', 200) <= {200, 503}
    assert call(cut_off, 'key-old') == 401
    test_accounts.check_no_key_left(world)


def test_restarted_daemon_without_the_store_refuses_as_not_run(launcher):
    """Guards against 401 for proper keys, and calls without any check."""
    world = platform_world.World(launcher, daemons=1, accounts=KEYS)
    (daemon,) = world.daemons
    world.write_text(2, accounts=CHANGED)
    wait_for_status(daemon, 'key-new', 200)
    world.store.set_faults(down=True)
    daemon.kill()
    started = world.start_daemon('n0', daemon.port)

    def answers():
        with contextlib.suppress(OSError):
            return call(started, 'key-new')

    assert processes.wait_for(answers, 'it listens') == 503
    for key in (None, 'key-a', 'key-old', 'key-none'):
        assert call(started, key) == 503
        assert call(started, key, '/lots/job', 'GET') == 503
    world.store.set_faults(down=False)
    assert wait_for_status(started, 'key-new', 200) == {503, 200}
    assert call(started, 'key-old') == 401


def test_frozen_daemon_does_not_serve_a_key_that_was_removed(launcher):
    """Guards against the text from before the daemon was frozen."""
    world = platform_world.World(launcher, daemons=2, accounts=KEYS)
    frozen, other = world.daemons
    frozen.signal(signal.SIGSTOP)
    world.write_text(2, accounts=CHANGED)
    wait_for_status(other, 'key-new', 200)
    # Older than the age up to which a known key is served at once.
    with contextlib.suppress(TimeoutError):
        age_s = authentication.KNOWN_KEY_AGE_S + 0.5
        processes.wait_for(lambda: False, 'time passes', age_s)
    frozen.signal(signal.SIGCONT)
    assert call(frozen, 'key-old') == 401
    assert call(frozen, 'key-new') == 200


def test_job_goes_on_when_its_account_loses_its_keys(launcher):
    """Guards against a job that ends with the key that submitted it."""
    world = platform_world.World(launcher, daemons=2, accounts=KEYS)
    first, second = world.daemons
    items = tuple(f'item{number}' for number in range(30))
    job = platform_world.make_job(items)
    submit = platform_world.submit
    assert submit(first, 'job', job, X_Api_Key='key-old') == 202
    world.write_text(2, accounts={'a': [], 'b': ['key-b']})
    for daemon in (first, second):
        wait_for_status(daemon, 'key-a', 401)
        assert call(daemon, 'key-a', '/lots/job', 'GET') == 401
        assert call(daemon, 'key-b', '/lots/job', 'GET') == 404
    first.kill()
    world.write_text(3, accounts={'a': ['key-back'], 'b': ['key-b']})
    wait_for_status(second, 'key-back', 200)
    results = world.read_all(second, 'job', X_Api_Key='key-back')
    assert sorted(r['Id'] for r in results) == sorted(items)
    assert {r['State'] for r in results} == {'done'}
    runs = [r for e in world.engines for r in e.read_journal()['runs']]
    assert {run['account'] for run in runs} == {'a'}
    assert call(second, 'key-back', '/lots/job', 'DELETE') == 200
