"""Stable hashes that are the same on every instance."""

from __future__ import annotations

import typing

import xxhash

T = typing.TypeVar('T', bound=str)


def hash_text(*parts: str) -> int:
    """Hashes strings to 64 bits."""
    return xxhash.xxh64_intdigest('\x00'.join(parts).encode())


def rank_by_rendezvous(key: str, candidates: typing.Iterable[T]) -> list[T]:
    """Sorts candidates by their rendezvous weight for a key, highest first.

    Removing a candidate moves only the keys that it ranked first for.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", IEEE/ACM Transactions on Networking, 1998.
    """
    return sorted(
        candidates,
        key=lambda candidate: (hash_text(key, candidate), candidate),
        reverse=True,
    )
