"""Texts in memory, and which of them one read of the store returns."""

from __future__ import annotations

import collections
import typing

from lentildeal._internal.jobs import records

# Texts kept in memory: those of items that ended here, and those just read.
CACHE_BYTES = 256 * 1024
# Most text of one read; a read of the store returns at most 1 MB.
GROUP_BYTES = 512 * 1024


class TextCache:
    """Newest texts by place, bounded in bytes."""

    def __init__(self) -> None:
        self._bodies: collections.OrderedDict[records.Place, bytes] = (
            collections.OrderedDict()
        )
        self._size_bytes = 0

    def get(self, place: records.Place) -> typing.Optional[bytes]:
        """Returns a text, None if it is not kept."""
        return self._bodies.get(place)

    def put(self, place: records.Place, body: bytes) -> None:
        """Keeps a text in place of the oldest ones."""
        if place in self._bodies or len(body) > CACHE_BYTES:
            return
        self._bodies[place] = body
        self._size_bytes += len(body)
        while self._size_bytes > CACHE_BYTES:
            _, dropped = self._bodies.popitem(last=False)
            self._size_bytes -= len(dropped)


def group_neighbours(
    places: typing.Sequence[records.Place],
) -> list[list[records.Place]]:
    """Groups texts that follow on each other in one stream."""
    groups: list[list[records.Place]] = []
    for place in sorted(places):
        last = groups[-1][-1] if groups else None
        if (
            last is not None
            and last.stream == place.stream
            and last.offset + 1 == place.offset
            and sum(p.size_bytes for p in groups[-1]) < GROUP_BYTES
        ):
            groups[-1].append(place)
        else:
            groups.append([place])
    return groups
