"""Log service in memory, with faults, for tests inside one process."""

from __future__ import annotations

import enum
import random

import eventlet

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids

POLL_S = 0.001


class AppendFault(enum.Enum):
    """What goes wrong with an append."""

    NONE = 'none'
    LOST_AFTER_EFFECT = 'lost after effect'
    LOST_WITHOUT_EFFECT = 'lost without effect'
    UNAVAILABLE = 'unavailable'


class MemoryLog(base.LogService):
    """Streams in memory; faults are drawn from a seeded generator."""

    def __init__(self, seed: int = 0) -> None:
        self.bodies: list[dict] = []
        self.oldest = 0
        self.is_down = False
        self.faults: tuple[AppendFault, ...] = (AppendFault.NONE,)
        self._random = random.Random(seed)

    def append(self, stream: str, body: dict) -> ids.Offset:
        """See the base class; yields at random to mix concurrent calls."""
        eventlet.sleep(self._random.random() * POLL_S)
        fault = self._random.choice(self.faults)
        if self.is_down or fault is AppendFault.UNAVAILABLE:
            raise exceptions.LogUnavailableError('log is down')
        if fault is AppendFault.LOST_WITHOUT_EFFECT:
            raise exceptions.LogAnswerLostError('answer lost')
        self.bodies.append(body)
        offset = ids.Offset(len(self.bodies) - 1)
        if fault is AppendFault.LOST_AFTER_EFFECT:
            raise exceptions.LogAnswerLostError('answer lost')
        eventlet.sleep(self._random.random() * POLL_S)
        return offset

    def read(
        self, stream: str, start: ids.Offset, wait_s: float = 0.0
    ) -> base.LogPage:
        """See the base class."""
        if self.is_down:
            raise exceptions.LogUnavailableError('log is down')
        if start >= len(self.bodies):
            eventlet.sleep(POLL_S)
        return self.page(start)

    def page(self, start: int) -> base.LogPage:
        """Makes the page of all records from an offset on."""
        first = max(start, self.oldest)
        records = tuple(
            base.LogRecord(ids.Offset(first + index), body)
            for index, body in enumerate(self.bodies[first:])
        )
        next_offset = ids.Offset(len(self.bodies))
        return base.LogPage(records, ids.Offset(self.oldest), next_offset)
