"""Rendezvous hashing, by which all daemons make the same choices."""

from __future__ import annotations

import typing

from lentildeal._internal.models import ids
from lentildeal._internal.utils import hashing

# Members of a domain that send heartbeats to one daemon of another domain.
# With two, the heartbeats continue when one of them ends.
SENDERS_PER_DOMAIN = 2


def choose_owner(
    key: str, candidates: typing.Iterable[ids.InstanceId]
) -> typing.Optional[ids.InstanceId]:
    """Returns the candidate with the highest weight for a key, or None."""
    return max(
        candidates,
        key=lambda candidate: (hashing.hash_text(key, candidate), candidate),
        default=None,
    )


def choose_senders(
    receiver: ids.InstanceId, candidates: typing.Iterable[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Chooses the members of a domain that send to a daemon of another.

    The senders are chosen for each receiver, so that each daemon gets
    heartbeats from two members of each other domain. Choosing two receivers
    for each sender would leave about one daemon in eight (e^-2) without any.
    The weight of a pair is the same in both directions, so that many pairs
    can share one connection.
    """
    return sorted(
        candidates, key=lambda candidate: _weigh_pair(receiver, candidate)
    )[-SENDERS_PER_DOMAIN:]


def _weigh_pair(one: str, other: str) -> tuple[int, str]:
    return hashing.hash_text(*sorted((one, other))), other
