"""Applies the ordering rules to the records of a step."""

from __future__ import annotations

import typing

from lentildeal._internal.models import ids
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import ordering

_UNFINISHED = (entries.SampleState.WAITING, entries.SampleState.RUNNING)


def choose_waiting(
    groups: typing.Iterable[entries.Group],
    address: ids.ReplicaAddress,
    now_s: float,
    predictor: ordering.LengthPredictor,
) -> typing.Optional[entries.Entry]:
    """Chooses the waiting sample that a replica generates next."""
    best = None
    for group in groups:
        entry = _find_longest(group, now_s, predictor)
        if entry is None:
            continue
        view = ordering.GroupView(
            unfinished=group.count(*_UNFINISHED),
            predicted=predictor.predict(group.prompt.group, entry.reached),
            held_by=group.held_by,
            idle_s=now_s - group.handed_s,
            position=group.position,
        )
        rank = ordering.rank_group(view, address)
        if best is None or rank < best[0]:
            best = (rank, entry)
    return best[1] if best else None


def _find_longest(
    group: entries.Group,
    now_s: float,
    predictor: ordering.LengthPredictor,
) -> typing.Optional[entries.Entry]:
    waiting = [
        entry
        for entry in group.entries
        if entry.state is entries.SampleState.WAITING
        and entry.retry_at_s <= now_s
    ]
    return max(
        waiting,
        key=lambda e: predictor.predict(group.prompt.group, e.reached),
        default=None,
    )
