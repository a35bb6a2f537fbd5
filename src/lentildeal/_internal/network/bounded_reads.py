"""Reads of HTTP messages whose sender may send bytes without end.

The standard library bounds the size of a header line, but not the number of
interim responses and of trailers, nor the line that holds the size of a chunk.
"""

from __future__ import annotations

import functools
import http.client
import io
import typing

import urllib3.connection

# Bytes of lines (status, headers, interim responses, sizes of chunks,
# trailers) between two parts of a body. The standard library allows 100
# headers; those of all systems that a daemon calls have less than 4 KiB.
MAX_LINE_BYTES = 64 * 1024


class _EndableRaw(io.RawIOBase):
    """A byte stream that can be declared ended.

    Afterwards ``BufferedReader.peek`` returns what is buffered without
    waiting for the sender.
    """

    def __init__(self, inner: io.RawIOBase) -> None:
        super().__init__()
        self._inner = inner
        self.is_ended = False
        self.reads = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> typing.Optional[int]:
        self.reads += 1
        return 0 if self.is_ended else self._inner.readinto(buffer)

    def close(self) -> None:
        if not self.closed:
            self._inner.close()
        super().close()


class BoundedReader(io.BufferedReader):
    """Buffered reader of HTTP messages with a limit on lines.

    Attributes:
        has_extra_bytes: Whether bytes were left in the buffer when the reader
            was closed, set by ``close``.
        is_in_head: Whether the lines of a head are read, in which the end of
            the stream is an error.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        self._endable = _EndableRaw(raw)
        self._line_bytes = 0
        self.is_in_head = False
        self.has_extra_bytes = False
        super().__init__(self._endable)

    @classmethod
    def wrap(cls, reader: io.BufferedReader) -> BoundedReader:
        """Makes a bounded reader of the stream of another, unused one."""
        return cls(reader.detach())

    @property
    def reads(self) -> int:
        """Number of reads from the stream below."""
        return self._endable.reads

    def reset_line_count(self) -> None:
        """Starts a new message."""
        self._line_bytes = 0

    def readline(self, size: typing.Optional[int] = -1) -> bytes:
        """Reads a line.

        Raises:
            http.client.LineTooLong: The lines since the last part of a body
                are too long.
            http.client.IncompleteRead: The stream ended within a head, which
                the standard library takes for the end of the head.
        """
        available = MAX_LINE_BYTES - self._line_bytes + 1
        if size is None or size < 0 or size > available:
            size = available
        line = super().readline(size)
        self._line_bytes += len(line)
        if self._line_bytes > MAX_LINE_BYTES:
            raise http.client.LineTooLong('lines of an HTTP message')
        # A stream that ends before the first line has no message.
        is_cut = self._line_bytes > 0 and not line.endswith(b'\n')
        if self.is_in_head and is_cut:
            raise http.client.IncompleteRead(line)
        return line

    def read(self, size: typing.Optional[int] = -1) -> bytes:
        """Reads a part of a body, which allows further lines."""
        data = super().read(size)
        if data:
            self._line_bytes = 0
        return data

    def readinto(self, buffer: typing.Any) -> int:
        """Reads a part of a body, which allows further lines."""
        count = super().readinto(buffer)
        if count:
            self._line_bytes = 0
        return count

    def close(self) -> None:
        """Closes the reader and records whether bytes were left."""
        if not self.closed:
            self._endable.is_ended = True
            self.has_extra_bytes = bool(self.peek(1))
        super().close()


class _BoundedResponse(http.client.HTTPResponse):
    """Response that is read by a ``BoundedReader``."""

    def __init__(
        self, owner: BoundedConnection, *args: typing.Any, **kwargs: typing.Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self.fp = owner.last_reader = BoundedReader.wrap(self.fp)

    def begin(self) -> None:
        """Reads the head.

        Raises:
            http.client.HTTPException: It is not valid, or not complete.
        """
        # The reader is closed, and no longer known, after an empty body.
        reader = self.fp
        reader.is_in_head = True
        try:
            super().begin()
        finally:
            reader.is_in_head = False


class BoundedConnection(urllib3.connection.HTTPConnection):
    """Connection with bounded reads.

    It counts as closed if more bytes than the last response were received:
    they belong to no request, and what follows them would be taken for the
    next response.

    Attributes:
        last_reader: Reader of the last response, None before the first.
    """

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.last_reader: typing.Optional[BoundedReader] = None
        self.response_class = functools.partial(_BoundedResponse, self)

    @property
    def is_connected(self) -> bool:
        """See the base class."""
        reader = self.last_reader
        if reader is not None and reader.has_extra_bytes:
            return False
        return super().is_connected
