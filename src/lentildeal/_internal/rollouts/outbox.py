"""Samples that are ready to be written or not yet acknowledged."""

from __future__ import annotations

import collections
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.rollouts import entries


class Outbox:
    """Queue of ready samples and written samples of one stream."""

    def __init__(self) -> None:
        self._ready: dict[ids.SampleId, entries.Entry] = {}
        self._written: collections.deque[entries.Entry] = collections.deque()
        self._cursor = 0

    @property
    def cursor(self) -> int:
        """Cursor of the last written sample, the number of samples written."""
        return self._cursor

    @property
    def next_entry(self) -> typing.Optional[entries.Entry]:
        """Sample that has been ready for the longest time."""
        return next(iter(self._ready.values()), None)

    def add(self, entry: entries.Entry) -> None:
        """Adds a ready sample."""
        self._ready[entry.sample_id] = entry

    def discard(self, entry: entries.Entry) -> None:
        """Removes a ready sample that must not be written."""
        self._ready.pop(entry.sample_id, None)

    def mark_written(self, entry: entries.Entry) -> int:
        """Moves a ready sample to the written ones; returns its cursor."""
        del self._ready[entry.sample_id]
        self._cursor += 1
        entry.cursor = self._cursor
        self._written.append(entry)
        return self._cursor

    def acknowledge(self, cursor: int) -> list[entries.Entry]:
        """Removes and returns the written samples up to a cursor."""
        released = []
        while self._written and self._written[0].cursor <= cursor:
            released.append(self._written.popleft())
        return released
