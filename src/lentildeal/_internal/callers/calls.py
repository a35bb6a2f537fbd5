"""A live call and what an attempt at it found out."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.utils import clock

# Counted like a cause of waiting; nobody is left to read it.
CALLER_GONE = 'caller_gone'


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of a live service.

    Attributes:
        request_id: Unique for the call; attempts add a suffix.
        name: Name of the service.
        service: The service in the text in effect.
        target: The target that answers.
        deadline: When the caller gives up.
        prefix: Prompt of a completion, for the prefix cache.
        is_client_gone: Whether nobody waits for the answer any more.
        started_s: Monotonic time of the call's arrival, in seconds.
    """

    request_id: ids.RequestId
    name: ids.ServiceName
    service: text_module.Service
    target: text_module.Target
    deadline: clock.Deadline
    prefix: typing.Optional[str] = None
    is_client_gone: typing.Callable[[], bool] = lambda: False
    started_s: float = dataclasses.field(default_factory=clock.monotonic_s)

    def check_wanted(self) -> None:
        """Stops a call before anything is sent to a target.

        Raises:
            exceptions.NotRunError: The deadline has passed or the caller
                has gone.
        """
        if self.deadline.has_passed:
            raise exceptions.NotRunError(
                'the deadline has passed',
                cause=outcomes.Cause.DEADLINE.value,
            )
        if self.is_client_gone():
            raise exceptions.NotRunError(
                'the caller has gone', cause=CALLER_GONE
            )


@dataclasses.dataclass
class Usage:
    """What an attempt has used so far.

    Attributes:
        tokens: Tokens generated.
        was_delivered: Whether the caller has received a part of the answer.
    """

    tokens: int = 0
    was_delivered: bool = False


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """Whole answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes
