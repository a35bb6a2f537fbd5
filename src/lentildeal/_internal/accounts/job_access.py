"""Decides which jobs the sender of a request may see."""

from __future__ import annotations

import typing

from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs


def may_see(
    text: deployment.PublishedText,
    account: typing.Optional[ids.AccountName],
    head: jobs.JobHead,
) -> bool:
    """Whether a sender may read and end a job.

    Args:
        text: Published text in effect.
        account: Account of the sender, None for a sender without a valid key.
        head: The job.
    """
    if text.accounts is None:
        return True
    if head.account is not None:
        return head.account == account
    # The job was submitted without a key: on a public route, or before the
    # text had accounts. In the latter case, its trainer has a key by now.
    return account is not None or _is_public(text, head)


def needs_key(text: deployment.PublishedText) -> bool:
    """Whether no job can be seen without a key."""
    return text.accounts is not None and not any(
        route.is_public and route.kind is deployment.RouteKind.ROLLOUT
        for route in text.routes
    )


def _is_public(text: deployment.PublishedText, head: jobs.JobHead) -> bool:
    route = text.find_route(head.host, head.path)
    return route is not None and route.is_public
