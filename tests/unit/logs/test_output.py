"""Tests of events and of the non-blocking output."""

import os

import pytest

from lentildeal._internal.logs import events
from lentildeal._internal.logs import output


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_writes_do_not_block_when_nobody_reads(pipe):
    # Guards against requests that wait for the reader of the logs.
    sink = output.NonBlockingOutput(pipe[1])
    line = 'x' * 1000 + '\n'
    for _ in range(2000):
        sink.write(line)
    assert sink.buffered_bytes <= output.MAX_BUFFERED_BYTES


def test_lines_are_complete_and_in_order_after_a_pause(pipe):
    # Guards against partial lines, which no reader can parse.
    sink = output.NonBlockingOutput(pipe[1])
    lines = [f'{number}:' + 'x' * 500 + '\n' for number in range(400)]
    for line in lines:
        sink.write(line)
    data = b''
    while sink.buffered_bytes:
        data += os.read(pipe[0], 65536)
        sink.flush()
    data += os.read(pipe[0], 1 << 20)
    assert data.decode() == ''.join(lines)


def test_rate_of_lines_is_limited(monkeypatch):
    # Guards against logging that exhausts the CPU under load.
    written = []
    monkeypatch.setattr(events.logger, 'info', written.append)
    for _ in range(5000):
        events.emit('started')
    assert len(written) <= events.MAX_BURST_LINES + events.MAX_LINES_PER_S


def test_undeclared_fields_are_rejected():
    # Guards against lines that docs/logs.md does not describe.
    with pytest.raises(KeyError):
        events.emit('started', other=1)
