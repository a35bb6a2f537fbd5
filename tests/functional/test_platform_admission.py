"""Admission of live calls by several daemons, on the stand-ins."""

import threading

import pytest

from tests.lib import platform_world
from tests.lib import processes

HOST = platform_world.HOST
FLOOD_CLIENTS = 60
OTHER_CALLS = 20
# Longer than a slow machine needs for the waiting calls of a flood.
DEADLINE_MS = 8000
# Slots and places in the queue of both replicas.
PLACES = 2 * (2 + 4)


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


@pytest.fixture(autouse=True)
def keyed_daemon(monkeypatch):
    monkeypatch.setattr(processes, 'DAEMON', 'tests.lib.keyed_daemon')


def make_world(launcher, work_ms=40):
    """Three daemons and two replicas with a short queue."""
    world = platform_world.World(launcher, engines=0)
    world.replicas = []
    for number in range(2):
        replica = launcher.start_stand_in(
            'platform.replica',
            *('--replica-id', f's{number}', '--slots', 2),
            *('--queue', 4, '--work-ms', work_ms),
        )
        entry = platform_world.make_entry('slow', replica.address)
        entry['Slots'] = 2
        world.write('keyed.servers', f's{number}', entry)
        world.replicas.append(replica)
    return world


def write_text(world, accounts=('flood', 'a', 'b')):
    """Writes a text with accounts, and waits until it is in force."""
    route = platform_world.make_route('slow', '/slow/', 'unsafe', 'slow')
    route.update(TimeoutMs=DEADLINE_MS, Public=True)
    document = {
        'Version': 2,
        'Routes': [route],
        'Services': [{'Name': 'slow', 'MaxConnections': 50}],
    }
    if accounts is not None:
        document['Tenants'] = [
            {'Name': name, 'ApiKeys': [f'key-{name}-{"x" * 16}']}
            for name in accounts
        ]
    world.write('keyed.op', 'config', document)
    for daemon in world.daemons:
        processes.wait_for(
            lambda daemon=daemon: send(daemon, 'a', 'probe')[0] == 200,
            'the text is in force',
        )


def send(daemon, account, name):
    return daemon.call(
        'POST',
        f'/slow/{name}',
        {},
        Host=HOST,
        Test_Account=account,
        Lentildeal_Request_Id=f'{account}-{name}',
        Lentildeal_Deadline_Ms=str(DEADLINE_MS),
    )


class Flood:
    """Clients of one account that call all daemons without a pause."""

    def __init__(self, world):
        self._world = world
        self._is_over = threading.Event()
        self.statuses = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(FLOOD_CLIENTS)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        daemons = self._world.daemons
        count = 0
        while not self._is_over.is_set():
            daemon = daemons[(number + count) % len(daemons)]
            count += 1
            self.statuses.append(send(daemon, 'flood', f'{number}-{count}')[0])


def list_runs(world):
    """Request ids in the order in which each replica began them."""
    return [
        run['id']
        for replica in world.replicas
        for run in replica.read_journal()['runs']
    ]


def count_flood(world):
    return sum(name.startswith('flood') for name in list_runs(world))


def test_other_accounts_are_answered_while_one_floods_all_daemons(launcher):
    # Guards against calls in the order of their arrival, at daemons that know
    # nothing of each other's calls.
    world = make_world(launcher)
    write_text(world)
    with Flood(world) as flood:
        processes.wait_for(lambda: len(flood.statuses) > 100, 'a flood')
        before = count_flood(world)
        statuses = [
            send(world.daemons[number % 3], account, number)[0]
            for number in range(OTHER_CALLS // 2)
            for account in ('a', 'b')
        ]
        between = count_flood(world) - before

    assert statuses == [200] * OTHER_CALLS
    # In the order of arrival, each call would wait for those of all clients.
    assert between < 0.75 * FLOOD_CLIENTS * OTHER_CALLS
    # The account that floods is served as well, and each call runs once.
    assert 200 in flood.statuses
    assert set(flood.statuses) <= {200, 503}
    runs = [name for name in list_runs(world) if not name.endswith('probe')]
    assert len(runs) == len(set(runs))
    assert len(runs) == OTHER_CALLS + flood.statuses.count(200)


def test_text_without_accounts_refuses_and_holds_no_call_itself(launcher):
    # Guards against a change for deployments without accounts.
    world = make_world(launcher)
    write_text(world, accounts=None)
    with Flood(world) as flood:
        processes.wait_for(lambda: len(flood.statuses) > 100, 'a flood')
    for daemon in world.daemons:
        assert not daemon.read_events('call_refused')


def test_planned_stop_answers_all_that_wait(launcher):
    # Guards against calls that wait in a daemon that ends: the stop takes
    # 3.5 s at most, and the replicas take longer for all calls.
    world = make_world(launcher, work_ms=400)
    write_text(world)
    stopped = world.daemons[0]
    statuses = []

    def run(number):
        statuses.append(send(stopped, 'flood', number)[0])

    threads = [
        threading.Thread(target=run, args=(n,)) for n in range(FLOOD_CLIENTS)
    ]
    for thread in threads:
        thread.start()
    processes.wait_for(lambda: count_flood(world) > PLACES, 'calls wait')
    stopped.terminate()
    for thread in threads:
        thread.join()
    assert len(statuses) == FLOOD_CLIENTS
    assert set(statuses) <= {200, 503}
    assert stopped.wait() == 0
    ran = [n for n in list_runs(world) if not n.endswith('probe')]
    assert len(ran) == len(set(ran)) == statuses.count(200)
