"""Log output that never blocks."""

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


def test_pipe_that_nobody_reads_holds_nothing_up(pipe):
    # Guards against requests that wait for a reader of the logs.
    sink = output.NonBlockingOutput(pipe[1])
    line = 'x' * 1000 + '\n'
    for _ in range(2000):
        sink.write(line)
    assert sink.waiting_bytes <= output.MAX_WAITING_BYTES


def test_lines_come_whole_and_in_order_after_a_pause(pipe):
    # Guards against half lines, which no reader can parse.
    sink = output.NonBlockingOutput(pipe[1])
    lines = [f'{number}:' + 'x' * 500 + '\n' for number in range(400)]
    for line in lines:
        sink.write(line)
    data = b''
    while sink.waiting_bytes:
        data += os.read(pipe[0], 65536)
        sink.flush()
    data += os.read(pipe[0], 1 << 20)
    assert data.decode() == ''.join(lines)


def test_rate_of_lines_is_bounded(monkeypatch):
    # Guards against logs that take the processor under load.
    written = []
    monkeypatch.setattr(events.logger, 'info', written.append)
    for _ in range(5000):
        events.emit('started')
    assert len(written) <= events.BURST_LINES + events.LINES_PER_S


def test_undeclared_fields_are_an_error():
    # Guards against lines that docs/logs.md does not describe.
    with pytest.raises(KeyError):
        events.emit('started', other=1)
