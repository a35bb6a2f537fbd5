"""Standard output that never holds a request up."""

from __future__ import annotations

import collections
import os
import typing

from lentildeal._internal.logs import events

# Lines kept for a reader that is behind, in bytes.
MAX_WAITING_BYTES = 256 * 1024


class NonBlockingOutput:
    """Writes lines as far as the reader takes them and drops the rest."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        os.set_blocking(descriptor, False)

    @property
    def waiting_bytes(self) -> int:
        """Bytes that the reader has not taken."""
        return self._waiting_bytes

    def write(self, line: typing.Any) -> None:
        """Takes in one line, as a sink of ``loguru``."""
        data = str(line).encode('utf-8', 'replace')
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            events.note_dropped()
        else:
            self._waiting.append(data)
            self._waiting_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Writes what the reader takes now."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                # The reader is behind or gone; lines wait up to the bound.
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
