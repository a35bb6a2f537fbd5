"""Publishing with daemon processes and the client."""

import concurrent.futures
import contextlib
import json
import os
import pathlib
import random
import subprocess
import sys
import threading
import time

import pytest

from lentildeal._internal.cli import server as server_module
from lentildeal._internal.cli import status_codes
from lentildeal._internal.commands import config_publish
from tests.lib import config_texts
from tests.lib import federation as federation_module
from tests.lib import processes

SEED = 20261204
RACES = 100


@pytest.fixture
def federation():
    """Starts a platform without targets."""
    with federation_module.Federation() as started:
        yield started


def add_daemons(federation):
    """Starts daemons; they stay unready until the first text is published."""
    daemons = [federation.add_daemon(f'{d}1', d) for d in ('a', 'b', 'c')]
    for daemon in daemons:
        processes.wait_for(lambda: is_up(daemon), f'{daemon.name} answers')
    return daemons


def is_up(daemon):
    """Whether a daemon responds to requests."""
    try:
        return daemon.call('GET', '/healthz')[0] == 200
    except OSError:
        return False


def read_log(federation):
    """Reads the complete stream; returns the bodies by offset."""
    path = '/streams/config?from=0'
    records = federation.log.call('GET', path)[1]['records']
    return {record['offset']: record['body'] for record in records}


def find_revisions(bodies):
    """Returns -1 and the offsets of the accepted edits (the oracle)."""
    accepted = [-1]
    for offset, body in bodies.items():
        if body['kind'] == 'edit' and body['base'] == accepted[-1]:
            accepted.append(offset)
    return accepted


def publish(servers, author, base):
    """Publishes with the client's code; returns the result."""
    command = config_publish.ConfigPublish(
        server=None, file=pathlib.Path('-'), base=base, author=author
    )
    text = config_texts.dump_text(federation=author)
    return command.publish(server_module.Server(servers, False), text)


def run_client(federation, *arguments, text=''):
    """Runs the client against all daemons; returns the process."""
    servers = ','.join(d.address for d in federation.daemons.values())
    path = os.pathsep.join([str(processes.ROOT / 'src')])
    module = 'lentildeal._internal.cli.main'
    return subprocess.run(
        [sys.executable, '-m', module, *arguments, '--server', servers],
        input=text,
        capture_output=True,
        text=True,
        cwd=processes.ROOT,
        env={**os.environ, 'PYTHONPATH': path},
        timeout=120,
    )


def get_revisions(federation):
    """Returns the revision in effect at each daemon."""
    return {
        name: daemon.call('GET', '/v1/config')[1]['revision']
        for name, daemon in federation.daemons.items()
    }


def wait_in_effect(federation, revision):
    """Waits until all daemons have a revision."""
    processes.wait_for(
        lambda: set(get_revisions(federation).values()) == {revision},
        f'revision {revision} is in effect',
    )


@contextlib.contextmanager
def detect_reverts(federation):
    """Polls the revisions of all daemons and fails if one decreases."""
    reverts, highest = [], {}
    is_over = threading.Event()

    def watch():
        is_last = False
        while not is_last:
            is_last = is_over.is_set()
            daemons = list(federation.daemons.values())
            for daemon in filter(is_up, daemons):
                revision = daemon.call('GET', '/v1/config')[1]['revision']
                if revision < highest.get(daemon.name, -1):
                    reverts.append((daemon.name, highest, revision))
                highest[daemon.name] = revision
            time.sleep(0.02)

    watcher = threading.Thread(target=watch)
    watcher.start()
    try:
        yield
    finally:
        is_over.set()
        watcher.join()
    assert reverts == []
    assert highest == get_revisions(federation)


def test_each_of_100_races_has_one_winner(federation):
    """Lost responses cause two accepted edits, none, or a wrong report."""
    daemons = add_daemons(federation)
    federation.log.set_faults(lose_answers=0.4, garble_answers=0.1)
    generator = random.Random(SEED)
    revision, outcomes = -1, []
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        for race in range(RACES):
            count = generator.randint(2, 4)
            authors = [f'race{race}-{n}' for n in range(count)]
            orders = [generator.sample(daemons, 3) for _ in authors]
            addresses = [[d.address for d in order] for order in orders]
            results = list(
                pool.map(publish, addresses, authors, [revision] * count)
            )
            bodies = read_log(federation)
            winners = [
                offset
                for offset in find_revisions(bodies)
                if offset > revision
            ]
            assert len(winners) == 1, (race, results)
            (revision,) = winners
            for author, result in zip(authors, results):
                is_winner = bodies[revision]['author'] == author
                assert result['verdict'] == (
                    'accepted' if is_winner else 'conflict'
                )
                outcomes.append(result['verdict'])
    assert outcomes.count('accepted') == RACES
    appends = federation.log.read_journal()['appends']
    assert sum(not append['answered'] for append in appends) > RACES // 2
    wait_in_effect(federation, revision)
    (daemon, *_) = daemons
    history = daemon.call('GET', '/v1/config/history')[1]['records']
    accepted = [r['revision'] for r in history if r['verdict'] == 'accepted']
    assert accepted == find_revisions(read_log(federation))[1:]


