"""Peers that reset a connection within a message."""

import contextlib
import threading

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.network import http_client
from lentildeal._internal.network import target_connections
from tests.lib import answer_bytes
from tests.lib import platform_world
from tests.lib import processes
from tests.lib import raw_server

# Answers whose end is the end of their connection.
UNDELIMITED = {
    'close': answer_bytes.UNTIL_THE_END,
    'HTTP/1.0': answer_bytes.UNTIL_THE_END.replace(b'HTTP/1.1', b'HTTP/1.0'),
    'error': answer_bytes.UNTIL_THE_END.replace(b'200 OK', b'500 Error'),
    'empty': answer_bytes.UNTIL_THE_END.removesuffix(answer_bytes.BODY),
}
DELIMITED = {
    'length': answer_bytes.WITH_LENGTH,
    'chunks': answer_bytes.IN_CHUNKS,
}


@contextlib.contextmanager
def serving(*script):
    with contextlib.closing(raw_server.RawServer(lambda _: script)) as server:
        yield server


def send(server):
    return target_connections.TargetConnections().send(
        server.address,
        'GET',
        '/x',
        (),
        b'',
        read_timeout_s=5.0,
        is_repeatable=False,
    )


@pytest.mark.parametrize('pause_s', [0.0, 0.03])
@pytest.mark.parametrize('form', UNDELIMITED)
def test_reset_is_not_the_end_of_an_answer(form, pause_s):
    """Guards against a part of an answer that is taken for the whole.

    The reset comes after each byte, also the last one, either together with
    the bytes or while the reader waits for more.
    """
    answer = UNDELIMITED[form]
    head = answer.index(b'\r\n\r\n') + 4
    for size in range(head, len(answer) + 1):
        with serving(answer[:size], pause_s, raw_server.RESET) as server:
            with pytest.raises(exceptions.MayHaveRunError):
                send(server).read()
    with serving(answer, pause_s, None) as server:
        assert send(server).read() == answer[head:]


@pytest.mark.parametrize('form', DELIMITED)
def test_reset_after_the_end_of_an_answer_takes_nothing_from_it(form):
    """Guards against the loss of an answer that shows its own end."""
    answer = DELIMITED[form]
    for script in ((answer, raw_server.RESET), (answer, 0.03)):
        with serving(*script, raw_server.RESET) as server:
            assert send(server).read() == answer_bytes.BODY
    for size in range(len(answer)):
        with serving(answer[:size], raw_server.RESET) as server:
            with pytest.raises(exceptions.MayHaveRunError):
                send(server).read()


def test_reset_of_a_long_answer_while_the_reader_is_paused():
    """Guards against a reset that is hidden behind bytes not yet read."""
    body = b'x' * 100_000
    answer = answer_bytes.UNTIL_THE_END.replace(answer_bytes.BODY, body)
    with serving(answer, raw_server.RESET) as server:
        response = send(server)
        # Blocks the thread of the reader, as a paused process would be.
        threading.Event().wait(0.2)
        found = b''
        with pytest.raises(exceptions.MayHaveRunError):
            for chunk in response.iter_chunks():
                found += chunk
        assert body.startswith(found)


def test_reset_that_the_sender_of_a_long_body_finds_first():
    """Guards against a reset that only the write reports.

    The target answers before it has read the body, then resets.
    """
    with serving(answer_bytes.UNTIL_THE_END, raw_server.RESET) as server:
        with pytest.raises(exceptions.MayHaveRunError):
            target_connections.TargetConnections().send(
                server.address,
                'POST',
                '/x',
                (),
                b'x' * 30_000_000,
                read_timeout_s=5.0,
                is_repeatable=False,
            ).read()


def test_reader_waits_no_longer_than_its_timeout():
    """Guards against a read without a time limit."""
    with serving(answer_bytes.UNTIL_THE_END, 3.0) as server:
        response = send(server)
        response.set_read_timeout(0.2)
        with pytest.raises(exceptions.TruncatedAnswerError, match='timed out'):
            with eventlet.Timeout(1.0):
                response.read()


