"""Cache of texts, and grouping of texts into reads of the store."""

from __future__ import annotations

import collections
import typing

from lentildeal._internal.jobs import records

# Holds the texts of items that this daemon has run and those read last.
CACHE_BYTES = 256 * 1024
# Size at which a group is closed; a read of the store returns at most 1 MB.
MAX_GROUP_BYTES = 512 * 1024


class TextCache:
    """Encoded texts by location; evicts the oldest above a size."""

    def __init__(self) -> None:
        self._bodies: collections.OrderedDict[
            records.RecordLocation, bytes
        ] = collections.OrderedDict()
        self._size_bytes = 0

    def get(self, location: records.RecordLocation) -> typing.Optional[bytes]:
        """Returns a text, None if it is not cached."""
        return self._bodies.get(location)

    def put(self, location: records.RecordLocation, body: bytes) -> None:
        """Adds a text and evicts the oldest ones if needed."""
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
    """Groups texts with consecutive offsets in one stream."""
    groups: list[list[records.RecordLocation]] = []
    for location in sorted(locations):
        last = groups[-1][-1] if groups else None
        if (
            last is not None
            and last.stream == location.stream
            and last.end == location.offset
            and sum(p.size_bytes for p in groups[-1]) < MAX_GROUP_BYTES
        ):
            groups[-1].append(location)
        else:
            groups.append([location])
    return groups
