"""Daemon processes that use the platform's stand-ins."""

import concurrent.futures
import contextlib
import http.client
import os
import signal
import subprocess
import sys
import time

import pytest

from tests.lib import platform_world
from tests.lib import processes

ITEMS = tuple(f'item{number}' for number in range(12))
# The stand-ins generate ten events in this time.
FIRST_EVENTS_S = 0.3
HOST = platform_world.HOST


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


def find_lease_holder(world, lease=f'jobs/{platform_world.MODEL}'):
    """Returns the daemon that claimed a lease last."""

    def find_last_claim():
        claims = [
            (event['term'], daemon)
            for daemon in world.daemons
            for event in daemon.read_events('duty_claimed')
            if event['duty'] == lease
        ]
        return max(claims, key=lambda claim: claim[0], default=None)

    return processes.wait_for(find_last_claim, f'a holder of {lease}')[1]


def check_results(results, items=ITEMS, events=10):
    """Checks that each item came once, complete and by version 1."""
    assert sorted(r['Id'] for r in results) == sorted(items)
    for result in results:
        assert result['State'] == 'done'
        assert result['Versions'] == [1]
        assert result['Text'] == platform_world.expected_text(
            result['Id'], events
        )


def test_job_is_the_same_at_every_daemon(launcher):
    """Guards against daemons that disagree on a job or its results."""
    world = platform_world.World(launcher)
    first, second, third = world.daemons
    job = platform_world.make_job(ITEMS)
    assert platform_world.submit(first, 'job', job) == 202
    assert platform_world.submit(second, 'job', job) == 202
    status, body = third.call('GET', '/items/job?Id=item3', Host=HOST)
    assert (status, body) in ((200, b'item3'),)
    results = world.read_all(second, 'job')
    check_results(results)
    assert world.read_all(third, 'job') == results
    for _ in range(2):
        assert third.call('DELETE', '/lots/job', Host=HOST)[0] == 200
    assert world.read_all(first, 'job') == results
    assert first.call('GET', '/lots/none', Host=HOST)[0] == 404


def test_results_survive_the_end_of_all_daemons(launcher):
    """Guards against state that is only in the memory of daemons."""
    world = platform_world.World(launcher)
    job = platform_world.make_job(ITEMS)
    assert platform_world.submit(world.daemons[0], 'job', job) == 202
    results = world.read_all(world.daemons[1], 'job')
    for daemon in world.daemons:
        daemon.kill()
    new_daemon = world.start_daemon('n9')
    processes.wait_for(new_daemon.is_ready, 'the new daemon is ready')
    assert world.read_all(new_daemon, 'job') == results
    assert platform_world.submit(new_daemon, 'job', job) == 202


def test_job_goes_on_after_its_holder_was_killed(launcher):
    """Guards against a job that is lost with the daemon that runs it."""
    world = platform_world.World(launcher, events=60)
    holder = find_lease_holder(world)
    other = next(d for d in world.daemons if d is not holder)
    job = platform_world.make_job(ITEMS)
    assert platform_world.submit(holder, 'job', job) == 202
    processes.wait_for(lambda: holder.read_events('item_started'), 'items run')
    holder.kill()
    check_results(world.read_all(other, 'job'), events=60)


def test_planned_stop_hands_a_job_over_with_its_progress(launcher):
    """Guards against items that restart from the beginning after a drain."""
    world = platform_world.World(launcher, events=80)
    holder = find_lease_holder(world)
    other = next(d for d in world.daemons if d is not holder)
    job = platform_world.make_job(ITEMS[:4])
    assert platform_world.submit(other, 'job', job) == 202
    processes.wait_for(
        lambda: len(holder.read_events('item_started')) >= 4, 'items run'
    )
    # Only an item with an event can be resumed.
    started_s = time.monotonic()
    processes.wait_for(
        lambda: time.monotonic() > started_s + FIRST_EVENTS_S, 'events come'
    )
    holder.signal(signal.SIGTERM)
    check_results(world.read_all(other, 'job'), ITEMS[:4], events=80)
    assert holder.wait() == 0
    runs = [run for e in world.engines for run in e.read_journal()['runs']]
    resumed = [run for run in runs if run['after'] is not None]
    assert len(resumed) >= 4


