"""Merging of what several members say of one."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import members

State = members.MemberState

# A member that one voucher hears is not dead for another that does not.
_PREFERENCE = (State.LIVE, State.SUSPECT, State.LEAVING, State.DEAD)


def merge(
    own_word: typing.Optional[members.Member],
    said: list[members.Member],
    last: typing.Optional[members.Member],
) -> typing.Optional[members.Member]:
    """Best view of a member of another domain.

    Args:
        own_word: Its own heartbeats as judged here, None if it is silent.
        said: What vouchers of its domain say of it.
        last: The view before.

    Returns:
        The new view; None if nothing was ever known.
    """
    if own_word is not None:
        if own_word.state is not State.SUSPECT:
            return own_word
        said = [m for m in said if m.incarnation == own_word.incarnation]
        said.append(own_word)
    if not said:
        return last and dataclasses.replace(last, state=State.DEAD)
    best = min(said, key=lambda m: (_PREFERENCE.index(m.state), -m.revision))
    same = [m for m in said if m.incarnation == best.incarnation]
    if any(m.state is State.LEAVING for m in same):
        # Leaving is final for an incarnation; the others have yet to hear.
        return dataclasses.replace(best, state=State.LEAVING)
    return best


def keep_last(
    instances: typing.Iterable[ids.InstanceId],
    before: dict[ids.InstanceId, members.Member],
) -> dict[ids.InstanceId, members.Member]:
    """View of a silent domain: the last one; who was leaving has left."""
    result = {}
    for instance in instances:
        last = before.get(instance)
        if last is None:
            continue
        if last.state is State.LEAVING:
            last = dataclasses.replace(last, state=State.DEAD)
        result[instance] = last
    return result


def are_all_dead(judged: typing.Collection[members.Member]) -> bool:
    """Whether a silent domain has ended rather than been cut off.

    False without any member: instances that are listed and were never
    heard may be live.
    """
    return bool(judged) and all(m.state is State.DEAD for m in judged)
