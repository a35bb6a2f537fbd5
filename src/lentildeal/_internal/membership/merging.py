"""Merging of the reports of several members about one."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import members

State = members.MemberState

# Precedence of states in conflicting reports: a member is live if any reporter
# receives its heartbeats.
_PREFERENCE = (State.LIVE, State.SUSPECT, State.LEAVING, State.DEAD)


def merge(
    direct_view: typing.Optional[members.Member],
    reports: list[members.Member],
    previous: typing.Optional[members.Member],
) -> typing.Optional[members.Member]:
    """Merges the reports about a member of another domain.

    Args:
        direct_view: State by its own heartbeats, None if it is silent.
        reports: Its entries in the rosters of its domain.
        previous: The previous view.

    Returns:
        The new view; None if the member was never known.
    """
    if direct_view is not None:
        if direct_view.state is not State.SUSPECT:
            return direct_view
        reports = [
            m for m in reports if m.incarnation == direct_view.incarnation
        ]
        reports.append(direct_view)
    if not reports:
        return previous and dataclasses.replace(previous, state=State.DEAD)
    best = min(
        reports, key=lambda m: (_PREFERENCE.index(m.state), -m.revision)
    )
    same = [m for m in reports if m.incarnation == best.incarnation]
    if any(m.state is State.LEAVING for m in same):
        # Leaving is final for an incarnation; other reports are outdated.
        return dataclasses.replace(best, state=State.LEAVING)
    return best


def keep_last_view(
    instances: typing.Iterable[ids.InstanceId],
    before: dict[ids.InstanceId, members.Member],
) -> dict[ids.InstanceId, members.Member]:
    """Returns the last view of a silent domain, leaving members as dead."""
    result = {}
    for instance in instances:
        previous = before.get(instance)
        if previous is None:
            continue
        if previous.state is State.LEAVING:
            previous = dataclasses.replace(previous, state=State.DEAD)
        result[instance] = previous
    return result


def are_all_dead(domain_members: typing.Collection[members.Member]) -> bool:
    """Whether all members of a silent domain are dead, not just cut off.

    False without any member, since listed instances that never sent a
    heartbeat may be live.
    """
    return bool(domain_members) and all(
        m.state is State.DEAD for m in domain_members
    )