@pytest.mark.parametrize('fault', ['cut', 'foreign', 'full'])
def test_broken_runs_give_whole_texts(launcher, fault):
    """Guards against texts with gaps, doubled events or foreign responses."""
    world = platform_world.World(launcher, daemons=1)
    for engine in world.engines:
        engine.set_faults(**{fault: 4})
    job = platform_world.make_job(ITEMS)
    assert platform_world.submit(world.daemons[0], 'job', job) == 202
    check_results(world.read_all(world.daemons[0], 'job'))


def test_error_after_a_broken_run_is_not_part_of_the_text(launcher):
    """Guards against the error of the next replica within a text.

    A stream breaks off, and the replica that should go on answers an error.
    More attempts are allowed than there are errors, so that no item may be
    given up.
    """
    world = platform_world.World(launcher, daemons=1)
    route = platform_world.make_route(
        'rollouts', '/rollouts/', 'rollout', 'engines'
    )
    world.write_text(2, Routes=[{**route, 'MaxAttempts': 7}])
    (daemon,) = world.daemons
    processes.wait_for(
        lambda: daemon.read_events('text_applied')[-1]['version'] == 2,
        'the text with more attempts',
    )
    first, second = world.engines
    first.set_faults(cut=4)
    second.set_faults(fail=6)
    job = platform_world.make_job(ITEMS)
    assert platform_world.submit(world.daemons[0], 'job', job) == 202
    check_results(world.read_all(world.daemons[0], 'job'))
    runs = [r for e in world.engines for r in e.read_journal()['runs']]
    assert any(run['after'] is not None for run in runs)


@pytest.mark.parametrize('is_resumable', [False, True])
def test_live_stream_that_breaks_off_is_not_continued_by_an_error(
    launcher, is_resumable
):
    """Guards against an error, or an end mark, in the middle of a stream."""
    world = platform_world.World(launcher, daemons=1, engines=2)
    route = platform_world.make_route('live', '/live/', 'stream', 'engines')
    world.write_text(2, [{**route, 'Resumable': is_resumable}])
    for engine in world.engines:
        # The engines differ only in what follows: three events, or an error.
        engine.set_faults(cut=100)
    (daemon,) = world.daemons

    def stream(number):
        connection = http.client.HTTPConnection(
            '127.0.0.1', daemon.port, timeout=10
        )
        with contextlib.closing(connection):
            headers = {
                'Host': HOST,
                'Lentildeal-Request-Id': f's{number}',
                'Lentildeal-Deadline-Ms': '5000',
                'Lentildeal-Model': platform_world.MODEL,
            }
            connection.request('POST', '/live/x', b'{}', headers)
            response = connection.getresponse()
            if response.status != 200:
                response.read()
                return response.status, b''
            found = b''
            # A stream that looks complete ends without this error.
            with pytest.raises(http.client.IncompleteRead):
                while True:
                    part = response.read1()
                    if not part:
                        return 200, b'complete'
                    found += part
            return 200, found

    processes.wait_for(lambda: stream('first')[0] == 200, 'the route is known')
    world.engines[1].set_faults(cut=0, fail=100)
    for number in range(6):
        status, found = stream(number)
        assert (status, found) in (
            (500, b''),
            (200, b''.join(make_event(f's{number}', n) for n in range(3))),
        )


def make_event(request_id, number):
    """Event that the stand-in generates."""
    return f'id: {number}\ndata: {request_id}/{number}\n\n'.encode()


