"""Switches to other green threads while bytes arrive without a pause.

eventlet reads from a ready socket without a switch, so a sender that never
pauses would keep all other threads of the daemon waiting.
"""

from __future__ import annotations

import eventlet

# Work between two switches: the parsing of these takes a few milliseconds.
MAX_BYTES = 64 * 1024
MAX_PIECES = 64


class YieldBudget:
    """Bounds the bytes and pieces that a reader handles without a switch."""

    def __init__(self) -> None:
        self._bytes = 0
        self._pieces = 0

    def spend(self, size_bytes: int) -> None:
        """Records a piece; switches to other threads if due."""
        self._bytes += size_bytes
        self._pieces += 1
        if self._bytes >= MAX_BYTES or self._pieces >= MAX_PIECES:
            self._bytes = self._pieces = 0
            eventlet.sleep(0)
