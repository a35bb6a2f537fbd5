"""Live calls, the output of their attempts, and service responses."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.utils import clock

# Label value for metrics; no client is left to receive it.
CALLER_GONE = 'caller_gone'


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of a live service.

    Attributes:
        request_id: Unique for the call; each attempt adds a suffix.
        name: Name of the service.
        service: The service in the text in effect.
        target: The target that serves the call.
        deadline: When the caller stops waiting.
        prefix: Prompt of a completion, used for prefix-cache routing.
        is_client_gone: Returns whether the client has disconnected.
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

    def check_active(self) -> None:
        """Checks that the response is still wanted before anything is sent.

        Raises:
            exceptions.NotRunError: The deadline has passed or the caller
                has disconnected.
        """
        if self.deadline.has_passed:
            raise exceptions.NotRunError(
                'the deadline has passed',
                cause=outcomes.Cause.DEADLINE.value,
            )
        if self.is_client_gone():
            raise exceptions.NotRunError(
                'the caller has disconnected', cause=CALLER_GONE
            )


@dataclasses.dataclass
class Usage:
    """Output of an attempt so far.

    Attributes:
        tokens: Tokens generated.
        was_delivered: Whether the caller has received a part of the response.
    """

    tokens: int = 0
    was_delivered: bool = False


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """Complete response of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes
