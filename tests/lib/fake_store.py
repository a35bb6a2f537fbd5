"""In-memory store with outages, refusals, lost responses, late appends."""

from __future__ import annotations

import collections
import enum

import eventlet

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.jobs import records


# Default timeouts of calls, the same as those of the adapter.
APPEND_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 1.5


class Fault(enum.Enum):
    """Fault of one append."""

    REFUSED = 'refused'
    LOST_RESPONSE = 'lost_answer'
    LATE = 'late'
    # The append takes effect; the call gets no response and times out.
    SILENT = 'silent'


class FakeStore(platform_base.RecordStore):
    """Stores records by stream; ``faults`` apply to the next appends."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = collections.defaultdict(list)
        self.oldest: dict[str, int] = collections.defaultdict(int)
        self.faults: list[Fault | None] = []
        self.late: list[tuple[str, list[bytes]]] = []
        self.is_down = False
        # Calls get no response and time out.
        self.is_silent = False
        # Stream whose appends are refused.
        self.failing_stream: str | None = None
        self.read_delay_s = 0.0
        self.reads = 0
        self.failing_text_reads = 0
        # Largest record, None for no limit.
        self.record_bytes: int | None = None
        # Largest sum of the records of an append, None for no limit.
        self.call_bytes: int | None = None

    def append(self, stream, bodies, *, timeout_s=None):
        """See the base class."""
        if self.is_silent:
            eventlet.sleep(timeout_s or APPEND_TIMEOUT_S)
            raise exceptions.LogAnswerLostError('no answer in time')
        fault = self.faults.pop(0) if self.faults else None
        is_failing = self.is_down or stream == self.failing_stream
        limit = self.record_bytes
        if limit is not None and any(len(body) > limit for body in bodies):
            raise exceptions.LogUnavailableError('a record is too large')
        limit = self.call_bytes
        if limit is not None and sum(map(len, bodies)) > limit:
            raise exceptions.LogUnavailableError('an append is too large')
        if is_failing or fault is Fault.REFUSED:
            raise exceptions.LogUnavailableError('refused')
        if fault is Fault.LATE:
            self.late.append((stream, list(bodies)))
            raise exceptions.LogAnswerLostError('no answer')
        offset = len(self.streams[stream])
        self.streams[stream].extend(bodies)
        if fault is Fault.SILENT:
            eventlet.sleep(timeout_s or APPEND_TIMEOUT_S)
        if fault in (Fault.LOST_RESPONSE, Fault.SILENT):
            raise exceptions.LogAnswerLostError('no answer')
        return offset

    def apply_late_appends(self):
        """Applies the late appends."""
        for stream, bodies in self.late:
            self.streams[stream].extend(bodies)
        self.late.clear()

    def trim(self, stream, before):
        """Drops the records before an offset."""
        self.oldest[stream] = before

    def read(self, stream, start, *, wait_s=0.0, limit_bytes=262_144):
        """See the base class."""
        self.reads += 1
        if self.is_silent:
            eventlet.sleep(wait_s + READ_TIMEOUT_S)
            raise exceptions.LogUnavailableError('no answer in time')
        eventlet.sleep(self.read_delay_s)
        if self.is_down:
            raise exceptions.LogUnavailableError('down')
        if stream != records.WORK_STREAM and self.failing_text_reads:
            self.failing_text_reads -= 1
            raise exceptions.LogUnavailableError('one read failed')
        if start < self.oldest[stream]:
            raise exceptions.LogTrimmedError('gone', self.oldest[stream])
        found, size = [], 0
        for offset in range(start, len(self.streams[stream])):
            body = self.streams[stream][offset]
            size += len(body)
            if found and size > limit_bytes:
                break
            found.append(platform_base.RawRecord(offset, body))
        if not found and wait_s:
            eventlet.sleep(min(wait_s, 0.01))
        return platform_base.StorePage(tuple(found), len(self.streams[stream]))

    def read_newest(self, stream):
        """See the base class."""
        if self.is_down:
            raise exceptions.LogUnavailableError('down')
        newest = {}
        for body in self.streams[stream]:
            record = self.decode_keyed(body)
            newest[record.key] = record
        found = [r for r in newest.values() if r.value is not None]
        return found, len(self.streams[stream])

    def decode_keyed(self, body):
        """See the base class."""
        if not body:
            raise exceptions.UnreadableRecordError('no key')
        end = 1 + body[0]
        return platform_base.KeyedRecord(
            body[1:end].decode(), body[end:] or None
        )


def encode_keyed(key: str, value: bytes = b'') -> bytes:
    """Encodes a record of a keyed stream; no value drops the key."""
    return bytes([len(key)]) + key.encode() + value