def test_answer_of_the_store_or_a_service_that_is_reset_is_no_answer():
    """Guards against a part of a page of the log, or of a report."""
    for form in (*UNDELIMITED.values(), *DELIMITED.values()):
        with serving(form[:-2], raw_server.RESET) as server:
            with pytest.raises(exceptions.MayHaveRunError):
                http_client.HttpClient().request(
                    'GET', f'http://{server.address}/x', timeout_s=3.0
                )


@pytest.mark.parametrize(
    'prefix, runs', [('desk', range(2, 4)), ('once', range(1, 2))]
)
def test_callers_get_no_part_of_an_answer(prefix, runs):
    """Guards against a short 200 framed as whole, and against a second run.

    A call that may be repeated is sent again; each other call runs once.
    """
    bodies = []

    def make_script(request):
        name, _, request_id = next(
            line
            for line in request.split(b'\r\n')
            if line.lower().startswith(b'lentildeal-request-id:')
        ).partition(b': ')
        bodies.append(request_id)
        return (
            raw_server.OK + name + b': ' + request_id + b'\r\n'
            b'Lentildeal-Response-Stamp: s\r\nConnection: close\r\n\r\npart',
            0.02,
            raw_server.RESET,
        )

    with contextlib.ExitStack() as stack:
        launcher = stack.enter_context(processes.Launcher())
        world = platform_world.World(launcher, daemons=1)
        (daemon,) = world.daemons
        server = stack.enter_context(
            contextlib.closing(raw_server.RawServer(make_script))
        )
        for number in range(3):
            world.write_replica(f'p{number}', 'desk', server.address, {})

        def call(request_id):
            return daemon.call(
                'POST',
                f'/{prefix}/x',
                {},
                Host=platform_world.HOST,
                Lentildeal_Request_Id=request_id,
            )[0]

        processes.wait_for(
            lambda: call('probe') and server.connections > 0, 'it is used'
        )
        for number in range(10):
            request_id = f'call-{number}'
            assert call(request_id) == 504
            assert bodies.count(request_id.encode()) in runs


@pytest.mark.parametrize(
    'fields, end',
    [
        (b'', raw_server.RESET),
        (b'Content-Length: 9\r\n', raw_server.RESET),
        (b'Content-Length: 9\r\n', None),
        (b'Transfer-Encoding: chunked\r\n', None),
    ],
)
def test_refusal_with_a_broken_body_is_a_refusal(fields, end):
    """Guards against a 504 for a call that a replica has not run.

    The head says so; the body only explains it.
    """
    refused = []

    def make_script(request):
        name, _, request_id = next(
            line
            for line in request.split(b'\r\n')
            if line.lower().startswith(b'lentildeal-request-id:')
        ).partition(b': ')
        refused.append(request_id)
        return (
            b'HTTP/1.1 503 Full\r\nLentildeal-Not-Executed: 1\r\n'
            + name
            + b': '
            + request_id
            + b'\r\n'
            + fields
            + b'\r\n4\r\nfull',
            0.02,
            end,
        )

    with contextlib.ExitStack() as stack:
        launcher = stack.enter_context(processes.Launcher())
        world = platform_world.World(launcher, daemons=1)
        (daemon,) = world.daemons
        server = stack.enter_context(
            contextlib.closing(raw_server.RawServer(make_script))
        )
        world.write_replica('p1', 'desk', server.address, {})

        def call(request_id):
            return daemon.call(
                'POST',
                '/once/x',
                {},
                Host=platform_world.HOST,
                Lentildeal_Request_Id=request_id,
            )[0]

        statuses = []

        def is_refused_often():
            statuses.append(call(f'call{len(statuses)}'))
            return len(refused) >= 3

        processes.wait_for(is_refused_often, 'some calls are refused')
        assert set(statuses) == {200}
