"""Server-sent events.

Source: WHATWG HTML Living Standard, section "Server-sent events".
"""

from __future__ import annotations

from lentildeal._internal import exceptions

END_MARKER = '[DONE]'
CONTENT_TYPE = 'text/event-stream'
# An event of one token is about 50 bytes; a batch of them stays far below.
MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventParser:
    """Splits a byte stream into the data of its events."""

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, data: bytes) -> list[str]:
        """Adds bytes and returns the data of the events now complete.

        Raises:
            exceptions.TruncatedAnswerError: An event is too long.
        """
        self._buffer += data.replace(b'\r\n', b'\n')
        *events, self._buffer = self._buffer.split(b'\n\n')
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise exceptions.TruncatedAnswerError('an event is too long')
        return [data for data in map(_read_data, events) if data is not None]


def format_event(data: str) -> bytes:
    """Formats one event of one line of data."""
    return f'data: {data}\n\n'.encode()


def _read_data(event: bytes) -> str | None:
    lines = [
        line[5:].removeprefix(' ')
        for line in event.decode('utf-8', 'replace').split('\n')
        if line.startswith('data:')
    ]
    return '\n'.join(lines) if lines else None
