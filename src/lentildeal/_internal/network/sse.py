"""Server-sent events.

Source: WHATWG HTML Living Standard, section "Server-sent events".
"""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal import exceptions

END_MARKER = '[DONE]'
CONTENT_TYPE = 'text/event-stream'
# An event of one token has about 50 bytes, so even batches are far smaller.
MAX_EVENT_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class Event:
    """A block of lines that ends with an empty line.

    Attributes:
        event_id: Identifier, None if the block has none.
        data: Lines of data, joined by line feeds; None if there are none. The
            standard makes no event of such a block.
        fields: Other fields by name in lower case.
        defect: What no sender of events writes, empty if there is nothing.
    """

    event_id: typing.Optional[str]
    data: typing.Optional[str]
    fields: dict[str, str]
    defect: str = ''

    @property
    def is_empty(self) -> bool:
        """Whether the block is sound and has neither an id nor data."""
        return self.event_id is None and self.data is None and not self.defect


class EventParser:
    """Splits a byte stream into events."""

    def __init__(self) -> None:
        self._buffer = b''
        # A carriage return at the end of the last data.
        self._held = b''
        self._bytes_without_data = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the last event received is incomplete."""
        return bool(self._buffer or self._held)

    def feed_events(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the blocks that are now complete.

        Blocks that only have comments are left out.

        Raises:
            exceptions.TruncatedAnswerError: An event is too long, or too many
                bytes came without one.
        """
        found = [
            event
            for event in map(_read_event, self._split(data))
            if event is not None
        ]
        has_data = any(event.data is not None for event in found)
        self._check_progress(len(data), has_data)
        return found

    def feed(self, data: bytes) -> list[str]:
        """Adds bytes; returns the data of events that are now complete.

        Raises:
            exceptions.TruncatedAnswerError: An event is too long, or too many
                bytes came without one.
        """
        found = [
            data
            for data in map(_read_data, self._split(data))
            if data is not None
        ]
        self._check_progress(len(data), bool(found))
        return found

    def _check_progress(self, size_bytes: int, has_data: bool) -> None:
        self._bytes_without_data += size_bytes
        if has_data:
            self._bytes_without_data = 0
        elif self._bytes_without_data > MAX_EVENT_BYTES:
            raise exceptions.TruncatedAnswerError(
                f'{self._bytes_without_data} bytes without a server-sent event'
            )

    def _split(self, data: bytes) -> typing.Iterator[bytes]:
        """Returns complete blocks without empty ones."""
        # Both bytes of a line end have to be seen together.
        data = self._held + data
        self._held = b'\r' if data.endswith(b'\r') else b''
        data = data.removesuffix(b'\r').replace(b'\r\n', b'\n')
        # The part that was searched before can end with half a separator.
        if b'\n\n' in self._buffer[-1:] + data:
            *events, self._buffer = (self._buffer + data).split(b'\n\n')
        else:
            self._buffer += data
            events = []
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise exceptions.TruncatedAnswerError(
                'a server-sent event is too long'
            )
        return filter(None, events)


def format_event(data: str) -> bytes:
    """Formats an event with one line of data."""
    return f'data: {data}\n\n'.encode()


def _read_event(block: bytes) -> typing.Optional[Event]:
    """Reads a block, None if it only has comments."""
    event_id, data, fields = None, [], {}
    defect = '' if _is_text(block) else 'bytes that are no text'
    comments = 0
    # Only a line feed ends a line; splitlines() has other separators.
    lines = block.decode('utf-8', 'surrogateescape').removeprefix('\n')
    for line in lines.split('\n'):
        name, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if name == 'data':
            data.append(value)
        elif name == 'id':
            if event_id is not None:
                defect = 'two ids'
            event_id = value
        elif name:
            if name.lower() in fields:
                defect = f'two fields {name!r:.50}'
            fields[name.lower()] = value
        else:
            comments += 1
    if event_id is None and not data and not fields:
        return None
    if comments:
        defect = 'a comment within an event'
    return Event(event_id, '\n'.join(data) if data else None, fields, defect)


def _is_text(block: bytes) -> bool:
    """Whether a block is UTF-8 without a character that ends a line."""
    try:
        block.decode()
    except UnicodeDecodeError:
        return False
    return b'\r' not in block and b'\0' not in block


def _read_data(event: bytes) -> str | None:
    lines = [
        line[5:].removeprefix(' ')
        for line in event.decode('utf-8', 'replace').split('\n')
        if line.startswith('data:')
    ]
    return '\n'.join(lines) if lines else None
