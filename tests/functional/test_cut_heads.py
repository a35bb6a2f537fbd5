"""Peers that close a connection within the head of a message."""

import contextlib
import socket

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.network import http_client
from lentildeal._internal.network import target_connections
from tests.lib import platform_world
from tests.lib import processes
from tests.lib import raw_server

ANSWER = raw_server.make_answer(b'', 'request')
HEAD_ENDS = [
    position + len(line)
    for line in ANSWER.splitlines(keepends=True)[:-1]
    for position in (ANSWER.index(line),)
]
# After each complete line, and within each line.
CUTS = sorted({*HEAD_ENDS, *(end - 5 for end in HEAD_ENDS), len(ANSWER) - 1})


@pytest.fixture(params=CUTS)
def cutting(request):
    """A server whose answers end within their head."""
    script = (ANSWER[: request.param], None)
    with contextlib.closing(raw_server.RawServer(lambda _: script)) as server:
        yield server


def test_head_of_a_target_that_is_cut_is_no_answer(cutting):
    """Guards against an empty answer framed as a whole one."""
    connections = target_connections.TargetConnections()
    with pytest.raises(exceptions.MayHaveRunError), eventlet.Timeout(5.0):
        connections.send(
            cutting.address,
            'GET',
            '/x',
            (),
            b'',
            read_timeout_s=3.0,
            is_repeatable=False,
        ).read()


def test_head_of_the_store_or_a_service_that_is_cut_is_no_answer(cutting):
    """Guards against an empty answer that is taken for a complete one."""
    client = http_client.HttpClient()
    with pytest.raises(exceptions.MayHaveRunError):
        client.request('GET', f'http://{cutting.address}/x', timeout_s=3.0)


def test_cut_head_is_not_passed_on_as_an_answer():
    """Guards against a caller that gets a short 200 framed as whole."""
    with contextlib.ExitStack() as stack:
        launcher = stack.enter_context(processes.Launcher())
        world = platform_world.World(launcher, daemons=1)
        (daemon,) = world.daemons
        for number, cut in enumerate(CUTS):
            answer = raw_server.make_answer(b'', f'call{number}')
            script = (answer[: cut - len(ANSWER)], None)
            server = stack.enter_context(
                contextlib.closing(raw_server.RawServer(lambda _, s=script: s))
            )
            world.write_replica('p0', 'desk', server.address, {})
            processes.wait_for(
                lambda address=server.address: is_used(daemon, address),
                'the new address is used',
            )
            status, _ = daemon.call(
                'POST',
                '/once/x',
                {},
                Host=platform_world.HOST,
                Lentildeal_Request_Id=f'call{number}',
            )
            assert status == 504


def is_used(daemon, address):
    """Whether calls of a daemon reach a server with cut answers."""
    daemon.call('POST', '/once/probe', {}, Host=platform_world.HOST)
    failures = daemon.read_events('attempt_failed')
    return bool(failures) and address in failures[-1]['reason']


@pytest.mark.parametrize('cut', [-1, -2, -3, -7, -30])
def test_request_whose_head_is_cut_is_not_run(cut):
    """Guards against a request that runs without its last headers."""
    with processes.Launcher() as launcher:
        world = platform_world.World(launcher, daemons=1)
        head = (
            'POST /desk/x HTTP/1.1\r\n'
            f'Host: {platform_world.HOST}\r\n'
            'Lentildeal-Request-Id: cut\r\n'
            'Content-Length: 10\r\n'
            'Lentildeal-Deadline-Ms: 2000\r\n\r\n'
        ).encode()
        client = socket.create_connection(
            ('127.0.0.1', world.daemons[0].port), timeout=5.0
        )
        with client:
            client.sendall(head[:cut])
            client.shutdown(socket.SHUT_WR)
            answer = client.recv(65536)
        assert not answer.startswith(b'HTTP/1.1 2')
        assert world.plain.read_journal()['runs'] == []
