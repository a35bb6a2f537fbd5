"""One question to all members at once, with those that did not answer."""

from __future__ import annotations

import dataclasses
import typing

import eventlet

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import members

# Leaves half a second of the 2 s within which a report must come, for
# composing and sending it.
ASK_TIMEOUT_S = 1.5


@dataclasses.dataclass(frozen=True)
class UnreachableMember:
    """A member that gave no answer."""

    instance: ids.InstanceId
    failure_domain: ids.FailureDomain
    state: str
    reason: str


@dataclasses.dataclass
class Round:
    """Outcome of one question."""

    answered: list[tuple[ids.InstanceId, typing.Any]] = dataclasses.field(
        default_factory=list
    )
    unreached: list[UnreachableMember] = dataclasses.field(
        default_factory=list
    )


def ask_all(
    kernel, question: typing.Any, timeout_s: float = ASK_TIMEOUT_S
) -> Round:
    """Asks all members but this one, each in a green thread of its own.

    Members that are known to be dead are not asked and not named: nothing
    is missing without them. Members of cut-off domains are asked.
    """
    round_ = Round()
    membership = kernel.find_plugin('membership')
    if membership is None:
        return round_
    threads = [
        eventlet.spawn(_ask, kernel, member, question, timeout_s, round_)
        for member in membership.members()
        if member.instance != kernel.settings.instance
        and member.state is not members.MemberState.DEAD
    ]
    for thread in threads:
        thread.wait()
    round_.unreached.sort(key=lambda item: item.instance)
    return round_


def _ask(kernel, member, question, timeout_s: float, round_: Round) -> None:
    kernel.peers.set_address(member.instance, member.peer_address)
    try:
        reply = kernel.peers.call(member.instance, question, timeout_s)
        round_.answered.append((member.instance, reply))
    except exceptions.PeerError as error:
        round_.unreached.append(
            UnreachableMember(
                member.instance,
                member.failure_domain,
                member.state.value,
                error.message,
            )
        )
