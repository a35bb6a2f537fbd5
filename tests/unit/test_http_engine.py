"""Streams of a stand-alone engine."""

import contextlib
import itertools

import eventlet
import pytest

from lentildeal._internal.adapters import base
from lentildeal._internal.adapters import http_engine
from lentildeal._internal import exceptions
from tests.lib import raw_server

HEAD = raw_server.OK + b'Transfer-Encoding: chunked\r\n\r\n'
EVENT = b'data: {"choices": [{"text": "t"}], "tokens": 1, "version": 1}\n\n'
END = b'data: [DONE]\n\n'


def make_chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def read(server, max_tokens):
    engine = http_engine.HttpEngine(server.address)
    request = base.CompletionRequest('r1', 'prompt', max_tokens)
    return sum(
        chunk.token_count
        for chunk in engine.stream(request, timeout_s=5.0, batch_s=0.0)
    )


def test_stream_of_sound_events_without_end_is_cut():
    """Guards against a worker that keeps a text until it has no memory."""
    events = make_chunk(EVENT * 100)
    server = raw_server.RawServer(
        lambda _: itertools.chain((HEAD,), raw_server.repeat(events))
    )
    with contextlib.closing(server), eventlet.Timeout(5.0):
        with pytest.raises(exceptions.TruncatedAnswerError, match='longer'):
            read(server, 100)


def test_stream_of_as_many_tokens_as_allowed_is_whole():
    """Guards against a limit that cuts a text of the requested length."""
    events = make_chunk(EVENT * 5000) + make_chunk(END) + b'0\r\n\r\n'
    server = raw_server.RawServer(lambda _: (HEAD + events,))
    with contextlib.closing(server):
        assert read(server, 5000) == 5000