def test_item_that_always_fails_is_given_up(launcher):
    """Guards against an item that is retried forever."""
    world = platform_world.World(launcher, daemons=1, engines=1)
    world.engines[0].set_faults(fail=100)
    job = platform_world.make_job(['bad'])
    assert platform_world.submit(world.daemons[0], 'job', job) == 202
    (result,) = world.read_all(world.daemons[0], 'job')
    assert result['State'] == 'down'
    assert len(world.engines[0].read_journal()['runs']) == 3


@pytest.mark.parametrize(
    'fault', ['lose_answers', 'late_appends', 'refuse_appends']
)
def test_job_is_accepted_once_whatever_the_store_does(launcher, fault):
    """Guards against a false refusal and against a second acceptance."""
    world = platform_world.World(launcher)
    world.store.set_faults(**{fault: 2})
    job = platform_world.make_job(ITEMS)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        statuses = list(
            pool.map(
                lambda daemon: platform_world.submit(daemon, 'job', job),
                world.daemons,
            )
        )
    assert set(statuses) <= {202, 504}
    assert 202 in statuses
    check_results(world.read_all(world.daemons[0], 'job'))


def test_store_that_is_down_means_a_refusal(launcher):
    """Guards against a job that is accepted without being stored."""
    world = platform_world.World(launcher, daemons=1)
    world.store.set_faults(down=True)
    job = platform_world.make_job(ITEMS)
    assert platform_world.submit(world.daemons[0], 'job', job) == 503
    assert (
        world.daemons[0].call(
            'POST', '/desk/1', Host=HOST, Lentildeal_Request_Id='c1'
        )[0]
        == 200
    )
    world.store.set_faults(down=False)
    daemon = world.daemons[0]
    processes.wait_for(
        lambda: daemon.call('GET', '/lots/job', Host=HOST)[0] == 404,
        'the daemon is sure that there is no such job',
    )


def test_invalid_job_is_refused_with_its_fault(launcher):
    """Guards against a job that no daemon can run."""
    world = platform_world.World(launcher, daemons=1)
    job = platform_world.make_job(ITEMS)
    del job['Entries'][3]['Path']
    status, problem = world.daemons[0].call(
        'POST',
        '/rollouts/job',
        job,
        Host=HOST,
        Lentildeal_Request_Id='job',
    )
    assert status == 400
    assert 'item3' in problem['detail'] and 'Path' in problem['detail']


def test_named_version_is_loaded_by_one_holder(launcher):
    """Guards against orders of two lease holders and against idle replicas."""
    world = platform_world.World(launcher, engines=2)
    world.announce_version(2)

    def is_loaded():
        orders = [
            order
            for engine in world.engines
            for order in engine.read_journal()['orders']
        ]
        return [o for o in orders if o['Version'] == 2] or None

    orders = processes.wait_for(is_loaded, 'a replica is ordered')
    assert len({order['Holder'] for order in orders}) == 1
    assert len({order['Fence'] for order in orders}) == 1
    job = platform_world.make_job(ITEMS, min_version=2)
    assert platform_world.submit(world.daemons[0], 'job', job) == 202
    results = world.read_all(world.daemons[0], 'job')
    assert {tuple(r['Versions']) for r in results} == {(2,)}


def test_answer_of_another_request_is_not_passed_on(launcher):
    """Guards against a caller that gets the response to another one."""
    world = platform_world.World(launcher, daemons=1)
    world.plain.set_faults(foreign=1)
    status, _ = world.daemons[0].call(
        'POST', '/once/1', Host=HOST, Lentildeal_Request_Id='c1'
    )
    assert status == 504
    assert [r['id'] for r in world.plain.read_journal()['runs']] == ['c1']


