"""Reads of requests whose sender may send bytes without end.

The standard library bounds the size of a header line, but not the number of
trailers, nor the line that holds the size of a chunk.
"""

from __future__ import annotations

import enum
import http.client
import io
import re
import typing

from lentildeal._internal.network import yielding

# Bytes of lines (request line, headers, sizes of chunks, trailers) between two
# parts of a body. The standard library allows 100 headers.
MAX_LINE_BYTES = 64 * 1024


class _CountingRaw(io.RawIOBase):
    """A byte stream that counts its reads."""

    def __init__(self, inner: io.RawIOBase) -> None:
        super().__init__()
        self._inner = inner
        self.reads = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> typing.Optional[int]:
        self.reads += 1
        return self._inner.readinto(buffer)

    def close(self) -> None:
        if not self.closed:
            self._inner.close()
        super().close()


class LineKind(enum.Enum):
    """What the next line of a request has to be."""

    ANY = 'any'
    FIELD = 'field'
    CHUNK_SIZE = 'chunk size'
    CHUNK_END = 'chunk end'
    TRAILER = 'trailer'


_FIELD_LINE = rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)?"
# Grammar of RFC 9112. A line that begins with a space continues the one
# before, which servers reject (section 5.2).
_GRAMMAR = {
    LineKind.FIELD: re.compile(_FIELD_LINE + rb'\r\n'),
    LineKind.CHUNK_SIZE: re.compile(
        rb'([0-9A-Fa-f]{1,16})(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n'
    ),
    LineKind.CHUNK_END: re.compile(rb'\r\n'),
    LineKind.TRAILER: re.compile(_FIELD_LINE + rb'\r\n'),
}


class BoundedReader(io.BufferedReader):
    """Buffered reader of HTTP requests that bounds and checks lines.

    Attributes:
        has_defect: Whether a line of the head was not valid, or the head has
            no end. The standard library ends a head at such a line.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        self._counting = _CountingRaw(raw)
        self._line_bytes = 0
        self._expected = LineKind.ANY
        self._budget = yielding.YieldBudget()
        self.has_defect = False
        super().__init__(self._counting)

    @classmethod
    def wrap(cls, reader: io.BufferedReader) -> BoundedReader:
        """Makes a bounded reader of the stream of another, unused one."""
        return cls(reader.detach())

    @property
    def reads(self) -> int:
        """Number of reads from the stream below."""
        return self._counting.reads

    def begin_message(self) -> None:
        """Starts a new message."""
        self._line_bytes = 0
        self.has_defect = False
        self._expected = LineKind.ANY

    def expect(self, kind: LineKind) -> None:
        """Sets what the next lines have to be."""
        self._expected = kind

    def readline(self, size: typing.Optional[int] = -1) -> bytes:
        """Reads a line.

        Raises:
            http.client.LineTooLong: The lines since the last part of a body
                are too long.
            http.client.HTTPException: The line is no valid part of a body in
                chunks.
        """
        available = MAX_LINE_BYTES - self._line_bytes + 1
        if size is None or size < 0 or size > available:
            size = available
        line = super().readline(size)
        self._budget.spend(len(line))
        self._line_bytes += len(line)
        if self._line_bytes > MAX_LINE_BYTES:
            raise http.client.LineTooLong('lines of an HTTP message')
        self._check(line)
        return line

    def _check(self, line: bytes) -> None:
        kind = self._expected
        if kind is LineKind.ANY:
            return
        match = _GRAMMAR[kind].fullmatch(line)
        if kind is LineKind.FIELD:
            self.has_defect |= match is None
        elif match is None:
            raise http.client.HTTPException(
                f'invalid {kind.value} {line!r:.80} in a body in chunks'
            )
        elif kind is LineKind.CHUNK_SIZE:
            is_last = int(match[1], 16) == 0
            self._expected = (
                LineKind.TRAILER if is_last else LineKind.CHUNK_END
            )
        elif kind is LineKind.CHUNK_END:
            self._expected = LineKind.CHUNK_SIZE

    def read(self, size: typing.Optional[int] = -1) -> bytes:
        """Reads a part of a body, which allows further lines."""
        data = super().read(size)
        if data:
            self._line_bytes = 0
            self._budget.spend(len(data))
        return data

    def readinto(self, buffer: typing.Any) -> int:
        """Reads a part of a body, which allows further lines."""
        count = super().readinto(buffer)
        if count:
            self._line_bytes = 0
            self._budget.spend(count)
        return count
