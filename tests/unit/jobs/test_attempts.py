"""Attempts at a replica that answers with given bytes."""

import contextlib

import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.jobs import attempts
from lentildeal._internal.models import jobs
from lentildeal._internal.network import target_connections
from tests.lib import job_builders
from tests.lib import raw_server

HEAD = (
    raw_server.OK
    + b'Lentildeal-Request-Id: i0\r\nTransfer-Encoding: chunked\r\n'
)
END = b'0\r\n\r\n'
VERSION = b'Lentildeal-Weight-Versions: 1\r\n'
SAVED = jobs.Progress(('a', 'b'), '1', (1,))


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def run(answer, progress):
    """Runs an item; returns the outcome and the attempt."""
    server = raw_server.RawServer(lambda _: (answer, None))
    with contextlib.closing(server):
        attempt = attempts.Attempt(
            Platform(),
            target_connections.TargetConnections(),
            job_builders.make_replica(address=server.address),
            progress,
            1,
            lambda info: None,
        )
        return attempt.run('club.example', job_builders.make_item()), attempt


class Platform:
    """Reads the headers that these tests use."""

    def make_headers(self, _replica, **_fields):
        return []

    def read_response(self, status, headers):
        version = headers.get('lentildeal-weight-versions')
        return platform_base.ResponseInfo(
            headers.get('lentildeal-request-id'),
            False,
            None if version is None else int(version),
            None,
        )

    def read_event_version(self, _fields):
        return None


def test_resumed_item_without_further_events_is_complete():
    """Guards against an item that is tried at all replicas without end.

    It was moved after its last event; a replica that has nothing left to
    generate names no version.
    """
    outcome, attempt = run(HEAD + b'\r\n' + END, SAVED)
    assert outcome is attempts.AttemptOutcome.COMPLETE
    assert attempt.progress == SAVED


@pytest.mark.parametrize(
    'answer, progress',
    [
        (HEAD + b'\r\n' + END, jobs.Progress()),
        (HEAD + b'\r\n' + chunk(b'id: 2\ndata: c\n\n') + END, SAVED),
        (HEAD + b'\r\n', SAVED),
    ],
    ids=['nothing generated', 'event without a version', 'cut'],
)
def test_answer_without_a_version_is_no_text(answer, progress):
    """Guards against a text with events of an unknown version."""
    if answer.endswith(b'\r\n\r\n') and not answer.endswith(END):
        answer += b'5\r\nid'
    outcome, attempt = run(answer, progress)
    assert outcome is attempts.AttemptOutcome.BROKEN
    assert attempt.progress == progress


def test_resumed_item_goes_on_with_its_version():
    # Guards against a check that breaks usual resumptions.
    event = chunk(b'id: 2\ndata: c\n\n')
    outcome, attempt = run(HEAD + VERSION + b'\r\n' + event + END, SAVED)
    assert outcome is attempts.AttemptOutcome.COMPLETE
    assert attempt.progress.events == ('a', 'b', 'c')


@pytest.mark.parametrize('is_sound', [True, False])
def test_progress_is_a_complete_event_and_not_a_byte(is_sound):
    """Guards against a stalled stream that a byte now and then keeps alive.

    The runner ends an attempt by the time since ``last_received_s``. A slow
    stream whose events are complete is not affected.
    """
    head = HEAD + VERSION + b'\r\n' + chunk(b'id: 0\ndata: a\n\n')
    parts = [head]
    for number in range(1, 7):
        event = b'id: %d\ndata: b\n\n' % number if is_sound else b'i'
        parts += [0.05, chunk(event)]
    server = raw_server.RawServer(lambda _: (*parts, None))
    with contextlib.closing(server):
        attempt = attempts.Attempt(
            Platform(),
            target_connections.TargetConnections(),
            job_builders.make_replica(address=server.address),
            jobs.Progress(),
            1,
            lambda info: None,
        )
        attempt.run('club.example', job_builders.make_item())
    assert attempt.run_events == (7 if is_sound else 1)
    has_advanced = attempt.last_received_s > attempt.first_event_s
    assert has_advanced == is_sound


@pytest.mark.parametrize(
    'status, request_id, outcome',
    [
        (b'500 Error', b'i0', attempts.AttemptOutcome.FAILED),
        (b'422 No', b'i0', attempts.AttemptOutcome.IMPOSSIBLE),
        (b'502 Bad Gateway', b'i0', attempts.AttemptOutcome.BROKEN),
        (b'503 Unavailable', b'i0', attempts.AttemptOutcome.BROKEN),
        (b'504 Timeout', b'i0', attempts.AttemptOutcome.BROKEN),
        (b'599 Error', b'i0', attempts.AttemptOutcome.BROKEN),
        (b'500 Error', b'', attempts.AttemptOutcome.BROKEN),
        (b'422 No', b'', attempts.AttemptOutcome.BROKEN),
        (b'422 No', b'i1', attempts.AttemptOutcome.BROKEN),
    ],
)
def test_only_an_identified_500_is_a_failed_attempt(
    status, request_id, outcome
):
    """Guards against an item that is given up for answers of other kinds."""
    name = b'Lentildeal-Request-Id: ' if request_id else b'X-None: '
    head = b'HTTP/1.1 %s\r\n%s%s\r\n' % (status, name, request_id)
    found, _ = run(head + b'Content-Length: 0\r\n\r\n', jobs.Progress())
    assert found is outcome
