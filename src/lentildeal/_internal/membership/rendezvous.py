"""Choices that all daemons make alike without talking: rendezvous hashing."""

from __future__ import annotations

import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import hashing

# Members of a domain that send heartbeats to one daemon of another domain.
# Two, so that the death of one leaves no gap.
SENDERS_PER_DOMAIN = 2


def choose_owner(
    key: str, candidates: typing.Iterable[ids.InstanceId]
) -> typing.Optional[ids.InstanceId]:
    """Candidate with the highest weight for a key, None without one."""
    return max(
        candidates,
        key=lambda candidate: (hashing.hash_text(key, candidate), candidate),
        default=None,
    )


def choose_senders(
    receiver: ids.InstanceId, candidates: typing.Iterable[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Members of one domain that send heartbeats to a foreign daemon.

    The choice is made from the receiver's side, so that each daemon hears
    from two members of each other domain; choosing two receivers for each
    sender would leave about one daemon in eight (e^-2) without any. The
    weight of a pair is the same in both directions, which lets many pairs
    share one connection.
    """
    return sorted(
        candidates, key=lambda candidate: _weigh_pair(receiver, candidate)
    )[-SENDERS_PER_DOMAIN:]


def _weigh_pair(one: str, other: str) -> tuple[int, str]:
    return hashing.hash_text(*sorted((one, other))), other
