"""Memory for the bodies of requests that are being received."""

from __future__ import annotations

import contextlib
import typing

from lentildeal._internal import exceptions
from lentildeal._internal.models import outcomes

PART_BYTES = 256 * 1024
RETRY_AFTER_S = 0.5


class BodyBudget:
    """Memory for the bodies that are being received."""

    def __init__(self, limit_bytes: int) -> None:
        self._available = limit_bytes

    @contextlib.contextmanager
    def reader(self) -> typing.Iterator[BodyReader]:
        """Makes the reader of one body; frees its bytes afterwards."""
        reader = BodyReader(self)
        try:
            yield reader
        finally:
            self._available += reader.size_bytes

    def spend(self, size_bytes: int) -> None:
        """Takes bytes of the budget.

        Raises:
            exceptions.NotRunError: The budget is used up.
        """
        if size_bytes > self._available:
            raise exceptions.NotRunError(
                'too many large bodies are being received',
                cause=outcomes.Cause.OVERLOADED.value,
                retry_after_s=RETRY_AFTER_S,
                remedy='send the request again later',
            )
        self._available -= size_bytes


class BodyReader:
    """Reads one body in parts, each of which takes from the budget."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self.size_bytes = 0

    def read(self, source: typing.Any, size_bytes: int) -> bytes:
        """Reads up to a number of bytes.

        Raises:
            exceptions.NotRunError: The budget is used up.
        """
        parts = []
        remaining = size_bytes
        while remaining > 0:
            part = source.read(min(remaining, PART_BYTES))
            if not part:
                break
            self._budget.spend(len(part))
            self.size_bytes += len(part)
            remaining -= len(part)
            parts.append(part)
        return b''.join(parts)
