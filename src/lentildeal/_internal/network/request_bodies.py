"""Reads the bodies of requests within the budget of memory."""

from __future__ import annotations

import io
import typing

from lentildeal._internal.network import memory_budget

# Memory that is reserved before each read, however little arrives.
PART_BYTES = 64 * 1024


def read_body(
    source: typing.Any,
    size_bytes: int,
    budget: memory_budget.MemoryBudget,
    holder: memory_budget.ClientHolder,
) -> bytes:
    """Reads up to a number of bytes, which the holder keeps.

    Raises:
        exceptions.NotRunError: The budget is used up.
        exceptions.RequestTooLargeError: The budget is never as large.
    """
    # Hands out what it holds without a copy.
    received = io.BytesIO()
    remaining = size_bytes
    held_before = holder.size_bytes
    while remaining > 0:
        size = min(remaining, PART_BYTES)
        budget.reserve(holder, size)
        part = source.read(size)
        received.write(part)
        if not part:
            break
        remaining -= len(part)
    body = received.getvalue()
    budget.release(holder, held_before + len(body))
    return body