def test_publish_after_a_log_outage_is_in_effect(federation):
    """A log outage reverts the text, or later edits have no effect."""
    add_daemons(federation)
    text = config_texts.dump_text()
    with detect_reverts(federation):
        wanted = ('config', 'publish', '-', '--wait', '--base')
        result = run_client(federation, *wanted, '-1', text=text)
        assert result.returncode == status_codes.Status.OK, result.stderr
        federation.log.set_faults(down=True)
        result = run_client(federation, *wanted, '0', text=text)
        assert result.returncode == status_codes.Status.REFUSED
        assert 'nothing was published' in result.stderr
        # Owners of replicas append terms to another stream, sometimes between
        # the publish command and the outage.
        appends = federation.log.read_journal()['appends']
        edits = [a for a in appends if a['stream'] == 'config']
        assert edits[1:] == []
        joined = federation.add_daemon('d1', 'a')
        processes.wait_for(joined.is_ready, 'a daemon joins')
        assert get_revisions(federation)['d1'] == 0
        result = run_client(federation, 'config', 'show')
        assert (result.returncode, result.stdout) == (0, text)
        federation.log.set_faults(down=False)
        result = run_client(federation, *wanted, '0', text=text + ' ')
        assert result.returncode == status_codes.Status.OK, result.stderr
        assert 'in effect at all live members' in result.stdout
        assert set(get_revisions(federation).values()) == {1}


def test_refused_texts_change_nothing(federation):
    """A daemon that doesn't check the text itself publishes a bad one."""
    daemon = add_daemons(federation)[0]
    text = config_texts.dump_text()
    run_client(federation, 'config', 'publish', '-', '--base=-1', text=text)
    wait_in_effect(federation, 0)
    dangling = config_texts.make_text()
    dangling['services'] = {'s': {'club': 'nobody', 'target': 'nowhere'}}
    unknown = {**config_texts.make_text(), 'clubbs': {}}
    for bad in ('{', json.dumps(dangling), json.dumps(unknown)):
        body = {'base': 0, 'text': bad, 'author': 'x', 'edit_id': 'bad'}
        status, response = daemon.call('POST', '/v1/config', body)
        assert status == 422 and response['faults'], response
    _, shown = daemon.call('GET', '/v1/config')
    assert (shown['revision'], shown['text']) == (0, text)
    assert list(read_log(federation)) == [0]


def test_commands_reach_the_daemons(federation):
    """A command requests a route that the daemons don't have."""
    add_daemons(federation)
    text = config_texts.dump_text()
    run_client(federation, 'config', 'publish', '-', '--base=-1', text=text)
    wait_in_effect(federation, 0)
    changed = config_texts.make_text(federation='other')
    changed['targets']['engines']['replicas']['a'].append('127.0.0.1:7009')
    result = run_client(
        federation, 'config', 'diff', '-', text=json.dumps(changed)
    )
    assert result.returncode == status_codes.Status.DIFFERENT
    assert 'targets.engines.replicas.a' in result.stdout
    assert '"other"' in result.stdout
    for words in (
        ('config', 'history'),
        ('status',),
        ('status', '--all'),
        ('report', 'burn'),
    ):
        for form in ('table', 'json'):
            result = run_client(federation, *words, '--format', form)
            assert result.returncode == 0, result.stderr
            assert form == 'table' or json.loads(result.stdout)
    result = run_client(federation, 'drain', 'nobody')
    assert result.returncode == status_codes.Status.USAGE
    processes.wait_for(
        lambda: run_client(federation, 'drain', 'b1').returncode == 0,
        'b1 is known and drains',
    )
    assert federation.daemons['b1'].wait() == 0


def test_append_that_hangs_takes_effect_once(federation):
    """An edit that was appended again after a timeout takes effect twice."""
    daemons = add_daemons(federation)
    addresses = [daemon.address for daemon in daemons]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        federation.log.set_faults(hang=True)
        future = pool.submit(publish, addresses, 'ann', -1)
        # An append times out after 2 s, so several copies are sent meanwhile.
        time.sleep(5)
        federation.log.set_faults(hang=False)
        result = future.result()
    assert result['verdict'] == 'accepted'
    assert find_revisions(read_log(federation)) == [-1, result['revision']]
    wait_in_effect(federation, result['revision'])


def test_text_outlives_the_retention_of_the_log():
    """A daemon that starts after the log dropped the edit has no text."""
    with federation_module.Federation(retention=30) as federation:
        snapshots = {'snapshots': {'records': 10}}
        federation.publish(config_texts.dump_text())
        federation.add_daemons({'a': 2}, **snapshots)

        def append_until_dropped():
            federation.log.call('POST', '/streams/config', {'kind': 'other'})
            return min(read_log(federation)) > 0

        processes.wait_for(append_until_dropped, 'the edit is dropped')
        processes.wait_for(
            lambda: (
                'snapshot'
                in [body['kind'] for body in read_log(federation).values()]
            ),
            'a snapshot is appended',
        )
        for daemon in federation.daemons.values():
            daemon.kill()
        federation.daemons.clear()
        (daemon,) = federation.add_daemons({'b': 1}, **snapshots)
        text = json.dumps(config_texts.make_text(federation='next'))
        result = run_client(
            federation, 'config', 'publish', '-', '--base', '0', text=text
        )
        assert result.returncode == status_codes.Status.OK, result.stderr
