"""Limits for clients that nobody controls, and what they leave alone."""

import base64
import contextlib
import resource
import socket
import time

import pytest

from tests.lib import platform_world
from tests.lib import processes

MB = 1024 * 1024
HEAD = (
    f'POST /desk/x HTTP/1.1\r\nHost: {platform_world.HOST}\r\n'
    'Lentildeal-Request-Id: x\r\n'
).encode()
REQUEST = HEAD + b'Content-Length: 0\r\n\r\n'
# The smallest instance of a customer.
SMALLEST = {'memory_mb': 152, 'descriptors': 1535}
HEAD_TIMEOUT_MS = 500


@pytest.fixture
def world():
    with processes.Launcher() as launcher:
        yield platform_world.World(launcher, daemons=0, engines=0)


@pytest.fixture
def daemon(world):
    limits = {'request_bytes': 32 * MB, 'head_timeout_ms': HEAD_TIMEOUT_MS}
    result = world.start_daemon('n0', resources=SMALLEST, limits=limits)
    processes.wait_for(result.is_ready, 'n0 is ready')
    return result


def connect(daemon):
    client = socket.create_connection(('127.0.0.1', daemon.port), 10.0)
    return contextlib.closing(client)


def read_status(client):
    line = client.makefile('rb').readline()
    return int(line.split()[1])


def test_legal_job_is_accepted_on_the_smallest_instance(daemon):
    """Guards against limits that legal clients meet."""
    job = platform_world.make_job([f'i{number}' for number in range(88)])
    for entry in job['Entries']:
        entry['Body'] = base64.b64encode(b'x' * 8000).decode()
    assert platform_world.submit(daemon, 'job', job) == 202


def test_largest_body_reaches_a_replica_of_the_smallest_instance(
    daemon, world
):
    """Guards against limits that legal clients meet."""
    size = 30 * MB
    with connect(daemon) as client:
        client.sendall(HEAD + b'Content-Length: %d\r\n\r\n' % size)
        client.sendall(b'x' * size)
        # The stand-in answers with the body, which is too large an answer.
        assert read_status(client) == 504
    assert len(world.plain.read_journal()['runs']) == 1


def test_document_of_many_values_is_refused(daemon):
    """Guards against 30 MB of lists that take 860 MB of memory."""
    status, _ = daemon.call(
        'POST',
        '/rollouts/job',
        [[]] * 2_000_000,
        Host=platform_world.HOST,
        Lentildeal_Request_Id='job',
    )
    assert status == 413


def test_slow_head_is_refused(daemon):
    """Guards against connections that never send a request."""
    with connect(daemon) as client:
        client.sendall(HEAD)
        assert read_status(client) == 408
    (event,) = daemon.read_events('clients_shed')
    assert event['cause'] == 'slow_head'


def test_idle_connection_is_kept_beyond_the_time_for_a_head(daemon):
    """Guards against clients whose next request meets a closed connection."""
    with connect(daemon) as client:
        for _ in range(2):
            time.sleep(2 * HEAD_TIMEOUT_MS / 1000)
            client.sendall(REQUEST)
            assert read_status(client) == 200


def test_daemon_without_descriptors_accepts_again(daemon):
    """Guards against a server that ends when it has no descriptor left."""
    limits = resource.prlimit(daemon.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(daemon.pid, resource.RLIMIT_NOFILE, (30, limits[1]))
    with contextlib.ExitStack() as stack:
        for _ in range(60):
            stack.enter_context(connect(daemon))
        processes.wait_for(
            lambda: any(
                event['cause'] == 'descriptors'
                for event in daemon.read_events('clients_shed')
            ),
            'descriptors are used up',
        )
    resource.prlimit(daemon.pid, resource.RLIMIT_NOFILE, limits)
    processes.wait_for(daemon.is_ready, 'n0 is ready again')
    with connect(daemon) as client:
        client.sendall(REQUEST)
        assert read_status(client) == 200


def test_bad_heads_write_no_lines(daemon):
    """Guards against a log that clients fill."""
    for _ in range(50):
        with connect(daemon) as client:
            client.sendall(b'x\r\n\r\n')
            client.recv(100)
    assert daemon.errors == ''
