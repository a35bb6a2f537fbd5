"""Prompt-prefix cache of a stand-in engine; events are late and some lost."""

from __future__ import annotations

import collections
import random

from standins import common

# Length of the cached part of a prompt, in characters.
PREFIX_CHARACTERS = 64


class PrefixCache:
    """Cache of prompt prefixes with least-recently-used eviction.

    Args:
        capacity: Maximum number of cached prefixes.
        delay_s: Delay before an event can be read, in seconds.
        loss_share: Share of events that are never reported.
        seed: Seed for the choice of lost events.
    """

    def __init__(
        self, capacity: int, delay_s: float, loss_share: float, seed: int
    ) -> None:
        self._capacity = capacity
        self._delay_s = delay_s
        self._loss_share = loss_share
        self._random = random.Random(seed)
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[float, dict]] = []
        self._next_number = 0
        self.hits = 0
        self.misses = 0

    def touch(self, prompt: str) -> bool:
        """Marks a prompt's prefix as used; returns whether it was cached."""
        prefix = prompt[:PREFIX_CHARACTERS]
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            self.hits += 1
            return True
        self.misses += 1
        self._prefixes[prefix] = None
        self._record_event('stored', prefix)
        if len(self._prefixes) > self._capacity:
            evicted, _ = self._prefixes.popitem(last=False)
            self._record_event('evicted', evicted)
        return False

    def read_events(self, start: int) -> dict:
        """Events from number ``start`` on whose delay has passed."""
        limit_s = common.now_s() - self._delay_s
        events = [
            event
            for time_s, event in self._events
            if time_s <= limit_s and event['number'] >= start
        ]
        end = events[-1]['number'] + 1 if events else start
        return {'events': events, 'next': end}

    def _record_event(self, kind: str, prefix: str) -> None:
        event = {'number': self._next_number, 'kind': kind, 'prefix': prefix}
        self._next_number += 1
        if self._random.random() >= self._loss_share:
            self._events.append((common.now_s(), event))