def test_unknown_route_is_404_and_a_new_one_is_served(launcher):
    """Guards against a new text that does not take effect."""
    world = platform_world.World(launcher, daemons=1)
    daemon = world.daemons[0]

    def status():
        return daemon.call(
            'POST', '/new/1', Host=HOST, Lentildeal_Request_Id='c2'
        )[0]

    assert status() == 404
    route = platform_world.make_route('new', '/new/', 'safe', 'desk')
    world.write_text(2, [route])
    processes.wait_for(lambda: status() == 200, 'the new route is served')


def test_leaving_replica_gets_no_more_calls(launcher):
    """Guards against calls to a replica that has announced its stop."""
    world = platform_world.World(launcher, daemons=1)
    daemon = world.daemons[0]
    world.write_replica('p0', 'desk', world.plain.address, {}, 'draining')
    processes.wait_for(
        lambda: (
            daemon.call(
                'POST', '/desk/1', Host=HOST, Lentildeal_Request_Id='c3'
            )[0]
            == 503
        ),
        'the replica is left alone',
    )


def test_replica_that_says_it_is_leaving_gets_no_more_requests(launcher):
    """Guards against requests to a replica whose entry does not say so yet.

    Some replicas never announce their stop in the directory.
    """
    world = platform_world.World(launcher, daemons=1)
    (daemon,) = world.daemons
    leaving, other = world.engines
    leaving.set_faults(leaving=1)
    world.plain.set_faults(leaving=1)
    job = platform_world.make_job(ITEMS)
    assert platform_world.submit(daemon, 'job', job) == 202
    check_results(world.read_all(daemon, 'job'))
    status, _ = daemon.call(
        'POST', '/desk/1', Host=HOST, Lentildeal_Request_Id='c1'
    )
    assert status == 200
    # An entry that is written again still says that it is ready.
    world.write_replica('p0', 'desk', world.plain.address, {})
    world.write_replica(
        'r0', 'engines', leaving.address, {platform_world.MODEL: 1}
    )
    ran = len(leaving.read_journal()['runs'])
    items = tuple(f'second-{number}' for number in range(8))
    job = platform_world.make_job(items)
    assert platform_world.submit(daemon, 'second', job) == 202
    check_results(world.read_all(daemon, 'second'), items)
    for number in range(5):
        status, _ = daemon.call(
            'POST', '/desk/1', Host=HOST, Lentildeal_Request_Id=f'd{number}'
        )
        assert status == 503
    assert len(leaving.read_journal()['runs']) == ran
    assert len(world.plain.read_journal()['runs']) == 1
    assert len(other.read_journal()['runs']) >= len(items)


def test_hangup_signal_ends_no_daemon_that_loads_its_modules():
    """Guards against a daemon that a change of its settings ends at start."""
    code = """
import os, signal, sys
class Finder:
    def find_spec(self, name, *_):
        if name == 'eventlet':
            os.kill(os.getpid(), signal.SIGHUP)
            print('alive', flush=True)
            os._exit(0)
sys.meta_path.insert(0, Finder())
import lentildeal._internal.kernel.main
"""
    found = subprocess.run(
        [sys.executable, '-c', code],
        env={**os.environ, 'PYTHONPATH': str(processes.ROOT / 'src')},
        capture_output=True,
        check=False,
    )
    assert (found.returncode, found.stdout) == (0, b'alive\n')


def test_hangup_signal_reloads_the_settings(launcher):
    """Guards against a daemon that exits when its settings change."""
    world = platform_world.World(launcher, daemons=1)
    daemon = world.daemons[0]
    path = launcher.directory / f'{daemon.name}.jsonc'
    text = path.read_text()
    path.write_text('{ "instance": 7')
    daemon.signal(signal.SIGHUP)
    processes.wait_for(
        lambda: daemon.read_events('settings_refused'), 'the fault is logged'
    )
    path.write_text(text.replace('"d1"', '"d2"'))
    daemon.signal(signal.SIGHUP)
    processes.wait_for(
        lambda: daemon.read_events('settings_reloaded'), 'it reloads'
    )
    assert daemon.is_ready()
