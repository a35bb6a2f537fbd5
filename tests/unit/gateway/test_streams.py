"""Relaying of streams: progress, stalls, callers that leave."""

import dataclasses

import eventlet
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.gateway import streams
from lentildeal._internal.utils import clock

EVENT = b'id: %d\ndata: token\n\n'


class Response:
    """Response of a replica that sends a script of bytes and pauses."""

    headers = {'content-type': 'text/event-stream; charset=utf-8'}

    def __init__(self, script):
        self._script = script
        self.is_abandoned = False
        self.timeout_s = None

    def set_read_timeout(self, seconds):
        self.timeout_s = seconds

    def iter_chunks(self):
        for part in self._script:
            if isinstance(part, bytes):
                yield part
            else:
                eventlet.sleep(part)

    def abandon(self):
        self.is_abandoned = True


@dataclasses.dataclass
class Call:
    is_gone: bool = False

    def is_client_gone(self):
        return self.is_gone


@pytest.fixture(autouse=True)
def short_gap(monkeypatch):
    monkeypatch.setattr(streams, 'MIN_GAP_S', 0.4)


def relay(script, call=None, objective_s=0.0):
    response = Response(script)
    return response, streams.relay(response, call or Call(), objective_s)


def repeat(*parts):
    while True:
        yield from parts


def test_slow_but_sound_stream_is_relayed_to_its_end():
    # Guards against a limit on the whole stream.
    script = [EVENT % 0, 0.3, EVENT % 1, 0.3, EVENT % 2, 0.3, EVENT % 3]
    response, chunks = relay(script)
    assert b''.join(chunks) == b''.join(p for p in script if p != 0.3)
    assert response.is_abandoned


def test_pauses_of_a_stream_extend_its_limit():
    # A replica under load makes every pause longer, also those of sound runs.
    script = [EVENT % 0, 0.3, EVENT % 1, 0.7, EVENT % 2, 1.2, EVENT % 3]
    _, chunks = relay(script)
    assert b''.join(chunks).endswith(EVENT % 3)


@pytest.mark.parametrize('part', [b':', b'data: x\n', b': keep-alive\n\n'])
def test_bytes_without_an_event_do_not_keep_a_stream_open(part):
    # Guards against stalled streams that send a byte now and then: comments
    # and halves of events are no progress.
    response, chunks = relay([EVENT % 0, *[0.05, part] * 200])
    started_s = clock.monotonic_s()
    with pytest.raises(exceptions.TruncatedAnswerError, match='no event'):
        list(chunks)
    assert clock.monotonic_s() - started_s < 1.0
    assert response.is_abandoned


def test_silent_stream_ends():
    _, chunks = relay([EVENT % 0, 100.0])
    with pytest.raises(exceptions.TruncatedAnswerError, match='no event'):
        list(chunks)


def test_other_content_needs_a_minimum_rate():
    response, chunks = relay(repeat(b'x', 0.05))
    response.headers = {'content-type': 'application/octet-stream'}
    with pytest.raises(exceptions.TruncatedAnswerError):
        list(chunks)
    response, chunks = relay([b'x' * 100, 0.2] * 6)
    response.headers = {'content-type': 'application/octet-stream'}
    assert len(b''.join(chunks)) == 600


def test_replica_is_released_soon_after_the_caller_has_left():
    # The replica is silent, so no write shows that the caller is gone.
    call = Call()
    response, chunks = relay([EVENT % 0, 100.0], call, objective_s=60.0)
    assert next(chunks) == EVENT % 0
    call.is_gone = True
    started_s = clock.monotonic_s()
    with pytest.raises(exceptions.TruncatedAnswerError, match='left'):
        list(chunks)
    assert clock.monotonic_s() - started_s < 0.5
    assert response.is_abandoned


def test_time_of_a_slow_caller_is_not_a_stall():
    _, chunks = relay([EVENT % 0, EVENT % 1, EVENT % 2])
    for _ in range(3):
        next(chunks)
        eventlet.sleep(0.5)
    assert list(chunks) == []


def test_broken_stream_is_not_complete():
    # The caller must see that the end is missing.
    def break_off():
        yield EVENT % 0
        raise exceptions.TruncatedAnswerError('reset')

    _, chunks = relay(break_off())
    with pytest.raises(exceptions.TruncatedAnswerError, match='reset'):
        list(chunks)


def test_caller_that_stops_reading_bounds_what_is_read():
    # Guards against a stream that is kept in memory for a slow caller.
    read = []

    def count():
        for number in range(100):
            read.append(number)
            yield EVENT % number
            eventlet.sleep(0)

    _, chunks = relay(count())
    next(chunks)
    eventlet.sleep(0.1)
    assert len(read) <= 4
    chunks.close()


def test_caller_who_takes_nothing_does_not_hold_the_replica(monkeypatch):
    # Guards against a slot that a stalled reader takes from others: the relay
    # itself doesn't run while its caller takes nothing.
    monkeypatch.setattr(streams, 'MAX_UNREAD_S', 0.2)
    response, chunks = relay(repeat(EVENT % 0))
    next(chunks)
    eventlet.sleep(0.4)
    assert response.is_abandoned
    with pytest.raises(exceptions.TruncatedAnswerError, match='took nothing'):
        list(chunks)


def test_caller_who_pauses_gets_the_whole_stream(monkeypatch):
    # Guards against sound callers that are cut off.
    monkeypatch.setattr(streams, 'MAX_UNREAD_S', 0.4)
    script = [EVENT % number for number in range(5)]
    response, chunks = relay(script)
    found = []
    for chunk in chunks:
        found.append(chunk)
        eventlet.sleep(0.2)
    assert found == script
