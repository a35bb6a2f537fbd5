"""Prompt-prefix cache of a stand-in engine, with late and gappy events."""

from __future__ import annotations

import collections
import random

from standins import common

# Length of the cached part of a prompt, in characters.
PREFIX_CHARACTERS = 64


class PrefixCache:
    """Least recently used prefixes in limited memory.

    Args:
        capacity: Most prefixes kept.
        delay_s: Time until an event can be read, in seconds.
        loss_share: Share of events that are never reported.
        seed: Seed of the choice of lost events.
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
        self._number = 0
        self.hits = 0
        self.misses = 0

    def touch(self, prompt: str) -> bool:
        """Uses a prompt's prefix and returns whether it was there."""
        prefix = prompt[:PREFIX_CHARACTERS]
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            self.hits += 1
            return True
        self.misses += 1
        self._prefixes[prefix] = None
        self._report('stored', prefix)
        if len(self._prefixes) > self._capacity:
            evicted, _ = self._prefixes.popitem(last=False)
            self._report('evicted', evicted)
        return False

    def read_events(self, start: int) -> dict:
        """Events from a number on that are old enough to be seen."""
        limit_s = common.now_s() - self._delay_s
        events = [
            event
            for time_s, event in self._events
            if time_s <= limit_s and event['number'] >= start
        ]
        end = events[-1]['number'] + 1 if events else start
        return {'events': events, 'next': end}

    def _report(self, kind: str, prefix: str) -> None:
        event = {'number': self._number, 'kind': kind, 'prefix': prefix}
        self._number += 1
        if self._random.random() >= self._loss_share:
            self._events.append((common.now_s(), event))
