"""Non-blocking output of log lines, so that requests never wait for it."""

from __future__ import annotations

import collections
import os
import typing

from lentildeal._internal.logs import events

# Limit of the buffer for a slow reader.
MAX_BUFFERED_BYTES = 256 * 1024


class NonBlockingOutput:
    """Writes lines without blocking; drops lines when the buffer is full."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffered: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        os.set_blocking(descriptor, False)

    @property
    def buffered_bytes(self) -> int:
        """Size of the lines that are not written yet, in bytes."""
        return self._buffered_bytes

    def write(self, line: typing.Any) -> None:
        """Writes or buffers one line; serves as a ``loguru`` sink."""
        data = str(line).encode('utf-8', 'replace')
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            events.record_dropped_line()
        else:
            self._buffered.append(data)
            self._buffered_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until the reader would block."""
        while self._buffered:
            data = self._buffered[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                # The reader is slow or gone; keep lines up to the limit.
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffered[0] = data[written:]
                return
            self._buffered.popleft()
