"""Queries all members of the federation concurrently."""

from __future__ import annotations

import dataclasses
import typing

import eventlet

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import members

# A report is due within 2 s; this leaves half a second to compose and send it.
QUERY_TIMEOUT_S = 1.5


@dataclasses.dataclass(frozen=True)
class UnreachableMember:
    """A member that did not respond."""

    instance: ids.InstanceId
    failure_domain: ids.FailureDomain
    state: str
    reason: str


@dataclasses.dataclass
class MemberResponses:
    """Responses to one query, and members that did not respond."""

    answered: list[tuple[ids.InstanceId, typing.Any]] = dataclasses.field(
        default_factory=list
    )
    unreached: list[UnreachableMember] = dataclasses.field(
        default_factory=list
    )


def query_members(
    kernel, request: typing.Any, timeout_s: float = QUERY_TIMEOUT_S
) -> MemberResponses:
    """Queries all other members, each in a green thread of its own.

    Dead members are neither queried nor listed as unreached, since they have
    nothing to report. Members of cut-off domains are queried.

    Args:
        kernel: Kernel of this daemon.
        request: Message to send.
        timeout_s: Timeout of each call, in seconds.
    """
    responses = MemberResponses()
    membership = kernel.find_plugin('membership')
    if membership is None:
        return responses
    threads = [
        eventlet.spawn(
            _query_member, kernel, member, request, timeout_s, responses
        )
        for member in membership.members()
        if member.instance != kernel.settings.instance
        and member.state is not members.MemberState.DEAD
    ]
    for thread in threads:
        thread.wait()
    responses.unreached.sort(key=lambda item: item.instance)
    return responses


def _query_member(
    kernel, member, request, timeout_s: float, responses: MemberResponses
) -> None:
    kernel.peers.set_address(member.instance, member.peer_address)
    try:
        response = kernel.peers.call(member.instance, request, timeout_s)
        responses.answered.append((member.instance, response))
    except exceptions.PeerError as error:
        responses.unreached.append(
            UnreachableMember(
                member.instance,
                member.failure_domain,
                member.state.value,
                error.message,
            )
        )
