"""Daemons that read odd entries of another writer among the replicas."""

import json

import pytest

from tests.lib import platform_world
from tests.lib import processes

STREAM = 'keyed.servers'
ENTRY = platform_world.make_entry(
    'desk',
    '127.0.0.1:1',
    [{'Name': platform_world.MODEL, 'Version': 1, 'Adapters': []}],
)
DEEP = b'[' * 100_000 + b']' * 100_000


def encode(**fields):
    return json.dumps({**ENTRY, **fields}).encode()


# Entries of a service without a model and of one with a model.
ODD_VALUES = {
    'nul': encode(Address='127.0.0.1\0:80'),
    'name': encode(Address='x' * 300 + ':80'),
    'port': encode(Address='127.0.0.1:70000'),
    'line': encode(Address='127.0.0.1\r\n:80'),
    'slots': encode(Slots=10**400),
    'infinite': encode().replace(b'"Slots": 4', b'"Slots": 1e999'),
    'born': encode(born=-(10**400)),
    'deep': DEEP,
    'nested': encode().replace(b'"Models": [', b'"Models": [' + DEEP + b','),
    'list': b'[]',
    'bytes': b'\xff\xfe\0',
    'state': encode(State=[]),
}


@pytest.fixture
def launcher():
    with processes.Launcher() as result:
        yield result


def write_odd_entries(world):
    for service in ('desk', 'engines'):
        for name, value in ODD_VALUES.items():
            world.write_bytes(
                STREAM,
                f'{service}-{name}'.encode(),
                value.replace(b'desk', service.encode()),
            )
    for key in (b'\xff\xfe', b'a\0', b'a\r\nX: 1', b'k' * 255, b''):
        world.write_bytes(STREAM, key, encode())


def check_service(world, job_id):
    for daemon in world.daemons:
        for number in range(10):
            status, _ = daemon.call(
                'GET',
                f'/desk/{number}',
                Host=platform_world.HOST,
                Lentildeal_Request_Id=f'{job_id}-{daemon.name}-{number}',
                Lentildeal_Deadline_Ms='1500',
            )
            assert status == 200
    items = tuple(f'{job_id}-item{number}' for number in range(8))
    job = platform_world.make_job(items)
    assert platform_world.submit(world.daemons[0], job_id, job) == 202
    results = world.read_all(world.daemons[1], job_id)
    assert {r['State'] for r in results} == {'done'}


def test_odd_entries_stop_no_daemon_and_no_service(launcher):
    """Guards against one entry of another writer that ruins a service.

    Daemons ended, stopped following the directory or sent each call to an
    address to which no connection can be made.
    """
    world = platform_world.World(launcher, daemons=2)
    write_odd_entries(world)
    check_service(world, 'first')
    # Changes after the odd entries are followed.
    world.add_engine('r9', models=platform_world.MODEL)
    for daemon in world.daemons:
        processes.wait_for(
            lambda daemon=daemon: [
                event
                for event in daemon.read_events('replica_changed')
                if event['replica'] == 'r9'
            ],
            'the new replica',
        )
    # A process that starts reads the odd entries at once.
    world.daemons.append(world.start_daemon('n9'))
    processes.wait_for(world.daemons[-1].is_ready, 'n9 is ready')
    check_service(world, 'second')
    for daemon in world.daemons:
        assert daemon.exit_status is None
        assert daemon.read_events('record_ignored')
        assert 'Traceback' not in daemon.errors
