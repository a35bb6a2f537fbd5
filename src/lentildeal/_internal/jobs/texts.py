"""Texts in memory, and which of them one read of the store returns."""

from __future__ import annotations

import collections
import typing

from lentildeal._internal.jobs import records

# Texts kept in memory: those of items that ended here, and those just read.
CACHE_BYTES = 256 * 1024
# Most text of one read; a read of the store returns at most 1 MB.
MAX_GROUP_BYTES = 512 * 1024


class TextCache:
    """Newest texts by place, bounded in bytes."""

    def __init__(self) -> None:
        self._bodies: collections.OrderedDict[
            records.RecordLocation, bytes
        ] = collections.OrderedDict()
        self._size_bytes = 0

    def get(self, location: records.RecordLocation) -> typing.Optional[bytes]:
        """Returns a text, None if it is not kept."""
        return self._bodies.get(location)

    def put(self, location: records.RecordLocation, body: bytes) -> None:
        """Keeps a text in place of the oldest ones."""
        if location in self._bodies or len(body) > CACHE_BYTES:
            return
        self._bodies[location] = body
        self._size_bytes += len(body)
        while self._size_bytes > CACHE_BYTES:
            _, dropped = self._bodies.popitem(last=False)
            self._size_bytes -= len(dropped)


def group_adjacent(
    locations: typing.Sequence[records.RecordLocation],
) -> list[list[records.RecordLocation]]:
    """Groups texts that follow on each other in one stream."""
    groups: list[list[records.RecordLocation]] = []
    for location in sorted(locations):
        last = groups[-1][-1] if groups else None
        if (
            last is not None
            and last.stream == location.stream
            and last.offset + 1 == location.offset
            and sum(p.size_bytes for p in groups[-1]) < MAX_GROUP_BYTES
        ):
            groups[-1].append(location)
        else:
            groups.append([location])
    return groups
