"""Bounds the bytes of requests in progress at each replica.

A replica keeps the requests that it runs or queues in its memory, and ends
when that is used up. A daemon knows only its own requests, so each one keeps
to the bound for itself. Nothing here waits or does input and output.
"""

from __future__ import annotations

import collections
import contextlib
import typing

from lentildeal._internal.models import ids


class ReplicaBytes:
    """Bytes of the bodies that replicas have from this daemon."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        # Without the replicas that have no bytes.
        self._in_progress: collections.Counter[ids.ReplicaId] = (
            collections.Counter()
        )

    def has_room(self, replica_id: ids.ReplicaId, size_bytes: int) -> bool:
        """Whether a replica may get a body.

        One that has none gets any body: a single request is always served.
        """
        in_progress = self._in_progress[replica_id]
        return in_progress == 0 or (
            in_progress + size_bytes <= self._limit_bytes
        )

    @contextlib.contextmanager
    def track(
        self, replica_id: ids.ReplicaId, size_bytes: int
    ) -> typing.Iterator[None]:
        """Counts a body while the replica has it."""
        self._in_progress[replica_id] += size_bytes
        try:
            yield
        finally:
            self._in_progress[replica_id] -= size_bytes
            if not self._in_progress[replica_id]:
                del self._in_progress[replica_id]
