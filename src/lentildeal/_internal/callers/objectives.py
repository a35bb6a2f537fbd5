"""Reports how live calls ended to the plug-in ``burn``."""

from __future__ import annotations

import http
import typing

from lentildeal._internal.callers import calls
from lentildeal._internal import exceptions
from lentildeal._internal.models import outcomes
from lentildeal._internal.utils import clock


def record(
    kernel, call: calls.Call, error: typing.Optional[Exception] = None
) -> None:
    """Records the end of a call for its service's objective.

    Calls whose client has disconnected or has sent an invalid request are
    not counted, since they don't show how the service performs.

    Args:
        kernel: The kernel.
        call: The call.
        error: What ended it, None after a complete response.
    """
    burn = kernel.find_plugin('burn')
    if burn is None or call.is_client_gone() or _is_callers_fault(error):
        return
    is_late = call.deadline.has_passed
    cause = find_cause(error, is_late)
    seconds = clock.monotonic_s() - call.started_s
    burn.record_call(call.name, cause is None, seconds, cause)


def find_cause(
    error: typing.Optional[Exception], is_late: bool
) -> typing.Optional[str]:
    """Returns why a call was not answered in time, None if it was."""
    if isinstance(error, exceptions.NotRunError):
        return error.cause
    if is_late:
        return outcomes.Cause.DEADLINE.value
    return None if error is None else outcomes.Cause.TARGET_DOWN.value


def _is_callers_fault(error: typing.Optional[Exception]) -> bool:
    if isinstance(error, exceptions.RanAndFailedError):
        return error.status < http.HTTPStatus.INTERNAL_SERVER_ERROR
    return isinstance(error, exceptions.BadRequestError)
